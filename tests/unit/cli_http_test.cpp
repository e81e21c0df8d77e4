#include "fakes/fake_control.hpp"
#include "gooseberrysail/cli/cli.hpp"
#include "gooseberrysail/http/http_client.hpp"
#include "gooseberrysail/net/fiber_runtime.hpp"
#include "gooseberrysail/shell/clock.hpp"

#include <gmock/gmock.h>
#include <sstream>

namespace gooseberrysail::test {
namespace {

using ::testing::HasSubstr;

constexpr const char* kEntry = R"({"kind":"target","name":"vm-1","owner":"ops"})";

ExitCode Apply(IoRuntime& runtime, const std::string& control, std::ostream& out, std::ostream& err)
{
  HttpClient client(runtime, {});
  CliEnvironment environment{
    .out = out,
    .err = err,
    .readFile = [](const std::string&) -> Result<std::string> { return std::string(kEntry); },
    .writeFile = {},
    .variable = [](const char*) { return std::string("token"); },
    .random = [] { return std::uint64_t{ 7 }; },
    .wallMillis = WallNow,
    .control = { .fetch =
                   [&client](std::string_view address,
                             std::string_view method,
                             std::string_view path,
                             std::vector<HttpHeader> headers,
                             std::string body,
                             Duration timeout) {
                     return client.Fetch(
                       address, method, path, std::move(headers), std::move(body), timeout);
                   },
                 .sleep = [&runtime](Duration pause) { runtime.SleepFor(pause); },
                 .now = BootNow },
  };
  const std::vector<std::string> arguments{ "catalogue", "apply", "e.json", "--control", control };
  const ExitCode code = RunCli(arguments, environment);
  client.Close();
  return code;
}

// Guards against a change that is committed twice because its answers are lost and each attempt
// counts as a new change. Uses real sockets: the connection is closed after the change took effect
// and before the first byte of the answer.
TEST(CliHttp, ChangeWhoseAnswersAreLostTakesEffectOnce)
{
  IoRuntime runtime;
  FakeControl control(runtime);
  control.answersToLose = 2;
  std::ostringstream out;
  std::ostringstream err;
  ExitCode code = ExitCode::kFailed;
  runtime.Spawn([&] {
    const Result<void> started = control.Start();
    if (started) {
      code = Apply(runtime, control.Address(), out, err);
      control.Close();
    }
    runtime.Stop();
  });
  runtime.Run();
  EXPECT_EQ(code, ExitCode::kDone) << err.str();
  EXPECT_EQ(control.postedChangeIds.size(), 3U);
  EXPECT_EQ(control.versionsByChangeId.size(), 1U);
  EXPECT_THAT(out.str(), HasSubstr("committed as version 100"));
}

} // namespace
} // namespace gooseberrysail::test
