#include "gooseberrysail/placement/pool_plan.hpp"

#include "gooseberrysail/placement/model_work.hpp"
#include "placement/pool_candidates.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <set>
#include <tuple>

namespace gooseberrysail {

namespace {

/// A takeover that changes less than this, in groups, is not worth its loads: it uses up the second
/// weights of the hosts, and the store gives back some four in ten seconds.
constexpr double kLeastGain = 0.3;
/// Of a model of which nothing is wanted.
constexpr double kFulfilled = 10;
/// Served part of a model without any group: the logarithm of none has no bound.
constexpr double kLeastServed = 0.05;

using impl::Assembly;
using impl::CountComing;
using impl::IsBetter;
using impl::IsComing;
using impl::IsSooner;
using impl::MakeAssembly;
using impl::MakePlace;
using impl::Place;
using impl::PutInOrder;
using impl::Targets;

class Planner
{
public:
  explicit Planner(const PoolInput& input)
    : m_input(input)
    , m_needs(input.needs.begin(), input.needs.end())
    , m_loadsLeft(input.loadsLeft)
    , m_loadsAtFullSpeed(input.loadsAtFullSpeed)
  {
    for (const FreeTarget& target : input.free) {
      m_pool[target.fabricDomain].push_back(&target);
    }
    for (const FreeTarget& target : input.returning) {
      m_returning[target.fabricDomain].push_back(&target);
    }
    // A large group finds room only where the small ones left it.
    std::ranges::stable_sort(
      m_needs, std::greater{}, [](const ModelNeed& need) { return need.model->size; });
  }

  PoolPlan Run()
  {
    FillNeeds();
    StageMissing();
    LimitLoads(m_input.spareLoads);
    StageSpares();
    // A join uses up second weights, so that a load which a group or a spare needs is worth more.
    if (m_input.loadsAreCheap || !LacksAny(m_input.needs)) {
      LimitLoads(m_input.secondLoads);
      StageSecondWeights();
    }
    return std::move(m_plan);
  }

private:
  static const std::string& NameOf(const ModelNeed& need) { return need.model->name; }

  /// One group at a time for the model that lacks most, also by what another model can spare; only
  /// then do those that lack less take what is free. In another order the targets that one model
  /// gave up would go back to it.
  void FillNeeds()
  {
    std::vector<ModelNeed*> open = ListNeeds();
    while (!open.empty()) {
      const auto worst = FindWorst(open);
      ModelNeed& need = **worst;
      if (need.groups >= need.wanted || !AddGroup(need)) {
        open.erase(worst);
      }
    }
  }

  std::vector<ModelNeed*> ListNeeds()
  {
    std::vector<ModelNeed*> needs;
    for (ModelNeed& need : m_needs) {
      needs.push_back(&need);
    }
    return needs;
  }

  static std::vector<ModelNeed*>::iterator FindWorst(std::vector<ModelNeed*>& needs)
  {
    return std::ranges::min_element(needs, [](const ModelNeed* left, const ModelNeed* right) {
      return LacksMore(*left, *right);
    });
  }

  bool AddGroup(ModelNeed& need)
  {
    if (const std::optional<Place> place = FindPlace(*need.model)) {
      Form(*need.model, *place);
      ++need.groups;
      return true;
    }
    if (m_input.loadsAreCheap) {
      return false;
    }
    if (const std::optional<Takeover> warm = FindTakeover(need, Members::kWarm)) {
      Release(need, *warm);
      return true;
    }
    const std::optional<Takeover> takeover = FindTakeover(need, Members::kAny);
    const std::optional<Assembly> idle = FindAssembly(*need.model);
    if (takeover && (!idle || IsSooner(takeover->assembly, *idle))) {
      LackOf(need).takeover = TakeoverVerdict::kWaitsForLoads;
      BeginLoads(need, takeover->assembly, LoadPurpose::kTakeover);
    } else if (idle) {
      BeginLoads(need, *idle, LoadPurpose::kGroup);
    }
    return false;
  }

