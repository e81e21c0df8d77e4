#pragma once

#include "gooseberrysail/serving/request_fingerprint.hpp"

#include <cstddef>
#include <deque>
#include <unordered_set>

namespace gooseberrysail {

/// \brief The latest requests that a target finished through this entry.
class FinishedRequests
{
public:
  void Add(const RequestFingerprint& fingerprint)
  {
    if (!m_members.insert(fingerprint).second) {
      return;
    }
    m_order.push_back(fingerprint);
    if (m_order.size() > kCapacity) {
      m_members.erase(m_order.front());
      m_order.pop_front();
    }
  }

  [[nodiscard]] bool Contains(const RequestFingerprint& fingerprint) const
  {
    return m_members.contains(fingerprint);
  }

  static constexpr std::size_t kCapacity = 4096;

private:
  std::deque<RequestFingerprint> m_order; ///< Oldest first.
  std::unordered_set<RequestFingerprint> m_members;
};

} // namespace gooseberrysail
