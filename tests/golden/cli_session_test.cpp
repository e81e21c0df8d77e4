#include "support/cli_runner.hpp"

#include <cstdlib>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace gooseberrysail::test {
namespace {

constexpr const char* kPath = GOOSEBERRYSAIL_SOURCE_DIR "/tests/golden/cli.session";

constexpr const char* kCatalogue = R"({"version":90,"entries":[
  {"kind":"model","name":"hire-assist","owner":"hire-desk","class":"interactive","revision":2,
   "version":88,"spec":{"version":"2026-11","replicas":30}},
  {"kind":"target","name":"vm-1","owner":"ops","class":"standard","revision":3,"version":90,
   "spec":{"draining":false}}]})";

constexpr const char* kStatus = R"({"leader":{"process":"control-2","term":4,"committed":95,
  "applied":95,"leadingForMs":61500},"version":90,"groups":31,"groupsServing":30,"targets":124,
  "claims":2,"changes":[
  {"changeId":"c2","version":90,"committedAtMs":1796212790000,"inForceEverywhereAtMs":null,
   "laggingCount":1,"lagging":["agent-7"]},
  {"changeId":"c1","version":88,"committedAtMs":1796212700000,
   "inForceEverywhereAtMs":1796212700412}],
  "processes":[
  {"process":"agent-7","role":"agent","address":"10.20.1.47:7100","connected":false,
   "sinceMs":9200,"versionInForce":88,"reportedMs":9900},
  {"process":"entry-1","role":"entry","address":"10.20.1.20:7100","connected":true,
   "sinceMs":3600000,"versionInForce":90,"reportedMs":300}]})";

constexpr const char* kGroups = R"({"groups":[
  {"group":17,"epoch":17,"entry":"hire-assist","modelVersion":"2026-11","state":"serving",
   "head":"vm-1","members":["vm-1","vm-2","vm-3","vm-4"],"reason":"","routesHeld":2,"missing":[],
   "weightsLoaded":true,"running":3,"queued":0,"reportAgeMs":200},
  {"group":21,"epoch":21,"entry":"hire-assist","modelVersion":"2026-11","state":"broken",
   "head":"vm-5","members":["vm-5","vm-6","vm-7","vm-8"],"reason":"","routesHeld":0,
   "missing":["vm-7"]}]})";

constexpr const char* kTargets = R"({"targets":[
  {"target":"portal-1","process":"agent-portal-1","kind":"service","service":"booking-portal",
   "failureDomain":"spanish-town","fabricDomain":"","accelerators":0,"group":9,"reachable":true,
   "leaving":false,"loadedModel":"","heardMs":120},
  {"target":"vm-7","process":"agent-7","kind":"engine","service":"",
   "failureDomain":"half-way-tree","fabricDomain":"hwt-fabric-1","accelerators":8,"group":null,
   "reachable":false,"leaving":true,"loadedModel":"hire-assist 2026-11","heardMs":9900}]})";

constexpr const char* kRequest = R"({"request":"entry-1.7.42","workspace":"parish-roads",
  "entry":"booking-portal","process":"entry-1","outcome":"cut","reason":"member vm-7 is missing",
  "receivedAtMs":1796212790000,"endedAtMs":1796212791250,"status":502,"bytes":120,"attempts":[
  {"attempt":1,"group":21,"epoch":21,"target":"vm-5","result":"refused: gate closed",
   "startedAtMs":1796212790001,"endedAtMs":1796212790003},
  {"attempt":2,"group":17,"epoch":17,"target":"vm-1","result":"cut",
   "startedAtMs":1796212790004,"endedAtMs":1796212791250}]})";

constexpr const char* kHistory = R"({"changes":[
  {"changeId":"c3","operator":"ben","atMs":1796212795000,"version":91,"ok":false,
   "reason":"target vm-1 has revision 3, not 2","current":[]},
  {"changeId":"c2","operator":"ann","atMs":1796212790000,"version":90,"ok":true,"entries":[
   {"kind":"target","name":"vm-1","revision":3},
   {"kind":"target","name":"vm-9","revision":2,"deleted":true}]}]})";

