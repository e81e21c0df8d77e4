#include "support/cli_runner.hpp"
#include "support/section.hpp"

#include <boost/json/parse.hpp>
#include <gmock/gmock.h>

namespace gooseberrysail::test {
namespace {

using ::testing::AllOf;
using ::testing::HasSubstr;
using ::testing::IsEmpty;
using ::testing::Not;

constexpr const char* kTargetFile = R"({"kind":"target","name":"vm-1","owner":"ops",
  "revision":3,"spec":{"draining":true}})";
constexpr const char* kCommitted = R"({"changeId":"x","version":90,"ok":true,"entries":[
  {"kind":"target","name":"vm-1","owner":"ops","class":"standard","revision":4,"version":90,
   "spec":{"draining":true}}]})";
constexpr const char* kNotLeading = R"({"error":{"code":"unavailable","step":"find control leader",
  "reason":"this control process does not lead; ask the leader"},
  "leader":{"process":"control-2","address":"10.0.0.2:7100"}})";

std::string ChangeIdOf(const CliRunner::Call& call)
{
  return std::string(boost::json::parse(call.body).at("changeId").as_string());
}

// Guards against a change that is applied twice, or reported as failed although it was applied:
// control commits the change, but the connection is lost before the answer arrives. Resent with a
// new id, it would be a different change.
TEST(CliChange, IsResentWithTheSameIdWhenTheAnswerIsLost)
{
  CliRunner cli;
  cli.files["drain.json"] = kTargetFile;
  cli.FailWith(AnswerLost());
  cli.Answer(504, R"({"error":{"code":"timeout","reason":"not known"}})");
  cli.Answer(200, kCommitted);
  const auto outcome = cli.Run({ "catalogue", "apply", "drain.json" });
  EXPECT_EQ(outcome.code, ExitCode::kDone) << outcome.err;
  ASSERT_EQ(cli.calls.size(), 3U);
  EXPECT_EQ(ChangeIdOf(cli.calls[1]), ChangeIdOf(cli.calls[0]));
  EXPECT_EQ(cli.calls[2].body, cli.calls[0].body);
  EXPECT_NE(cli.calls[1].address, cli.calls[0].address);
  EXPECT_EQ(cli.calls[0].authorization, "Bearer secret");
}

TEST(CliChange, ReportsWhetherItMayHaveTakenEffectAfterATimeout)
{
  SECTION("no call was sent: nothing was changed")
  {
    CliRunner cli;
    cli.files["drain.json"] = kTargetFile;
    const auto outcome = cli.Run({ "catalogue", "apply", "drain.json" });
    EXPECT_EQ(outcome.code, ExitCode::kUnavailable);
    EXPECT_THAT(outcome.err, HasSubstr("nothing was changed"));
  }
  SECTION("a call may have arrived: unknown, with the change id for a retry")
  {
    CliRunner cli;
    cli.files["drain.json"] = kTargetFile;
    cli.FailWith(AnswerLost());
    const auto outcome = cli.Run({ "catalogue", "apply", "drain.json" });
    EXPECT_EQ(outcome.code, ExitCode::kUnknown);
    EXPECT_THAT(outcome.err,
                AllOf(HasSubstr("--change-id " + ChangeIdOf(cli.calls[0])),
                      Not(HasSubstr("nothing was changed"))));
  }
}

