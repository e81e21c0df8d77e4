#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/time.hpp"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace gooseberrysail {

/// \brief One attempt of a request.
struct AttemptKey
{
  RequestId request;
  std::uint32_t attempt = 0;
  friend auto operator<=>(const AttemptKey&, const AttemptKey&) = default;
};

struct AttemptKeyHash
{
  std::size_t operator()(const AttemptKey& key) const noexcept
  {
    return std::hash<RequestId>{}(key.request) * 31 + key.attempt;
  }
};

/// \brief Outcome of a finished attempt.
enum class AttemptOutcome : std::uint8_t
{
  kNeverStarted, ///< Refused or sealed; it will never start.
  kStarted,      ///< Sent to the target.
};

/// \brief Outcomes of finished attempts, bounded by age and count.
/// \remarks An evicted record raises a watermark kept for the incarnation of its entry. For
/// requests at or below the watermark no outcome is reported and none is started. Without it, a
/// late Seal of an evicted request that ran would be answered "never started", and a late Start of
/// an evicted sealed request would run after its client was told "not run".
class RequestLedger
{
public:
  struct Bounds
  {
    std::size_t maxRecords = 20000;
    Duration retention = std::chrono::minutes(10);
    std::size_t maxOrigins = 256;
  };

  RequestLedger();
  explicit RequestLedger(Bounds bounds);

  void Record(TimePoint now, const AttemptKey& key, AttemptOutcome outcome);
  [[nodiscard]] std::optional<AttemptOutcome> Find(const AttemptKey& key) const;
  /// \brief Whether a record of this request may have been evicted.
  [[nodiscard]] bool MayHaveEvicted(const RequestId& request) const;
  /// \brief Evicts records older than the retention time.
  void Expire(TimePoint now);
  [[nodiscard]] std::size_t Size() const noexcept { return m_records.size(); }

private:
  struct RecordedKey
  {
    TimePoint recordedAt;
    AttemptKey key;
  };
  void DropOldest();

  Bounds m_bounds;
  std::unordered_map<AttemptKey, AttemptOutcome, AttemptKeyHash> m_records;
  std::deque<RecordedKey> m_recordedKeys;
  /// Highest evicted sequence number of each entry incarnation ("entry-1.17").
  std::map<std::string, std::uint64_t, std::less<>> m_watermarks;
  bool m_unknownOriginsEvicted = false;
};

} // namespace gooseberrysail
