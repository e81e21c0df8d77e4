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

class OutageGenerator
{
public:
  OutageGenerator(const ReplayFleet& fleet, const ReplayRates& rates, std::uint64_t seed)
    : m_fleet(fleet)
    , m_rates(rates)
    , m_random(seed)
  {
  }

  std::vector<ReplayOutage> Generate()
  {
    AddSingleOutages(m_rates.deaths, 5 * kHour, 0.8, 0);
    AddSingleOutages(m_rates.replaced, 12 * kMinute, 0.6, 0);
    AddSingleOutages(m_rates.restarted, 80, 0.5, 0.03);
    AddSingleOutages(m_rates.pauses, 12, 0.8, 1);
    AtRandomTimes(m_rates.rackOutages, [this](double at) { AddRackOutage(at); });
    AtRandomTimes(m_rates.fabricOutages, [this](double at) { AddFabricOutage(at); });
    AtRandomTimes(m_rates.failureDomainOutages, [this](double at) { AddFailureDomainOutage(at); });
    AtRandomTimes(m_rates.flapping, [this](double at) { AddFlapping(at); });
    std::ranges::sort(m_outages, std::less{}, &ReplayOutage::from);
    return std::move(m_outages);
  }

private:
  double UniformBetween(double low, double high)
  {
    return std::uniform_real_distribution<double>(low, high)(m_random);
  }

  double LognormalSeconds(double median, double sigma)
  {
    return std::lognormal_distribution<double>(std::log(median), sigma)(m_random);
  }

  std::uint32_t UniformBelow(std::uint32_t count)
  {
    return std::uniform_int_distribution<std::uint32_t>(0, count - 1)(m_random);
  }

  void AtRandomTimes(double perDay, const std::function<void(double)>& addEvent)
  {
    const double end = m_fleet.days * kDaySeconds;
    if (perDay <= 0) {
      return;
    }
    std::exponential_distribution<double> gap(perDay / kDaySeconds);
    for (double at = gap(m_random); at < end; at += gap(m_random)) {
      addEvent(at);
    }
  }

  void AddOutage(double at, double seconds, std::uint32_t vm, bool keepsWeights)
  {
    m_outages.push_back({ at, at + seconds, vm, keepsWeights });
  }

  void AddSingleOutages(double perDay, double median, double sigma, double keeps)
  {
    AtRandomTimes(perDay, [&](double at) {
      const std::uint32_t vm = UniformBelow(m_fleet.CountVms());
      AddOutage(at, LognormalSeconds(median, sigma), vm, UniformBetween(0, 1) < keeps);
      if (UniformBetween(0, 1) < m_rates.secondShare) {
        const std::uint32_t fabric = vm / m_fleet.vmsPerFabric;
        const std::uint32_t other =
          fabric * m_fleet.vmsPerFabric + UniformBelow(m_fleet.vmsPerFabric);
        AddOutage(at + UniformBetween(5, 10 * kMinute),
                  LognormalSeconds(median, sigma),
                  other,
                  UniformBetween(0, 1) < keeps);
      }
    });
  }

  void AddSimultaneous(double at,
                       double seconds,
                       std::uint32_t first,
                       std::uint32_t count,
                       bool keepsWeights)
  {
    for (std::uint32_t vm = first; vm < first + count; ++vm) {
      AddOutage(at + UniformBetween(0, 1), seconds + UniformBetween(0, 3), vm, keepsWeights);
    }
  }

  void AddRackOutage(double at)
  {
    const std::uint32_t fabric = UniformBelow(m_fleet.CountFabrics());
    const std::uint32_t count = std::min(kRackVms, m_fleet.vmsPerFabric);
    const std::uint32_t first = UniformBelow(m_fleet.vmsPerFabric - count + 1);
    AddSimultaneous(at,
                    LognormalSeconds(15 * kMinute, 0.8),
                    fabric * m_fleet.vmsPerFabric + first,
                    count,
                    UniformBetween(0, 1) < 0.5);
  }

  void AddFabricOutage(double at)
  {
    const std::uint32_t fabric = UniformBelow(m_fleet.CountFabrics());
    AddSimultaneous(
      at, LognormalSeconds(35, 0.6), fabric * m_fleet.vmsPerFabric, m_fleet.vmsPerFabric, true);
  }

  void AddFailureDomainOutage(double at)
  {
    const std::uint32_t count = m_fleet.fabricsPerFailureDomain * m_fleet.vmsPerFabric;
    AddSimultaneous(at,
                    LognormalSeconds(40 * kMinute, 0.8),
                    UniformBelow(m_fleet.failureDomains) * count,
                    count,
                    UniformBetween(0, 1) < 0.5);
  }

  void AddFlapping(double at)
  {
    const std::uint32_t vm = UniformBelow(m_fleet.CountVms());
    const double end = at + kHour;
    while (at < end) {
      const double seconds = LognormalSeconds(15, 0.5);
      AddOutage(at, seconds, vm, true);
      at += seconds + LognormalSeconds(4 * kMinute, 0.7);
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
  return OutageGenerator(fleet, rates, seed).Generate();
}

} // namespace gooseberrysail::fakes