// Guards against "nothing was changed" where an earlier run of the command, or an earlier call of
// this one, may have changed it.
TEST(CliChange, IsNotReportedAsWithoutEffectWhileAnEarlierCallMayTakeEffect)
{
  const auto expectUnknown = [](const CliRunner::Outcome& outcome) {
    EXPECT_EQ(outcome.code, ExitCode::kUnknown);
    EXPECT_THAT(outcome.err,
                AllOf(HasSubstr("--change-id"), Not(HasSubstr("nothing was changed"))));
  };
  constexpr const char* kCatalogue = R"({"version":90,"entries":[]})";
  SECTION("a repeated id, and the catalogue can't be read")
  {
    CliRunner cli;
    cli.files["drain.json"] = R"({"kind":"target","name":"vm-1","owner":"ops"})";
    expectUnknown(cli.Run({ "catalogue", "apply", "drain.json", "--change-id", "x" }));
  }
  SECTION("a repeated id, and the history can't be read")
  {
    CliRunner cli;
    cli.files["drain.json"] = kTargetFile;
    expectUnknown(cli.Run({ "catalogue", "apply", "drain.json", "--change-id", "x" }));
  }
  SECTION("a repeated id, and no call arrives")
  {
    CliRunner cli;
    cli.files["drain.json"] = R"({"kind":"target","name":"vm-1","owner":"ops"})";
    cli.Answer(200, kCatalogue);
    cli.Answer(200, R"({"changes":[]})");
    expectUnknown(cli.Run({ "catalogue", "apply", "drain.json", "--change-id", "x" }));
  }
  SECTION("the answer to a call is lost, and the next process denies the token")
  {
    CliRunner cli;
    cli.files["drain.json"] = kTargetFile;
    cli.FailWith(AnswerLost());
    cli.Answer(401, R"({"error":{"code":"denied","reason":"wrong bearer token"}})");
    expectUnknown(cli.Run({ "catalogue", "apply", "drain.json" }));
  }
  SECTION("the entry that a repeated removal names is gone")
  {
    CliRunner cli;
    cli.Answer(200, kCatalogue);
    cli.Answer(200,
               R"({"changes":[{"changeId":"x","version":90,"ok":true,"entries":[
                 {"kind":"target","name":"vm-1","revision":4,"deleted":true}]}]})");
    const auto outcome = cli.Run({ "catalogue", "delete", "target", "vm-1", "--change-id", "x" });
    EXPECT_EQ(outcome.code, ExitCode::kDone) << outcome.err;
    cli.Answer(200, kCatalogue);
    cli.Answer(200, R"({"changes":[]})");
    EXPECT_EQ(cli.Run({ "catalogue", "delete", "target", "vm-1", "--change-id", "x" }).code,
              ExitCode::kNotFound)
      << "no earlier call took effect";
  }
  SECTION("a refusal of the only call is final")
  {
    CliRunner cli;
    cli.files["drain.json"] = kTargetFile;
    cli.Answer(401, R"({"error":{"code":"denied","reason":"wrong bearer token"}})");
    EXPECT_EQ(cli.Run({ "catalogue", "apply", "drain.json" }).code, ExitCode::kDenied);
  }
}

// Guards against the error "change id was used before" when an operator repeats a command with
// --change-id: the first attempt took effect, so the entry has a new revision, and the second run
// would send a different body with the same id. The outcome must be read from the history instead.
TEST(CliChange, WithARepeatedIdReportsTheFirstAttempt)
{
  constexpr const char* kWithoutRevision = R"({"kind":"target","name":"vm-1","owner":"ops",
    "spec":{"draining":true}})";
  const std::string catalogue =
    R"({"version":90,"entries":[{"kind":"target","name":"vm-1","revision":4}]})";
  SECTION("it took effect")
  {
    CliRunner cli;
    cli.files["drain.json"] = kWithoutRevision;
    cli.Answer(200, catalogue);
    cli.Answer(200, std::string(R"({"changes":[)") + kCommitted + "]}");
    const auto outcome = cli.Run({ "catalogue", "apply", "drain.json", "--change-id", "x" });
    EXPECT_EQ(outcome.code, ExitCode::kDone) << outcome.err;
    EXPECT_THAT(outcome.out, HasSubstr("committed as version 90"));
    EXPECT_EQ(cli.calls.size(), 2U);
  }
  SECTION("it did not take effect: it is sent now")
  {
    CliRunner cli;
    cli.files["drain.json"] = kWithoutRevision;
    cli.Answer(200, catalogue);
    cli.Answer(200, R"({"changes":[]})");
    cli.Answer(200, kCommitted);
    const auto outcome = cli.Run({ "catalogue", "apply", "drain.json", "--change-id", "x" });
    EXPECT_EQ(outcome.code, ExitCode::kDone) << outcome.err;
    EXPECT_EQ(ChangeIdOf(cli.calls.back()), "x");
  }
  SECTION("the id belongs to another change")
  {
    CliRunner cli;
    cli.files["drain.json"] = R"({"kind":"target","name":"vm-2","owner":"ops"})";
    cli.Answer(200, catalogue);
    cli.Answer(200, std::string(R"({"changes":[)") + kCommitted + "]}");
    const auto outcome = cli.Run({ "catalogue", "apply", "drain.json", "--change-id", "x" });
    EXPECT_EQ(outcome.code, ExitCode::kConflict);
    EXPECT_THAT(outcome.err, HasSubstr("used before for another change"));
  }
}

