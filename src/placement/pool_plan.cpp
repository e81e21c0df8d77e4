#include "gooseberrysail/placement/pool_plan.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <tuple>

namespace gooseberrysail {

namespace {

/// A share of 0 would never be served; it counts as this small one.
constexpr double kLeastShare = 0.01;

using Pool = std::map<FabricDomainId, std::vector<const FreeTarget*>>;

/// \brief One way to form one group.
struct Option
{
  std::size_t model = 0;
  FabricDomainId fabricDomain;
  std::uint32_t loads = 0;
  double fulfilment = 0; ///< Targets that the model has, by its share: the lowest is the neediest.
  std::size_t left = 0;  ///< Free targets of the domain.
};

bool IsBetter(const Option& left, const Option& right)
{
  const bool leftLoads = left.loads > 0;
  const bool rightLoads = right.loads > 0;
  return std::tuple(leftLoads, left.fulfilment, left.loads, right.left, left.fabricDomain) <
         std::tuple(rightLoads, right.fulfilment, right.loads, left.left, right.fabricDomain);
}

bool HoldsModel(const FreeTarget& target, const std::string& model)
{
  return std::ranges::find(target.stagedModels, model) != target.stagedModels.end();
}

class Planner
{
public:
  explicit Planner(const PoolInput& input)
    : m_input(input)
    , m_loadsLeft(input.loadsLeft)
  {
    for (const FreeTarget& target : input.free) {
      m_pool[target.fabricDomain].push_back(&target);
    }
    for (const GroupModel& model : input.models) {
      const auto held = std::ranges::find(input.holdings, model.name, &ModelHoldings::model);
      m_targets.push_back(held == input.holdings.end() ? 0 : held->targets);
    }
  }

  std::vector<PlannedGroup> Run()
  {
    std::vector<PlannedGroup> groups;
    while (const std::optional<Option> option = Best()) {
      groups.push_back(Take(*option));
    }
    return groups;
  }

private:
  [[nodiscard]] std::optional<Option> Best() const
  {
    std::optional<Option> best;
    for (std::size_t model = 0; model < m_input.models.size(); ++model) {
      for (const auto& [domain, targets] : m_pool) {
        const std::optional<Option> option = Consider(model, domain, targets);
        if (option && (!best || IsBetter(*option, *best))) {
          best = option;
        }
      }
    }
    return best;
  }

  [[nodiscard]] std::optional<Option> Consider(std::size_t model,
                                               const FabricDomainId& domain,
                                               const std::vector<const FreeTarget*>& targets) const
  {
    const GroupModel& spec = m_input.models[model];
    if (spec.size == 0 || targets.size() < spec.size) {
      return std::nullopt;
    }
    const auto warm = static_cast<std::uint32_t>(std::ranges::count_if(
      targets, [&](const FreeTarget* target) { return HoldsModel(*target, spec.name); }));
    const std::uint32_t loads = spec.size - std::min(spec.size, warm);
    if (loads > m_loadsLeft) {
      return std::nullopt;
    }
    const double fulfilment = m_targets[model] / std::max(spec.share, kLeastShare);
    return Option{ model, domain, loads, fulfilment, targets.size() };
  }

  PlannedGroup Take(const Option& option)
  {
    const GroupModel& spec = m_input.models[option.model];
    std::vector<const FreeTarget*>& targets = m_pool[option.fabricDomain];
    std::ranges::stable_partition(
      targets, [&](const FreeTarget* target) { return HoldsModel(*target, spec.name); });
    PlannedGroup group{ spec.name, {}, option.loads };
    for (std::size_t i = 0; i < spec.size; ++i) {
      group.members.push_back(targets[i]->instance);
    }
    targets.erase(targets.begin(), targets.begin() + spec.size);
    m_targets[option.model] += spec.size;
    m_loadsLeft -= option.loads;
    return group;
  }

  const PoolInput& m_input;
  Pool m_pool;
  std::vector<std::uint32_t> m_targets; ///< In groups, by model.
  std::uint32_t m_loadsLeft;
};

} // namespace

std::vector<PlannedGroup> PlanPool(const PoolInput& input)
{
  return Planner(input).Run();
}

} // namespace gooseberrysail
