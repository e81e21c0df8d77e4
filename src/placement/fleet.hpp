#pragma once

#include "gooseberrysail/placement/planner.hpp"
#include "placement/history.hpp"
#include "placement/rows.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace gooseberrysail::impl {

/// \brief What the planner adds to a VmView.
struct FleetVm
{
  const VmView* view = nullptr;
  Row fabric = kNoRow;
  Row group = kNoRow;     ///< The group that lists it as a member.
  bool available = false; ///< Free, reachable, not draining and not assigned to a group yet.
  bool suspect = false;   ///< Used only when no other VM is available.
};

/// \brief What the planner adds to a GroupView.
struct FleetGroup
{
  const GroupView* view = nullptr;
  Row model = kNoRow; ///< None when the catalogue no longer has its model.
  Row fabric = kNoRow;
  std::vector<Row> members;  ///< Those listed in the input's VMs.
  std::vector<Row> missing;  ///< Unreachable members.
  std::uint32_t unknown = 0; ///< Members missing from the input's VMs.
  bool ending = false;       ///< Draining or dissolved: no longer counts as a replica.
  bool releasing = false;    ///< Just dissolved: its survivors will be free shortly.
  bool broken = false;
  bool leaving = false; ///< A member is draining.
  bool current = false; ///< Has the version and the size given in the catalogue.
  TimePoint brokenSince{};
};

/// \brief A model with its groups.
struct FleetModel
{
  const ModelView* view = nullptr;
  std::string weights; ///< In the format of VmView::loadedModel.
  std::vector<Row> groups;

  [[nodiscard]] std::uint32_t Wanted() const noexcept { return view->spec->replicas; }
  [[nodiscard]] std::uint32_t Size() const noexcept { return view->spec->membersPerReplica; }
};

/// \brief A fabric domain with its VMs and groups, by state.
struct FleetFabric
{
  FabricDomainId id;
  FailureDomainId failureDomain;
  std::uint32_t vms = 0;
  std::uint32_t unreachable = 0; ///< Unreachable VMs, free or not.
  bool isReleasing = false;      ///< A group was dissolved and its survivors aren't free yet.
  std::vector<Row> available;
  std::vector<Row> away;       ///< Unreachable VMs.
  std::vector<Row> awaySpares; ///< Unreachable VMs in no group.
  std::vector<Row> groups;     ///< Groups that count as replicas.
  std::vector<Row> broken;     ///< Broken groups among `groups`.
};

/// \brief Actions already returned that the input doesn't reflect yet.
/// \remarks Without them the planner would return the same actions each second until the log has
/// applied them, and could assign one VM to two groups.
struct PendingActions
{
  struct Ending
  {
    TimePoint until{};
    bool isDissolved = false; ///< Dissolved, not drained: its members are free soon.
  };

  std::unordered_map<std::string, TimePoint>
    vms; ///< Assigned to a new group, with the expiry time.
  std::unordered_map<std::uint64_t, Ending> endings; ///< Groups drained or dissolved.

  void RemoveExpired(TimePoint now);
};

/// \brief Caches the rows of groups' members: looking up every name in every call would take most
/// of its time.
class MemberRows
{
public:
  struct Rows
  {
    std::vector<Row> known;
    std::uint32_t unknown = 0;
  };

  /// \returns Rows that stay valid until the next call of DropUnused.
  [[nodiscard]] const Rows& Of(const GroupView& group, const History& history);
  /// \brief Removes groups that weren't looked up since the last call.
  void DropUnused();

private:
  struct Entry
  {
    Rows rows;
    bool isUsed = false;
  };

  std::unordered_map<std::uint64_t, Entry> m_entries; ///< By group.
};

/// \brief The input of one call, joined with the planner's own state and indexed.
struct Fleet
{
  TimePoint now{};
  const PolicySpec* policy = nullptr;
  std::vector<FleetVm> vms;
  std::vector<FleetGroup> groups;
  std::vector<FleetModel> models; ///< By priority class, the most urgent first, then by name.
  std::vector<FleetFabric> fabrics;

  /// \brief Whether `vm` holds the weights that `model` needs.
  [[nodiscard]] bool HoldsWeights(Row vm, Row model) const
  {
    return vms[vm].view->loadedModel == models[model].weights;
  }
};

/// \param history Must have observed this same input.
[[nodiscard]] Fleet BuildFleet(TimePoint now,
                               const PlannerInput& input,
                               const PendingActions& pendingActions,
                               const History& history,
                               MemberRows& memberRows);

/// \brief Name of a model's weights: "entry@version".
[[nodiscard]] std::string WeightsName(const EntryName& entry, std::string_view version);

} // namespace gooseberrysail::impl
