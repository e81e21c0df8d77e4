#pragma once

#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/serving/request_fingerprint.hpp"
#include "gooseberrysail/serving/target_table.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <vector>
#include <wire_generated.h>

namespace gooseberrysail {

/// \brief Parts of prompts that were in flight at targets when these crashed, before the answers
/// had begun. One that crashed kHoldAfter attempts, each sent after the one before had crashed,
/// with no answer since the first of them, is held: requests with it get no target, except for
/// trials. \remarks Entries and control hold one each and merge the others' rows, which may arrive
/// late, repeatedly and in any order. A part may become deadly and harmless again, so that the
/// latest evidence counts: an answer that began and went on drops the crashes before it. \code
/// suspects.RecordCrash(part, target, { .sentAt = sent, .crashedAt = now });
/// if (suspects.IsHeld(part)) ...
/// \endcode
class PromptSuspects
{
public:
  struct Crash
  {
    TimePoint sentAt{}; ///< Of the attempt.
    TimePoint crashedAt{};
    bool isTrial = false;
  };

  struct Row
  {
    std::map<TargetIncarnation, Crash> crashes; ///< Since the latest proof.
    TimePoint provenAt{};                       ///< When the latest answer began that went on.
    TimePoint changedAt{};
    std::uint64_t changedIn = 0; ///< Sequence number.
    std::size_t mostCrashes = 0; ///< That it had.
  };

  /// \brief A target crashed while it had a request with the part.
  /// \returns Whether the table changed.
  bool RecordCrash(const RequestFingerprint& part,
                   const TargetIncarnation& target,
                   const Crash& crash);

  /// \brief An answer to a request with the part began at `begunAt` and went on.
  /// \returns Whether the table changed; it doesn't if the part is no suspect.
  bool RecordProof(TimePoint now, const RequestFingerprint& part, TimePoint begunAt);

  /// \brief Adds what another process knows.
  /// \returns Whether the table changed.
  bool Merge(TimePoint now, const wire::PromptSuspectT& message);

  [[nodiscard]] bool IsHeld(const RequestFingerprint& part) const { return m_held.contains(part); }
  [[nodiscard]] const std::set<RequestFingerprint>& Held() const noexcept { return m_held; }

  /// \brief The row of a suspect; null when there is none.
  [[nodiscard]] const Row* Find(const RequestFingerprint& part) const;

  /// \brief When a request with a held part may be tried, of all processes together.
  [[nodiscard]] TimePoint TrialDueAt(const RequestFingerprint& part) const;

  /// \brief Removes what is older than kRetention, or than kHeldRetention for held parts.
  void RemoveExpired(TimePoint now);

  /// \brief The sequence number of the latest change; 0 for an empty table.
  [[nodiscard]] std::uint64_t Sequence() const noexcept { return m_sequence; }

  /// \brief The sequence number of the latest change to a row that has, or had, at least
  /// `minCrashes`.
  [[nodiscard]] std::uint64_t SequenceOf(std::size_t minCrashes) const;

  /// \brief The rows changed after `sequence` that have, or had, at least `minCrashes`.
  [[nodiscard]] std::vector<wire::PromptSuspectT> ListChanged(TimePoint now,
                                                              std::uint64_t sequence,
                                                              std::size_t minCrashes) const;

  static constexpr std::size_t kHoldAfter = 3;
  /// \brief A part in so many requests that all targets crash almost at once is held after this
  /// many crashes, if not all of their attempts overlap.
  static constexpr std::size_t kHoldAfterMany = 8;
  /// \brief An answer that goes on for so long after its first event shows that its prompt crashes
  /// nothing.
  static constexpr Duration kProofTime = std::chrono::milliseconds(150);
  /// \brief From the latest crash to the first trial. Each trial that crashes a target multiplies
  /// it by kTrialFactor.
  static constexpr Duration kFirstTrialAfter = std::chrono::seconds(2);
  static constexpr int kTrialFactor = 4;
  static constexpr Duration kMaxTrialInterval = std::chrono::minutes(10);
  /// \brief How long a process may use a trial that it was granted.
  static constexpr Duration kTrialValidity = std::chrono::seconds(5);
  static constexpr Duration kRetention = std::chrono::minutes(10);
  static constexpr Duration kHeldRetention = std::chrono::hours(1);
  static constexpr std::size_t kMaxRows = 1024;

private:
  using Rows = std::map<RequestFingerprint, Row>;

  Row& FindOrAdd(const RequestFingerprint& part);
  void MakeRoom();
  static bool AddCrash(Row& row, const TargetIncarnation& target, const Crash& crash);
  static bool DropProvenCrashes(Row& row);
  void OnChanged(TimePoint now, Row& row);
  /// \brief The most of the crashes whose attempts were each sent after the one before had crashed.
  [[nodiscard]] static std::size_t CountSuccessive(std::vector<Crash> crashes);
  /// \brief The crashes that no likelier one of the candidates was in flight at.
  [[nodiscard]] static std::vector<Crash> ListUnexplained(const Row& row,
                                                          std::span<const Row* const> candidates);
  void UpdateHeld();

  Rows m_rows;
  std::set<RequestFingerprint> m_held;
  std::uint64_t m_sequence = 0;
  TimePoint m_nextExpiry{};
};

[[nodiscard]] RequestFingerprint FingerprintOf(const wire::PromptSuspectT& row) noexcept;

} // namespace gooseberrysail
