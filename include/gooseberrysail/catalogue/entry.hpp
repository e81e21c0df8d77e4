#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/time.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace gooseberrysail {

/// \brief The priority of a request. A smaller number is served first.
enum class PriorityClass : std::uint8_t
{
  kInteractive = 0,
  kStandard = 1,
  kBatch = 2,
};

/// \brief A model served by groups of `membersPerReplica` VMs within one fabric domain.
struct ModelSpec
{
  std::string version;                 ///< Weights to load, such as "2026-11".
  std::uint32_t replicas = 1;          ///< Desired number of groups.
  std::uint32_t membersPerReplica = 4; ///< VMs in a group.
  std::uint32_t maxConcurrent = 64;    ///< Concurrent requests in one group.
  std::uint32_t maxQueued = 64;        ///< Queued requests in one group.
  Duration defaultDeadline = std::chrono::seconds(120);
};

/// \brief A call of a plain service that must not run twice.
struct NonRepeatableCall
{
  std::string method;     ///< "" matches every method.
  std::string pathPrefix; ///< Below `/services/{name}`.
};

/// \brief A plain service. Its targets name it when they register.
struct ServiceSpec
{
  std::uint32_t maxConcurrent = 64;
  std::uint32_t maxQueued = 64;
  Duration defaultDeadline = std::chrono::seconds(30);
  std::vector<NonRepeatableCall> nonRepeatable;
};

/// \brief A customer. `tokenHash` is the hex SHA-256 of its bearer token.
struct WorkspaceSpec
{
  std::string tokenHash;
  double requestsPerSecond = 0;     ///< 0: no limit.
  double tokensPerSecond = 0;       ///< 0: no limit.
  std::uint32_t maxConcurrent = 0;  ///< 0: no limit.
  std::vector<std::string> allowed; ///< Models and services it may call; empty: all.
};

/// \brief The state of one target VM as configured by operators.
struct TargetSpec
{
  bool draining = false; ///< No new work; its group is released once idle.
};

/// \brief Weights and limits for automatic decisions. The entry named `default` is used.
struct PolicySpec
{
  double downtimeWeight = 1; ///< Cost of one group down for one second.
  double strandedWeight = 1; ///< Cost of one idle healthy accelerator for one second.
  Duration memberTimeout = std::chrono::milliseconds(1500);
  Duration repairPatience = std::chrono::seconds(10); ///< Longest wait for a lost member to return.
  Duration confirmationLimit = std::chrono::seconds(5); ///< Oldest confirmation that admits work.
  bool serveUnconfirmed = false; ///< Keep serving after confirmations expire.
  std::uint32_t weightLoadsAtOnce = 4;
};

using EntrySpec = std::variant<ModelSpec, ServiceSpec, WorkspaceSpec, TargetSpec, PolicySpec>;

/// \brief One entry of the current catalogue.
struct CatalogueEntry
{
  EntryName name;
  std::string owner;
  PriorityClass priorityClass = PriorityClass::kStandard;
  std::uint64_t revision = 0; ///< Counts writes to this entry, from 1.
  LogIndex version;           ///< Log index of the latest write.
  EntrySpec spec;
};

} // namespace gooseberrysail
