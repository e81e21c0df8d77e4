#pragma once

#include "gooseberrysail/catalogue/entry.hpp"
#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/time.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace gooseberrysail {

/// \brief The control leader's current state of a target VM.
struct VmView
{
  VmId vm;
  FailureDomainId failureDomain;
  FabricDomainId fabricDomain;
  std::uint32_t accelerators = 0;
  GroupId group;         ///< None when free: released, or its lease has certainly expired.
  bool reachable = true; ///< Contacted recently, directly or through its head.
  TimePoint lastHeard{};
  bool draining = false;   ///< Marked so in the catalogue, or its agent was ordered to stop.
  std::string loadedModel; ///< "entry@version" of the weights it holds; "" when none.
  bool straggler = false;  ///< Far slower than its peers, by load reports or heartbeats.
};

/// \brief The control leader's current state of a group.
struct GroupView
{
  GroupId group;
  EntryName entry;
  std::string modelVersion;
  std::span<const VmId> members;
  bool draining = false;
  bool serving = false; ///< Its head reported all members present and weights loaded.
  TimePoint formedAt{};
  std::optional<TimePoint> brokenSince; ///< A member has been missing since then.
};

struct ModelView
{
  EntryName entry;
  PriorityClass priorityClass = PriorityClass::kStandard;
  const ModelSpec* spec = nullptr;
};

struct PlannerInput
{
  std::span<const VmView> vms;
  std::span<const GroupView> groups;
  std::span<const ModelView> models;
  const PolicySpec* policy = nullptr;
};

/// \brief Forms a group from free VMs of one fabric domain; the first member is its head.
struct FormGroupAction
{
  EntryName entry;
  std::string modelVersion;
  std::vector<VmId> members;
};

/// \brief Dissolves a group; its members are freed once they have certainly left it.
struct DissolveGroupAction
{
  GroupId group;
  std::string reason;
};

/// \brief Lets a group finish its running requests, then dissolves it.
struct DrainGroupAction
{
  GroupId group;
  std::string reason;
};

/// \brief Asks that a spare VM load weights in advance; the VM stays free.
struct PreloadRequest
{
  VmId vm;
  EntryName entry;
  std::string modelVersion;
};

using PlannerAction = std::variant<FormGroupAction, DissolveGroupAction, DrainGroupAction>;

namespace impl {
struct RepairInput;
} // namespace impl

/// \brief Chooses broken groups to dissolve, by their row in the input's fleet.
using RepairPolicy = std::function<std::vector<std::uint32_t>(const impl::RepairInput&)>;

/// \brief Decides which groups to form, drain and dissolve.
/// \remarks For a broken group it compares the expected cost, in downtime and stranded
/// accelerators, of waiting for its members, of using spares and of merging it with other broken
/// groups.
class PlacementPlanner
{
public:
  /// \brief Chooses repairs by expected cost.
  PlacementPlanner();
  /// \brief Chooses repairs by another policy, such as a baseline in a benchmark.
  explicit PlacementPlanner(RepairPolicy policy);
  ~PlacementPlanner();
  PlacementPlanner(PlacementPlanner&&) noexcept;

  /// \brief Returns the next actions; the control leader calls it about once a second.
  [[nodiscard]] std::vector<PlannerAction> Plan(TimePoint now, const PlannerInput& input);

  /// \brief Spares that should load weights now, as of the latest call of Plan.
  /// \remarks A caller that can't order a free VM to load may ignore them: the planner detects from
  /// its input whether they are carried out.
  [[nodiscard]] std::span<const PreloadRequest> Preloads() const noexcept;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace gooseberrysail
