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

/// \brief A target VM as the control leader sees it now.
struct VmView
{
  VmId vm;
  FailureDomainId failureDomain;
  FabricDomainId fabricDomain;
  std::uint32_t accelerators = 0;
  GroupId group;         ///< None when free: released, or its lease certainly ended.
  bool reachable = true; ///< Heard of lately, directly or through its head.
  TimePoint lastHeard{};
  bool draining = false;   ///< By the catalogue, or its agent was told to stop.
  std::string loadedModel; ///< "entry@version" whose weights it holds; "" when none.
  bool straggler = false;  ///< Works far slower than its peers, by reports or heartbeats.
};

/// \brief A group as the control leader sees it now.
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

/// \brief Form a group of free VMs of one fabric domain; the first is its head.
struct FormGroupAction
{
  EntryName entry;
  std::string modelVersion;
  std::vector<VmId> members;
};

/// \brief Give up a group; its members are freed once that is certain.
struct DissolveGroupAction
{
  GroupId group;
  std::string reason;
};

/// \brief Let a group finish what it has, then dissolve it.
struct DrainGroupAction
{
  GroupId group;
  std::string reason;
};

/// \brief A spare that should load weights ahead of need; it stays free.
struct PreloadWish
{
  VmId vm;
  EntryName entry;
  std::string modelVersion;
};

using PlannerAction = std::variant<FormGroupAction, DissolveGroupAction, DrainGroupAction>;

namespace impl {
struct RepairInput;
} // namespace impl

/// \brief Chooses broken groups to give up, by their row in the input's fleet.
using RepairPolicy = std::function<std::vector<std::uint32_t>(const impl::RepairInput&)>;

/// \brief Weighs waiting, spares and merging by expected downtime and stranded accelerators.
class PlacementPlanner
{
public:
  /// \brief Repairs by expected cost.
  PlacementPlanner();
  /// \brief Repairs by another policy, such as a baseline that a bench compares with.
  explicit PlacementPlanner(RepairPolicy policy);
  ~PlacementPlanner();
  PlacementPlanner(PlacementPlanner&&) noexcept;

  /// \brief Decides on the next steps; called by the control leader about once a second.
  [[nodiscard]] std::vector<PlannerAction> Plan(TimePoint now, const PlannerInput& input);

  /// \brief Spares that should load weights now, after the latest Plan.
  /// \remarks A caller that can't order a free VM to load may ignore them: the planner notices.
  [[nodiscard]] std::span<const PreloadWish> Preloads() const noexcept;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace gooseberrysail
