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
  bool available = false; ///< Free, reachable, staying, and not promised to a group yet.
  bool doubtful = false;  ///< Usable, but only when no better VM is left.
};

/// \brief What the planner adds to a GroupView.
struct FleetGroup
{
  const GroupView* view = nullptr;
  Row model = kNoRow; ///< None when the catalogue no longer has its model.
  Row fabric = kNoRow;
  std::vector<Row> members;  ///< Those that the input knows.
  std::vector<Row> missing;  ///< Members out of reach.
  std::uint32_t unknown = 0; ///< Members that the input doesn't list at all.
  bool ending = false;       ///< Draining or given up: no longer counts as a replica.
  bool releasing = false;    ///< Given up lately: its survivors are free in a moment.
  bool broken = false;
  bool leaving = false; ///< A member is draining.
  bool current = false; ///< Has the version and the size that the catalogue asks for.
  TimePoint brokenSince{};
};

/// \brief A model with its groups.
struct FleetModel
{
  const ModelView* view = nullptr;
  std::string weights; ///< As VmView::loadedModel spells them.
  std::vector<Row> groups;

  [[nodiscard]] std::uint32_t Wanted() const noexcept { return view->spec->replicas; }
  [[nodiscard]] std::uint32_t Size() const noexcept { return view->spec->membersPerReplica; }
};

/// \brief A fabric domain with what can be done in it.
struct FleetFabric
{
  FabricDomainId id;
  FailureDomainId failureDomain;
  std::uint32_t vms = 0;
  std::uint32_t unreachable = 0; ///< Free or not.
  bool isReleasing = false;      ///< A group was given up, and its survivors aren't free yet.
  std::vector<Row> available;
  std::vector<Row> away;       ///< VMs out of reach.
  std::vector<Row> awaySpares; ///< Those of them in no group.
  std::vector<Row> groups;     ///< Groups that count as replicas.
  std::vector<Row> broken;     ///< Those of them that are broken.
};

/// \brief Decisions handed out that the input doesn't show yet.
/// \remarks Without them the planner would repeat itself each second until the log has caught up,
/// and could promise one VM to two groups.
struct Promises
{
  struct Ending
  {
    TimePoint until{};
    bool isDissolved = false; ///< Not drained: its members are free soon.
  };

  std::unordered_map<std::string, TimePoint> vms;    ///< Promised to a new group, until when.
  std::unordered_map<std::uint64_t, Ending> endings; ///< Groups told to end.

  void DropOverdue(TimePoint now);
};

/// \brief Remembers the rows of groups' members, as looking up each name in each call is what
/// a call would spend most of its time on.
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
  /// \brief Forgets groups that weren't asked for since the last call.
  void DropUnused();

private:
  struct Entry
  {
    Rows rows;
    bool isUsed = false;
  };

  std::unordered_map<std::uint64_t, Entry> m_entries; ///< By group.
};

/// \brief One call's view of everything, joined and indexed.
struct Fleet
{
  TimePoint now{};
  const PolicySpec* policy = nullptr;
  std::vector<FleetVm> vms;
  std::vector<FleetGroup> groups;
  std::vector<FleetModel> models; ///< The most urgent class first, then by name.
  std::vector<FleetFabric> fabrics;

  /// \brief Whether `vm` holds the weights that `model` needs.
  [[nodiscard]] bool HoldsWeights(Row vm, Row model) const
  {
    return vms[vm].view->loadedModel == models[model].weights;
  }
};

/// \param history Has observed this very input.
[[nodiscard]] Fleet BuildFleet(TimePoint now,
                               const PlannerInput& input,
                               const Promises& promises,
                               const History& history,
                               MemberRows& memberRows);

/// \brief "entry@version".
[[nodiscard]] std::string WeightsName(const EntryName& entry, std::string_view version);

} // namespace gooseberrysail::impl
