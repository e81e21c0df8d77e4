#include "gooseberrysail/gateway/unconfirmed_ends.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrysail {

void UnconfirmedEnds::Add(const TargetIncarnation& target, const End& end)
{
  std::vector<End>& ends = m_ends[target];
  if (ends.size() >= kMaxPerTarget) {
    ends.erase(ends.begin());
  }
  ends.push_back(end);
}

std::vector<UnconfirmedEnds::End> UnconfirmedEnds::TakeWhole(TimePoint now,
                                                             const TargetIncarnation& target)
{
  const auto found = m_ends.find(target);
  if (found == m_ends.end()) {
    return {};
  }
  // Packets of different connections may overtake one another.
  std::vector<End>& ends = found->second;
  const auto recent =
    std::ranges::find_if(ends, [&](const End& end) { return now - end.at < kSettleTime; });
  std::vector<End> whole(ends.begin(), recent);
  ends.erase(ends.begin(), recent);
  if (ends.empty()) {
    m_ends.erase(found);
  }
  return whole;
}

std::vector<UnconfirmedEnds::End> UnconfirmedEnds::TakeClosed(TimePoint now,
                                                              const TargetIncarnation& target)
{
  // A target may close one connection and go on, so older ends stay as they are.
  std::vector<End> ends = TakeAll(target);
  const auto recent =
    std::ranges::find_if(ends, [&](const End& end) { return now - end.at < kSettleTime; });
  if (recent != ends.begin()) {
    m_ends[target].assign(ends.begin(), recent);
  }
  return { recent, ends.end() };
}

std::vector<UnconfirmedEnds::End> UnconfirmedEnds::TakeAll(const TargetIncarnation& target)
{
  const auto found = m_ends.find(target);
  if (found == m_ends.end()) {
    return {};
  }
  std::vector<End> ends = std::move(found->second);
  m_ends.erase(found);
  return ends;
}

void UnconfirmedEnds::RemoveExpired(TimePoint now)
{
  for (auto& [target, ends] : m_ends) {
    std::erase_if(ends, [&](const End& end) { return now - end.at >= kRetention; });
  }
  std::erase_if(m_ends, [](const auto& row) { return row.second.empty(); });
}

} // namespace gooseberrysail
