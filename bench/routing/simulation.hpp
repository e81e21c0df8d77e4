#pragma once

#include "routing/chooser.hpp"
#include "routing/engine.hpp"
#include "routing/workload.hpp"

#include <functional>
#include <memory>
#include <queue>
#include <set>

namespace gooseberrysail::bench {

enum class Fault
{
  kNone,
  kStraggler,
  kUnreachableDomain,
  kReturningTarget,
};

struct Scenario
{
  std::string_view name;
  Fault fault = Fault::kNone;
  double perSecond = 110;
  double seconds = 100;
  double faultAt = 30;
  double faultEnd = 70;
  std::size_t groups = 30;
  std::size_t entries = 3;
  Work work = Work::kConversations;
  std::size_t straggler = 1;
};

/// \brief Number of calls, and of those without a whole answer in time.
struct Losses
{
  double calls = 0;
  double lost = 0;

  void Count(bool isLost)
  {
    calls += 1;
    lost += isLost ? 1 : 0;
  }
  [[nodiscard]] double Part() const { return lost / std::max(calls, 1.0); }
};

struct Metrics
{
  double goodput = 0; ///< Whole answers in time, per second.
  std::vector<double> first;
  std::vector<double> whole;     ///< From acceptance.
  std::vector<double> fromStart; ///< From the first sending, with waits for Retry-After.
  double wasted = 0;
  double hitRate = 0;
  double attemptsPerRequest = 0;
  double lostPart = 0;
  std::array<Losses, 3> byClass;
  std::array<Losses, kWorkspaces> byWorkspace;
};

inline double Percentile(std::vector<double>& values, double part)
{
  if (values.empty()) {
    return 0;
  }
  const auto at = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
  std::ranges::nth_element(values, values.begin() + static_cast<std::ptrdiff_t>(at));
  return values[at];
}

/// \brief Discrete-event simulation of entries, engines and callers that honour Retry-After.
class Simulation
{
public:
  Simulation(const Scenario& scenario,
             Policy policy,
             std::uint64_t seed,
             const RouterPolicy& tuning = {},
             const AdmissionPolicy& admissionTuning = {})
    : m_scenario(scenario)
    , m_policy(policy)
    , m_random(seed * 7919 + 17)
    , m_calls(MakeCalls(seed, scenario.perSecond, scenario.seconds, scenario.work))
    , m_requests(m_calls.size())
  {
    for (std::size_t i = 0; i < scenario.groups; ++i) {
      m_engines.emplace_back(EngineSpec{});
    }
    for (std::size_t i = 0; i < scenario.entries; ++i) {
      m_entries.push_back(
        std::make_unique<EntryState>(policy, Domain(i), seed + 31 * i, tuning, admissionTuning));
    }
    if (scenario.fault == Fault::kReturningTarget) {
      m_engines[0].present = false;
      m_engines[0].unreachable = true;
    }
    for (std::size_t i = 0; i < scenario.groups; ++i) {
      Announce(i);
    }
  }

