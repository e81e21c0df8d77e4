#include "gooseberrysail/control/departure_service.hpp"

#include "control/outside_calls.hpp"
#include "gooseberrysail/observe/event.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace gooseberrysail {

namespace {

/// Departures in one command, so that a rolling update of thousands of targets does not delay other
/// commands.
constexpr std::size_t kMaxPerCommand = 512;
constexpr std::size_t kMaxCalls = TargetTable::kMaxTargets;
/// Interval of comparing the whole table with the log.
constexpr Duration kReviewInterval = std::chrono::seconds(5);

EventOut MakeAnswered(TimePoint now,
                      const Departure& departure,
                      TimePoint since,
                      const char* answer)
{
  return MakeEvent(EventNumber::kDepartureAnswered,
                   { { "target", departure.target.instance.Get() },
                     { "state", departure.left ? "left" : "draining" },
                     { "answer", answer },
                     { "millis", std::to_string(ToMillis(now - since)) } });
}

} // namespace

void DepartureService::OnCall(const ControlContext& context,
                              ExchangeId exchange,
                              const Departure& departure,
                              const Respond& respond)
{
  if (context.state.Departures().Covers(departure)) {
    respond(exchange, {});
    return;
  }
  if (m_calls.size() >= kMaxCalls) {
    respond(exchange, impl::Unconfirmed("too many calls at once"));
    return;
  }
  m_calls.push_back({ exchange, departure, context.now });
}

void DepartureService::OnCallerGone(ExchangeId exchange)
{
  std::erase_if(m_calls, [&](const Call& call) { return call.exchange == exchange; });
}

void DepartureService::ApplyCommitted(const ControlContext& context, TargetTable& targets)
{
  const DepartureTable& committed = context.state.Departures();
  if (committed.LastIndex() == m_appliedTo) {
    return;
  }
  for (const auto& [instance, row] : committed.Rows()) {
    if (row.index > m_appliedTo) {
      targets.Apply(context.now, row.departure);
    }
  }
  m_appliedTo = committed.LastIndex();
}

void DepartureService::Tick(ControlContext& context,
                            const TargetTable& targets,
                            const Respond& respond)
{
  AnswerCalls(context, respond);
  if (!context.ready) {
    m_changed.clear(); // A new leader reviews the whole table.
    return;
  }
  if (context.now >= m_nextReview) {
    m_nextReview = context.now + kReviewInterval;
    Review(context, targets);
  }
  ProposeChanges(context, targets);
}

// An applied departure is committed: a majority has synced it to disk, so that it outlasts every
// failure that the installation tolerates.
void DepartureService::AnswerCalls(ControlContext& context, const Respond& respond)
{
  std::erase_if(m_calls, [&](const Call& call) {
    const bool isCommitted = context.state.Departures().Covers(call.departure);
    if (!isCommitted && context.now - call.since <= impl::kAnswerTimeout) {
      return false;
    }
    context.outbox.emplace_back(MakeAnswered(
      context.now, call.departure, call.since, isCommitted ? "acknowledged" : "unconfirmed"));
    respond(call.exchange,
            isCommitted ? OutsideAnswer()
                        : impl::Unconfirmed("not committed in time; it may still be"));
    return true;
  });
}

// A departure may have been proposed by this leader and not be committed yet; proposed again it has
// no further effect.
void DepartureService::Review(const ControlContext& context, const TargetTable& targets)
{
  for (const auto& [instance, row] : targets.Rows()) {
    if (row.latest.left || row.latest.draining) {
      m_changed.insert(instance);
    }
  }
  m_outdated.clear();
  for (const auto& [instance, row] : context.state.Departures().Rows()) {
    // A table without room may lack the row of a target that has just left.
    const bool isNeeded = targets.DepartureOf(instance).has_value() ||
                          (targets.IsFull() && targets.Find(instance) == nullptr);
    if (!isNeeded) {
      m_outdated.push_back(row.departure);
    }
  }
}

void DepartureService::ProposeChanges(const ControlContext& context, const TargetTable& targets)
{
  wire::RecordDeparturesT command;
  std::vector<InstanceId> recorded;
  for (const InstanceId& instance : m_changed) {
    if (command.departures.size() == kMaxPerCommand) {
      break;
    }
    recorded.push_back(instance);
    const std::optional<Departure> departure = targets.DepartureOf(instance);
    if (departure && !context.state.Departures().Covers(*departure)) {
      command.departures.push_back(std::make_unique<wire::DepartureT>(ToWire(*departure)));
    }
  }
  const std::size_t forgotten = std::min(m_outdated.size(), kMaxPerCommand);
  for (const Departure& departure : std::span(m_outdated).last(forgotten)) {
    command.forgotten.push_back(std::make_unique<wire::DepartureT>(ToWire(departure)));
  }
  const bool isEmpty = command.departures.empty() && command.forgotten.empty();
  if (!isEmpty && !context.proposer.Propose(std::move(command))) {
    return;
  }
  for (const InstanceId& instance : recorded) {
    m_changed.erase(instance);
  }
  m_outdated.resize(m_outdated.size() - forgotten);
}

void DepartureService::OnLeadershipLost(const Respond& respond)
{
  for (const Call& call : m_calls) {
    respond(call.exchange,
            impl::Unconfirmed("leadership was lost; the departure may still be committed"));
  }
  m_calls.clear();
}

} // namespace gooseberrysail
