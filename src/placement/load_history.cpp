#include "gooseberrysail/placement/load_history.hpp"

#include <utility>

namespace gooseberrysail {

void LoadHistory::Record(TimePoint now,
                         Duration window,
                         std::map<std::string, double, std::less<>> loads)
{
  std::erase_if(m_samples, [&](const LoadSample& sample) { return now - sample.at > window; });
  if (m_samples.empty() || now - m_samples.back().at >= kInterval) {
    m_samples.push_back({ now, std::move(loads) });
  }
}

} // namespace gooseberrysail