  /// Further groups wait for loads, too; none of them keeps targets from a group that can be
  /// formed.
  void StageMissing()
  {
    std::vector<ModelNeed*> open = ListNeeds();
    while (!open.empty()) {
      const auto worst = FindWorst(open);
      ModelNeed& need = **worst;
      const std::optional<Assembly> idle =
        need.groups < need.wanted ? FindAssembly(*need.model) : std::nullopt;
      if (!idle) {
        open.erase(worst);
        continue;
      }
      BeginLoads(need, *idle, LoadPurpose::kGroup);
    }
  }

  PlannedShortage& LackOf(const ModelNeed& need)
  {
    const auto found = std::ranges::find(m_plan.shortages, NameOf(need), &PlannedShortage::model);
    if (found != m_plan.shortages.end()) {
      return *found;
    }
    m_plan.shortages.emplace_back();
    m_plan.shortages.back().model = NameOf(need);
    return m_plan.shortages.back();
  }

  static bool LacksAny(std::span<const ModelNeed> needs)
  {
    return std::ranges::any_of(needs,
                               [](const ModelNeed& need) { return need.groups < need.wanted; });
  }

  /// Before traffic nothing is known of the work, and all count alike.
  static bool LacksMore(const ModelNeed& left, const ModelNeed& right)
  {
    return Fulfilment(left) < Fulfilment(right);
  }

  [[nodiscard]] std::optional<Place> FindPlace(const GroupModel& model) const
  {
    std::optional<Place> best;
    for (const auto& [domain, targets] : m_pool) {
      if (targets.size() < model.size) {
        continue;
      }
      Place place = MakePlace(domain, targets, model);
      place.free += ReturningTo(domain).size();
      const bool allowed =
        place.loads == 0 || (m_input.loadsAreCheap && place.loads <= m_loadsLeft);
      if (allowed && (!best || IsBetter(place, *best))) {
        best = place;
      }
    }
    return best;
  }

  void Form(const GroupModel& model, const Place& place)
  {
    Targets& targets = m_pool[place.fabricDomain];
    PutInOrder(targets, model.name);
    PlannedGroup group{ model.name, {}, place.loads };
    for (std::size_t i = 0; i < model.size; ++i) {
      group.members.push_back(targets[i]->instance);
    }
    targets.erase(targets.begin(), targets.begin() + model.size);
    m_loadsLeft -= place.loads;
    m_plan.groups.push_back(std::move(group));
  }

  /// Groups of a model for each that its requests need.
  static double Fulfilment(const ModelNeed& need)
  {
    return need.offeredLoad <= 0 ? kFulfilled : need.groups / GroupsForService(need.offeredLoad);
  }

  /// Proportional fairness: the logarithm of the served part, by the model's work. Beyond what its
  /// requests need a model gains nothing, so none gives its groups for another's reserve; and the
  /// less a model has, the more a further group is worth to it.
  static double Value(const ModelNeed& need, int change)
  {
    const double served = ServedPart(static_cast<double>(need.groups) + change, need.offeredLoad);
    return need.offeredLoad * std::log(std::max(served, kLeastServed));
  }

  /// \brief What all callers together gain, in groups, when `donor` gives up groups for `need`.
  static double Gain(const ModelNeed& need, int formed, const ModelNeed& donor, int given)
  {
    return Value(need, formed) - Value(need, 0) + Value(donor, -given) - Value(donor, 0);
  }

  /// \brief Free targets of one domain and groups whose targets complete a group of another model.
  struct Takeover
  {
    Assembly assembly;
    std::vector<const ServingGroup*> groups;
  };

  /// \brief Which targets a takeover may use.
  enum class Members
  {
    kWarm, ///< Those that hold the weights: the group can be formed at once.
    kAny,  ///< Others, too, which load first.
  };

  /// Idle targets that make a group of the model soonest; none where no domain has enough.
  [[nodiscard]] std::optional<Assembly> FindAssembly(const GroupModel& model) const
  {
    std::optional<Assembly> best;
    for (const auto& [domain, pool] : m_pool) {
      Targets targets = ListUnassigned(pool);
      const Targets returning = ListUnassigned(ReturningTo(domain));
      targets.insert(targets.end(), returning.begin(), returning.end());
      if (targets.size() < model.size) {
        continue;
      }
      Assembly assembly = MakeAssembly(domain, std::move(targets), model);
      if (!best || IsSooner(assembly, *best)) {
        best = std::move(assembly);
      }
    }
    return best;
  }

