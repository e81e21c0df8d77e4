#include "cli/commands.hpp"

#include <array>

namespace gooseberrysail::impl {

namespace {

constexpr std::size_t kMaxFiles = 1000;
constexpr OptionSet kReadOptions = kJsonOption | kControlOption | kTokenFileOption | kTimeoutOption;
constexpr OptionSet kChangeOptions = kReadOptions | kOperatorOption | kChangeIdOption;

constexpr auto kCommands = std::to_array<CommandInfo>({
  { "catalogue apply",
    "FILE",
    1,
    1,
    kChangeOptions | kCheckOption,
    "Writes all entries of a JSON file (one entry, a list, or {\"entries\":[...]}), or none of "
    "them. An entry with a revision is written only if that is still its current revision; an "
    "entry without one, only if it is not changed concurrently.",
    "catalogue apply examples/hire-authority/catalogue.json --operator ann",
    RunCatalogueApply },
  { "catalogue get",
    "KIND NAME",
    2,
    2,
    kReadOptions,
    "Shows an entry; with --json in the format that `catalogue apply` accepts.",
    "catalogue get model hire-assist --json > hire-assist.json",
    RunCatalogueGet },
  { "catalogue list",
    "[KIND]",
    0,
    1,
    kReadOptions,
    "Lists the entries in force.",
    "catalogue list model",
    RunCatalogueList },
  { "catalogue history",
    "",
    0,
    0,
    kReadOptions | kLimitOption,
    "Lists the latest changes, including refused ones.",
    "catalogue history --limit 5",
    RunCatalogueHistory },
  { "catalogue delete",
    "KIND NAME",
    2,
    2,
    kChangeOptions | kRevisionOption,
    "Removes an entry.",
    "catalogue delete target vm-7 --operator ann",
    RunCatalogueDelete },
  { "status",
    "",
    0,
    0,
    kReadOptions,
    "Shows the leader, the processes, and which changes are in force on all of them.",
    "status --control 10.20.1.10:7180 --control 10.20.2.10:7180",
    RunStatus },
  { "groups", "", 0, 0, kReadOptions, "Lists the groups and their members.", "groups", RunGroups },
  { "targets",
    "",
    0,
    0,
    kReadOptions,
    "Lists the target VMs that have announced themselves.",
    "targets --json",
    RunTargets },
  { "request show",
    "ID",
    1,
    1,
    kReadOptions,
    "Shows the outcome of a request, its reason and all attempts.",
    "request show entry-1.1870000000.42",
    RunRequestShow },
  { "timeline",
    "",
    0,
    0,
    kReadOptions | kRequestOption | kGroupOption | kTargetOption | kSinceOption | kLimitOption |
      kFormatOption | kOutputOption,
    "Shows the events of all processes in causal order.",
    "timeline --since 10m --format trace --output trace.json",
    RunTimeline },
  { "settings check",
    "FILE...",
    1,
    kMaxFiles,
    kJsonOption,
    "Validates settings files of daemons, without connecting to control.",
    "settings check /etc/gooseberrysail/entry-1.ini",
    RunSettingsCheck },
  { "docs",
    "events|settings|metrics|tool",
    1,
    1,
    0,
    "Prints a documentation page that is generated from the code.",
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
