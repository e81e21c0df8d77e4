#pragma once

#include "gooseberrysail/admission/admission.hpp"
#include "gooseberrysail/routing/router.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <string_view>

namespace gooseberrysail::bench {

enum class Policy
{
  kRandom,
  kRoundRobin,
  kLeastInFlight,
  kLeastWithAdmission, ///< Shows the effect of admission alone.
  kRouter,
};

inline std::string_view Name(Policy policy)
{
  switch (policy) {
    case Policy::kRandom:
      return "random";
    case Policy::kRoundRobin:
      return "round robin";
    case Policy::kLeastInFlight:
      return "least in flight";
    case Policy::kLeastWithAdmission:
      return "least + admission";
    case Policy::kRouter:
      return "ours";
  }
  return "";
}

inline bool UsesAdmission(Policy policy)
{
  return policy == Policy::kRouter || policy == Policy::kLeastWithAdmission;
}

/// \brief The choices of one entry process, by the Router or by a baseline that knows its own
/// requests.
class Chooser
{
public:
  Chooser(Policy policy,
          const FailureDomainId& domain,
          std::uint64_t seed,
          const RouterPolicy& tuning)
    : m_policy(policy)
    , m_random(seed)
    , router(
        domain,
        [this] { return m_random(); },
        tuning)
  {
  }
  Chooser(const Chooser&) = delete;
  Chooser& operator=(const Chooser&) = delete;

  void Upsert(const RouteCandidate& candidate)
  {
    router.Upsert(candidate);
    m_inFlight.try_emplace(candidate.group, 0);
  }
  void Remove(GroupId group)
  {
    router.Remove(group);
    m_inFlight.erase(group);
  }

  std::optional<GroupId> Choose(TimePoint now, const RouteQuery& query)
  {
    if (m_policy == Policy::kRouter) {
      return router.Choose(now, query);
    }
    std::vector<GroupId> usable;
    for (const auto& [group, inFlight] : m_inFlight) {
      if (std::ranges::find(query.tried, group) == query.tried.end()) {
        usable.push_back(group);
      }
    }
    if (usable.empty()) {
      return std::nullopt;
    }
    if (m_policy == Policy::kRoundRobin) {
      return usable[m_turn++ % usable.size()];
    }
    std::ranges::shuffle(usable, m_random);
    if (m_policy == Policy::kRandom) {
      return usable.front();
    }
    return *std::ranges::min_element(
      usable, {}, [this](GroupId group) { return m_inFlight.at(group); });
  }

  void OnSent(TimePoint now, GroupId group, const RouteQuery& query)
  {
    router.OnSent(now, group, query);
    if (const auto inFlight = m_inFlight.find(group); inFlight != m_inFlight.end()) {
      ++inFlight->second;
    }
  }
  void OnFinished(TimePoint now, GroupId group, AttemptResult result, Duration sinceSent)
  {
    router.OnFinished(now, group, result, sinceSent);
    if (const auto inFlight = m_inFlight.find(group);
        inFlight != m_inFlight.end() && inFlight->second > 0) {
      --inFlight->second;
    }
  }

  /// \brief Baselines retry a fixed number of times, as is common.
  [[nodiscard]] bool MayRetry(TimePoint now, std::size_t attempts)
  {
    constexpr std::size_t kBaselineAttempts = 3;
    return m_policy == Policy::kRouter ? attempts < kBaselineAttempts && router.TakeRetry(now)
                                       : attempts < kBaselineAttempts;
  }

private:
  Policy m_policy;
  std::mt19937_64 m_random;
  std::map<GroupId, std::uint32_t> m_inFlight;
  std::size_t m_turn = 0;

public:
  Router router;
};

} // namespace gooseberrysail::bench
