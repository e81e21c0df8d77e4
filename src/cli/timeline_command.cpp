#include "cli/commands.hpp"
#include "gooseberrysail/observe/timeline_report.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

namespace gooseberrysail::impl {

namespace {

constexpr std::uint64_t kDefaultLimit = 1000;

/// \brief Parses an age such as "90s", "15m", "2h" or "1d" to milliseconds.
std::optional<WallMillis> ParseAge(std::string_view text)
{
  constexpr WallMillis kSecond = 1000;
  constexpr std::int64_t kMaxCount = 1'000'000'000;
  std::int64_t count = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), count);
  const bool oneUnit = parsed.ptr + 1 == text.data() + text.size();
  if (parsed.ec != std::errc() || !oneUnit || count < 0 || count > kMaxCount) {
    return std::nullopt;
  }
  switch (*parsed.ptr) {
    case 's':
      return count * kSecond;
    case 'm':
      return count * 60 * kSecond;
    case 'h':
      return count * 3600 * kSecond;
    case 'd':
      return count * 86'400 * kSecond;
    default:
      return std::nullopt;
  }
}

/// \brief Builds the path and query for the admin API; fails for a malformed age.
Result<std::string> TimelinePath(const CommandContext& context)
{
  const CommandLine& line = context.line;
  std::string path = "timeline?limit=" + std::to_string(line.limit.value_or(kDefaultLimit));
  if (!line.since.empty()) {
    const std::optional<WallMillis> age = ParseAge(line.since);
    if (!age) {
      return Error{ ErrorCode::kInvalid,
                    "read command line",
                    "",
                    "--since '" + line.since + "' is not an age such as 90s, 15m, 2h or 1d" };
    }
    const WallMillis since = std::max<WallMillis>(context.environment.wallMillis() - *age, 0);
    path += "&sinceHlc=" + std::to_string(since);
  }
  if (!line.request.empty()) {
    path += "&request=" + EncodeUrlPart(line.request);
  }
  if (!line.target.empty()) {
    path += "&target=" + EncodeUrlPart(line.target);
  }
  if (line.group) {
    path += "&group=" + std::to_string(*line.group);
  }
  return path;
}

ExitCode Write(CommandContext& context, const std::string& text)
{
  if (context.line.output.empty()) {
    context.environment.out << text;
    return ExitCode::kDone;
  }
  const Result<void> written = context.environment.writeFile(context.line.output, text);
  if (!written) {
    return Fail(context, ExitCode::kFailed, ToString(written.error()));
  }
  return ExitCode::kDone;
}

} // namespace

ExitCode RunTimeline(CommandContext& context)
{
  const std::string format = context.line.format.empty() ? "text" : context.line.format;
  if (format != "text" && format != "trace") {
    return Fail(context, ExitCode::kUsage, "--format '" + format + "' is neither text nor trace");
  }
  const Result<std::string> path = TimelinePath(context);
  if (!path) {
    return Fail(context, ExitCode::kUsage, ToString(path.error()));
  }
  const ReadResult answer = ReadAdmin(context, path.value());
  if (!answer) {
    return answer.error();
  }
  if (context.line.json) {
    PrintJson(context, answer.value());
    return ExitCode::kDone;
  }
  const Result<MergedTimeline> timeline = TimelineFromJson(answer.value(), "control");
  if (!timeline) {
    return Fail(context, ExitCode::kUnavailable, ToString(timeline.error()));
  }
  const bool trace = format == "trace";
  return Write(
    context, trace ? TimelineChromeTrace(timeline.value()) + "\n" : TimelineText(timeline.value()));
}

} // namespace gooseberrysail::impl
