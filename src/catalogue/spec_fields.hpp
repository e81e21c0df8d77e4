#pragma once

#include "gooseberrysail/catalogue/entry.hpp"

#include <chrono>
#include <limits>

/// \file The fields of each kind of specification with their ranges. SpecReader visits them to
/// parse and validate, SpecWriter to write the canonical form.

namespace gooseberrysail::impl {

inline constexpr std::uint32_t kMaxReplicas = 100'000;
inline constexpr std::uint32_t kMaxMembers = 64;
inline constexpr std::uint32_t kMaxSlots = 100'000;
inline constexpr double kMaxRate = 1e9;
inline constexpr double kMaxWeight = 1e6;
inline constexpr std::size_t kMaxVersionLength = 64;
inline constexpr Duration kMaxDeadline = std::chrono::hours(24);

/// \brief Inclusive bounds of a number or duration.
template<class T>
struct Range
{
  T low;
  T high;
};

template<class Visitor>
void VisitFields(Visitor& visitor, ModelSpec& spec)
{
  visitor.RequiredText("version", spec.version, kMaxVersionLength);
  visitor.Number("replicas", spec.replicas, { 0, kMaxReplicas });
  visitor.Number("membersPerReplica", spec.membersPerReplica, { 1, kMaxMembers });
  visitor.Number("maxConcurrent", spec.maxConcurrent, { 1, kMaxSlots });
  visitor.Number("maxQueued", spec.maxQueued, { 0, kMaxSlots });
  visitor.Millis(
    "defaultDeadlineMs", spec.defaultDeadline, { std::chrono::milliseconds(100), kMaxDeadline });
}

template<class Visitor>
void VisitFields(Visitor& visitor, ServiceSpec& spec)
{
  visitor.Number("maxConcurrent", spec.maxConcurrent, { 1, kMaxSlots });
  visitor.Number("maxQueued", spec.maxQueued, { 0, kMaxSlots });
  visitor.Millis(
    "defaultDeadlineMs", spec.defaultDeadline, { std::chrono::milliseconds(100), kMaxDeadline });
  visitor.Calls("nonRepeatable", spec.nonRepeatable);
}

template<class Visitor>
void VisitFields(Visitor& visitor, WorkspaceSpec& spec)
{
  visitor.Hash("tokenHash", spec.tokenHash);
  visitor.Real("requestsPerSecond", spec.requestsPerSecond, { 0, kMaxRate });
  visitor.Real("tokensPerSecond", spec.tokensPerSecond, { 0, kMaxRate });
  visitor.Number(
    "maxConcurrent", spec.maxConcurrent, { 0, std::numeric_limits<std::uint32_t>::max() });
  visitor.Names("allowed", spec.allowed);
}

template<class Visitor>
void VisitFields(Visitor& visitor, TargetSpec& spec)
{
  visitor.Flag("draining", spec.draining);
}

template<class Visitor>
void VisitFields(Visitor& visitor, PolicySpec& spec)
{
  using std::chrono::milliseconds;
  visitor.Real("downtimeWeight", spec.downtimeWeight, { 0, kMaxWeight });
  visitor.Real("strandedWeight", spec.strandedWeight, { 0, kMaxWeight });
  visitor.Millis("memberTimeoutMs", spec.memberTimeout, { milliseconds(200), milliseconds(60000) });
  visitor.Millis("repairPatienceMs", spec.repairPatience, { milliseconds(0), kMaxDeadline });
  visitor.Millis(
    "confirmationLimitMs", spec.confirmationLimit, { milliseconds(500), milliseconds(60000) });
  visitor.Flag("serveUnconfirmed", spec.serveUnconfirmed);
  visitor.Number("weightLoadsAtOnce", spec.weightLoadsAtOnce, { 1, kMaxSlots });
}

} // namespace gooseberrysail::impl
