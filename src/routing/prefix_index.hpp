#pragma once

#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/routing/policy.hpp"

#include <array>
#include <cstdint>
#include <span>
#include <vector>

namespace gooseberrysail::impl {

/// \brief Index of a group in the router's tables.
using Slot = std::uint16_t;
inline constexpr Slot kNoSlot = 0xFFFF;
/// \brief Resolution of the times in the index.
inline constexpr Duration kPrefixTick = std::chrono::milliseconds(16);

/// \brief State of the event stream of one group's cache.
struct CacheFeed
{
  std::uint64_t sequence = 0; ///< The latest one applied.
  TimePoint validSince{};     ///< Older records are of a cleared cache or another group.
  TimePoint gapAt{};          ///< When the latest gap was detected.
};

/// \brief A group that probably has the first `blocks` blocks of a prompt in its cache.
struct PrefixMatch
{
  Slot slot = kNoSlot;
  std::uint32_t blocks = 0;
  float confidence = 0;
};

/// \brief Records which groups hold which prompt blocks, in a fixed amount of memory.
/// \remarks Each block hash covers the whole prompt up to the end of the block, so one lookup of a
/// deep block covers all blocks before it.
class PrefixIndex
{
public:
  explicit PrefixIndex(const RouterPolicy& policy);

  void OnSent(TimePoint now, Slot slot, std::span<const std::uint64_t> hashes);
  void OnReport(TimePoint now,
                Slot slot,
                CacheFeed& feed,
                std::uint64_t sequence,
                std::span<const std::uint64_t> added,
                std::span<const std::uint64_t> removed,
                bool reset);

  static constexpr std::size_t kMaxMatches = 32;
  using Matches = std::array<PrefixMatch, kMaxMatches>;
  /// \brief Finds holders of the prompt's leading blocks.
  /// \returns How many of `matches` were filled; they may contain a slot more than once.
  [[nodiscard]] std::size_t Find(TimePoint now,
                                 std::span<const std::uint64_t> hashes,
                                 std::span<const CacheFeed> feeds,
                                 Matches& matches) const;

  [[nodiscard]] std::size_t Bytes() const noexcept { return m_rows.size() * sizeof(Row); }

private:
  struct Holder
  {
    Slot slot = kNoSlot;
    bool confirmed = false;
    std::uint32_t seenAt = 0; ///< In units of kPrefixTick.
  };
  static constexpr std::size_t kHolders = 7;
  struct Row
  {
    std::uint64_t hash = 0;
    std::array<Holder, kHolders> holders;
  };
  static constexpr std::size_t kWays = 4;

  [[nodiscard]] const Row* Lookup(std::uint64_t hash) const;
  [[nodiscard]] Row* Lookup(std::uint64_t hash);
  Row& FindOrInsert(std::uint64_t hash);
  void Add(Row& row, Slot slot, std::uint32_t tick, bool confirmed);
  void Remove(std::uint64_t hash, Slot slot, std::uint32_t before);
  [[nodiscard]] float Confidence(const Holder& holder,
                                 const CacheFeed& feed,
                                 std::uint32_t tick) const;

  std::size_t m_maxBlocks;
  std::uint32_t m_lagTicks;
  float m_predictionTicks;
  float m_confirmationTicks;
  float m_afterGap;
  std::vector<Row> m_rows;
};

} // namespace gooseberrysail::impl
