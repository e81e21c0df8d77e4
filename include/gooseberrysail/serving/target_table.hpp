#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>
#include <wire_generated.h>

namespace gooseberrysail {

/// \brief A target's name. It may start again under the same one; then its incarnation rises, and
/// the new life knows and holds nothing of the former.
using InstanceId = impl::StrongId<struct InstanceTag, std::string>;

/// \brief One life of a target.
struct TargetIncarnation
{
  InstanceId instance;
  Incarnation born;

  friend auto operator<=>(const TargetIncarnation&, const TargetIncarnation&) = default;
};

/// \brief A target's own account of the group it is in.
struct GroupMembership
{
  std::string group; ///< "" when in none.
  Epoch epoch;
  std::uint32_t rank = 0; ///< 0 for the head.
  wire::MemberState state = wire::MemberState::None;

  /// \brief The same group and epoch; the state may differ.
  [[nodiscard]] bool IsOf(const GroupMembership& other) const noexcept
  {
    return group == other.group && epoch == other.epoch;
  }
};

/// \brief What a target said of itself in a heartbeat.
struct TargetAnnouncement
{
  InstanceId instance;
  Incarnation born; ///< When this life started, in Unix milliseconds; none where it does not tell.
  std::string service;
  std::string address; ///< "ip:port".
  FailureDomainId failureDomain;
  FabricDomainId fabricDomain;
  std::string softwareVersion;
  std::uint32_t slots = 0;
  bool draining = false;
  bool left = false;                     ///< Its last word: it goes away.
  std::uint64_t sequence = 0;            ///< Counts the heartbeats of this life.
  std::vector<std::string> stagedModels; ///< Models whose weights its host holds.
  std::string loadedModel;
  GroupMembership membership;
};

/// \brief What a target answered when it was asked about itself.
struct TargetReport
{
  std::optional<double> pace; ///< The factor on its usual times; over 1 it is slow.
  std::optional<GroupMembership> membership;
};

struct TargetRow
{
  TargetAnnouncement latest;
  /// \brief The model of the last group in which it was ready: the target still has those weights
  /// and joins another group of that model within a moment. "" for none.
  std::string lastModel;
  TimePoint firstSeenAt{}; ///< Of this life.
  TimePoint lastSeenAt{};
};

/// \brief Targets that announced themselves to any control process, by instance.
class TargetTable
{
public:
  /// \brief How an announcement changed the table.
  enum class Change
  {
    kNone,    ///< Late or unknown: nothing changed.
    kRefresh, ///< The same as before, heard again.
    kState,   ///< Something that others must learn.
  };

  /// \brief Takes in a heartbeat, wherever it was received.
  Change Update(TimePoint now, TargetAnnouncement announcement);

  /// \brief A target took its leave; later heartbeats of the same life are void.
  /// \param born Which life, or none where that is not known: a farewell that was passed on by
  /// another process may arrive after the first word of the next life.
  Change MarkLeft(TimePoint now, const InstanceId& instance, Incarnation born = {});

  /// \brief Drops rows of targets that left, or were silent for long.
  void RemoveExpired(TimePoint now);

  [[nodiscard]] const std::map<InstanceId, TargetRow>& Rows() const noexcept { return m_rows; }
  [[nodiscard]] const TargetRow* Find(const InstanceId& instance) const;

  /// \brief How long rows of targets that left or fell silent are kept, so that a late heartbeat of
  /// theirs is recognised.
  static constexpr Duration kDepartedRetention = std::chrono::seconds(60);

private:
  std::map<InstanceId, TargetRow> m_rows;
};

[[nodiscard]] wire::TargetHeardT ToWire(const TargetAnnouncement& announcement);
[[nodiscard]] TargetAnnouncement FromWire(const wire::TargetHeardT& heard);

} // namespace gooseberrysail
