#include "gooseberrysail/gateway/answer_times.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrysail {

void AnswerTimes::Add(const std::string& route, Duration time)
{
  Route& row = m_routes[route];
  if (row.times.size() < kAnswers) {
    row.times.push_back(time);
    return;
  }
  row.times[row.next] = time;
  row.next = (row.next + 1) % kAnswers;
}

std::optional<Duration> AnswerTimes::Within(const std::string& route, double share) const
{
  const auto found = m_routes.find(route);
  if (found == m_routes.end()) {
    return std::nullopt;
  }
  std::vector<Duration> times = found->second.times;
  const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(times.size())));
  const auto wanted =
    times.begin() + static_cast<std::ptrdiff_t>(std::clamp<std::size_t>(rank, 1, times.size())) - 1;
  std::ranges::nth_element(times, wanted);
  return *wanted;
}

void AnswerTimes::KeepOnly(const std::function<bool(const std::string& route)>& isKept)
{
  std::erase_if(m_routes, [&](const auto& row) { return !isKept(row.first); });
}

} // namespace gooseberrysail