constexpr const char* kConflict = R"({"changeId":"x","operator":"ann","atMs":1796212800000,
  "version":92,"ok":false,"reason":"target vm-1 has revision 3, not 2","current":[
  {"kind":"target","name":"vm-1","owner":"ops","class":"standard","revision":3,"version":90,
   "spec":{"draining":false}}]})";

constexpr const char* kTimeline = R"({"events":[
  {"number":405,"name":"GateClosed","hlcWall":1796212790000,"hlcLogical":3,"process":"agent-5",
   "fields":{"group":"21","epoch":"21","reason":"member vm-7 is missing"}},
  {"number":302,"name":"AttemptSent","hlcWall":1796212790000,"hlcLogical":1,"process":"entry-1",
   "fields":{"request":"entry-1.7.42","attempt":"1","group":"21"}}],
  "answered":["agent-5","entry-1"],"notReached":["agent-7"],"notAsked":0,"dropped":12,
  "truncated":false})";

constexpr const char* kDone = R"({"changeId":"c9","version":93,"ok":true,"entries":[
  {"kind":"target","name":"vm-1","revision":4,"deleted":true}]})";

constexpr const char* kNotFound = R"({"error":{"code":"not found","step":"read catalogue",
  "reason":"no model is named hire-asist"}})";

/// \brief Records command lines with their output and exit codes.
class Transcript
{
public:
  void Run(const std::vector<std::string>& arguments)
  {
    m_text += "$ gooseberrysail";
    for (const std::string& argument : arguments) {
      m_text += " " + argument;
    }
    const CliRunner::Outcome outcome = cli.Run(arguments);
    m_text += "\n" + outcome.out + outcome.err + "[exit " +
              std::to_string(static_cast<int>(outcome.code)) + "]\n\n";
  }

  void Run(const std::vector<std::string>& arguments, const char* answer, unsigned status = 200)
  {
    cli.Answer(status, answer);
    Run(arguments);
  }

  void Compare() const
  {
    if (std::getenv("GOOSEBERRYSAIL_WRITE_GOLDEN") != nullptr) {
      std::ofstream(kPath, std::ios::binary) << m_text;
      ADD_FAILURE() << "written, not compared: " << kPath;
      return;
    }
    std::ifstream file(kPath, std::ios::binary);
    ASSERT_TRUE(file.is_open()) << kPath;
    std::ostringstream expected;
    expected << file.rdbuf();
    EXPECT_EQ(m_text, expected.str());
  }

  CliRunner cli;

private:
  std::string m_text;
};

TEST(CliSession, InspectsAClusterAndDrainsATarget)
{
  Transcript session;
  session.Run({ "status" }, kStatus);
  session.Run({ "groups" }, kGroups);
  session.Run({ "targets" }, kTargets);
  session.Run({ "request", "show", "entry-1.7.42" }, kRequest);
  session.Run({ "timeline", "--since", "1m" }, kTimeline);
  session.Run({ "catalogue", "list" }, kCatalogue);
  session.Run({ "catalogue", "list", "target", "--json" }, kCatalogue);
  session.Run({ "catalogue", "get", "model", "hire-asist" }, kNotFound, 404);
  session.Run({ "catalogue", "get", "target", "vm-1" },
              R"({"kind":"target","name":"vm-1","owner":"ops","class":"standard",
                  "spec":{"draining":false},"revision":3,"version":90})");
  session.Run({ "catalogue", "history" }, kHistory);
  session.cli.files["drain.json"] = R"({"kind":"target","name":"vm-1","owner":"ben",
    "revision":2,"spec":{"draining":true}})";
  session.Run({ "catalogue", "apply", "drain.json", "--check" });
  session.Run({ "catalogue", "apply", "drain.json" }, kConflict, 409);
  session.Run({ "catalogue", "apply", "drain.json", "--json" }, kConflict, 409);
  session.Run({ "catalogue", "delete", "target", "vm-1", "--revision", "3" }, kDone);
  session.cli.files["bad.ini"] = "[process]\nrole = entrance\n";
  session.Run({ "settings", "check", "bad.ini" });
  session.Run({ "settings", "check", "bad.ini", "--json" });
  session.Run({ "help", "catalogue", "apply" });
  session.Run({ "stauts" });
  session.Compare();
}

} // namespace
} // namespace gooseberrysail::test
