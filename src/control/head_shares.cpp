#include "gooseberrysail/control/head_shares.hpp"

#include <algorithm>
#include <string>
#include <vector>
#include <xxhash.h>

namespace gooseberrysail {

namespace {

/// At 50 entries an even part of a head is half a place, and no entry can keep to it: each takes
/// one or two, and a head gets twice its slots while another is idle. With three places at each of
/// fewer heads, the head's load is the sum of a few entries', of which each spreads its own evenly.
constexpr double kWholePlaces = 3;
/// Less than this of a place isn't worth a row; of what is left over at the end, even less is.
constexpr double kLeastPlace = 0.5;
constexpr double kLeastPlaceLeft = 0.1;

/// The highest random weight first (Thaler and Ravishankar): the order of one entry changes only
/// where a head comes or goes.
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

/// \brief What is given out of each head so far.
class Division
{
public:
  Division(std::span<const EntryDemand> entries, std::span<const HeadCapacity> heads)
    : m_entries(entries)
    , m_heads(heads)
    , m_orders(entries.size())
    , m_wanted(entries.size())
  {
    double sum = 0;
    for (const EntryDemand& entry : entries) {
      sum += entry.part;
    }
    // Parts have a floor each, so that their sum may be over 1.
    m_left.assign(heads.size(), sum);
    for (std::size_t entry = 0; entry < entries.size(); ++entry) {
      m_orders[entry] = OrderHeads(entries[entry].entry, heads);
      m_wanted[entry] = entries[entry].part * static_cast<double>(heads.size());
    }
  }

  /// Where a domain has less than its entries want, each gets its part of what there is.
  void ClaimOwn()
  {
    std::map<FailureDomainId, double> wanted;
    std::map<FailureDomainId, double> present;
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
      wanted[m_entries[entry].failureDomain] += m_wanted[entry];
    }
    for (std::size_t head = 0; head < m_heads.size(); ++head) {
      present[m_heads[head].failureDomain] += m_left[head];
    }
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
      const FailureDomainId& own = m_entries[entry].failureDomain;
      const double part = wanted[own] > 0 ? std::min(1.0, present[own] / wanted[own]) : 0;
      Claim(entry, m_wanted[entry] * part, true, true);
    }
  }

  void ClaimElsewhere()
  {
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
      Claim(entry, m_wanted[entry], false, true);
    }
    // Pieces that are left over.
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
      Claim(entry, m_wanted[entry], false, false);
    }
  }

  [[nodiscard]] std::map<ProcessId, HeadShares> Take() { return std::move(m_shares); }

private:
  void Claim(std::size_t entry, double most, bool ownOnly, bool byUnits)
  {
    const EntryDemand& demand = m_entries[entry];
    HeadShares& shares = m_shares[demand.entry];
    for (const std::size_t index : m_orders[entry]) {
      const HeadCapacity& head = m_heads[index];
      if (ownOnly && head.failureDomain != demand.failureDomain) {
        continue;
      }
      const double unit = std::max(demand.part, std::min(1.0, kWholePlaces / head.slots));
      double taken = std::min({ most, m_wanted[entry], m_left[index] });
      if (byUnits) {
        const auto held = shares.find(head.head);
        taken = std::min(taken, unit - (held == shares.end() ? 0 : held->second));
      }
      if (taken * head.slots < (byUnits ? kLeastPlace : kLeastPlaceLeft)) {
        continue;
      }
      shares[head.head] += taken;
      m_left[index] -= taken;
      m_wanted[entry] -= taken;
      most -= taken;
    }
  }

  std::span<const EntryDemand> m_entries;
  std::span<const HeadCapacity> m_heads;
  std::vector<std::vector<std::size_t>> m_orders; ///< Of the heads, by entry.
  std::vector<double> m_wanted;                   ///< By entry, in heads.
  std::vector<double> m_left;                     ///< By head, in heads.
  std::map<ProcessId, HeadShares> m_shares;
};

} // namespace

std::map<ProcessId, HeadShares> DivideHeads(std::span<const EntryDemand> entries,
                                            std::span<const HeadCapacity> heads)
{
  Division division(entries, heads);
  division.ClaimOwn();
  division.ClaimElsewhere();
  return division.Take();
}

} // namespace gooseberrysail
