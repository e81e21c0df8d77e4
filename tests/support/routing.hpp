#pragma once

#include "gooseberrysail/routing/router.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace gooseberrysail::testing {

/// \brief A router with simulated groups whose answer times and results are configurable.
class RouterWorld
{
public:
  explicit RouterWorld(std::size_t groups, const RouterPolicy& policy = {})
    : m_random(1)
    , router(
        FailureDomainId("half-way-tree"),
        [this] { return m_random(); },
        policy)
  {
    for (std::size_t i = 1; i <= groups; ++i) {
      Announce(i);
    }
  }

  static EntryName Model() { return EntryName("hire-assist"); }

  static FailureDomainId DomainOf(std::uint64_t group)
  {
    constexpr const char* kDomains[] = { "half-way-tree", "spanish-town", "harbour-view" };
    return FailureDomainId(kDomains[group % 3]);
  }

  void Announce(std::uint64_t group)
  {
    RouteCandidate candidate;
    candidate.group = GroupId(group);
    candidate.entry = Model();
    candidate.failureDomain = DomainOf(group);
    router.Upsert(candidate);
    reporting.insert(group);
  }

  RouteQuery Query() const
  {
    RouteQuery query;
    query.entry = Model();
    query.prefixHashes = prompt;
    query.promptBytes = prompt.size() * 512;
    return query;
  }

  void Report(std::uint64_t group, std::uint32_t running, Duration age)
  {
    LoadObservation load;
    load.running = running;
    load.age = age;
    router.OnLoad(now, GroupId(group), load);
  }

  /// \brief Sends a request to the chosen group and schedules its end.
  GroupId Send()
  {
    const GroupId group = router.Choose(now, Query()).value();
    router.OnSent(now, group, Query());
    ++sent[group.Get()];
    ++inFlight[group.Get()];
    peak = std::max(peak, inFlight[group.Get()]);
    const Duration duration = answerTime(group.Get());
    m_scheduledEnds.emplace(now + duration, group);
    return group;
  }

  /// \brief Advances the time: ends answers, sends reports every half second and requests at the
  /// rate.
  void Run(Duration length, double perSecond)
  {
    constexpr Duration kStep = std::chrono::milliseconds(10);
    const TimePoint end = now + length;
    double pending = 0;
    for (; now < end; now += kStep) {
      EndDueAnswers();
      if (now.time_since_epoch() % std::chrono::milliseconds(500) == Duration{}) {
        ReportAll();
      }
      for (pending += perSecond / 100; pending >= 1; pending -= 1) {
        Send();
      }
    }
  }

private:
  void EndDueAnswers()
  {
    while (!m_scheduledEnds.empty() && m_scheduledEnds.begin()->first <= now) {
      const GroupId group = m_scheduledEnds.begin()->second;
      m_scheduledEnds.erase(m_scheduledEnds.begin());
      --inFlight[group.Get()];
      const AttemptResult result = answer(group.Get());
      if (result == AttemptResult::kCompleted) {
        router.OnFirstByte(now, group, Duration{});
      }
      router.OnFinished(now, group, result, Duration{});
    }
  }

  void ReportAll()
  {
    for (const std::uint64_t group : reporting) {
      Report(group, inFlight[group], Duration{});
    }
  }

  std::mt19937_64 m_random;
  std::multimap<TimePoint, GroupId> m_scheduledEnds;

public:
  Router router;
  TimePoint now{ std::chrono::hours(1) };
  std::vector<std::uint64_t> prompt;
  std::set<std::uint64_t> reporting; ///< Groups whose load reports arrive.
  std::map<std::uint64_t, std::uint32_t> sent;
  std::map<std::uint64_t, std::uint32_t> inFlight;
  std::uint32_t peak = 0; ///< Maximum in flight at one group so far.
  std::function<Duration(std::uint64_t)> answerTime = [](std::uint64_t) {
    return std::chrono::seconds(1);
  };
  std::function<AttemptResult(std::uint64_t)> answer = [](std::uint64_t) {
    return AttemptResult::kCompleted;
  };
};

} // namespace gooseberrysail::testing
