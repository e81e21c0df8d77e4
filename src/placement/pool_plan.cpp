#include "gooseberrysail/placement/pool_plan.hpp"

#include "gooseberrysail/placement/model_work.hpp"
#include "placement/pool_candidates.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <tuple>

namespace gooseberrysail {

namespace {

/// Minimum gain of a takeover, in groups. A smaller gain isn't worth the second weights of the
/// hosts that it uses up: the store reloads only about four of them in ten seconds.
constexpr double kMinGain = 0.3;
/// Fulfilment of a model without demand.
constexpr double kFulfilmentWithoutDemand = 10;

using impl::CandidateGroup;
using impl::CountHoldingOrLoading;
using impl::EvaluateFormation;
using impl::FormationOption;
using impl::HoldsOrLoads;
using impl::IsBetter;
using impl::IsReadySooner;
using impl::MakeCandidate;
using impl::SortForModel;
using impl::Targets;

class PoolPlanner
{
public:
  explicit PoolPlanner(const PoolInput& input)
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
    // Large groups come first: small ones could leave too few targets in each domain for them.
    std::ranges::stable_sort(
      m_needs, std::greater{}, [](const ModelNeed& need) { return need.model->size; });
  }

  PoolPlan Run()
  {
    FillNeeds();
    StageMissing();
    LimitLoads(m_input.spareLoads);
    StageSpares();
    // A join uses up second weights, so loads for groups and spares have priority.
    if (m_input.loadsAreCheap || !LacksAny(m_input.needs)) {
      LimitLoads(m_input.secondLoads);
      StageSecondWeights();
    }
    return std::move(m_plan);
  }

private:
  static const std::string& NameOf(const ModelNeed& need) { return need.model->name; }

  /// Adds one group at a time for the model with the greatest need, if necessary by a takeover;
  /// only then do models with less need take free targets. In another order, targets released by a
  /// model would be assigned to it again.
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
    if (const std::optional<FormationOption> option = FindFormation(*need.model)) {
      Form(*need.model, *option);
      ++need.groups;
      return true;
    }
    if (m_input.loadsAreCheap) {
      return false;
    }
    if (const std::optional<Takeover> warm = FindTakeover(need, Members::kWarm)) {
      PlanTakeover(need, *warm);
      return true;
    }
    const std::optional<Takeover> takeover = FindTakeover(need, Members::kAny);
    const std::optional<CandidateGroup> idle = FindCandidate(*need.model);
    if (takeover && (!idle || IsReadySooner(takeover->candidate, *idle))) {
      ShortageOf(need).takeover = TakeoverVerdict::kWaitsForLoads;
      BeginLoads(need, takeover->candidate, LoadPurpose::kTakeover);
    } else if (idle) {
      BeginLoads(need, *idle, LoadPurpose::kGroup);
    }
    return false;
  }

  /// Starts loads for further groups. It runs after FillNeeds, so that no targets are reserved that
  /// a group could be formed of now.
  void StageMissing()
  {
    std::vector<ModelNeed*> open = ListNeeds();
    while (!open.empty()) {
      const auto worst = FindWorst(open);
      ModelNeed& need = **worst;
      const std::optional<CandidateGroup> idle =
        need.groups < need.wanted ? FindCandidate(*need.model) : std::nullopt;
      if (!idle) {
        open.erase(worst);
        continue;
      }
      BeginLoads(need, *idle, LoadPurpose::kGroup);
    }
  }

  PlannedShortage& ShortageOf(const ModelNeed& need)
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

  /// Without traffic the offered load is unknown and all models are equal.
  static bool LacksMore(const ModelNeed& left, const ModelNeed& right)
  {
    return Fulfilment(left) < Fulfilment(right);
  }

  [[nodiscard]] std::optional<FormationOption> FindFormation(const GroupModel& model) const
  {
    std::optional<FormationOption> best;
    for (const auto& [domain, targets] : m_pool) {
      if (targets.size() < model.size) {
        continue;
      }
      FormationOption option = EvaluateFormation(domain, targets, model);
      option.free += ReturningTo(domain).size();
      const bool allowed =
        option.loads == 0 || (m_input.loadsAreCheap && option.loads <= m_loadsLeft);
      if (allowed && (!best || IsBetter(option, *best))) {
        best = option;
      }
    }
    return best;
  }

