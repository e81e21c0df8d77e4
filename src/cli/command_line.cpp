#include "cli/command_line.hpp"

#include "gooseberrysail/core/join.hpp"

#include <algorithm>
#include <array>
#include <boost/program_options/errors.hpp>
#include <boost/program_options/options_description.hpp>
#include <boost/program_options/parsers.hpp>
#include <boost/program_options/positional_options.hpp>
#include <boost/program_options/variables_map.hpp>
#include <charconv>

namespace gooseberrysail::impl {

namespace {

namespace po = boost::program_options;

using Words = std::vector<std::string>;

constexpr auto kOptions = std::to_array<OptionInfo>({
  { kJsonOption, "json", "", "Print JSON instead of a table." },
  { kControlOption,
    "control",
    "[NAME=]IP:PORT",
    "Admin address of a control process; repeat the option for each. With names, redirects to the "
    "leader are followed directly. Default: $GOOSEBERRYSAIL_CONTROL, separated by commas." },
  { kTokenFileOption,
    "token-file",
    "FILE",
    "File with the operators' bearer token. Default: $GOOSEBERRYSAIL_TOKEN." },
  { kTimeoutOption, "timeout", "SECONDS", "How long to retry before giving up. Default: 30." },
  { kOperatorOption,
    "operator",
    "NAME",
    "Name recorded with the change in the history. Default: $GOOSEBERRYSAIL_OPERATOR, then "
    "$USER." },
  { kChangeIdOption,
    "change-id",
    "ID",
    "Id of the change. Specify the id of an earlier attempt whose outcome is unknown: the change "
    "takes effect only once." },
  { kRevisionOption,
    "revision",
    "N",
    "Expected revision of the entry. Default: its current revision." },
  { kLimitOption, "limit", "N", "Maximum number of results; the latest are shown." },
  { kRequestOption, "request", "ID", "Only events of this request." },
  { kGroupOption, "group", "N", "Only events of this group." },
  { kTargetOption, "target", "VM", "Only events of this target VM and its agent." },
  { kSinceOption, "since", "AGE", "Only events of this last period, such as 90s, 15m, 2h or 1d." },
  { kFormatOption,
    "format",
    "text|trace",
    "Output format: text, or a trace file for chrome://tracing." },
  { kOutputOption, "output", "FILE", "Write to this file instead of standard output." },
  { kCheckOption, "check", "", "Only validate the file, without connecting to control." },
});

Error UsageError(std::string description)
{
  return { ErrorCode::kInvalid, "read command line", "", std::move(description) };
}

po::options_description DescribeOptions()
{
  po::options_description description;
  description.add_options()("help,h", "")("words", po::value<Words>());
  for (const OptionInfo& option : kOptions) {
    if (option.argument.empty()) {
      description.add_options()(std::string(option.name).c_str(), "");
    } else if (option.option == kControlOption) {
      description.add_options()(std::string(option.name).c_str(), po::value<Words>()->composing());
    } else {
      description.add_options()(std::string(option.name).c_str(), po::value<std::string>());
    }
  }
  return description;
}

std::size_t WordCount(std::string_view words)
{
  return words.empty() ? 0 : static_cast<std::size_t>(std::ranges::count(words, ' ')) + 1;
}

/// \brief The command whose words are the first of `words`.
const CommandInfo* FindCommand(std::span<const std::string> words)
{
  for (const CommandInfo& command : AllCommands()) {
    const std::size_t count = WordCount(command.words);
    if (words.size() >= count && Join(words.first(count), " ") == command.words) {
      return &command;
    }
  }
  return nullptr;
}

std::string TextOf(const po::variables_map& given, const char* name)
{
  return given.count(name) != 0 ? given[name].as<std::string>() : std::string();
}

Result<std::optional<std::uint64_t>> NumberOf(const po::variables_map& given, const char* name)
{
  if (given.count(name) == 0) {
    return std::optional<std::uint64_t>();
  }
  const std::string text = given[name].as<std::string>();
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end || text.empty()) {
    return UsageError("--" + std::string(name) + " '" + text + "' is not a whole number");
  }
  return std::optional(number);
}

Result<void> CheckOptions(const po::variables_map& given, const CommandInfo& command)
{
  for (const OptionInfo& option : kOptions) {
    if (given.count(std::string(option.name)) != 0 && (command.options & option.option) == 0) {
      return UsageError("--" + std::string(option.name) + " does not apply to '" +
                        std::string(command.words) + "'");
    }
  }
  return outcome::success();
}

Result<void> CheckArguments(const CommandLine& line)
{
  const CommandInfo& command = *line.command;
  const std::size_t count = line.arguments.size();
  if (count >= command.minArguments && count <= command.maxArguments) {
    return outcome::success();
  }
  return UsageError("usage: gooseberrysail " + std::string(command.words) +
                    (command.arguments.empty() ? "" : " ") + std::string(command.arguments));
}

Result<void> ReadOptions(const po::variables_map& given, CommandLine& line)
{
  line.json = given.count("json") != 0;
  line.check = given.count("check") != 0;
  if (given.count("control") != 0) {
    line.controls = given["control"].as<Words>();
  }
  line.tokenFile = TextOf(given, "token-file");
  line.operatorName = TextOf(given, "operator");
  line.changeId = TextOf(given, "change-id");
  line.request = TextOf(given, "request");
  line.target = TextOf(given, "target");
  line.format = TextOf(given, "format");
  line.output = TextOf(given, "output");
  line.since = TextOf(given, "since");
  BOOST_OUTCOME_TRY(line.timeoutSeconds, NumberOf(given, "timeout"));
  BOOST_OUTCOME_TRY(line.revision, NumberOf(given, "revision"));
  BOOST_OUTCOME_TRY(line.limit, NumberOf(given, "limit"));
  BOOST_OUTCOME_TRY(line.group, NumberOf(given, "group"));
  return outcome::success();
}

Result<po::variables_map> ParseOptions(std::span<const std::string> arguments)
{
  try {
    const po::options_description description = DescribeOptions();
    po::positional_options_description positional;
    positional.add("words", -1);
    // Abbreviated names could become ambiguous when an option is added, so they are rejected.
    constexpr int kStyle =
      po::command_line_style::unix_style & ~po::command_line_style::allow_guessing;
    po::variables_map given;
    po::store(po::command_line_parser({ arguments.begin(), arguments.end() })
                .options(description)
                .positional(positional)
                .style(kStyle)
                .run(),
              given);
    return given;
  } catch (const po::error& error) {
    return UsageError(error.what());
  }
}

} // namespace

std::span<const OptionInfo> AllOptions() noexcept
{
  return kOptions;
}

Result<CommandLine> ParseCommandLine(std::span<const std::string> arguments)
{
  BOOST_OUTCOME_TRY(const auto given, ParseOptions(arguments));
  CommandLine line;
  line.help = given.count("help") != 0;
  const Words words = given.count("words") != 0 ? given["words"].as<Words>() : Words();
  const bool helpRequested = !words.empty() && words.front() == "help";
  const std::span<const std::string> named = std::span(words).subspan(helpRequested ? 1 : 0);
  line.command = FindCommand(named);
  line.help = line.help || helpRequested;
  if (line.help || words.empty()) {
    line.help = true;
    return line;
  }
  if (line.command == nullptr) {
    return UsageError("unknown command '" + Join(words, " ") + "'");
  }
  line.arguments.assign(named.begin() + static_cast<std::ptrdiff_t>(WordCount(line.command->words)),
                        named.end());
  BOOST_OUTCOME_TRY(CheckOptions(given, *line.command));
  BOOST_OUTCOME_TRY(ReadOptions(given, line));
  BOOST_OUTCOME_TRY(CheckArguments(line));
  return line;
}

} // namespace gooseberrysail::impl
