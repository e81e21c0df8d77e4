#include "cli/commands.hpp"

#include <array>

namespace gooseberrysail::impl {

namespace {

constexpr std::size_t kManyFiles = 1000;
constexpr OptionSet kAsk = kJsonOption | kControlOption | kTokenFileOption | kTimeoutOption;
constexpr OptionSet kChange = kAsk | kOperatorOption | kChangeIdOption;

constexpr auto kCommands = std::to_array<CommandInfo>({
  { "catalogue apply",
    "FILE",
    1,
    1,
    kChange | kCheckOption,
    "Writes all entries of a JSON file (one entry, a list, or {\"entries\":[...]}), or none of "
    "them. An entry with a revision is written only if it still has that revision; without one, if "
    "nobody else writes it meanwhile.",
    "catalogue apply examples/hire-authority/catalogue.json --operator ann",
    RunCatalogueApply },
  { "catalogue get",
    "KIND NAME",
    2,
    2,
    kAsk,
    "Shows an entry; with --json in the form that apply takes.",
    "catalogue get model hire-assist --json > hire-assist.json",
    RunCatalogueGet },
  { "catalogue list",
    "[KIND]",
    0,
    1,
    kAsk,
    "Lists the entries in force.",
    "catalogue list model",
    RunCatalogueList },
  { "catalogue history",
    "",
    0,
    0,
    kAsk | kLimitOption,
    "Lists the latest changes, refused ones too.",
    "catalogue history --limit 5",
    RunCatalogueHistory },
  { "catalogue delete",
    "KIND NAME",
    2,
    2,
    kChange | kRevisionOption,
    "Removes an entry.",
    "catalogue delete target vm-7 --operator ann",
    RunCatalogueDelete },
  { "status",
    "",
    0,
    0,
    kAsk,
    "Shows the leader, where each change is in force, and the processes.",
    "status --control 10.20.1.10:7180 --control 10.20.2.10:7180",
    RunStatus },
  { "groups", "", 0, 0, kAsk, "Lists the groups and their members.", "groups", RunGroups },
  { "targets",
    "",
    0,
    0,
    kAsk,
    "Lists the target VMs that announced themselves.",
    "targets --json",
    RunTargets },
  { "request show",
    "ID",
    1,
    1,
    kAsk,
    "Tells what became of a request: its outcome, the reason and every attempt.",
    "request show entry-1.1870000000.42",
    RunRequestShow },
  { "timeline",
    "",
    0,
    0,
    kAsk | kRequestOption | kGroupOption | kTargetOption | kSinceOption | kLimitOption |
      kFormatOption | kOutputOption,
    "Merges the events of all processes, causes before effects.",
    "timeline --since 10m --format trace --output trace.json",
    RunTimeline },
  { "settings check",
    "FILE...",
    1,
    kManyFiles,
    kJsonOption,
    "Checks daemons' settings files; needs no running system.",
    "settings check /etc/gooseberrysail/entry-1.ini",
    RunSettingsCheck },
  { "docs",
    "events|settings|metrics|tool",
    1,
    1,
    0,
    "Prints a page of the docs that is written from the code.",
    "docs events > docs/EVENTS.md",
    RunDocs },
  { "version", "", 0, 0, kJsonOption, "Prints the version.", "version", RunVersion },
});

} // namespace

std::span<const CommandInfo> AllCommands() noexcept
{
  return kCommands;
}

} // namespace gooseberrysail::impl