  void Form(const GroupModel& model, const FormationOption& option)
  {
    Targets& targets = m_pool[option.fabricDomain];
    SortForModel(targets, model.name);
    PlannedGroup group{ model.name, {}, option.loads };
    for (std::size_t i = 0; i < model.size; ++i) {
      group.members.push_back(targets[i]->instance);
    }
    targets.erase(targets.begin(), targets.begin() + model.size);
    m_loadsLeft -= option.loads;
    m_plan.groups.push_back(std::move(group));
  }

  /// Ratio of a model's groups to those that its requests need.
  static double Fulfilment(const ModelNeed& need)
  {
    return need.offeredLoad <= 0 ? kFulfilmentWithoutDemand
                                 : need.groups / RequiredGroups(need.offeredLoad);
  }

  /// Proportional fairness: the logarithm of the served fraction, weighted by the offered load.
  /// Groups beyond those that its requests need add nothing, so no model loses groups to another's
  /// reserve. The fewer groups a model has, the more it gains by a further one.
  static double Utility(const ModelNeed& need, int change)
  {
    const double groups = static_cast<double>(need.groups) + change;
    return need.offeredLoad * LogServedFraction(groups, need.offeredLoad);
  }

  /// \brief Total gain over both models, in groups, when `donor` releases groups for `need`.
  static double Gain(const ModelNeed& need, int formed, const ModelNeed& donor, int released)
  {
    return Utility(need, formed) - Utility(need, 0) + Utility(donor, -released) - Utility(donor, 0);
  }

  /// \brief Free targets and serving groups of one domain that together form a group of another
  /// model.
  struct Takeover
  {
    CandidateGroup candidate;
    std::vector<const ServingGroup*> groups;
    MoveEstimate estimate; ///< Only where moves are weighed.
  };

  /// \brief Which targets a takeover may use.
  enum class Members
  {
    kWarm, ///< Only those that hold the weights: the group can be formed at once.
    kAny,  ///< Also those that have to load first.
  };

  /// Idle targets that can form a group of the model soonest; none when no domain has enough.
  [[nodiscard]] std::optional<CandidateGroup> FindCandidate(const GroupModel& model) const
  {
    std::optional<CandidateGroup> best;
    for (const auto& [domain, pool] : m_pool) {
      Targets targets = ListUnassigned(pool);
      const Targets returning = ListUnassigned(ReturningTo(domain));
      targets.insert(targets.end(), returning.begin(), returning.end());
      if (targets.size() < model.size) {
        continue;
      }
      CandidateGroup candidate = MakeCandidate(domain, std::move(targets), model);
      if (!best || IsReadySooner(candidate, *best)) {
        best = std::move(candidate);
      }
    }
    return best;
  }

  /// With Members::kWarm, free targets without the weights are left out, so that members of serving
  /// groups that hold them are considered. Without this, seven warm and three cold free targets
  /// waited 25 s for one load, while members of small groups in the domain held the weights.
  [[nodiscard]] std::optional<Takeover> FindTakeover(const ModelNeed& need, Members which)
  {
    PlannedShortage& shortage = ShortageOf(need);
    if (!m_input.mayTakeOver) {
      shortage.takeover = TakeoverVerdict::kLossesSettle;
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
      shortage.takeover = VerdictWithoutTakeover(shortage);
    }
    return best;
  }

  [[nodiscard]] TakeoverVerdict VerdictWithoutTakeover(const PlannedShortage& shortage) const
  {
    if (shortage.gain == 0) {
      return TakeoverVerdict::kNoCandidate;
    }
    if (m_input.moves == nullptr) {
      return TakeoverVerdict::kTooLittleGain;
    }
    return shortage.isBlockedByRecentMove ? TakeoverVerdict::kMovedRecently
                                          : TakeoverVerdict::kLoadMayPass;
  }

