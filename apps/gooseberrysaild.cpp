// The daemon: runs one process in the role given in its settings.

#include "gooseberrysail/cli/read_file.hpp"
#include "gooseberrysail/settings/settings.hpp"
#include "gooseberrysail/shell/daemon.hpp"
#include "platform/control_adapter.hpp"
#include "platform/gateway_adapter.hpp"

#include <boost/program_options.hpp>
#include <iostream>
#include <malloc.h>
#include <string>

namespace {

using gooseberrysail::DaemonExit;

/// Buffers from this size on are returned to the system when they are freed.
constexpr int kReturnedBufferBytes = 1024 * 1024;

int ToExitStatus(DaemonExit result)
{
  return static_cast<int>(result);
}

/// Runs a role that serves the interface of the users' platform.
DaemonExit RunPlatformRole(const gooseberrysail::ProcessSettings& settings)
{
  namespace platform = gooseberrysail::platform;
  if (settings.role == gooseberrysail::ProcessRole::kEntry) {
    return gooseberrysail::RunGateway(settings,
                                      { platform::MakeGatewayApi(), platform::AnswerReadiness });
  }
  return gooseberrysail::RunControl(settings, platform::MakeOutsideApi(settings.httpListen));
}

DaemonExit RunRole(const gooseberrysail::ProcessSettings& settings)
{
  if (settings.externalInterface == gooseberrysail::ExternalInterface::kPlatform) {
    return RunPlatformRole(settings);
  }
  switch (settings.role) {
    case gooseberrysail::ProcessRole::kEntry:
      return gooseberrysail::RunEntry(settings);
    case gooseberrysail::ProcessRole::kAgent:
      return gooseberrysail::RunAgent(settings);
    case gooseberrysail::ProcessRole::kControl:
      return gooseberrysail::RunControl(settings);
  }
  return DaemonExit::kSettings;
}

DaemonExit RunFile(const std::string& path)
{
  const auto settings = gooseberrysail::LoadSettings(path, gooseberrysail::ReadWholeFile);
  if (!settings) {
    for (const auto& fault : settings.error()) {
      std::cerr << fault << '\n';
    }
    return DaemonExit::kSettings;
  }
  return RunRole(settings.value());
}

} // namespace

int main(int count, char** arguments)
{
  gooseberrysail::PrepareSignals();
  // By default the C library raises this size once such a buffer was freed, and keeps the next
  // ones.
  mallopt(M_MMAP_THRESHOLD, kReturnedBufferBytes);
  namespace options = boost::program_options;
  options::options_description description("gooseberrysaild --settings FILE");
  description.add_options()(
    "settings", options::value<std::string>(), "path of the INI file with the settings")(
    "help", "print this help")("version", "print the version");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(count, arguments, description), values);
  } catch (const options::error& error) {
    std::cerr << "gooseberrysaild: " << error.what() << '\n' << description;
    return ToExitStatus(DaemonExit::kSettings);
  }
  if (values.contains("version")) {
    std::cout << "gooseberrysaild " << GOOSEBERRYSAIL_VERSION << '\n';
    return 0;
  }
  if (values.contains("help") || !values.contains("settings")) {
    std::cout << description;
    return values.contains("help") ? 0 : ToExitStatus(DaemonExit::kSettings);
  }
  return ToExitStatus(RunFile(values["settings"].as<std::string>()));
}