  /// Free targets that lack the weights must not hide the members of serving groups that hold them:
  /// seven warm targets and three cold ones waited 25 s for one load, beside small groups whose
  /// members held the weights.
  [[nodiscard]] std::optional<Takeover> FindTakeover(const ModelNeed& need, Members which)
  {
    PlannedShortage& lack = LackOf(need);
    if (!m_input.mayTakeOver) {
      lack.takeover = TakeoverVerdict::kLossesSettle;
      return std::nullopt;
    }
    std::optional<Takeover> best;
    for (const ModelNeed& donor : m_needs) {
      if (donor.model == need.model) {
        continue;
      }
      for (const auto& [domain, groups] : GroupsByDomain(donor.model->name)) {
        std::optional<Takeover> takeover = Combine(need, donor, domain, groups, which);
        if (takeover && (!best || IsCheaper(*takeover, *best))) {
          best = std::move(takeover);
        }
      }
    }
    if (!best) {
      lack.takeover =
        lack.gain != 0 ? TakeoverVerdict::kTooLittleGain : TakeoverVerdict::kNoCandidate;
    }
    return best;
  }

  static bool IsCheaper(const Takeover& left, const Takeover& right)
  {
    return std::pair(left.groups.size(), left.assembly.toBegin) <
           std::pair(right.groups.size(), right.assembly.toBegin);
  }

  [[nodiscard]] std::map<FabricDomainId, std::vector<const ServingGroup*>> GroupsByDomain(
    const std::string& model) const
  {
    std::map<FabricDomainId, std::vector<const ServingGroup*>> groups;
    for (const ServingGroup& group : m_input.serving) {
      if (group.model == model && !m_released.contains(group.name)) {
        groups[group.fabricDomain].push_back(&group);
      }
    }
    return groups;
  }

  /// What is free in the domain, and as few groups of the donor as complete one of `need`.
  [[nodiscard]] std::optional<Takeover> Combine(const ModelNeed& need,
                                                const ModelNeed& donor,
                                                const FabricDomainId& domain,
                                                std::vector<const ServingGroup*> groups,
                                                Members which)
  {
    const std::string& model = need.model->name;
    const std::size_t size = need.model->size;
    // Those whose hosts hold the weights already come first.
    std::ranges::stable_sort(groups, std::greater{}, [&](const ServingGroup* group) {
      return std::ranges::count_if(
        group->members, [&](const FreeTarget& member) { return IsComing(member, model); });
    });
    Takeover takeover;
    Targets members;
    const auto add = [&](const FreeTarget* target) {
      const bool canLoad = target->staging.empty() || target->staging == model;
      if (HoldsModel(*target, model) || (which == Members::kAny && canLoad)) {
        members.push_back(target);
      }
    };
    if (const auto free = m_pool.find(domain); free != m_pool.end()) {
      std::ranges::for_each(ListUnassigned(free->second), add);
    }
    for (const ServingGroup* group : groups) {
      const std::size_t before = members.size();
      if (before >= size) {
        break;
      }
      std::ranges::for_each(group->members, [&](const FreeTarget& member) { add(&member); });
      if (members.size() > before) {
        takeover.groups.push_back(group);
      }
    }
    const int given = static_cast<int>(takeover.groups.size());
    // A large group that is given up makes several small ones, the others in the next passes.
    const int formed = static_cast<int>(members.size() / size);
    if (formed == 0 || given == 0) {
      return std::nullopt;
    }
    const double gain = Gain(need, formed, donor, given);
    PlannedShortage& lack = LackOf(need);
    lack.gain = lack.gain == 0 ? gain : std::max(lack.gain, gain);
    if (gain < kLeastGain) {
      return std::nullopt;
    }
    takeover.assembly = MakeAssembly(domain, std::move(members), *need.model);
    takeover.assembly.takesOver = true;
    return takeover;
  }