  static bool IsCheaper(const Takeover& left, const Takeover& right)
  {
    return std::pair(left.groups.size(), left.candidate.toBegin) <
           std::pair(right.groups.size(), right.candidate.toBegin);
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

  /// Combines the free targets of the domain with the fewest groups of the donor that complete a
  /// group of `need`.
  [[nodiscard]] std::optional<Takeover> Combine(const ModelNeed& need,
                                                const ModelNeed& donor,
                                                const FabricDomainId& domain,
                                                std::vector<const ServingGroup*> groups,
                                                Members which)
  {
    const std::string& model = need.model->name;
    const std::size_t size = need.model->size;
    // Groups with the most hosts that hold or are loading the weights come first.
    std::ranges::stable_sort(groups, std::greater{}, [&](const ServingGroup* group) {
      return std::ranges::count_if(
        group->members, [&](const FreeTarget& member) { return HoldsOrLoads(member, model); });
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
    const int released = static_cast<int>(takeover.groups.size());
    // A large group may provide targets for several small ones; later passes form the others.
    const int formed = static_cast<int>(members.size() / size);
    if (formed == 0 || released == 0) {
      return std::nullopt;
    }
    const double gain = Gain(need, formed, donor, released);
    PlannedShortage& shortage = ShortageOf(need);
    shortage.gain = shortage.gain == 0 ? gain : std::max(shortage.gain, gain);
    if (m_input.moves != nullptr) {
      takeover.estimate = Estimate(need, formed, donor, released);
      if (!MayMove(shortage, need, donor, takeover.estimate)) {
        return std::nullopt;
      }
    } else if (gain < kMinGain) {
      return std::nullopt;
    }
    takeover.candidate = MakeCandidate(domain, std::move(members), *need.model);
    takeover.candidate.takesOver = true;
    return takeover;
  }

  [[nodiscard]] MoveEstimate Estimate(const ModelNeed& need,
                                      int formed,
                                      const ModelNeed& donor,
                                      int released) const
  {
    const MoveInput& moves = *m_input.moves;
    const auto moved = [](const ModelNeed& model, int change) {
      return MovedModel{ model.model,
                         static_cast<double>(model.groups),
                         static_cast<double>(change),
                         model.offeredLoad };
    };
    const ProposedMove move{ moved(need, formed),
                             moved(donor, -released),
                             MoveDuration(moves.engine, *donor.model, *need.model),
                             std::ranges::find(moves.lossy, NameOf(need)) != moves.lossy.end() };
    return EstimateMove(moves.now, move, moves.history);
  }

  /// Records the estimate that comes closest to a move in the shortage.
  bool MayMove(PlannedShortage& shortage,
               const ModelNeed& need,
               const ModelNeed& donor,
               const MoveEstimate& estimate) const
  {
    const bool isBlockedByRecentMove =
      std::ranges::any_of(m_input.moves->recent, [&](const RecentMove& recent) {
        return recent.donor == NameOf(need) && recent.receiver == NameOf(donor);
      });
    const bool isCloser =
      shortage.estimate.samples == 0 ||
      estimate.gain - estimate.loss > shortage.estimate.gain - shortage.estimate.loss;
    if (isCloser) {
      shortage.estimate = estimate;
    }
    shortage.isBlockedByRecentMove =
      shortage.isBlockedByRecentMove || (isBlockedByRecentMove && estimate.PaysOff());
    return estimate.PaysOff() && !isBlockedByRecentMove;
  }

  /// Plans to close the donor's groups and to form a group of their members, which hold the
  /// weights.
  void PlanTakeover(ModelNeed& need, const Takeover& takeover)
  {
    Reserve(takeover.candidate.fabricDomain, takeover.candidate.members);
    PlannedTakeover planned{
      { need.model->name, {}, 0 }, {}, takeover.groups.front()->model, takeover.estimate
    };
    for (const FreeTarget* target : takeover.candidate.members) {
      planned.group.members.push_back(target->instance);
    }
    for (const ServingGroup* group : takeover.groups) {
      planned.releases.push_back(group->name);
      m_released.insert(group->name);
      --std::ranges::find(m_needs, group->model, &NameOf)->groups;
    }
    m_plan.takeovers.push_back(std::move(planned));
    ++need.groups;
    ShortageOf(need).takeover = TakeoverVerdict::kTaken;
  }

  /// Starts the loads that a group needs. Serving members continue to serve. Idle ones that hold or
  /// load the weights are reserved: in a group of another model their hosts would lose them.
  void BeginLoads(ModelNeed& need, const CandidateGroup& candidate, LoadPurpose purpose)
  {
    const std::string& model = need.model->name;
    if (PlannedShortage& shortage = ShortageOf(need); shortage.fabricDomain.IsNone()) {
      shortage.fabricDomain = candidate.fabricDomain;
      shortage.loadsToBegin = static_cast<std::uint32_t>(candidate.toBegin);
      shortage.loadsUnderWay = static_cast<std::uint32_t>(candidate.underWay);
    }
    Targets reserved;
    for (const FreeTarget* target : candidate.members) {
      // A model without any group may exceed the full-speed limit: it has priority over the loads
      // that are slowed down.
      if (m_loadsAtFullSpeed > 0 || need.groups == 0) {
        Stage(*target, model, purpose);
      }
      m_assigned.insert(target->instance);
      if (HoldsOrLoads(*target, model) || m_staged.contains(target->instance)) {
        reserved.push_back(target);
      }
    }
    Reserve(candidate.fabricDomain, reserved);
    ++need.groups; // Counted already while its loads run.
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

  /// Removes the idle members from their domain's pool.
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
        spares[need.model->name] = CountHoldingOrLoading(targets, need.model->name) +
                                   CountSecondWeights(domain, need.model->name);
      }
      for (const FreeTarget* target : targets) {
        if (target->lastModel.empty() && !target->stagedModels.empty() && target->staging.empty()) {
          m_plan.standbys.push_back({ target->instance, target->stagedModels.front() });
          continue;
        }
        if (!target->lastModel.empty()) {
          continue; // StageSecondWeights plans its host's loads.
        }
        // Under traffic, weights that a host already holds aren't replaced: a group of their model
        // may need them.
        if (target->stagedModels.empty() || m_input.loadsAreCheap) {
          StageSpare(*target, spares);
        }
      }
    }
  }

  /// Counts members of the domain's groups of other models whose hosts hold or load this model's
  /// weights.
  [[nodiscard]] std::size_t CountSecondWeights(const FabricDomainId& domain,
                                               const std::string& model) const
  {
    std::size_t count = 0;
    for (const ServingGroup& group : m_input.serving) {
      if (group.fabricDomain == domain && group.model != model) {
        count += static_cast<std::size_t>(std::ranges::count_if(
          group.members, [&](const FreeTarget& member) { return HoldsOrLoads(member, model); }));
      }
    }
    return count;
  }

  /// Distributes spares over the models in proportion to their members, as any member is equally
  /// likely to be lost. A spare of the same model replaces a lost member without using up its
  /// host's second weights.
  void StageSpare(const FreeTarget& target, std::map<std::string, std::size_t>& spares)
  {
    const auto worth = [&](const ModelNeed& need) {
      const double members = static_cast<double>(need.groups) * need.model->size;
      return members / static_cast<double>(spares[need.model->name] + 1);
    };
    const auto best = std::ranges::max_element(m_needs, std::less{}, worth);
    if (best == m_needs.end() || HoldsOrLoads(target, best->model->name)) {
      return;
    }
    Stage(target, best->model->name, LoadPurpose::kSpare);
    ++spares[best->model->name];
  }

  /// Limits the total number of loads in this plan to `most`, for loads that no group waits for.
  void LimitLoads(std::uint32_t most)
  {
    const auto begun = static_cast<std::uint32_t>(m_plan.stages.size());
    m_loadsLeft = std::min(m_loadsLeft, most - std::min(most, begun));
  }

  /// A host may hold other weights than those that its target serves with, and a target can join
  /// another group of the model that it served last without the host's weights. Each host therefore
  /// loads the weights of the largest other model. The target can then serve either model within
  /// two seconds, while a load under traffic takes 16 s. Joining any group uses up these weights.
  void StageSecondWeights()
  {
    // Idle targets first: without the second weights some of them serve no requests.
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

  /// Stages the weights of the largest model other than this one.
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
    if (HoldsOrLoads(target, model) || !target.staging.empty() || m_loadsLeft == 0 ||
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
  /// Targets with a load in this plan; a host loads one model at a time.
  std::set<InstanceId> m_staged;
  std::set<InstanceId> m_assigned;  ///< Members of groups that wait for loads.
  std::set<std::string> m_released; ///< Serving groups closed for a takeover.
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
    case TakeoverVerdict::kLoadMayPass:
      return "load-may-pass";
    case TakeoverVerdict::kMovedRecently:
      return "moved-recently";
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
  return PoolPlanner(input).Run();
}

} // namespace gooseberrysail
