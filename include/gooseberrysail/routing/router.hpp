#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/routing/policy.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace gooseberrysail {

/// \brief A group to which an entry may send requests.
struct RouteCandidate
{
  GroupId group;
  Epoch epoch;
  EntryName entry; ///< The catalogue entry it serves.
  ProcessId head;  ///< The head's agent.
  VmId headVm;
  std::string address;
  FailureDomainId failureDomain;
};

/// \brief A group's load report, which describes the moment `age` before its arrival.
struct LoadObservation
{
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::uint32_t kvUsedPermille = 0;
  bool open = true;
  bool leaving = false;
  Duration age{};
};

/// \brief The result of an attempt, as far as it concerns the group.
enum class AttemptResult
{
  kCompleted,
  kRefused, ///< Refused before start.
  kFailed,  ///< Broken off, timed out or answered with a server error.
  kCancelled,
};

struct RouteQuery
{
  EntryName entry;
  std::span<const std::uint64_t>
    prefixHashes;                 ///< Of the prompt up to the end of each block, shortest first.
  std::span<const GroupId> tried; ///< Groups to avoid, latest last.
  std::size_t promptBytes = 0;
};

/// \brief A router's estimate of the load of one catalogue entry's groups.
struct EntryLoad
{
  std::size_t open = 0; ///< Candidates that accept requests.
  double inFlight = 0;  ///< Requests at all open candidates, from every sender.
  std::size_t ejected = 0;
};

/// \brief Chooses a group for each attempt. A decision scores a bounded number of candidates.
class Router
{
public:
  Router(const FailureDomainId& ownDomain,
         std::function<std::uint64_t()> random,
         const RouterPolicy& policy = {});
  ~Router();
  Router(Router&&) noexcept;

  void Upsert(const RouteCandidate& candidate);
  void Remove(GroupId group);
  [[nodiscard]] const RouteCandidate* Find(GroupId group) const;
  [[nodiscard]] std::size_t CandidateCount(const EntryName& entry) const;

  /// \returns None when no candidate accepts requests.
  [[nodiscard]] std::optional<GroupId> Choose(TimePoint now, const RouteQuery& query);

  void OnSent(TimePoint now, GroupId group, const RouteQuery& query);
  void OnFirstByte(TimePoint now, GroupId group, Duration sinceSent);
  void OnFinished(TimePoint now, GroupId group, AttemptResult result, Duration sinceSent);
  void OnLoad(TimePoint now, GroupId group, const LoadObservation& load);
  void OnCacheReport(TimePoint now,
                     GroupId group,
                     std::uint64_t sequence,
                     std::span<const std::uint64_t> added,
                     std::span<const std::uint64_t> removed,
                     bool reset);

  /// \brief Takes one retry from the budget, to which every first attempt adds a fraction.
  /// \returns False when no retry may be sent now.
  [[nodiscard]] bool TakeRetry(TimePoint now);

  /// \brief Counts own requests exactly and estimates those of other senders from load reports.
  [[nodiscard]] EntryLoad Load(const EntryName& entry) const;
  /// \brief Whether a group is currently ejected because it is slow or fails.
  [[nodiscard]] bool IsEjected(TimePoint now, GroupId group) const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace gooseberrysail
