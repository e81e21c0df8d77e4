// The operators' command-line tool.

#include "gooseberrysail/cli/cli.hpp"
#include "gooseberrysail/cli/read_file.hpp"
#include "gooseberrysail/cli/write_file.hpp"
#include "gooseberrysail/http/http_client.hpp"
#include "gooseberrysail/net/fiber_runtime.hpp"
#include "gooseberrysail/shell/clock.hpp"

#include <cstdlib>
#include <iostream>
#include <random>
#include <string>
#include <vector>

namespace {

using namespace gooseberrysail;

std::string Variable(const char* name)
{
  const char* value = std::getenv(name);
  return value != nullptr ? value : "";
}

ExitCode Run(IoRuntime& runtime, const std::vector<std::string>& arguments)
{
  HttpClient client(runtime, {});
  std::random_device device;
  CliEnvironment environment{
    .out = std::cout,
    .err = std::cerr,
    .readFile = ReadWholeFile,
    .writeFile = WriteWholeFile,
    .variable = Variable,
    .random = [&device] { return (static_cast<std::uint64_t>(device()) << 32U) | device(); },
    .wallMillis = WallNow,
    .control = { .fetch = [&client](auto&&... call) { return client.Fetch(std::move(call)...); },
                 .sleep = [&runtime](Duration pause) { runtime.SleepFor(pause); },
                 .now = BootNow },
  };
  const ExitCode code = RunCli(arguments, environment);
  client.Close();
  std::cout.flush();
  // Reports a failed write to standard output, such as on a full disk or a closed pipe.
  return std::cout || code != ExitCode::kDone ? code : ExitCode::kFailed;
}

} // namespace

int main(int argc, char** argv)
{
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  IoRuntime runtime;
  ExitCode code = ExitCode::kFailed;
  runtime.Spawn([&] {
    code = Run(runtime, arguments);
    runtime.Stop();
  });
  runtime.Run();
  return static_cast<int>(code);
}
