#include "http/connection_ends.hpp"

#include "gooseberrysail/observe/event.hpp"
#include "gooseberrysail/shell/clock.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string_view>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace gooseberrysail {

namespace {

/// Events of one cause in each interval.
constexpr std::size_t kEventsPerInterval = 3;
constexpr Duration kEventInterval = std::chrono::seconds(1);

constexpr std::array<std::array<std::string_view, 2>, kHttpEndCauses> kCauseNames{ {
  { "unread-new", "unread-kept" },
  { "idle-new", "idle-kept" },
  { "connection-limit-new", "connection-limit-kept" },
  { "descriptor-limit-new", "descriptor-limit-kept" },
  { "stop-new", "stop-kept" },
  { "caller-gone-new", "caller-gone-kept" },
  { "incomplete-new", "incomplete-kept" },
  { "read-ahead-new", "read-ahead-kept" },
  { "behind-last-new", "behind-last-kept" },
} };

std::size_t WaitingBytes(int descriptor)
{
  int size = 0;
  const bool isKnown = descriptor >= 0 && ::ioctl(descriptor, FIONREAD, &size) == 0;
  return isKnown ? static_cast<std::size_t>(size) : 0;
}

// Of a connection that received nothing, the time since it was established.
std::string MillisSinceReceived(int descriptor)
{
  tcp_info info{};
  socklen_t size = sizeof(info);
  const bool isKnown =
    descriptor >= 0 && ::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
  return isKnown ? std::to_string(info.tcpi_last_data_recv) : "unknown";
}

} // namespace

std::string_view ToString(HttpEndCause cause, bool isKept) noexcept
{
  return kCauseNames.at(static_cast<std::size_t>(cause)).at(isKept ? 1 : 0);
}

namespace impl {

ConnectionEnds::ConnectionEnds(const IoRuntime& runtime, HttpServerCounters& counters)
  : m_runtime(runtime)
  , m_counters(counters)
{
}

bool ConnectionEnds::Take(Budget& budget, TimePoint now)
{
  if (now - budget.since >= kEventInterval) {
    budget.since = now;
    budget.made = 0;
  }
  if (budget.made >= kEventsPerInterval) {
    ++budget.leftOut;
    return false;
  }
  ++budget.made;
  return true;
}

std::optional<EventOut> ConnectionEnds::Note(const ConnectionEnd& end,
                                             bool isStopping,
                                             const std::function<std::string()>& peer)
{
  const bool isKept = end.served > 0;
  const auto cause = static_cast<std::size_t>(end.cause);
  HttpEndCount& count = m_counters.ended.at(cause);
  ++(isKept ? count.kept : count.fresh);
  Budget& budget = m_budgets.at(cause).at(isKept ? 1 : 0);
  const TimePoint now = BootNow();
  if (!Take(budget, now)) {
    return std::nullopt;
  }
  const LoopTimes& times = m_runtime.Times();
  return MakeEvent(
    EventNumber::kHttpConnectionEnded,
    { { "peer", peer() },
      { "cause", std::string(ToString(end.cause, isKept)) },
      { "served", std::to_string(end.served) },
      { "waitingBytes", std::to_string(WaitingBytes(end.descriptor)) },
      { "readAheadBytes", std::to_string(end.readAheadBytes) },
      { "kernelMillis", MillisSinceReceived(end.descriptor) },
      { "loopMillis",
        end.inputAt == TimePoint{} ? "unknown" : std::to_string(ToMillis(now - end.inputAt)) },
      { "stopping", isStopping ? "yes" : "no" },
      { "sincePollMillis", std::to_string(ToMillis(now - times.polledAt)) },
      { "roundMillis", std::to_string(ToMillis(times.latestRound)) },
      { "roundCpuMillis", std::to_string(ToMillis(times.latestRoundCpu)) },
      { "leftOut", std::to_string(std::exchange(budget.leftOut, 0)) } });
}

std::optional<EventOut> ConnectionEnds::MakeTotals() const
{
  std::string text;
  const auto add = [&](std::size_t cause, bool isKept, std::uint64_t count) {
    if (count != 0) {
      text += text.empty() ? "" : ",";
      text += ToString(static_cast<HttpEndCause>(cause), isKept);
      text += ":" + std::to_string(count);
    }
  };
  for (std::size_t cause = 0; cause < kHttpEndCauses; ++cause) {
    add(cause, false, m_counters.ended.at(cause).fresh);
    add(cause, true, m_counters.ended.at(cause).kept);
  }
  if (text.empty()) {
    return std::nullopt;
  }
  return MakeEvent(EventNumber::kHttpConnectionEnds, { { "causes", text } });
}

} // namespace impl

} // namespace gooseberrysail
