#include "fakes/placement_replay.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace gooseberrysail::fakes {

namespace {

constexpr double kDaySeconds = 86400;
constexpr double kMinute = 60;
constexpr double kHour = 3600;
constexpr std::uint32_t kRackVms = 16;

class Drawer
{
public:
  Drawer(const ReplayFleet& fleet, const ReplayRates& rates, std::uint64_t seed)
    : m_fleet(fleet)
    , m_rates(rates)
    , m_random(seed)
  {
  }

  std::vector<ReplayOutage> Draw()
  {
    Singles(m_rates.deaths, 5 * kHour, 0.8, 0);
    Singles(m_rates.replaced, 12 * kMinute, 0.6, 0);
    Singles(m_rates.restarted, 80, 0.5, 0.03);
    Singles(m_rates.pauses, 12, 0.8, 1);
    ForEach(m_rates.rackOutages, [this](double at) { Rack(at); });
    ForEach(m_rates.fabricOutages, [this](double at) { Blip(at); });
    ForEach(m_rates.failureDomainOutages, [this](double at) { FailureDomain(at); });
    ForEach(m_rates.flapping, [this](double at) { Flapping(at); });
    std::ranges::sort(m_outages, std::less{}, &ReplayOutage::from);
    return std::move(m_outages);
  }

private:
  double Uniform(double low, double high)
  {
    return std::uniform_real_distribution<double>(low, high)(m_random);
  }

  double Lasting(double median, double sigma)
  {
    return std::lognormal_distribution<double>(std::log(median), sigma)(m_random);
  }

  std::uint32_t Below(std::uint32_t count)
  {
    return std::uniform_int_distribution<std::uint32_t>(0, count - 1)(m_random);
  }

  void ForEach(double perDay, const std::function<void(double)>& happen)
  {
    const double end = m_fleet.days * kDaySeconds;
    if (perDay <= 0) {
      return;
    }
    std::exponential_distribution<double> gap(perDay / kDaySeconds);
    for (double at = gap(m_random); at < end; at += gap(m_random)) {
      happen(at);
    }
  }

  void Add(double at, double lasts, std::uint32_t vm, bool keepsWeights)
  {
    m_outages.push_back({ at, at + lasts, vm, keepsWeights });
  }

  void Singles(double perDay, double median, double sigma, double keeps)
  {
    ForEach(perDay, [&](double at) {
      const std::uint32_t vm = Below(m_fleet.CountVms());
      Add(at, Lasting(median, sigma), vm, Uniform(0, 1) < keeps);
      if (Uniform(0, 1) < m_rates.secondShare) {
        const std::uint32_t fabric = vm / m_fleet.vmsPerFabric;
        const std::uint32_t other = fabric * m_fleet.vmsPerFabric + Below(m_fleet.vmsPerFabric);
        Add(at + Uniform(5, 10 * kMinute), Lasting(median, sigma), other, Uniform(0, 1) < keeps);
      }
    });
  }

  void Many(double at, double lasts, std::uint32_t first, std::uint32_t count, bool keepsWeights)
  {
    for (std::uint32_t vm = first; vm < first + count; ++vm) {
      Add(at + Uniform(0, 1), lasts + Uniform(0, 3), vm, keepsWeights);
    }
  }

  void Rack(double at)
  {
    const std::uint32_t fabric = Below(m_fleet.CountFabrics());
    const std::uint32_t count = std::min(kRackVms, m_fleet.vmsPerFabric);
    const std::uint32_t first = Below(m_fleet.vmsPerFabric - count + 1);
    Many(at,
         Lasting(15 * kMinute, 0.8),
         fabric * m_fleet.vmsPerFabric + first,
         count,
         Uniform(0, 1) < 0.5);
  }

  void Blip(double at)
  {
    const std::uint32_t fabric = Below(m_fleet.CountFabrics());
    Many(at, Lasting(35, 0.6), fabric * m_fleet.vmsPerFabric, m_fleet.vmsPerFabric, true);
  }

  void FailureDomain(double at)
  {
    const std::uint32_t count = m_fleet.fabricsPerFailureDomain * m_fleet.vmsPerFabric;
    Many(at,
         Lasting(40 * kMinute, 0.8),
         Below(m_fleet.failureDomains) * count,
         count,
         Uniform(0, 1) < 0.5);
  }

  void Flapping(double at)
  {
    const std::uint32_t vm = Below(m_fleet.CountVms());
    const double end = at + kHour;
    while (at < end) {
      const double lasts = Lasting(15, 0.5);
      Add(at, lasts, vm, true);
      at += lasts + Lasting(4 * kMinute, 0.7);
    }
  }

  const ReplayFleet& m_fleet;
  const ReplayRates& m_rates;
  std::mt19937_64 m_random;
  std::vector<ReplayOutage> m_outages;
};

} // namespace

std::vector<ReplayOutage> DrawOutages(const ReplayFleet& fleet,
                                      const ReplayRates& rates,
                                      std::uint64_t seed)
{
  return Drawer(fleet, rates, seed).Draw();
}

} // namespace gooseberrysail::fakes
