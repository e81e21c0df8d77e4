#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/time.hpp"

#include <commands_generated.h>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>
#include <wire_generated.h>

namespace gooseberrysail {

/// \brief A workspace's idempotency key.
struct ClaimKey
{
  std::string workspace;
  std::string key;
  friend bool operator==(const ClaimKey&, const ClaimKey&) = default;
};

struct ClaimKeyHash
{
  std::size_t operator()(const ClaimKey& key) const noexcept;
};

/// \brief The request that holds a key, and the outcome of its work.
struct ClaimRow
{
  RequestId holder;
  std::uint64_t bodyHash = 0;
  WallMillis atMillis = 0;
  std::uint64_t sequence = 0; ///< Order of the claims; the oldest expire first.
  bool finished = false;
  bool answerHeld = false; ///< The answer's headers and body are still kept.
  wire::ClaimOutcomeT outcome;
};

/// \brief The replicated claims: at most one request holds a key.
class ClaimTable
{
public:
  /// \brief Grants each claim whose key is free; the others change nothing.
  /// \returns The number of claims rejected because the table is full.
  std::size_t Apply(const wire::ClaimBatchT& batch);

  /// \brief Records the outcomes of claimed work. The key of work that never ran is released.
  void Apply(const wire::ClaimOutcomeBatchT& batch);

  /// \brief Removes the claims made before the command's time limit.
  void Apply(const wire::ExpireClaimsT& command);

  [[nodiscard]] const ClaimRow* Find(const ClaimKey& key) const;
  [[nodiscard]] std::size_t Size() const noexcept { return m_claims.size(); }
  [[nodiscard]] std::size_t HeldBytes() const noexcept { return m_heldBytes; }
  /// \returns The time of the oldest claim; 0 when there is none.
  [[nodiscard]] WallMillis OldestMillis() const;

  void SaveTo(wire::ControlSnapshotT& snapshot) const;
  void LoadFrom(const wire::ControlSnapshotT& snapshot);

  static constexpr std::size_t kMaxClaims = 100'000;
  static constexpr std::size_t kMaxHeldBytes = 8 * 1024 * 1024;
  static constexpr std::size_t kMaxAnswerBytes = 256 * 1024;

private:
  void Insert(const ClaimKey& key, ClaimRow row);
  void Erase(const ClaimKey& key);
  void Finish(const ClaimKey& key, ClaimRow& row, const wire::ClaimOutcomeT& outcome);
  void DropOldestAnswers();
  void DropAnswer(ClaimRow& row);

  std::unordered_map<ClaimKey, ClaimRow, ClaimKeyHash> m_claims;
  std::deque<std::pair<std::uint64_t, ClaimKey>> m_byAge; ///< Oldest first; may hold removed ones.
  std::deque<std::pair<std::uint64_t, ClaimKey>> m_heldByAge; ///< Oldest answer first.
  std::uint64_t m_sequence = 0;
  std::size_t m_heldBytes = 0;
};

} // namespace gooseberrysail
