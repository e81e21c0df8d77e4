#include "gooseberrysail/placement/pool_plan.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>

namespace gooseberrysail {

namespace {

using Pool = std::map<FabricDomainId, std::vector<const FreeTarget*>>;

/// \brief One place for one group.
struct Place
{
  FabricDomainId fabricDomain;
  std::uint32_t loads = 0;
  std::size_t free = 0; ///< Targets of the domain.
};

bool HoldsModel(const FreeTarget& target, const std::string& model)
{
  return std::ranges::find(target.stagedModels, model) != target.stagedModels.end();
}

/// Fewest loads first; then the domain with most room, so that groups spread evenly and one dark
/// domain takes few of a model.
bool IsBetter(const Place& left, const Place& right)
{
  return std::tuple(left.loads, right.free, left.fabricDomain) <
         std::tuple(right.loads, left.free, right.fabricDomain);
}

class Planner
{
public:
  explicit Planner(const PoolInput& input)
    : m_input(input)
    , m_needs(input.needs.begin(), input.needs.end())
    , m_loadsLeft(input.loadsLeft)
  {
    for (const FreeTarget& target : input.free) {
      m_pool[target.fabricDomain].push_back(&target);
    }
    // A large group finds room only where the small ones left it.
    std::ranges::stable_sort(
      m_needs, std::greater{}, [](const ModelNeed& need) { return need.model->size; });
  }

  PoolPlan Run()
  {
    for (ModelNeed& need : m_needs) {
      FillNeed(need);
    }
    StageMissing();
    StageSpares();
    return std::move(m_plan);
  }

private:
  void FillNeed(ModelNeed& need)
  {
    while (need.groups < need.wanted) {
      const std::optional<Place> place = FindPlace(*need.model);
      if (!place) {
        return;
      }
      Form(*need.model, *place);
      ++need.groups;
    }
  }

  [[nodiscard]] std::optional<Place> FindPlace(const GroupModel& model) const
  {
    std::optional<Place> best;
    for (const auto& [domain, targets] : m_pool) {
      if (targets.size() < model.size) {
        continue;
      }
      const std::uint32_t warm = CountWarm(targets, model.name);
      const Place place{ domain, model.size - std::min(model.size, warm), targets.size() };
      const bool allowed =
        place.loads == 0 || (m_input.loadsAreCheap && place.loads <= m_loadsLeft);
      if (allowed && (!best || IsBetter(place, *best))) {
        best = place;
      }
    }
    return best;
  }

  static std::uint32_t CountWarm(const std::vector<const FreeTarget*>& targets,
                                 const std::string& model)
  {
    return static_cast<std::uint32_t>(std::ranges::count_if(
      targets, [&](const FreeTarget* target) { return HoldsModel(*target, model); }));
  }

  void Form(const GroupModel& model, const Place& place)
  {
    std::vector<const FreeTarget*>& targets = m_pool[place.fabricDomain];
    std::ranges::stable_partition(
      targets, [&](const FreeTarget* target) { return HoldsModel(*target, model.name); });
    PlannedGroup group{ model.name, {}, place.loads };
    for (std::size_t i = 0; i < model.size; ++i) {
      group.members.push_back(targets[i]->instance);
    }
    targets.erase(targets.begin(), targets.begin() + model.size);
    m_loadsLeft -= place.loads;
    m_plan.groups.push_back(std::move(group));
  }

  /// Models that lack groups: where a few more warm targets would make one, they are made.
  void StageMissing()
  {
    for (const ModelNeed& need : m_needs) {
      for (std::uint32_t groups = need.groups; groups < need.wanted; ++groups) {
        if (!StageOneGroup(*need.model)) {
          break;
        }
      }
    }
  }

  bool StageOneGroup(const GroupModel& model)
  {
    Pool::iterator best = m_pool.end();
    std::size_t fewest = 0;
    for (auto domain = m_pool.begin(); domain != m_pool.end(); ++domain) {
      std::vector<const FreeTarget*>& targets = domain->second;
      const std::size_t willHold = CountComing(targets, model.name);
      if (targets.size() < model.size) {
        continue;
      }
      const std::size_t missing = model.size - std::min<std::size_t>(model.size, willHold);
      if (best == m_pool.end() || missing < fewest) {
        best = domain;
        fewest = missing;
      }
    }
    if (best == m_pool.end()) {
      return false;
    }
    std::vector<const FreeTarget*>& targets = best->second;
    std::ranges::stable_partition(
      targets, [&](const FreeTarget* target) { return IsComing(*target, model.name); });
    for (std::size_t i = 0; i < model.size; ++i) {
      Stage(*targets[i], model.name);
    }
    // They wait for one another; a further group must not count on them.
    targets.erase(targets.begin(), targets.begin() + model.size);
    return true;
  }

  void StageSpares()
  {
    for (const auto& [domain, targets] : m_pool) {
      std::map<std::string, std::size_t> spares;
      for (const ModelNeed& need : m_needs) {
        spares[need.model->name] = CountComing(targets, need.model->name);
      }
      for (const FreeTarget* target : targets) {
        // Weights of another model are not dropped for this under load: they serve its groups.
        if (target->stagedModels.empty() || m_input.loadsAreCheap) {
          StageSpare(*target, spares);
        }
      }
    }
  }

  /// A lost member breaks one group of either kind; the model with fewest spares comes first, the
  /// largest among equals.
  void StageSpare(const FreeTarget& target, std::map<std::string, std::size_t>& spares)
  {
    const auto fewest = std::ranges::min_element(
      m_needs, std::less{}, [&](const ModelNeed& need) { return spares[need.model->name]; });
    if (fewest == m_needs.end() || !target.staging.empty()) {
      return;
    }
    const bool holdsSome = !target.stagedModels.empty();
    if (holdsSome && spares[target.stagedModels.front()] <= spares[fewest->model->name] + 1) {
      return;
    }
    Stage(target, fewest->model->name);
    ++spares[fewest->model->name];
  }

  static bool IsComing(const FreeTarget& target, const std::string& model)
  {
    return HoldsModel(target, model) || target.staging == model;
  }

  static std::size_t CountComing(const std::vector<const FreeTarget*>& targets,
                                 const std::string& model)
  {
    return static_cast<std::size_t>(std::ranges::count_if(
      targets, [&](const FreeTarget* target) { return IsComing(*target, model); }));
  }

  void Stage(const FreeTarget& target, const std::string& model)
  {
    if (IsComing(target, model) || !target.staging.empty() || m_loadsLeft == 0) {
      return;
    }
    --m_loadsLeft;
    m_plan.stages.push_back({ target.instance, model });
  }

  const PoolInput& m_input;
  Pool m_pool;
  std::vector<ModelNeed> m_needs; ///< The largest model first.
  std::uint32_t m_loadsLeft;
  PoolPlan m_plan;
};

} // namespace

PoolPlan PlanPool(const PoolInput& input)
{
  return Planner(input).Run();
}

} // namespace gooseberrysail
