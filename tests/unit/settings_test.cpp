#include "gooseberrysail/settings/settings.hpp"
#include "support/section.hpp"

#include <gmock/gmock.h>
#include <map>

namespace gooseberrysail {
namespace {

using ::testing::ElementsAre;
using ::testing::HasSubstr;
using ::testing::IsEmpty;

constexpr std::string_view kAgent = R"([process]
role = agent
name = agent-1
failureDomain = half-way-tree
listen = 127.0.0.1:7301
httpListen = 127.0.0.1:7401
[cluster]
keyFile = cluster.key
control = control-1=127.0.0.1:7101
control = control-2=127.0.0.1:7102
[agent]
vm = vm-1
fabricDomain = fabric-1
accelerators = 8
targetAddress = 127.0.0.1:8001 # the engine
)";

using Files = std::map<std::string, std::string>;

SettingsResult Load(Files files, const std::string& path = "site/agent-1.ini")
{
  return LoadSettings(path, [&files](const std::string& name) -> Result<std::string> {
    const auto found = files.find(name);
    if (found == files.end()) {
      return Error{ ErrorCode::kIo, "open file", name, "No such file or directory" };
    }
    return found->second;
  });
}

SettingsResult LoadText(std::string text)
{
  return Load({ { "site/agent-1.ini", std::move(text) },
                { "site/cluster.key", std::string(32, 'k') + "\n" } });
}

std::vector<std::string> Faults(const SettingsResult& result)
{
  std::vector<std::string> texts;
  if (!result) {
    for (const SettingsFault& fault : result.error()) {
      texts.push_back(ToString(fault));
    }
  }
  return texts;
}

std::string Replace(std::string_view from, std::string_view to)
{
  std::string text(kAgent);
  const auto at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

TEST(Settings, AreReadWithDefaultsAndTheKeyFile)
{
  const SettingsResult result = LoadText(std::string(kAgent));
  ASSERT_THAT(Faults(result), IsEmpty());
  const ProcessSettings& settings = result.value();
  EXPECT_EQ(settings.role, ProcessRole::kAgent);
  EXPECT_EQ(settings.process, ProcessId("agent-1"));
  EXPECT_EQ(settings.clusterKey, std::string(32, 'k'));
  ASSERT_EQ(settings.controls.size(), 2U);
  EXPECT_EQ(settings.controls[1].process, ProcessId("control-2"));
  EXPECT_EQ(settings.controls[1].address, "127.0.0.1:7102");
  EXPECT_EQ(settings.agent.accelerators, 8U);
  EXPECT_EQ(settings.agent.address, "127.0.0.1:8001");
  EXPECT_EQ(settings.peers.silenceTimeout, std::chrono::milliseconds(3000));
  EXPECT_EQ(settings.limits.maxBodyBytes, 1048576U);
}

// A deployment whose bounds are fractions must start.
TEST(Settings, TakeDecimalNumbersWhereAPublishedBoundMayBeAFraction)
{
  const auto entry = [](const std::string& slack) {
    return LoadText(R"([process]
role = entry
name = entry-1
failureDomain = half-way-tree
listen = 127.0.0.1:7301
httpListen = 127.0.0.1:7401
[cluster]
keyFile = cluster.key
control = control-1=127.0.0.1:7101
[retries]
window = 9.5
[targets]
drainTime = 2500.25
[retries]
slack = )" + slack + "\n");
  };
  const SettingsResult result = entry("48.529411764705884");
  ASSERT_THAT(Faults(result), IsEmpty());
  EXPECT_DOUBLE_EQ(result.value().retries.slack, 48.529411764705884);
  EXPECT_EQ(result.value().retries.window, std::chrono::milliseconds(9500));
  EXPECT_EQ(result.value().targetDrainTime, std::chrono::microseconds(2'500'250));

  SECTION("anything but a number within the range is rejected")
  {
    for (const char* text : { "nan", "inf", "-1", "1000000.5", "1e9", "4,5", "48.5x" }) {
      EXPECT_THAT(Faults(entry(text)),
                  ElementsAre(HasSubstr(std::string("retries.slack: value '") + text +
                                        "' is not 0 to 1000000 attempts")));
    }
  }
}

TEST(Settings, TakeDecimalNumbersForBoundsAtControl)
{
  const SettingsResult result = LoadText(R"([process]
role = control
name = control-1
failureDomain = half-way-tree
listen = 127.0.0.1:7301
httpListen = 127.0.0.1:7401
[cluster]
keyFile = cluster.key
control = control-1=127.0.0.1:7101
[control]
dataFolder = data
operatorTokenHash = 0000000000000000000000000000000000000000000000000000000000000000
standstill = 4999.5
targetHeartbeat = 1200.5
)");
  ASSERT_THAT(Faults(result), IsEmpty());
  EXPECT_EQ(result.value().control.standstill, std::chrono::microseconds(4'999'500));
  EXPECT_EQ(result.value().control.targetHeartbeat, std::chrono::microseconds(1'200'500));
}

TEST(Settings, ReportAllErrorsWithFileLineKeyAndRange)
{
  const SettingsResult result = LoadText(R"([process]
role = agent
name = agent one
listen = 127.0.0.1
httpListen = 127.0.0.1:7401
failureDomain = half-way-tree
name = agent-2
[peers]
heartbeatInterval = fast
silenceTimeout = 100
[process]
logLevel = info
just some words
[cluster]
key = too short
[control]
dataFolder = data
)");
  EXPECT_THAT(
    Faults(result),
    ElementsAre(
      "site/agent-1.ini: agent.vm: is missing; expected a name of 1 to 64 letters, digits, '.', "
      "'_' or "
      "'-'",
      "site/agent-1.ini: agent.targetAddress: is missing; expected an address ip:port, port 1 to "
      "65535",
      "site/agent-1.ini: cluster.control: is missing; specify cluster.control or cluster.seeds",
      "site/agent-1.ini: agent.fabricDomain: is missing; required for agent.targetKind = engine",
      "site/agent-1.ini:3: process.name: value 'agent one' is not a name of 1 to 64 letters, "
      "digits, '.', '_' or '-'",
      "site/agent-1.ini:4: process.listen: value '127.0.0.1' is not an address ip:port, port 0 to "
      "65535 (0: any free port)",
      "site/agent-1.ini:7: process.name: duplicate key, first given in line 3",
      "site/agent-1.ini:9: peers.heartbeatInterval: value 'fast' is not 20 to 60000 milliseconds",
      "site/agent-1.ini:10: peers.silenceTimeout: must be at least twice peers.heartbeatInterval",
      "site/agent-1.ini:12: process.logLevel: unknown key; did you mean observe.logLevel?",
      "site/agent-1.ini:13: expected [section] or key = value: 'just some words'",
      "site/agent-1.ini:15: cluster.key: value is not at least 32 bytes",
      "site/agent-1.ini:17: control.dataFolder: does not apply to role agent"));
}

TEST(Settings, RejectInvalidCombinations)
{
  SECTION("a control process that is not in the list of control processes")
  {
    const SettingsResult result = LoadText(R"([process]
role = control
name = control-3
failureDomain = a
listen = 127.0.0.1:0
httpListen = 127.0.0.1:0
[cluster]
keyFile = cluster.key
control = control-1=127.0.0.1:7101
control = control-1=127.0.0.1:7102
[control]
dataFolder = data
operatorTokenHash = 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef
)");
    EXPECT_THAT(
      Faults(result),
      ElementsAre(
        HasSubstr("has no entry for this process, control-3"),
        HasSubstr("agent-1.ini:10: cluster.control: duplicate name of a control process")));
  }
  SECTION("an engine with a service's name")
  {
    const auto faults = Faults(LoadText(Replace("accelerators = 8", "service = booking-portal")));
    EXPECT_THAT(faults, ElementsAre(HasSubstr("does not apply to agent.targetKind = engine")));
  }
  SECTION("a service without its name")
  {
    const auto faults = Faults(LoadText(Replace("accelerators = 8", "targetKind = service")));
    EXPECT_THAT(faults, ElementsAre(HasSubstr("required for agent.targetKind = service")));
  }
}

TEST(Settings, ReportFilesThatCannotBeRead)
{
  SECTION("no settings file")
  {
    EXPECT_THAT(Faults(Load({})), ElementsAre(HasSubstr("No such file or directory")));
  }
  SECTION("no key file")
  {
    EXPECT_THAT(Faults(Load({ { "site/agent-1.ini", std::string(kAgent) } })),
                ElementsAre(HasSubstr("agent-1.ini:8: cluster.keyFile: open file "
                                      "[site/cluster.key]: No such file or directory")));
  }
  SECTION("a key that is too short: its value is not printed")
  {
    const auto faults =
      Faults(Load({ { "site/agent-1.ini", std::string(kAgent) }, { "site/cluster.key", "hush" } }));
    ASSERT_THAT(faults, ElementsAre(HasSubstr("is not at least 32 bytes")));
    EXPECT_THAT(faults.front(), ::testing::Not(HasSubstr("hush")));
  }
}

} // namespace
} // namespace gooseberrysail
