#include "gooseberrysail/cli/tool_reference.hpp"

#include "cli/command_line.hpp"

namespace gooseberrysail {

namespace {

constexpr std::string_view kIntroduction =
  "# The tool\n"
  "\n"
  "`gooseberrysail` talks to the control processes; it needs their admin addresses and the\n"
  "operators' token:\n"
  "\n"
  "    export GOOSEBERRYSAIL_CONTROL=control-1=10.20.1.10:7180,control-2=10.20.2.10:7180\n"
  "    export GOOSEBERRYSAIL_TOKEN=$(cat ~/operators-token)\n"
  "    gooseberrysail status\n"
  "\n"
  "It asks one address after the other until the leader answers. A change carries an id; when its\n"
  "answer is lost, the tool sends it again with the same id, and control applies it once. When "
  "time\n"
  "runs out all the same, it prints the id and exits with 8: run the command again with\n"
  "`--change-id ID`, and it tells or completes the first try. On a conflict (5) it shows the "
  "entry\n"
  "in the catalogue beside yours, and nothing was changed.\n"
  "\n"
  "Tables are for people and may change; `--json` gives the admin API's answer on one line.\n"
  "\n"
  "| exit code | meaning |\n"
  "|---|---|\n"
  "| 0 | done |\n"
  "| 1 | the local machine refused, such as a file that can't be written |\n"
  "| 2 | the command line is wrong |\n"
  "| 3 | a file or entry has faults; nothing was changed |\n"
  "| 4 | no such entry or request |\n"
  "| 5 | conflict: someone else changed an entry first; nothing was changed |\n"
  "| 6 | the operators' token is missing or wrong |\n"
  "| 7 | no control process could answer; nothing was changed |\n"
  "| 8 | whether the change took effect is not known |\n"
  "\n"
  "This page is written by `gooseberrysail docs tool` from the table of commands.\n";

} // namespace

std::string ToolReference()
{
  std::string page(kIntroduction);
  for (const impl::CommandInfo& command : impl::AllCommands()) {
    page += "\n## " + std::string(command.words) + "\n\n```\n" + impl::HelpText(&command) + "```\n";
  }
  return page;
}

} // namespace gooseberrysail
