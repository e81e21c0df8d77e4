#pragma once

#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/roles/inputs.hpp"
#include "gooseberrysail/serving/request_fingerprint.hpp"
#include "gooseberrysail/serving/target_table.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace gooseberrysail {

/// \brief Answers that ended with their connections: whole, or cut by a crash of their targets.
/// \remarks What the target does next tells: bytes that it sends later show that it goes on. The
/// connections of a process that crashes close within kSettleTime of one another, and it accepts
/// no others.
class UnconfirmedEnds
{
public:
  struct End
  {
    ExchangeId exchange; ///< Of the request.
    RequestFingerprint fingerprint;
    TimePoint at{};
    std::vector<RequestFingerprint> parts = {}; ///< Of the prompt, unless the answer proved them.
    TimePoint sentAt = {};
    bool isTrial = false;
  };

  void Add(const TargetIncarnation& target, const End& end);

  /// \brief Removes the ends that bytes which the target sent now show to be no crash.
  std::vector<End> TakeWhole(TimePoint now, const TargetIncarnation& target);

  /// \brief Removes the ends that a connection which the target closed now may explain.
  std::vector<End> TakeClosed(TimePoint now, const TargetIncarnation& target);

  /// \brief Removes all ends of a target that accepts no connections any more.
  std::vector<End> TakeAll(const TargetIncarnation& target);

  /// \brief Removes the ends about which nothing became known in kRetention.
  void RemoveExpired(TimePoint now);

  static constexpr Duration kSettleTime = std::chrono::milliseconds(50);
  static constexpr Duration kRetention = std::chrono::seconds(10);
  static constexpr std::size_t kMaxPerTarget = 256;

private:
  std::map<TargetIncarnation, std::vector<End>> m_ends; ///< Oldest first.
};

} // namespace gooseberrysail