  /// Closes the groups whose members hold the other model's weights.
  void Release(ModelNeed& need, const Takeover& takeover)
  {
    Reserve(takeover.assembly.fabricDomain, takeover.assembly.members);
    PlannedTakeover planned{ { need.model->name, {}, 0 }, {} };
    for (const FreeTarget* target : takeover.assembly.members) {
      planned.group.members.push_back(target->instance);
    }
    for (const ServingGroup* group : takeover.groups) {
      planned.releases.push_back(group->name);
      m_released.insert(group->name);
      --std::ranges::find(m_needs, group->model, &NameOf)->groups;
    }
    m_plan.takeovers.push_back(std::move(planned));
    ++need.groups;
    LackOf(need).takeover = TakeoverVerdict::kTaken;
  }

  /// Begins the loads that a group lacks. Members that serve go on serving; idle ones that hold the
  /// weights are kept, for in a group of another model their hosts would lose them.
  void BeginLoads(ModelNeed& need, const Assembly& assembly, LoadPurpose purpose)
  {
    const std::string& model = need.model->name;
    if (PlannedShortage& lack = LackOf(need); lack.fabricDomain.IsNone()) {
      lack.fabricDomain = assembly.fabricDomain;
      lack.loadsToBegin = static_cast<std::uint32_t>(assembly.toBegin);
      lack.loadsUnderWay = static_cast<std::uint32_t>(assembly.underWay);
    }
    Targets bound;
    for (const FreeTarget* target : assembly.members) {
      // A model without any group comes before the loads that this slows down.
      if (m_loadsAtFullSpeed > 0 || need.groups == 0) {
        Stage(*target, model, purpose);
      }
      m_assigned.insert(target->instance);
      if (IsComing(*target, model) || m_staged.contains(target->instance)) {
        bound.push_back(target);
      }
    }
    Reserve(assembly.fabricDomain, bound);
    ++need.groups; // On its way.
  }

  [[nodiscard]] Targets ListUnassigned(const Targets& targets) const
  {
    Targets unassigned;
    std::ranges::copy_if(targets, std::back_inserter(unassigned), [&](const FreeTarget* target) {
      return !m_assigned.contains(target->instance);
    });
    return unassigned;
  }

  [[nodiscard]] Targets ReturningTo(const FabricDomainId& domain) const
  {
    const auto found = m_returning.find(domain);
    return found == m_returning.end() ? Targets() : found->second;
  }

  /// Takes those of the members that are idle out of their domain's pool.
  void Reserve(const FabricDomainId& domain, const Targets& members)
  {
    if (const auto pool = m_pool.find(domain); pool != m_pool.end()) {
      std::erase_if(pool->second, [&](const FreeTarget* target) {
        return std::ranges::find(members, target) != members.end();
      });
    }
  }

  void StageSpares()
  {
    for (const auto& [domain, targets] : m_pool) {
      std::map<std::string, std::size_t> spares;
      for (const ModelNeed& need : m_needs) {
        spares[need.model->name] =
          CountComing(targets, need.model->name) + CountSecondWeights(domain, need.model->name);
      }
      for (const FreeTarget* target : targets) {
        if (target->lastModel.empty() && !target->stagedModels.empty() && target->staging.empty()) {
          m_plan.standbys.push_back({ target->instance, target->stagedModels.front() });
          continue;
        }
        if (!target->lastModel.empty()) {
          continue; // Its host takes others as second weights.
        }
        // Weights of another model are not dropped for this under load: they serve its groups.
        if (target->stagedModels.empty() || m_input.loadsAreCheap) {
          StageSpare(*target, spares);
        }
      }
    }
  }

  /// Members of a domain's groups of other models whose hosts hold this model's weights.
  [[nodiscard]] std::size_t CountSecondWeights(const FabricDomainId& domain,
                                               const std::string& model) const
  {
    std::size_t count = 0;
    for (const ServingGroup& group : m_input.serving) {
      if (group.fabricDomain == domain && group.model != model) {
        count += static_cast<std::size_t>(std::ranges::count_if(
          group.members, [&](const FreeTarget& member) { return IsComing(member, model); }));
      }
    }
    return count;
  }

