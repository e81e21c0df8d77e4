#include "gooseberrysail/control/head_shares.hpp"

#include <algorithm>
#include <string>
#include <vector>
#include <xxhash.h>

namespace gooseberrysail {

namespace {

/// With 50 entries an even part of a head is half a slot, which no entry can keep to: each uses one
/// or two slots, and one head gets twice its slots while another is idle. With three slots at each
/// of fewer heads, a head's load is the sum of that of a few entries, each of which spreads its own
/// evenly.
constexpr double kMinSlotsPerHead = 3;
/// Smaller shares, in slots, are not worth a row; the limit for the leftovers at the end is lower.
constexpr double kMinSlots = 0.5;
constexpr double kMinLeftoverSlots = 0.1;

/// Rendezvous hashing, highest random weight first (Thaler and Ravishankar): adding or removing a
/// head does not change the order of the others.
std::vector<std::size_t> OrderHeads(const ProcessId& entry, std::span<const HeadCapacity> heads)
{
  std::vector<std::pair<XXH64_hash_t, std::size_t>> weights;
  weights.reserve(heads.size());
  for (std::size_t head = 0; head < heads.size(); ++head) {
    const std::string key = entry.Get() + '/' + heads[head].head.Get();
    weights.emplace_back(XXH64(key.data(), key.size(), 0), head);
  }
  std::ranges::sort(weights, std::ranges::greater{});
  std::vector<std::size_t> order;
  order.reserve(weights.size());
  for (const auto& [weight, head] : weights) {
    order.push_back(head);
  }
  return order;
}

/// \brief Allocates the capacity of the heads to the entries.
class HeadAllocator
{
public:
  HeadAllocator(std::span<const EntryDemand> entries, std::span<const HeadCapacity> heads)
    : m_entries(entries)
    , m_heads(heads)
    , m_orders(entries.size())
    , m_wanted(entries.size())
  {
    double sum = 0;
    for (const EntryDemand& entry : entries) {
      sum += entry.part;
    }
    // Each part has a lower bound, so that their sum may exceed 1.
    m_remaining.assign(heads.size(), sum);
    for (std::size_t entry = 0; entry < entries.size(); ++entry) {
      m_orders[entry] = OrderHeads(entries[entry].entry, heads);
      m_wanted[entry] = entries[entry].part * static_cast<double>(heads.size());
    }
  }

  /// Allocates heads of the entries' own domains. Where a domain has less capacity than its entries
  /// need, each gets its part of the available capacity.
  void AllocateLocal()
  {
    std::map<FailureDomainId, double> wanted;
    std::map<FailureDomainId, double> available;
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
      wanted[m_entries[entry].failureDomain] += m_wanted[entry];
    }
    for (std::size_t head = 0; head < m_heads.size(); ++head) {
      available[m_heads[head].failureDomain] += m_remaining[head];
    }
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
      const FailureDomainId& own = m_entries[entry].failureDomain;
      const double part = wanted[own] > 0 ? std::min(1.0, available[own] / wanted[own]) : 0;
      Allocate(entry, m_wanted[entry] * part, true, true);
    }
  }

  void AllocateRemaining()
  {
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
      Allocate(entry, m_wanted[entry], false, true);
    }
    // Leftovers, without the limit per head and with a lower minimum share.
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
      Allocate(entry, m_wanted[entry], false, false);
    }
  }

  [[nodiscard]] std::map<ProcessId, HeadShares> Take() { return std::move(m_shares); }

private:
  void Allocate(std::size_t entry, double most, bool ownOnly, bool byUnits)
  {
    const EntryDemand& demand = m_entries[entry];
    HeadShares& shares = m_shares[demand.entry];
    for (const std::size_t index : m_orders[entry]) {
      const HeadCapacity& head = m_heads[index];
      if (ownOnly && head.failureDomain != demand.failureDomain) {
        continue;
      }
      const double unit = std::max(demand.part, std::min(1.0, kMinSlotsPerHead / head.slots));
      double taken = std::min({ most, m_wanted[entry], m_remaining[index] });
      if (byUnits) {
        const auto held = shares.find(head.head);
        taken = std::min(taken, unit - (held == shares.end() ? 0 : held->second));
      }
      if (taken * head.slots < (byUnits ? kMinSlots : kMinLeftoverSlots)) {
        continue;
      }
      shares[head.head] += taken;
      m_remaining[index] -= taken;
      m_wanted[entry] -= taken;
      most -= taken;
    }
  }

  std::span<const EntryDemand> m_entries;
  std::span<const HeadCapacity> m_heads;
  std::vector<std::vector<std::size_t>> m_orders; ///< Head indices by entry.
  std::vector<double> m_wanted;                   ///< By entry, in heads.
  std::vector<double> m_remaining;                ///< By head, in heads.
  std::map<ProcessId, HeadShares> m_shares;
};

} // namespace

std::map<ProcessId, HeadShares> DivideHeads(std::span<const EntryDemand> entries,
                                            std::span<const HeadCapacity> heads)
{
  HeadAllocator allocator(entries, heads);
  allocator.AllocateLocal();
  allocator.AllocateRemaining();
  return allocator.Take();
}

} // namespace gooseberrysail
