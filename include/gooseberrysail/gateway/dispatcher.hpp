#pragma once

#include "gooseberrysail/gateway/event_splitter.hpp"
#include "gooseberrysail/gateway/gateway_api.hpp"
#include "gooseberrysail/gateway/retry_allowance.hpp"
#include "gooseberrysail/gateway/target_board.hpp"
#include "gooseberrysail/gateway/waiting_line.hpp"
#include "gooseberrysail/serving/route_index.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace gooseberrysail {

/// \brief What the gateway knows besides the request, with its versions for the log.
struct ServingKnowledge
{
  std::shared_ptr<const RouteIndex> index; ///< Null while no document is known.
  std::uint64_t targetsSequence = 0;
  TimePoint heardAt{}; ///< When control last confirmed it.
};

/// \brief What callers asked of one model since start, as told to control.
struct DemandRow
{
  std::string service;
  std::string model;
  std::uint64_t requests = 0;
  std::uint64_t promptTokens = 0;
  std::uint64_t outputTokens = 0; ///< As callers expect them.
};

/// \brief Carries callers' requests to targets and the answers back.
/// \remarks A request that no target can take waits for the next free place where it will still be
/// in time then, and is refused at once otherwise.
class Dispatcher
{
public:
  Dispatcher(GatewayApi api,
             RetrySettings retries,
             FailureDomainId own,
             std::function<std::uint64_t()> random);

  void OnRequest(TimePoint now,
                 HttpRequestIn request,
                 const ServingKnowledge& knowledge,
                 std::vector<GatewayOutput>& outbox);
  /// \brief Answers a request at once that is not even looked at: it certainly does not run.
  void Refuse(TimePoint now,
              const HttpRequestIn& incoming,
              const std::string& reason,
              Duration retryAfter,
              std::vector<GatewayOutput>& outbox);
  void OnAnswer(TimePoint now, const TargetAnswerIn& part, std::vector<GatewayOutput>& outbox);
  void OnFailed(TimePoint now, const TargetFailedIn& failed, std::vector<GatewayOutput>& outbox);
  void OnCallerGone(TimePoint now, ExchangeId exchange, std::vector<GatewayOutput>& outbox);

  /// \brief Ends requests whose time is over and leaves heads that stand still.
  void Tick(TimePoint now, std::vector<GatewayOutput>& outbox);

  /// \brief Takes over the whole list of targets. Work of a former life of one that started again
  /// is over, and goes elsewhere where that is allowed.
  void OnTargets(TimePoint now,
                 std::span<const ServedTarget> targets,
                 std::vector<GatewayOutput>& outbox);

  /// \brief As OnTargets, of those that changed and those that are listed no more.
  void OnTargetChanges(TimePoint now,
                       std::span<const ServedTarget> changed,
                       std::span<const InstanceId> gone,
                       std::vector<GatewayOutput>& outbox);

  [[nodiscard]] TargetBoard& Board() noexcept { return m_board; }
  [[nodiscard]] const TargetBoard& Board() const noexcept { return m_board; }
  [[nodiscard]] RetryAllowance& Retries() noexcept { return m_retries; }
  [[nodiscard]] std::size_t InFlight() const noexcept { return m_requests.size(); }
  [[nodiscard]] std::vector<DemandRow> Demand() const;

private:
  struct Request
  {
    GatewayCall call;
    std::shared_ptr<const RouteIndex> index; ///< Keeps `route` alive.
    const HttpRoute* route = nullptr;
    std::string service;
    std::string model;     ///< "" where the service has no engines.
    std::string workspace; ///< "" for a public route without a key.
    std::uint64_t targetsSequence = 0;
    Duration knowledgeAge{};
    TimePoint arrived{};
    TimePoint deadline{};
    TimePoint sentAt{};       ///< The latest attempt.
    TimePoint firstAt{};      ///< The first event went to the caller.
    ExchangeId attempt;       ///< Under way; none between attempts.
    TargetIncarnation target; ///< Of the latest attempt.
    std::set<InstanceId> tried;
    std::uint32_t attempts = 0;
    bool mayHaveRun = false; ///< Some attempt was not certainly refused.
    bool headPassed = false; ///< The caller has the answer's head.
    bool streams = false;    ///< The present attempt's answer is passed on event by event.
    HttpAnswerOut whole;     ///< Collects an answer that is passed on in one piece.
    EventSplitter events;
    std::string lastTrouble;
  };

  using Outbox = std::vector<GatewayOutput>;

  // Arrival (dispatcher_arrival.cpp).
  struct Refusal
  {
    unsigned status = 0;
    std::string reason;
    std::optional<Duration> retryAfter;
  };
  [[nodiscard]] std::optional<Refusal> Admit(TimePoint now,
                                             const ServingKnowledge& knowledge,
                                             Request& request);
  void PickService(Request& request);
  [[nodiscard]] static std::uint64_t ExpectedOutput(const Request& request);
  void NoteDemand(const Request& request, bool isRefused);

  // Attempts (dispatcher.cpp).
  void Attempt(TimePoint now, Request& request, Outbox& outbox);
  void Send(TimePoint now, Request& request, const ServedTarget& target, Outbox& outbox);
  bool TryWait(TimePoint now, const Request& request);
  void ServeWaiting(TimePoint now, Outbox& outbox);
  void UseRoom(TimePoint now, Outbox& outbox);
  bool MayRetry(TimePoint now, const Request& request);
  /// \brief What targets that started again had in flight goes elsewhere, where it may.
  void EndFormerLives(TimePoint now,
                      std::span<const InstanceId> restarted,
                      std::vector<GatewayOutput>& outbox);
  /// \brief Those of the requests at the target that may run elsewhere are sent there.
  void MoveRequests(TimePoint now,
                    const std::function<bool(const TargetIncarnation&)>& isLost,
                    const char* trouble,
                    Outbox& outbox);
  void StopAttempt(Request& request, Outbox& outbox, bool cancel);
  void AttemptEnded(TimePoint now, Request& request, Outbox& outbox, bool ran, std::string trouble);
  void OnHead(TimePoint now, Request& request, const TargetAnswerIn& part, Outbox& outbox);
  void OnBody(TimePoint now, Request& request, const TargetAnswerIn& part, Outbox& outbox);
  void PassEvents(TimePoint now, Request& request, const TargetAnswerIn& part, Outbox& outbox);

  // Ends (dispatcher_end.cpp).
  void GiveUp(TimePoint now, Request& request, Outbox& outbox);
  void Refuse(TimePoint now, Request& request, const Refusal& refusal, Outbox& outbox);
  void End(TimePoint now, Request& request, const char* outcome, unsigned status, Outbox& outbox);

  Request* Find(ExchangeId exchange);
  Request* FindByAttempt(ExchangeId attempt);

  GatewayApi m_api;
  std::function<std::uint64_t()> m_random;
  TargetBoard m_board;
  RetryAllowance m_retries;
  WaitingLine m_line;
  std::multiset<ServedKind> m_freed; ///< Places that came free and are not used yet.
  std::unordered_map<ExchangeId, Request> m_requests;
  std::unordered_map<ExchangeId, ExchangeId> m_attempts; ///< Attempt to request.
  std::set<std::pair<TimePoint, ExchangeId>> m_deadlines;
  std::map<std::pair<std::string, std::string>, DemandRow> m_demand; ///< By service and model.
  std::uint64_t m_lastAttempt = 0;
};

} // namespace gooseberrysail