TEST(CliChange, FollowsTheRedirectToTheLeader)
{
  CliRunner cli;
  cli.variables["GOOSEBERRYSAIL_CONTROL"] =
    "control-1=10.0.0.1:7180,control-3=10.0.0.3:7180,control-2=10.0.0.2:7180";
  cli.files["drain.json"] = kTargetFile;
  cli.Answer(421, kNotLeading);
  cli.Answer(200, kCommitted);
  EXPECT_EQ(cli.Run({ "catalogue", "apply", "drain.json" }).code, ExitCode::kDone);
  ASSERT_EQ(cli.calls.size(), 2U);
  EXPECT_EQ(cli.calls[1].address, "10.0.0.2:7180");
}

TEST(CliChange, WithAnInvalidEntryIsRejectedBeforeAnythingIsSent)
{
  CliRunner cli;
  cli.files["many.json"] = R"([
    {"kind":"target","name":"vm-1","owner":"ops"},
    {"kind":"model","name":"hire-assist","owner":"ops","spec":{"replicas":-1}},
    {"kind":"target","name":"vm-1","owner":"ops"},
    {"kind":"target","name":"vm-3","owner":"ops","revision":"3"}])";
  const auto outcome = cli.Run({ "catalogue", "apply", "many.json" });
  EXPECT_EQ(outcome.code, ExitCode::kInvalid);
  EXPECT_THAT(outcome.err,
              AllOf(HasSubstr("entry 2 (hire-assist): "),
                    HasSubstr("spec.replicas"),
                    HasSubstr("entry 3: duplicate target vm-1"),
                    HasSubstr("entry 4 (vm-3): revision is \"3\"")));
  EXPECT_THAT(cli.calls, IsEmpty());

  SECTION("malformed JSON is reported with its line")
  {
    cli.files["many.json"] = "[\n{\"kind\":\"target\"\n\"name\"}]";
    const auto malformed = cli.Run({ "catalogue", "apply", "many.json", "--check" });
    EXPECT_EQ(malformed.code, ExitCode::kInvalid);
    EXPECT_THAT(malformed.err, HasSubstr("many.json]: line 3: invalid JSON"));
  }
}

TEST(CliChange, SendsSeveralEntriesAsOneChangeWithTheRevisionsItRead)
{
  CliRunner cli;
  cli.files["two.json"] = R"({"entries":[
    {"kind":"target","name":"vm-1","owner":"ops"},
    {"kind":"target","name":"vm-2","owner":"ops"},
    {"kind":"target","name":"vm-3","owner":"ops","revision":7,"version":12}]})";
  cli.Answer(200, R"({"version":5,"entries":[{"kind":"target","name":"vm-1","revision":2}]})");
  cli.Answer(200, kCommitted);
  EXPECT_EQ(cli.Run({ "catalogue", "apply", "two.json" }).code, ExitCode::kDone);
  const auto body = boost::json::parse(cli.calls.back().body);
  const auto& writes = body.at("writes").as_array();
  ASSERT_EQ(writes.size(), 3U);
  EXPECT_EQ(writes[0].at("expectedRevision"), 2);
  EXPECT_EQ(writes[1].at("expectedRevision"), 0);
  EXPECT_EQ(writes[2].at("expectedRevision"), 7);
  EXPECT_FALSE(writes[2].at("entry").as_object().contains("version"));
  EXPECT_EQ(body.at("operator"), "ann");
}

