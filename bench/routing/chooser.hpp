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
  kLeastWithAdmission, ///< Tells what of the result admission alone brings.
  kOurs,
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
    case Policy::kOurs:
      return "ours";
  }
  return "";
}

inline bool UsesAdmission(Policy policy)
{
  return policy == Policy::kOurs || policy == Policy::kLeastWithAdmission;
}

/// \brief One entry process's choice, by our Router or by a baseline that knows its own requests.
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
    m_own.try_emplace(candidate.group, 0);
  }
  void Remove(GroupId group)
  {
    router.Remove(group);
    m_own.erase(group);
  }

  std::optional<GroupId> Choose(TimePoint now, const RouteQuery& query)
  {
    if (m_policy == Policy::kOurs) {
      return router.Choose(now, query);
    }
    std::vector<GroupId> usable;
    for (const auto& [group, own] : m_own) {
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
    return *std::ranges::min_element(usable, {}, [this](GroupId group) { return m_own.at(group); });
  }

  void OnSent(TimePoint now, GroupId group, const RouteQuery& query)
  {
    router.OnSent(now, group, query);
    if (const auto own = m_own.find(group); own != m_own.end()) {
      ++own->second;
    }
  }
  void OnFinished(TimePoint now, GroupId group, AttemptResult result, Duration sinceSent)
  {
    router.OnFinished(now, group, result, sinceSent);
    if (const auto own = m_own.find(group); own != m_own.end() && own->second > 0) {
      --own->second;
    }
  }

  /// \brief Baselines retry a fixed number of times, as is usual.
  [[nodiscard]] bool MayRetry(TimePoint now, std::size_t attempts)
  {
    constexpr std::size_t kBaselineAttempts = 3;
    return m_policy == Policy::kOurs ? attempts < kBaselineAttempts && router.TakeRetry(now)
                                     : attempts < kBaselineAttempts;
  }

private:
  Policy m_policy;
  std::mt19937_64 m_random;
  std::map<GroupId, std::uint32_t> m_own;
  std::size_t m_turn = 0;

public:
  Router router;
};

} // namespace gooseberrysail::bench
