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

/// \brief One try of one request.
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

/// \brief What became of an attempt that is over.
enum class Verdict : std::uint8_t
{
  kNeverStarted, ///< Refused or sealed; it never will.
  kStarted,      ///< The target was given it.
};

/// \brief Remembers attempts that are over, bounded by time and count.
/// \remarks What was forgotten leaves a watermark for its entry's life: at or below it nothing is
/// claimed and nothing is started. Without it a late Seal for a forgotten run would be answered
/// "never started", and a late Start for a forgotten seal would run after "not run" was told.
class RequestLedger
{
public:
  struct Bounds
  {
    std::size_t lines = 20000;
    Duration keepFor = std::chrono::minutes(10);
    std::size_t origins = 256;
  };

  RequestLedger();
  explicit RequestLedger(Bounds bounds);

  void Note(TimePoint now, const AttemptKey& key, Verdict verdict);
  [[nodiscard]] std::optional<Verdict> Find(const AttemptKey& key) const;
  /// \brief Whether a line of this request may have been dropped.
  [[nodiscard]] bool MayHaveForgotten(const RequestId& request) const;
  /// \brief Drops what is too old.
  void Expire(TimePoint now);
  [[nodiscard]] std::size_t Size() const noexcept { return m_lines.size(); }

private:
  struct Age
  {
    TimePoint notedAt;
    AttemptKey key;
  };
  void DropOldest();

  Bounds m_bounds;
  std::unordered_map<AttemptKey, Verdict, AttemptKeyHash> m_lines;
  std::deque<Age> m_order;
  /// Highest forgotten sequence of each entry life ("entry-1.17").
  std::map<std::string, std::uint64_t, std::less<>> m_watermarks;
  bool m_originsForgotten = false;
};

} // namespace gooseberrysail