TEST(CliLine, RejectsInvalidArguments)
{
  const std::vector<std::pair<std::vector<std::string>, std::string>> lines{
    { { "catalog", "list" }, "unknown command 'catalog list'" },
    { { "catalogue", "get", "model" }, "usage: gooseberrysail catalogue get KIND NAME" },
    { { "groups", "--request", "x" }, "--request does not apply to 'groups'" },
    { { "timeline", "--limit", "many" }, "--limit 'many' is not a whole number" },
    { { "timeline", "--since", "5x" }, "--since '5x' is not an age" },
    { { "timeline", "--format", "xml" }, "--format 'xml' is neither text nor trace" },
    { { "status", "--colour" }, "--colour" },
    { { "status", "--jso" }, "--jso" },
    { { "status", "--control", "localhost:7180" }, "neither ip:port nor name=ip:port" },
    { { "catalogue", "delete", "vm", "vm-1" }, "'vm' is not one of model, service" },
    { { "docs", "everything" }, "'everything' is not one of" },
  };
  for (const auto& [arguments, message] : lines) {
    SECTION(message)
    {
      CliRunner cli;
      const auto outcome = cli.Run(arguments);
      EXPECT_EQ(outcome.code, ExitCode::kUsage);
      EXPECT_THAT(outcome.err, HasSubstr(message));
      EXPECT_THAT(outcome.out, IsEmpty());
      EXPECT_THAT(cli.calls, IsEmpty());
    }
  }
}

TEST(CliLine, RejectsAMissingTokenAndOneWithLineBreaks)
{
  CliRunner cli;
  cli.variables.erase("GOOSEBERRYSAIL_TOKEN");
  EXPECT_EQ(cli.Run({ "status" }).code, ExitCode::kDenied);
  cli.files["token"] = "a\r\nX-Forged: 1";
  EXPECT_EQ(cli.Run({ "status", "--token-file", "token" }).code, ExitCode::kDenied);
  EXPECT_THAT(cli.calls, IsEmpty());
}

TEST(CliRead, ExitCodeDependsOnTheStatus)
{
  const std::vector<std::pair<unsigned, ExitCode>> statuses{
    { 401, ExitCode::kDenied },
    { 404, ExitCode::kNotFound },
    { 400, ExitCode::kInvalid },
    { 500, ExitCode::kUnavailable },
  };
  for (const auto& [status, code] : statuses) {
    SECTION(std::to_string(status))
    {
      CliRunner cli;
      cli.Answer(status, R"({"error":{"code":"x","step":"look up","reason":"because"}})");
      const auto outcome = cli.Run({ "request", "show", "entry-1.7.1" });
      EXPECT_EQ(outcome.code, code);
      EXPECT_THAT(outcome.err, HasSubstr("look up: because"));
      EXPECT_EQ(cli.calls.front().path, "/admin/v1/requests/entry-1.7.1");
    }
  }
}

TEST(CliTimeline, SendsItsFiltersAndWritesATraceFile)
{
  CliRunner cli;
  cli.Answer(200, R"({"events":[{"number":101,"hlcWall":1796212800000,"hlcLogical":2,
    "process":"entry-1","fields":{"inFlight":"3"}}],"answered":["entry-1"],"notReached":[],
    "notAsked":0,"dropped":0,"truncated":false})");
  const auto outcome = cli.Run({ "timeline",
                                 "--request",
                                 "entry-1.7.1",
                                 "--group",
                                 "12",
                                 "--target",
                                 "vm/1",
                                 "--since",
                                 "10m",
                                 "--format",
                                 "trace",
                                 "--output",
                                 "trace.json" });
  EXPECT_EQ(outcome.code, ExitCode::kDone) << outcome.err;
  EXPECT_EQ(cli.calls.front().path,
            "/admin/v1/timeline?limit=1000&sinceHlc=1796212200000&request=entry-1.7.1"
            "&target=vm%2F1&group=12");
  const auto trace = boost::json::parse(cli.files["trace.json"]);
  EXPECT_EQ(trace.at("traceEvents").as_array().size(), 2U);
}

} // namespace
} // namespace gooseberrysail::test
