#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>
#include <wire_generated.h>

namespace gooseberrysail {

/// \brief A target's name. A restarted target keeps its name and has a higher incarnation; nothing
/// of its former state remains.
using InstanceId = impl::StrongId<struct InstanceTag, std::string>;

/// \brief One incarnation of a target.
struct TargetIncarnation
{
  InstanceId instance;
  Incarnation born;

  friend auto operator<=>(const TargetIncarnation&, const TargetIncarnation&) = default;
};

/// \brief A target's group membership, as it reports it.
struct GroupMembership
{
  std::string group; ///< "" for no group.
  Epoch epoch;
  std::uint32_t rank = 0; ///< 0 for the head.
  wire::MemberState state = wire::MemberState::None;

  /// \brief The same group and epoch; the state may differ.
  [[nodiscard]] bool IsOf(const GroupMembership& other) const noexcept
  {
    return group == other.group && epoch == other.epoch;
  }
};

/// \brief Contents of a target's heartbeat.
struct TargetAnnouncement
{
  InstanceId instance;
  Incarnation born; ///< Start time in Unix milliseconds; none if the target doesn't report it.
  std::string service;
  std::string address; ///< "ip:port".
  FailureDomainId failureDomain;
  FabricDomainId fabricDomain;
  std::string softwareVersion;
  std::uint32_t slots = 0;
  bool draining = false;
  bool left = false;                     ///< Final message: the target is shutting down.
  std::uint64_t sequence = 0;            ///< Counts the heartbeats of this incarnation.
  std::vector<std::string> stagedModels; ///< Models whose weights its host holds.
  std::string loadedModel;
  GroupMembership membership;
  Duration coldLeft{}; ///< How much longer it takes few requests after its start.
};

/// \brief A target's answer to a report request.
struct TargetReport
{
  std::optional<double> pace; ///< Factor on its usual times; above 1 the target is slow.
  std::optional<GroupMembership> membership;
};

/// \brief A target's statement that it leaves or has left.
struct Departure
{
  TargetIncarnation target;
  std::uint64_t sequence = 0; ///< While it drains: of the first heartbeat that says so.
  bool left = false;

  /// \brief Whether a process that knows this departure ignores all heartbeats which contradict
  /// the other one.
  [[nodiscard]] bool Covers(const Departure& other) const noexcept;

  friend bool operator==(const Departure&, const Departure&) = default;
};

struct TargetRow
{
  TargetAnnouncement latest;
  std::uint64_t drainingFrom = 0; ///< The first heartbeat that says so without interruption.
  /// \brief The model of the last group in which the target was ready; "" for none. The target
  /// still has those weights loaded, so that it joins another group of that model quickly.
  std::string lastModel;
  TimePoint firstSeenAt{}; ///< In this incarnation.
  TimePoint lastSeenAt{};
  TimePoint coldUntil{}; ///< Until then it takes few requests.
};

/// \brief Targets that sent heartbeats to any control process, by instance.
class TargetTable
{
public:
  /// \brief Effect of an announcement on the table.
  enum class Change
  {
    kNone,    ///< Nothing changed: the announcement was out of date.
    kRefresh, ///< Same state as before, received again.
    kState,   ///< A change that must be passed on to others.
    kFull,    ///< Not recorded: an unknown target, and there is no room for it.
    kTooLong, ///< Not recorded: its names exceed kMaxNameBytes or kMaxInstanceBytes.
  };

  /// \brief Applies a heartbeat, whichever control process received it.
  Change Update(TimePoint now, TargetAnnouncement announcement);

  /// \brief Effect of a heartbeat without changes that another process received.
  enum class Refresh
  {
    kRefreshed,
    kLate,         ///< A newer heartbeat is known.
    kUnknownState, ///< It refers to a state of the target that is not known here.
  };

  /// \brief Applies a heartbeat without changes that another process received.
  Refresh Update(TimePoint now, const wire::TargetAliveT& alive);

  /// \brief Marks a target as shut down; later heartbeats of the same incarnation are ignored.
  /// \param born The incarnation that left, or none if unknown. A departure that another process
  /// passes on may arrive after the first heartbeat of the next incarnation.
  Change MarkLeft(TimePoint now, const InstanceId& instance, Incarnation born = {});

  /// \brief Applies a departure from the log. Later heartbeats complete the row of a target that
  /// drains.
  Change Apply(TimePoint now, const Departure& departure);

  /// \brief None for a target without a row, and for one that has not said that it leaves.
  [[nodiscard]] std::optional<Departure> DepartureOf(const InstanceId& instance) const;

  /// \brief Removes the rows of targets that left or sent nothing for kDepartedRetention.
  void RemoveExpired(TimePoint now);

  [[nodiscard]] const std::map<InstanceId, TargetRow>& Rows() const noexcept { return m_rows; }
  [[nodiscard]] const TargetRow* Find(const InstanceId& instance) const;
  /// \brief Whether there is no room for unknown targets.
  [[nodiscard]] bool IsFull() const noexcept { return m_rows.size() >= kMaxTargets; }

  /// \brief How long rows of targets that left or stopped sending are kept, so that their late
  /// heartbeats are recognised.
  static constexpr Duration kDepartedRetention = std::chrono::seconds(60);

  /// \brief Anyone can send heartbeats under any number of names. Together with kMaxNameBytes, this
  /// limits the memory of the table.
  static constexpr std::size_t kMaxTargets = 8192;
  /// \brief Limits the names in one heartbeat; each staged model counts as a string object too.
  /// Those of a replica take some 300 bytes.
  static constexpr std::size_t kMaxNameBytes = 4096;
  /// \brief Limits the name of a target, which is kept in the log when it leaves.
  static constexpr std::size_t kMaxInstanceBytes = 256;

private:
  [[nodiscard]] bool HasRoomFor(const InstanceId& instance) const;

  std::map<InstanceId, TargetRow> m_rows;
};

/// \brief The bytes that the names in a heartbeat take.
[[nodiscard]] std::size_t NameBytes(const TargetAnnouncement& announcement);
[[nodiscard]] wire::TargetHeardT ToWire(const TargetAnnouncement& announcement);
/// \brief The heartbeat of a target whose state the receiver knows.
[[nodiscard]] wire::TargetAliveT ToAlive(const TargetAnnouncement& announcement);
[[nodiscard]] TargetAnnouncement FromWire(const wire::TargetHeardT& heard);

} // namespace gooseberrysail
