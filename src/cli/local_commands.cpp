#include "cli/commands.hpp"
#include "gooseberrysail/cli/tool_reference.hpp"
#include "gooseberrysail/observe/event_reference.hpp"
#include "gooseberrysail/observe/metrics.hpp"
#include "gooseberrysail/settings/settings.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace gooseberrysail::impl {

namespace {

namespace json = boost::json;

void PrintFaults(CommandContext& context, const std::vector<SettingsFault>& faults)
{
  json::array list;
  for (const SettingsFault& fault : faults) {
    if (context.line.json) {
      list.push_back(json::object{ { "file", fault.file },
                                   { "line", fault.line },
                                   { "key", fault.key },
                                   { "description", fault.description } });
    } else {
      context.environment.err << fault << "\n";
    }
  }
  if (context.line.json) {
    PrintJson(context, json::object{ { "faults", std::move(list) } });
  }
}

} // namespace

ExitCode RunSettingsCheck(CommandContext& context)
{
  std::vector<SettingsFault> faults;
  for (const std::string& path : context.line.arguments) {
    const SettingsResult settings = LoadSettings(path, context.environment.readFile);
    if (!settings) {
      faults.insert(faults.end(), settings.error().begin(), settings.error().end());
    } else if (!context.line.json) {
      context.environment.out << path << ": " << ToString(settings.value().role) << " "
                              << settings.value().process << ", no errors\n";
    }
  }
  if (!faults.empty() || context.line.json) {
    PrintFaults(context, faults);
  }
  return faults.empty() ? ExitCode::kDone : ExitCode::kInvalid;
}

ExitCode RunDocs(CommandContext& context)
{
  const std::string& page = context.line.arguments.front();
  if (page == "events") {
    context.environment.out << EventsReference();
  } else if (page == "settings") {
    context.environment.out << SettingsReference();
  } else if (page == "metrics") {
    context.environment.out << MetricsReference();
  } else if (page == "tool") {
    context.environment.out << ToolReference();
  } else {
    return Fail(
      context, ExitCode::kUsage, "'" + page + "' is not one of events, settings, metrics, tool");
  }
  return ExitCode::kDone;
}

ExitCode RunVersion(CommandContext& context)
{
  if (context.line.json) {
    PrintJson(context, json::object{ { "version", GOOSEBERRYSAIL_VERSION } });
  } else {
    context.environment.out << "gooseberrysail " << GOOSEBERRYSAIL_VERSION << "\n";
  }
  return ExitCode::kDone;
}

} // namespace gooseberrysail::impl
