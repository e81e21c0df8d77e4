#pragma once

#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/serving/request_fingerprint.hpp"
#include "gooseberrysail/serving/target_table.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <vector>
#include <wire_generated.h>

namespace gooseberrysail {

/// \brief Requests that were in flight at targets when these crashed. One that was in flight at
/// kQuarantineAfter of them, and finished at none, is quarantined: it gets no further target.
/// \remarks Entries and control each hold such a table and merge the others' rows. Merging is
/// commutative and idempotent, so rows may arrive late, repeatedly and in any order.
/// \code
/// if (suspects.RecordCrash(now, fingerprint, target) && suspects.IsQuarantined(fingerprint)) ...
/// \endcode
class CrashSuspects
{
public:
  struct Row
  {
    std::set<TargetIncarnation> crashed; ///< Targets at which it was in flight.
    bool isCleared = false;              ///< It finished somewhere, so it is no suspect any more.
    TimePoint changedAt{};
    std::uint64_t changedIn = 0; ///< Sequence number.
  };

  /// \brief A target crashed while it had the request.
  /// \returns Whether the table changed.
  bool RecordCrash(TimePoint now,
                   const RequestFingerprint& fingerprint,
                   const TargetIncarnation& target);

  /// \brief A suspect finished at a target.
  /// \returns Whether the table changed; it doesn't if the request is no suspect.
  bool Clear(TimePoint now, const RequestFingerprint& fingerprint);

  /// \brief Adds what another process knows.
  /// \returns Whether the table changed.
  bool Merge(TimePoint now, const wire::CrashSuspectT& row);

  [[nodiscard]] bool IsQuarantined(const RequestFingerprint& fingerprint) const
  {
    return m_quarantined.contains(fingerprint);
  }

  /// \brief The row of a suspect; null when there is none.
  [[nodiscard]] const Row* Find(const RequestFingerprint& fingerprint) const;

  /// \brief Removes what is older than kRetention.
  void RemoveExpired(TimePoint now);

  /// \brief The sequence number of the latest change; 0 for an empty table.
  [[nodiscard]] std::uint64_t Sequence() const noexcept { return m_sequence; }

  /// \brief The sequence number of the latest change to a row with at least `minCrashed` targets.
  [[nodiscard]] std::uint64_t SequenceOf(std::size_t minCrashed) const;

  /// \brief The rows changed after `sequence` that have, or had when they were cleared, at least
  /// `minCrashed` targets.
  [[nodiscard]] std::vector<wire::CrashSuspectT> ListChanged(TimePoint now,
                                                             std::uint64_t sequence,
                                                             std::size_t minCrashed) const;

  static constexpr std::size_t kQuarantineAfter = 3;
  /// \brief How long after its latest crash a request is suspected. One that is quarantined may
  /// then be tried once, and the next crash quarantines it again.
  static constexpr Duration kRetention = std::chrono::minutes(10);
  static constexpr std::size_t kMaxRows = 1024;

private:
  using Rows = std::map<RequestFingerprint, Row>;

  Row& FindOrAdd(const RequestFingerprint& fingerprint);
  void MakeRoom();
  void OnChanged(TimePoint changedAt, const RequestFingerprint& fingerprint, Row& row);
  /// \brief Whether a candidate with more than `crashed` targets was in flight at the target.
  [[nodiscard]] bool IsExplained(const TargetIncarnation& target, std::size_t crashed) const;
  void Remove(Rows::iterator row);
  void UpdateQuarantined();

  Rows m_rows;
  std::set<RequestFingerprint> m_candidates; ///< Not cleared, with at least kQuarantineAfter.
  std::set<RequestFingerprint> m_quarantined;
  std::uint64_t m_sequence = 0;
  TimePoint m_nextExpiry{};
};

[[nodiscard]] RequestFingerprint FingerprintOf(const wire::CrashSuspectT& row) noexcept;

} // namespace gooseberrysail