  Metrics Run()
  {
    for (std::size_t i = 0; i < m_calls.size(); ++i) {
      At(m_calls[i].arrival, [this, i] { Arrive(i); });
    }
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
      At(0.5 * static_cast<double>(i) / static_cast<double>(m_engines.size()),
         [this, i] { Publish(i); });
    }
    At(0, [this] { Tick(); });
    ScheduleFault();
    const double end = m_scenario.seconds + 40;
    while (!m_events.empty() && m_events.top().at < end) {
      const Event event = std::move(const_cast<Event&>(m_events.top()));
      m_events.pop();
      m_now = event.at;
      event.run();
    }
    return Summarize();
  }

private:
  struct Event
  {
    double at = 0;
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const
    {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  struct Request
  {
    std::size_t entry = 0;
    std::uint32_t attempt = 0; ///< Over all calls; identifies outdated replies.
    std::size_t attempts = 0;
    std::vector<GroupId> tried;
    std::size_t group = 0;
    double acceptedAt = 0;
    double sentAt = 0;
    double firstAt = -1;
    double doneAt = -1;
    bool open = false; ///< An attempt is in flight.
    bool ended = false;
    double work = 0;
    double usefulWork = 0;
  };

  struct EntryState
  {
    EntryState(Policy policy,
               const FailureDomainId& domain,
               std::uint64_t seed,
               const RouterPolicy& tuning,
               const AdmissionPolicy& admissionTuning)
      : chooser(policy, domain, seed, tuning)
      , admission(admissionTuning)
    {
    }
    Chooser chooser;
    Admission admission;
  };

  static constexpr double kNetworkDelay = 0.0007;
  static constexpr double kFailureDetectionDelay = 1.5; ///< Until a failed connection is detected.
  static constexpr double kRemovalDelay = 6; ///< Until control removes unreachable groups.
  static constexpr double kBaselineRetryAfter = 1;
  static constexpr double kWarmUp = 15;

  static FailureDomainId Domain(std::size_t index)
  {
    return FailureDomainId("domain-" + std::to_string(index % 3));
  }
  static GroupId Group(std::size_t index) { return GroupId(index + 1); }
  static std::size_t Index(GroupId group) { return group.Get() - 1; }
  static EntryName Model() { return EntryName("model"); }

  [[nodiscard]] TimePoint Now() const { return TimePoint{ std::chrono::hours(1) + Time(m_now) }; }
  static Duration Time(double seconds)
  {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
  }
  static double Seconds(Duration duration)
  {
    return std::chrono::duration<double>(duration).count();
  }

  void At(double at, std::function<void()> run)
  {
    m_events.push({ at, m_order++, std::move(run) });
  }
  void After(double delay, std::function<void()> run) { At(m_now + delay, std::move(run)); }
  double Uniform(double low, double high)
  {
    return std::uniform_real_distribution<double>(low, high)(m_random);
  }

  void Announce(std::size_t index)
  {
    if (!m_engines[index].present) {
      return;
    }
    RouteCandidate candidate;
    candidate.group = Group(index);
    candidate.entry = Model();
    candidate.failureDomain = Domain(index);
    for (auto& entry : m_entries) {
      entry->chooser.Upsert(candidate);
    }
  }

  void Withdraw(std::size_t index)
  {
    m_engines[index].present = false;
    for (auto& entry : m_entries) {
      entry->chooser.Remove(Group(index));
    }
  }

  void ScheduleFault()
  {
    switch (m_scenario.fault) {
      case Fault::kNone:
        break;
      case Fault::kStraggler:
        At(m_scenario.faultAt, [this] { m_engines[m_scenario.straggler].slowdown = 4; });
        At(m_scenario.faultEnd, [this] { m_engines[m_scenario.straggler].slowdown = 1; });
        break;
      case Fault::kUnreachableDomain:
        At(m_scenario.faultAt, [this] { SetDomainUnreachable(true); });
        At(m_scenario.faultEnd, [this] { SetDomainUnreachable(false); });
        break;
      case Fault::kReturningTarget:
        At(m_scenario.faultAt, [this] { Return(0); });
        break;
    }
  }

  void Return(std::size_t index)
  {
    m_engines[index].unreachable = false;
    m_engines[index].present = true;
    Announce(index);
  }

  void SetDomainUnreachable(bool unreachable)
  {
    for (std::size_t i = 2; i < m_engines.size(); i += 3) {
      Engine& engine = m_engines[i];
      engine.unreachable = unreachable;
      if (unreachable) {
        m_lostWork += engine.Clear();
        FailAllAt(i);
        After(kRemovalDelay, [this, i] { Withdraw(i); });
      } else {
        Return(i);
      }
    }
  }

  void FailAllAt(std::size_t index)
  {
    for (std::size_t i = 0; i < m_requests.size(); ++i) {
      const Request& request = m_requests[i];
      if (request.open && request.group == index) {
        const std::uint32_t attempt = request.attempt;
        After(kFailureDetectionDelay, [this, i, attempt] { Failed(i, attempt); });
      }
    }
  }

  // ---- callers and entries ----

  [[nodiscard]] double TimeLeft(std::size_t id) const
  {
    return m_calls[id].arrival + m_calls[id].deadline - m_now;
  }

  void Arrive(std::size_t id)
  {
    Request& request = m_requests[id];
    request.entry = std::uniform_int_distribution<std::size_t>(0, m_entries.size() - 1)(m_random);
    request.tried.clear();
    request.firstAt = -1;
    if (UsesAdmission(m_policy)) {
      AdmissionQuery query;
      query.workspace = Workspace(id);
      query.entry = Model();
      query.priorityClass = m_calls[id].priorityClass;
      query.deadline = Time(TimeLeft(id));
      const AdmissionDecision decision = m_entries[request.entry]->admission.Decide(Now(), query);
      if (!decision.Admitted()) {
        RetryAfterDelay(id, Seconds(decision.retryAfter));
        return;
      }
    }
    request.acceptedAt = m_now;
    const std::uint32_t call = ++request.attempt;
    After(TimeLeft(id), [this, id, call] { Deadline(id, call); });
    Attempt(id);
  }

  void RetryAfterDelay(std::size_t id, double after)
  {
    if (after >= TimeLeft(id)) {
      m_requests[id].ended = true;
      return;
    }
    After(after, [this, id] { Arrive(id); });
  }

  WorkspaceId Workspace(std::size_t id) const
  {
    return WorkspaceId("workspace-" + std::to_string(m_calls[id].workspace));
  }

  RouteQuery Query(std::size_t id) const
  {
    RouteQuery query;
    query.entry = Model();
    query.prefixHashes = m_calls[id].hashes;
    query.tried = m_requests[id].tried;
    query.promptBytes = m_calls[id].hashes.size() * kBlockBytes;
    return query;
  }

  void Attempt(std::size_t id)
  {
    Request& request = m_requests[id];
    EntryState& entry = *m_entries[request.entry];
    const auto group = entry.chooser.Choose(Now(), Query(id));
    if (!group) {
      Abandon(id);
      return;
    }
    entry.chooser.OnSent(Now(), *group, Query(id));
    request.group = Index(*group);
    request.sentAt = m_now;
    request.open = true;
    ++request.attempts;
    ++m_attempts;
    ++request.attempt;
    const std::uint32_t attempt = request.attempt;
    After(kNetworkDelay, [this, id, attempt] { EngineArrive(id, attempt); });
  }

  void EndAttempt(std::size_t id, AttemptResult result)
  {
    Request& request = m_requests[id];
    request.open = false;
    m_entries[request.entry]->chooser.OnFinished(
      Now(), Group(request.group), result, Time(m_now - request.sentAt));
  }

  void Retry(std::size_t id)
  {
    Request& request = m_requests[id];
    request.tried.push_back(Group(request.group));
    if (m_entries[request.entry]->chooser.MayRetry(Now(), request.tried.size())) {
      Attempt(id);
    } else {
      Abandon(id);
    }
  }

  void Abandon(std::size_t id)
  {
    Request& request = m_requests[id];
    double after = kBaselineRetryAfter;
    if (UsesAdmission(m_policy)) {
      Admission& admission = m_entries[request.entry]->admission;
      admission.OnFinished(Now(), Workspace(id), Model(), Duration{}, 0);
      after = Seconds(admission.RetryAfter(Now(), Model()));
    }
    ++request.attempt;
    RetryAfterDelay(id, after);
  }

  void Refused(std::size_t id, std::uint32_t attempt)
  {
    if (m_requests[id].attempt != attempt || !m_requests[id].open) {
      return;
    }
    EndAttempt(id, AttemptResult::kRefused);
    Retry(id);
  }

  void Failed(std::size_t id, std::uint32_t attempt)
  {
    Request& request = m_requests[id];
    if (request.attempt != attempt || !request.open) {
      return;
    }
    EndAttempt(id, AttemptResult::kFailed);
    if (request.firstAt >= 0) {
      End(id);
      return;
    }
    Retry(id);
  }

  void FirstByte(std::size_t id, std::uint32_t attempt)
  {
    Request& request = m_requests[id];
    if (request.attempt != attempt || !request.open) {
      return;
    }
    request.firstAt = m_now;
    m_entries[request.entry]->chooser.router.OnFirstByte(
      Now(), Group(request.group), Time(m_now - request.sentAt));
  }

  void Finished(std::size_t id, std::uint32_t attempt, double work)
  {
    Request& request = m_requests[id];
    if (request.attempt != attempt || !request.open) {
      return;
    }
    EndAttempt(id, AttemptResult::kCompleted);
    request.doneAt = m_now;
    request.usefulWork = work;
    End(id);
  }

  void End(std::size_t id)
  {
    Request& request = m_requests[id];
    request.ended = true;
    if (UsesAdmission(m_policy)) {
      m_entries[request.entry]->admission.OnFinished(
        Now(), Workspace(id), Model(), Time(m_now - request.acceptedAt), m_calls[id].tokens);
    }
  }

  void Deadline(std::size_t id, std::uint32_t call)
  {
    Request& request = m_requests[id];
    if (request.ended || !request.open || request.attempt < call) {
      return;
    }
    EndAttempt(id, AttemptResult::kCancelled);
    const std::size_t group = request.group;
    const std::uint32_t attempt = request.attempt;
    After(kNetworkDelay,
          [this, group, id, attempt] { m_lostWork += m_engines[group].Cancel(id, attempt); });
    ++request.attempt;
    End(id);
  }

  // ---- engines ----

  void EngineArrive(std::size_t id, std::uint32_t attempt)
  {
    Request& request = m_requests[id];
    if (request.attempt != attempt) {
      return;
    }
    Engine& engine = m_engines[request.group];
    if (engine.unreachable) {
      After(kFailureDetectionDelay, [this, id, attempt] { Failed(id, attempt); });
      return;
    }
    Sequence sequence;
    sequence.request = id;
    sequence.attempt = attempt;
    sequence.tokensLeft = m_calls[id].tokens;
    sequence.priority = static_cast<int>(m_calls[id].priorityClass);
    sequence.hashes = m_calls[id].hashes;
    if (!engine.Accept(sequence)) {
      After(kNetworkDelay, [this, id, attempt] { Refused(id, attempt); });
      return;
    }
    if (!engine.stepping) {
      Step(request.group);
    }
  }

  void Step(std::size_t index)
  {
    Engine& engine = m_engines[index];
    engine.stepping = !engine.Idle() && !engine.unreachable;
    if (!engine.stepping) {
      return;
    }
    auto result = std::make_shared<Engine::StepResult>(engine.Step());
    After(result->seconds, [this, index, result] { StepEnds(index, *result); });
  }

  void StepEnds(std::size_t index, const Engine::StepResult& result)
  {
    if (!m_engines[index].unreachable) {
      for (const Sequence& sequence : result.first) {
        After(kNetworkDelay, [this, id = sequence.request, attempt = sequence.attempt] {
          FirstByte(id, attempt);
        });
      }
      for (const Sequence& sequence : result.finished) {
        m_doneWork += sequence.work;
        After(kNetworkDelay,
              [this, id = sequence.request, attempt = sequence.attempt, work = sequence.work] {
                Finished(id, attempt, work);
              });
      }
    }
    Step(index);
  }

  /// Sends load reports every half second, up to 0.4 s late, and cache events up to 2 s late; one
  /// batch of events in twenty is lost.
  void Publish(std::size_t index)
  {
    Engine& engine = m_engines[index];
    After(0.5, [this, index] { Publish(index); });
    if (engine.unreachable) {
      return;
    }
    LoadObservation load;
    load.running = static_cast<std::uint32_t>(engine.Running());
    load.queued = static_cast<std::uint32_t>(engine.Queued());
    ++engine.eventSequence;
    const auto added = std::make_shared<std::vector<std::uint64_t>>(std::move(engine.cache.added));
    const auto removed =
      std::make_shared<std::vector<std::uint64_t>>(std::move(engine.cache.removed));
    engine.cache.added.clear();
    engine.cache.removed.clear();
    const bool lost = Uniform(0, 1) < 0.05;
    const double cacheDelay = Uniform(0.3, 2);
    for (std::size_t e = 0; e < m_entries.size(); ++e) {
      const double delay = Uniform(0.05, 0.4);
      load.age = Time(delay);
      After(delay, [this, e, index, load] {
        m_entries[e]->chooser.router.OnLoad(Now(), Group(index), load);
      });
      if (!lost) {
        After(cacheDelay, [this, e, index, sequence = engine.eventSequence, added, removed] {
          m_entries[e]->chooser.router.OnCacheReport(
            Now(), Group(index), sequence, *added, *removed, false);
        });
      }
    }
  }

  void Tick()
  {
    After(0.05, [this] { Tick(); });
    for (auto& entry : m_entries) {
      const EntryLoad load = entry->chooser.router.Load(Model());
      entry->admission.SetCapacity(Model(),
                                   static_cast<std::uint32_t>(load.open * EngineSpec{}.slots));
      entry->admission.SetOccupancy(Model(), load.inFlight);
    }
  }

  /// Counts only answers between the warm-up and the last arrival. Afterwards the backlog drains
  /// without new arrivals, which would favour policies that let it grow.
  Metrics Summarize()
  {
    Metrics metrics;
    double good = 0;
    double useful = 0;
    Losses all;
    for (std::size_t id = 0; id < m_requests.size(); ++id) {
      const Request& request = m_requests[id];
      const bool inTime =
        request.doneAt >= 0 && request.doneAt <= m_calls[id].arrival + m_calls[id].deadline;
      const double arrival = m_calls[id].arrival;
      const bool isJudged =
        arrival >= kWarmUp && arrival + m_calls[id].deadline <= m_scenario.seconds;
      if (isJudged) {
        all.Count(!inTime);
        metrics.byClass[static_cast<std::size_t>(m_calls[id].priorityClass)].Count(!inTime);
        metrics.byWorkspace[m_calls[id].workspace].Count(!inTime);
      }
      useful += inTime ? request.usefulWork : 0;
      if (!inTime || request.doneAt < kWarmUp || request.doneAt > m_scenario.seconds) {
        continue;
      }
      good += 1;
      metrics.first.push_back(request.firstAt - request.acceptedAt);
      metrics.whole.push_back(request.doneAt - request.acceptedAt);
      metrics.fromStart.push_back(request.doneAt - m_calls[id].arrival);
    }
    double hit = 0;
    double blocks = 0;
    for (const Engine& engine : m_engines) {
      hit += static_cast<double>(engine.blocksHit);
      blocks += static_cast<double>(engine.blocksAll);
    }
    metrics.goodput = good / (m_scenario.seconds - kWarmUp);
    metrics.wasted = 1 - useful / std::max(m_doneWork + m_lostWork, 1e-9);
    metrics.hitRate = hit / std::max(blocks, 1.0);
    metrics.attemptsPerRequest =
      static_cast<double>(m_attempts) / static_cast<double>(m_requests.size());
    metrics.lostPart = all.Part();
    return metrics;
  }

  Scenario m_scenario;
  Policy m_policy;
  std::mt19937_64 m_random;
  std::vector<Call> m_calls;
  std::vector<Request> m_requests;
  std::vector<Engine> m_engines;
  std::vector<std::unique_ptr<EntryState>> m_entries;
  std::priority_queue<Event> m_events;
  std::uint64_t m_order = 0;
  double m_now = 0;
  std::uint64_t m_attempts = 0;
  double m_doneWork = 0;
  double m_lostWork = 0;
};

} // namespace gooseberrysail::bench