  /// Losses hit members, of whatever model. A spare of the same model takes a lost member's place
  /// without using up its host's second weights, so spares are shared out as members are.
  void StageSpare(const FreeTarget& target, std::map<std::string, std::size_t>& spares)
  {
    const auto worth = [&](const ModelNeed& need) {
      const double members = static_cast<double>(need.groups) * need.model->size;
      return members / static_cast<double>(spares[need.model->name] + 1);
    };
    const auto best = std::ranges::max_element(m_needs, std::less{}, worth);
    if (best == m_needs.end() || IsComing(target, best->model->name)) {
      return;
    }
    Stage(target, best->model->name, LoadPurpose::kSpare);
    ++spares[best->model->name];
  }

  /// What no group waits for begins only while fewer loads than this began.
  void LimitLoads(std::uint32_t most)
  {
    const auto begun = static_cast<std::uint32_t>(m_plan.stages.size());
    m_loadsLeft = std::min(m_loadsLeft, most - std::min(most, begun));
  }

  /// A host may hold other weights than its target serves with, and a target joins another group of
  /// the model it served last without them. So the host of each target takes the weights of the
  /// largest other model: the target can then serve either within two seconds, where a load under
  /// traffic takes 16 s. The next join of any group uses this up.
  void StageSecondWeights()
  {
    // Idle targets first: without the other weights some serve nobody.
    for (const auto& [domain, targets] : m_pool) {
      for (const FreeTarget* target : targets) {
        if (!target->lastModel.empty()) {
          StageOther(*target, target->lastModel);
        }
      }
    }
    for (const ServingGroup& group : m_input.serving) {
      for (const FreeTarget& member : group.members) {
        StageOther(member, group.model);
      }
    }
  }

  /// The largest model but this one.
  void StageOther(const FreeTarget& target, const std::string& model)
  {
    const auto other = std::ranges::find_if(
      m_needs, [&](const ModelNeed& need) { return need.model->name != model; });
    if (other != m_needs.end()) {
      Stage(target, other->model->name, LoadPurpose::kSecondWeights);
    }
  }

  void Stage(const FreeTarget& target, const std::string& model, LoadPurpose purpose)
  {
    if (IsComing(target, model) || !target.staging.empty() || m_loadsLeft == 0 ||
        !m_staged.insert(target.instance).second) {
      return;
    }
    --m_loadsLeft;
    m_loadsAtFullSpeed -= std::min(m_loadsAtFullSpeed, 1U);
    m_plan.stages.push_back({ target.instance, model, purpose });
  }

  const PoolInput& m_input;
  std::map<FabricDomainId, Targets> m_pool;
  std::map<FabricDomainId, Targets> m_returning;
  std::vector<ModelNeed> m_needs; ///< The largest model first.
  std::uint32_t m_loadsLeft;
  std::uint32_t m_loadsAtFullSpeed;
  std::set<InstanceId> m_staged;   ///< Told to load in this plan; a host loads one model at a time.
  std::set<InstanceId> m_assigned; ///< Members of groups that wait for loads.
  std::set<std::string> m_released; ///< Serving groups that end for a takeover.
  PoolPlan m_plan;
};

} // namespace

const char* ToString(LoadPurpose purpose) noexcept
{
  switch (purpose) {
    case LoadPurpose::kGroup:
      return "group";
    case LoadPurpose::kTakeover:
      return "takeover";
    case LoadPurpose::kSpare:
      return "spare";
    case LoadPurpose::kSecondWeights:
      return "second-weights";
  }
  return "unknown";
}

const char* ToString(TakeoverVerdict verdict) noexcept
{
  switch (verdict) {
    case TakeoverVerdict::kNotNeeded:
      return "not-needed";
    case TakeoverVerdict::kLossesSettle:
      return "losses-settle";
    case TakeoverVerdict::kNoCandidate:
      return "no-candidate";
    case TakeoverVerdict::kTooLittleGain:
      return "too-little-gain";
    case TakeoverVerdict::kWaitsForLoads:
      return "waits-for-loads";
    case TakeoverVerdict::kTaken:
      return "taken";
  }
  return "unknown";
}

bool HoldsModel(const FreeTarget& target, const std::string& model)
{
  return target.lastModel == model ||
         std::ranges::find(target.stagedModels, model) != target.stagedModels.end();
}

PoolPlan PlanPool(const PoolInput& input)
{
  return Planner(input).Run();
}

} // namespace gooseberrysail
