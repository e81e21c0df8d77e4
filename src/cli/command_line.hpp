#pragma once

#include "gooseberrysail/cli/cli.hpp"
#include "gooseberrysail/core/result.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrysail::impl {

/// \brief A set of options, one bit each.
using OptionSet = unsigned;

enum Option : OptionSet
{
  kJsonOption = 1U << 0U,
  kControlOption = 1U << 1U,
  kTokenFileOption = 1U << 2U,
  kTimeoutOption = 1U << 3U,
  kOperatorOption = 1U << 4U,
  kChangeIdOption = 1U << 5U,
  kRevisionOption = 1U << 6U,
  kLimitOption = 1U << 7U,
  kRequestOption = 1U << 8U,
  kGroupOption = 1U << 9U,
  kTargetOption = 1U << 10U,
  kSinceOption = 1U << 11U,
  kFormatOption = 1U << 12U,
  kOutputOption = 1U << 13U,
  kCheckOption = 1U << 14U,
};

struct CommandLine;

/// \brief The inputs of a command.
struct CommandContext
{
  const CommandLine& line;
  CliEnvironment& environment;
};

/// \brief One command; the source of its help, its argument checks and docs/operators/tool.md.
struct CommandInfo
{
  std::string_view words;     ///< Such as "catalogue apply".
  std::string_view arguments; ///< Such as "FILE", for the usage line.
  std::size_t minArguments;
  std::size_t maxArguments;
  OptionSet options;
  std::string_view summary;
  std::string_view example; ///< Without the program's name.
  ExitCode (*run)(CommandContext& context);
};

[[nodiscard]] std::span<const CommandInfo> AllCommands() noexcept;

struct OptionInfo
{
  Option option;
  std::string_view name;
  std::string_view argument; ///< "" for a flag without a value.
  std::string_view help;
};

[[nodiscard]] std::span<const OptionInfo> AllOptions() noexcept;

/// \brief A parsed and validated command line.
struct CommandLine
{
  const CommandInfo* command = nullptr;
  std::vector<std::string> arguments; ///< Positional arguments after the command's words.
  bool help = false;
  bool json = false;
  bool check = false;
  std::vector<std::string> controls;
  std::string tokenFile;
  std::string operatorName;
  std::string changeId;
  std::string request;
  std::string target;
  std::string format;
  std::string output;
  std::optional<std::uint64_t> timeoutSeconds;
  std::optional<std::uint64_t> revision;
  std::optional<std::uint64_t> limit;
  std::optional<std::uint64_t> group;
  std::string since;
};

/// \returns An error that describes the first fault of the command line.
[[nodiscard]] Result<CommandLine> ParseCommandLine(std::span<const std::string> arguments);

/// \brief Help for the given command, or for all commands if it is null.
[[nodiscard]] std::string HelpText(const CommandInfo* command);

} // namespace gooseberrysail::impl
