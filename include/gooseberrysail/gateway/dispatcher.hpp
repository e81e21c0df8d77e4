#pragma once

#include "gooseberrysail/admission/caller_retries.hpp"
#include "gooseberrysail/admission/retry_places.hpp"
#include "gooseberrysail/core/http_status.hpp"
#include "gooseberrysail/gateway/answer_limits.hpp"
#include "gooseberrysail/gateway/answer_times.hpp"
#include "gooseberrysail/gateway/event_splitter.hpp"
#include "gooseberrysail/gateway/finished_requests.hpp"
#include "gooseberrysail/gateway/gateway_api.hpp"
#include "gooseberrysail/gateway/head_forecasts.hpp"
#include "gooseberrysail/gateway/head_room.hpp"
#include "gooseberrysail/gateway/recent_minimum.hpp"
#include "gooseberrysail/gateway/retry_allowance.hpp"
#include "gooseberrysail/gateway/target_selector.hpp"
#include "gooseberrysail/gateway/unconfirmed_ends.hpp"
#include "gooseberrysail/gateway/wait_queue.hpp"
#include "gooseberrysail/serving/crash_suspects.hpp"
#include "gooseberrysail/serving/prompt_suspects.hpp"
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

/// \brief The serving data that a routing decision uses, with the versions for the log.
struct ServingSnapshot
{
  std::shared_ptr<const RouteIndex> index; ///< Null until a document has arrived.
  std::uint64_t targetsSequence = 0;
  TimePoint confirmedAt{}; ///< When the leading control process last sent its state.
};

/// \brief Total demand for one model since the process started, as reported to control.
struct DemandRow
{
  std::string service;
  std::string model;
  std::uint64_t requests = 0;
  std::uint64_t promptTokens = 0;
  std::uint64_t outputTokens = 0; ///< Expected by callers, or estimated.
};

/// \brief Forwards callers' requests to targets and the answers back to the callers.
/// \remarks When all targets are full, a request that has not been sent yet is queued if a slot is
/// expected to come free within its objective. Otherwise it is refused at once.
class Dispatcher
{
public:
  Dispatcher(GatewayApi api,
             RetrySettings retries,
             FailureDomainId ownDomain,
             std::function<std::uint64_t()> random);

  void OnRequest(TimePoint now,
                 HttpRequestIn request,
                 const ServingSnapshot& snapshot,
                 std::vector<GatewayOutput>& outbox);
  /// \brief Refuses a request with status 503 without routing it, so it is certain not to have run.
  void Refuse(TimePoint now,
              const HttpRequestIn& incoming,
              const std::string& reason,
              Duration retryAfter,
              std::vector<GatewayOutput>& outbox);
  void OnAnswer(TimePoint now, const TargetAnswerIn& part, std::vector<GatewayOutput>& outbox);
  void OnFailed(TimePoint now, const TargetFailedIn& failed, std::vector<GatewayOutput>& outbox);
  void OnCallerGone(TimePoint now, ExchangeId exchange, std::vector<GatewayOutput>& outbox);

  /// \brief Ends all requests: refuses those that have not been sent, answers that the outcome of
  /// the others is unknown, and cuts answers that have begun.
  /// \param retryAfter For the callers of those that have not been sent or may run again.
  void EndAll(TimePoint now,
              const std::string& reason,
              Duration retryAfter,
              std::vector<GatewayOutput>& outbox);

  /// \brief From now on, refuses requests whose answers are not expected to be complete at `end`,
  /// when EndAll will be called.
  /// \param retryAfter For their callers.
  void EndBy(TimePoint end, Duration retryAfter);

  /// \brief Ends requests that reached their deadline, and sends those at stalled heads to other
  /// heads as well.
  void Tick(TimePoint now, std::vector<GatewayOutput>& outbox);

  /// \brief Replaces the list of targets. Requests that are in flight at a target that has
  /// restarted are sent to another one as well, where the retry rules allow it.
  void OnTargets(TimePoint now,
                 std::span<const ServedTarget> targets,
                 std::vector<GatewayOutput>& outbox);

  /// \brief Like OnTargets, with only the changed and the removed targets.
  void OnTargetChanges(TimePoint now,
                       std::span<const ServedTarget> changed,
                       std::span<const InstanceId> gone,
                       std::vector<GatewayOutput>& outbox);

  /// \brief Adds suspects that control sent, and stops those that are quarantined by that.
  void MergeSuspects(TimePoint now,
                     const ProcessId& source,
                     std::span<const std::unique_ptr<wire::CrashSuspectT>> rows,
                     std::vector<GatewayOutput>& outbox);

  /// \brief Clears those of the suspects that finished at a target through this entry.
  void ClearFinishedSuspects(TimePoint now,
                             std::span<const std::unique_ptr<wire::CrashSuspectT>> rows,
                             std::vector<GatewayOutput>& outbox);

  /// \brief Adds what control knows of parts of prompts, and ends the requests with held ones.
  void MergePromptParts(TimePoint now,
                        const ProcessId& source,
                        std::span<const std::unique_ptr<wire::PromptSuspectT>> rows,
                        std::vector<GatewayOutput>& outbox);

  /// \brief Lets one request with a held part be sent, if one comes in time.
  void GrantTrial(TimePoint now,
                  const ProcessId& source,
                  const RequestFingerprint& part,
                  std::vector<GatewayOutput>& outbox);

  /// \brief With it, callers who are refused because all targets are full are told different times
  /// to come back, and callers' retries are preferred to first attempts.
  void SetRetryPlaces(bool isUsed) noexcept { m_usesRetryPlaces = isUsed; }

  void SetAnswerLimits(const AnswerLimits& limits) noexcept { m_limits = limits; }

  /// \brief Sets what is told how many bytes of answers are held for an exchange. A caller whose
  /// bytes can't be held is reported as gone.
  void SetHeldAnswerHook(HeldAnswerHook hook) { m_onHeldAnswer = std::move(hook); }

  /// \brief With it, requests are sent where their first event is predicted in time, and the heads
  /// are compared by that. Only for services whose engines state their figures.
  void SetForecasts(bool isUsed) noexcept { m_usesForecasts = isUsed; }

  [[nodiscard]] const CrashSuspects& Suspects() const noexcept { return m_suspects; }
  [[nodiscard]] const PromptSuspects& PromptParts() const noexcept { return m_promptParts; }
  [[nodiscard]] TargetSelector& Selector() noexcept { return m_selector; }
  [[nodiscard]] const TargetSelector& Selector() const noexcept { return m_selector; }
  [[nodiscard]] RetryAllowance& Retries() noexcept { return m_retries; }
  [[nodiscard]] std::size_t InFlight() const noexcept { return m_requests.size(); }
  [[nodiscard]] std::vector<DemandRow> Demand() const;

private:
  static constexpr const char* kOwnSource = "this entry"; ///< In log lines.
  static constexpr const char* kGoesOn = "another attempt goes on";
  static constexpr const char* kOwnAnswer = "entry";
  static constexpr const char* kTargetAnswer = "target";
  static constexpr unsigned kServerFault = 500;
  [[nodiscard]] static constexpr bool IsSuccess(unsigned status) { return status / 100 == 2; }
  /// An attempt whose target was in doubt goes on when it has sent events for this long.
  static constexpr Duration kGoesOnAfter = std::chrono::milliseconds(50);
  /// With less time left than this, no target can answer before the deadline.
  static constexpr Duration kMinTimeLeft = std::chrono::milliseconds(5);
  static constexpr const char* kTimeIsOver = "the time for the answer is over";

  /// \brief A bound on what is held of an answer.
  enum class AnswerBound
  {
    kNone,
    kBody,
    kEvent,
  };

  /// \brief A call to a target for a request.
  struct SentCall
  {
    ExchangeId exchange; ///< None once it has ended.
    TargetIncarnation target;
    TimePoint at{};
    std::uint32_t number = 0;     ///< Among the request's attempts, from 1.
    bool isTargetAvoided = false; ///< It was when it was chosen.
    unsigned status = 0;          ///< Of its answer; 0 before its head has come.
    bool statesNotRun = false;    ///< Its answer states that the target did not run it.
  };

  /// \brief What an attempt has answered while another one may serve the request.
  struct HeldAnswer
  {
    std::vector<TargetAnswerIn> parts;
    EventSplitter events;
    std::size_t bytes = 0;
    TimePoint firstEventAt{}; ///< The first whole event.
  };

  /// \brief An attempt beside one whose target is in doubt. The first of them that goes on serves.
  struct Hedge
  {
    SentCall sent;
    HeldAnswer held;
  };

  struct Request
  {
    GatewayCall call;
    std::shared_ptr<const RouteIndex> index; ///< Keeps `route` alive.
    const HttpRoute* route = nullptr;
    std::string service;
    std::string model;     ///< "" where the service has no engines.
    std::string workspace; ///< "" for a public route without a key.
    Urgency urgency = 0;
    bool isCallerRetry = false;
    RequestFingerprint fingerprint;
    std::vector<RequestFingerprint> promptParts; ///< That other requests may share.
    std::uint64_t targetsSequence = 0;
    Duration snapshotAge{};
    TimePoint arrived{};
    Duration unread{}; ///< From its arrival until it was read.
    TimePoint deadline{};
    TimePoint firstSentAt{};           ///< The first attempt.
    std::optional<TimePoint> queuedAt; ///< While it waits for a slot: since when.
    Duration queued{};                 ///< For how long it waited.
    SentCall sent;                     ///< The attempt whose answer is forwarded.
    std::vector<Hedge> hedges; ///< In the order of sending; only beside an attempt in flight.
    HeldAnswer held;           ///< Of that attempt, since there are hedges.
    TimePoint begunAt{};       ///< The first whole event of that attempt.
    bool isProven = false;     ///< Its answer went on after that, so its prompt crashes nothing.
    bool isTrial = false;      ///< The latest attempt tries a held part of the prompt.
    TimePoint firstEventAt{};  ///< The first event went to the caller.
    TimePoint lastEventAt{};   ///< The latest event went to the caller.
    Duration longestPause{};   ///< Between two events to the caller.
    Duration predicted{};      ///< Until the first event of the attempt that began; zero for none.
    Duration observed{};       ///< From sending until that event.
    std::set<InstanceId> tried;
    std::uint32_t attempts = 0;
    /// Attempts that never ran and don't count towards the route's maximum.
    std::uint32_t excusedAttempts = 0;
    bool isRejected = false;    ///< The latest attempt was, by a target that did not run it.
    bool mayHaveRun = false;    ///< At least one attempt may have been executed.
    bool headForwarded = false; ///< The head of the answer went to the caller.
    AnswerFraming callerFraming = AnswerFraming::kDelimited; ///< Of that answer; set with the head.
    bool streams = false;                 ///< The current answer is forwarded event by event.
    std::optional<AnswerFraming> framing; ///< Of the latest answer; none before a head.
    std::uint64_t answerBytes = 0;        ///< Of all bodies that targets sent.
    std::size_t reportedBytes = 0;        ///< To the hook of held answers.
    HttpAnswerOut bufferedAnswer;         ///< Status and headers, and the body unless it streams.
    EventSplitter events;
    std::string lastError;
    std::optional<Duration> toldRetryAfter; ///< What a refused caller was told.
    const char* answerOrigin = "";          ///< Whose answer the caller gets; "" while none.
  };

  using Outbox = std::vector<GatewayOutput>;

  // Arrival (dispatcher_arrival.cpp).
  struct Refusal
  {
    unsigned status = 0;
    std::string reason;
    std::optional<Duration> retryAfter;
    bool endsConnection = false; ///< The caller should come back on another connection.
  };
  [[nodiscard]] std::optional<Refusal> Admit(TimePoint now,
                                             const ServingSnapshot& snapshot,
                                             Request& request);
  void SelectService(Request& request);
  [[nodiscard]] static std::uint64_t ExpectedOutput(const Request& request);
  /// \brief The memory that the request is expected to need in an engine.
  [[nodiscard]] static std::uint64_t TokensOf(const Request& request);
  /// \brief Whether no group of the service could ever hold the request.
  [[nodiscard]] static bool ExceedsCache(const Request& request);
  void CountDemand(const Request& request, bool isRefused);

  // Attempts (dispatcher.cpp).
  [[nodiscard]] static ServedKind KindOf(const Request& request);
  /// \brief What the next attempt needs of its target.
  [[nodiscard]] TargetQuery QueryOf(TimePoint now, const Request& request) const;
  /// \brief The engine figures by which a request's first event is predicted; null for none.
  [[nodiscard]] const EngineSpec* ForecastEngine(const Request& request) const;
  [[nodiscard]] EventForecast ForecastFor(TimePoint now,
                                          const Request& request,
                                          const ServedTarget& head,
                                          double share,
                                          std::uint32_t inFlight) const;
  /// \brief Limits the predicted first event and pause at the heads for a request.
  void SetForecastLimits(TimePoint now, const Request& request, TargetQuery& query) const;
  /// \brief Whether a target could still answer before the deadline.
  [[nodiscard]] static bool HasTime(TimePoint now, const Request& request)
  {
    return request.deadline - now > kMinTimeLeft;
  }
  void Attempt(TimePoint now, Request& request, Outbox& outbox);
  /// \brief Sends a request that may wait no longer, if a target has capacity now.
  void SendOrGiveUp(TimePoint now, Request& request, Outbox& outbox);
  void Send(TimePoint now, Request& request, const ServedTarget& target, Outbox& outbox);
  bool TryEnqueue(TimePoint now, Request& request, Outbox& outbox);
  void DispatchQueued(TimePoint now, Outbox& outbox);
  void UseFreedSlots(TimePoint now, Outbox& outbox);
  /// \brief Sends a call for the request.
  [[nodiscard]] SentCall StartCall(TimePoint now,
                                   Request& request,
                                   const ServedTarget& target,
                                   Outbox& outbox);
  /// \brief The answer of this call is the one to forward from now on.
  static void ForwardFrom(Request& request, const SentCall& sent);
  /// \brief Takes one retry of the allowance, for the returned target.
  /// \param mayHaveRun Whether an attempt may have been executed.
  /// \returns Null if the request may not be sent once more, or no target can take it. Valid until
  /// the list of targets changes.
  [[nodiscard]] const ServedTarget* TakeRetry(TimePoint now,
                                              const Request& request,
                                              bool mayHaveRun);
  void StopAttempt(Request& request, Outbox& outbox, bool cancel);
  /// \brief Cancels all attempts of the request.
  void StopAttempts(TimePoint now, Request& request, const std::string& reason, Outbox& outbox);
  /// \brief The call is over: its slot is free, and what arrives for it is ignored.
  void EndCall(const Request& request, const SentCall& sent, Outbox& outbox, bool cancel);
  /// \param retryAfter How long the target wants no requests, where it says so.
  void LogFailedAttempt(TimePoint now,
                        const Request& request,
                        const SentCall& sent,
                        bool ran,
                        const std::string& reason,
                        std::optional<Duration> retryAfter,
                        Outbox& outbox) const;
  void AttemptEnded(TimePoint now,
                    Request& request,
                    Outbox& outbox,
                    bool ran,
                    std::string error,
                    std::optional<Duration> retryAfter = std::nullopt);
  /// \brief The target sent an answer to another request, or one without an id.
  void OnOtherAnswer(TimePoint now,
                     Request& request,
                     const SentCall& sent,
                     std::string_view answeredId,
                     Outbox& outbox);
  /// \brief Why an answer to the request with this head can't be forwarded; empty if it can.
  [[nodiscard]] static std::string FaultOf(const TargetHead& head);
  static void NoteHead(SentCall& sent, const TargetHead& head);
  /// \brief For log lines: the status of a call's answer; "" while there is none.
  [[nodiscard]] static std::string StatusText(unsigned status);
  /// \brief For log lines: whether the answer states that the call did not run; "" without answer.
  [[nodiscard]] static const char* StatementOf(const SentCall& sent);
  /// \brief Whether an answer with this status may go on with a stream that the caller has begun to
  /// get. One without a body would only end it.
  [[nodiscard]] static bool Resumes(const Request& request, unsigned status)
  {
    constexpr unsigned kOk = 200;
    return IsStream(request.route->repeat) && status == kOk;
  }
  /// \brief Whether the status says that the request has not run, but its target doesn't state so.
  [[nodiscard]] static bool IsUnstatedRefusal(const TargetHead& head)
  {
    return PromisesNotRun(head.status) && !head.HasNotRun();
  }
  /// \brief Why an attempt with this head has failed at its target.
  [[nodiscard]] static std::string FailureOf(const TargetHead& head);
  /// \brief Ends an attempt whose answer is not passed on, and sends the request to `next`; without
  /// one, answers the caller.
  void ReplaceAnswer(TimePoint now,
                     Request& request,
                     const TargetHead& head,
                     const ServedTarget* next,
                     Outbox& outbox);
  /// \brief A part of the answer that is forwarded.
  void OnPart(TimePoint now, Request& request, const TargetAnswerIn& part, Outbox& outbox);
  void OnHead(TimePoint now, Request& request, const TargetAnswerIn& part, Outbox& outbox);
  void OnBody(TimePoint now, Request& request, const TargetAnswerIn& part, Outbox& outbox);
  void ForwardEvents(TimePoint now, Request& request, const TargetAnswerIn& part, Outbox& outbox);
  /// \brief The stream has ended, with `events` as its last ones: whole, broken off, or unknown.
  void EndStream(TimePoint now, Request& request, std::string events, Outbox& outbox);
  void SendEvents(TimePoint now, Request& request, std::string events, bool end, Outbox& outbox);
  /// \brief The bound that a held answer exceeds; kNone for none.
  [[nodiscard]] AnswerBound ExceededBy(const HeldAnswer& held) const;
  /// \brief Tells how much of answers is held for the request.
  void ReportHeldAnswer(Request& request) const;
  /// \brief Ends an attempt whose answer exceeds a bound. The request may be erased.
  void EndUnbounded(TimePoint now,
                    Request& request,
                    const SentCall& sent,
                    AnswerBound bound,
                    Outbox& outbox);
  /// \brief The target's answer ended, and all of it went to the caller.
  void Complete(TimePoint now, Request& request, unsigned status, Outbox& outbox);
  /// \brief The target closed the connection before its answer was whole.
  void OnClosed(TimePoint now,
                Request& request,
                const SentCall& sent,
                const std::string& error,
                Outbox& outbox);
  /// \brief The attempt, a hedge or not, ended without an answer that can be forwarded.
  void EndAttempt(TimePoint now,
                  Request& request,
                  const SentCall& sent,
                  bool ran,
                  const std::string& error,
                  Outbox& outbox);

  // Attempts beside others (dispatcher_hedges.cpp).
  /// \brief Sends the requests whose attempts are all at doubtful targets to a further one, where
  /// the retry rules allow it.
  void HedgeRequests(TimePoint now, Outbox& outbox);
  [[nodiscard]] static Hedge* FindHedge(Request& request, ExchangeId exchange);
  /// \brief The attempt of the request, a hedge or not, that has this exchange.
  [[nodiscard]] static const SentCall& FindCall(Request& request, ExchangeId exchange);
  /// \brief A part of the answer of an attempt that has hedges.
  void OnDoubtedAnswer(TimePoint now, Request& request, const TargetAnswerIn& part, Outbox& outbox);
  /// \brief Forwards parts of an answer that were held back. The request may be erased.
  void ForwardParts(TimePoint now, const std::vector<TargetAnswerIn>& parts, Outbox& outbox);
  /// \brief Whether an attempt that got this head doesn't count towards the route's maximum.
  /// \remarks Each entry learns of a backoff by a rejected request, which has still time for
  /// another target.
  [[nodiscard]] static bool IsExcused(const TargetHead& head)
  {
    return head.HasNotRun() && head.retryAfter > Duration::zero();
  }
  void OnHedgeAnswer(TimePoint now, Request& request, const TargetAnswerIn& part, Outbox& outbox);
  /// \brief Why the answer of a hedge with this head can't be forwarded; empty if it can.
  [[nodiscard]] static std::string HedgeFaultOf(const Request& request,
                                                const TargetHead& head,
                                                AnswerFraming framing);
  /// \brief The hedge ended without an answer that can be forwarded; the other attempts go on.
  /// Without another hedge, what was held back of the first one's answer is forwarded.
  void OnHedgeEnded(TimePoint now,
                    Request& request,
                    ExchangeId exchange,
                    bool ran,
                    const std::string& reason,
                    Outbox& outbox,
                    std::optional<Duration> retryAfter = std::nullopt);
  void DropHedge(TimePoint now,
                 Request& request,
                 ExchangeId exchange,
                 bool ran,
                 const std::string& reason,
                 Outbox& outbox,
                 std::optional<Duration> retryAfter);
  /// \brief Cancels the hedges but for `kept`, as the request is served without them.
  void DropHedges(TimePoint now, Request& request, ExchangeId kept, Outbox& outbox);
  /// \brief Forwards the answer of this hedge from now on. Other attempts may be in flight only
  /// while it has no events.
  void ForwardHedge(TimePoint now, Request& request, ExchangeId exchange, Outbox& outbox);

  // Answers that end with their connections (dispatcher_unconfirmed.cpp).
  /// \brief The outcome of an answer that may be whole or cut.
  static constexpr const char* kUnconfirmed = "unconfirmed";
  /// \brief The answer ended with its connection, and all of it went to the caller.
  void CompleteUnconfirmed(TimePoint now, Request& request, unsigned status, Outbox& outbox);
  /// \brief Ends streams whose targets have shown no crash in time.
  void ReleaseHeldEnds(TimePoint now, Outbox& outbox);
  /// \brief The target sent bytes, so the answers that it ended before were whole.
  void ConfirmEnds(TimePoint now, const TargetIncarnation& target, Outbox& outbox);
  /// \brief These answers were cut by a crash of their target.
  void OnEndsCut(TimePoint now,
                 const TargetIncarnation& target,
                 std::span<const UnconfirmedEnds::End> ends,
                 Outbox& outbox);

  // What targets say of themselves (dispatcher_statements.cpp).

  /// \brief Takes over what a target says of itself in its answer.
  void RecordStatements(TimePoint now,
                        const Request& request,
                        const SentCall& sent,
                        const TargetHead& head,
                        Outbox& outbox);
  void RecordLimit(TimePoint now,
                   const Request& request,
                   const SentCall& sent,
                   const TargetHead& head,
                   Outbox& outbox);
  void RecordBackoff(TimePoint now,
                     const Request& request,
                     const SentCall& sent,
                     const TargetHead& head,
                     Outbox& outbox);
  /// \brief Ends the other attempts at a target of which nothing has been sent yet.
  void WithdrawUnsent(const SentCall& informed, Outbox& outbox);
  /// \brief Sends a request elsewhere whose attempt was withdrawn.
  void OnWithdrawn(TimePoint now, Request& request, const SentCall& sent, Outbox& outbox);

  // Suspects (dispatcher_suspects.cpp).
  /// \brief Records what the end of a call's connection says of the request and its parts.
  /// \returns Whether the request is quarantined by that.
  bool RecordClosed(TimePoint now, const Request& request, const SentCall& sent, Outbox& outbox);
  /// \brief The target closed the connection while it had the request.
  /// \returns Whether the request is quarantined by that.
  bool RecordCrash(TimePoint now,
                   const RequestFingerprint& fingerprint,
                   const TargetIncarnation& target,
                   Outbox& outbox);
  void RecordFinished(TimePoint now, const RequestFingerprint& fingerprint, Outbox& outbox);
  void ClearSuspect(TimePoint now, const RequestFingerprint& fingerprint, Outbox& outbox);
  /// \brief Logs that a request is quarantined, or no longer, if that changed.
  /// \returns Whether it has just been quarantined.
  bool LogSuspect(const RequestFingerprint& fingerprint,
                  bool wasQuarantined,
                  const std::string& source,
                  Outbox& outbox) const;
  /// \brief Ends all requests in flight that repeat a quarantined one.
  void StopRepeats(TimePoint now, const RequestFingerprint& fingerprint, Outbox& outbox);
  /// \brief Answers a quarantined request without an attempt.
  void RejectRepeat(TimePoint now, Request& request, Outbox& outbox);

  // Parts of prompts (dispatcher_parts.cpp).
  /// \brief The parts of an attempt that a crash of its target makes suspects.
  [[nodiscard]] std::span<const RequestFingerprint> UnprovenParts(TimePoint now,
                                                                  const Request& request,
                                                                  const SentCall& sent);
  /// \brief A held part of the request's prompt; null when there is none.
  [[nodiscard]] const RequestFingerprint* FindHeldPart(const Request& request) const;
  /// \brief Whether the request may be sent to try its only held part.
  bool TakeTrial(TimePoint now, const Request& request);
  void RecordPartCrashes(std::span<const RequestFingerprint> parts,
                         const TargetIncarnation& target,
                         const PromptSuspects::Crash& crash);
  /// \brief An answer that began at `begunAt` went on for long enough, or ended whole.
  void ProveParts(TimePoint now, Request& request, TimePoint begunAt, Outbox& outbox);
  /// \brief Logs the parts that are held now, or no longer, and ends the requests with held ones.
  void ApplyHeldParts(TimePoint now, const std::string& source, Outbox& outbox);
  void LogPart(const RequestFingerprint& part,
               const char* state,
               const std::string& source,
               Outbox& outbox) const;
  void EndHeldRequests(TimePoint now, Outbox& outbox);
  /// \brief Answers a request with a held part that has not been sent.
  void RefuseHeld(TimePoint now, Request& request, const RequestFingerprint& part, Outbox& outbox);

  // Requests during a stop (dispatcher_stop.cpp).
  struct StopPlan
  {
    TimePoint at;        ///< All requests are ended.
    Duration retryAfter; ///< For callers who are refused until then.
  };
  void RecordAnswerTime(TimePoint now, const Request& request);
  void ForgetFormerRoutes(const ServingSnapshot& snapshot);
  /// \brief How long an attempt that is sent now is expected to last.
  [[nodiscard]] Duration ExpectedTime(TimePoint now, const Request& request) const;
  /// \brief Whether an attempt that is sent now is expected to end before the process stops.
  [[nodiscard]] bool EndsInTime(TimePoint now, const Request& request) const;
  /// \brief Refuses a request that has not run and would not end before the process stops.
  void RefuseTooLong(TimePoint now, Request& request, Outbox& outbox);
  void RefuseQueuedTooLong(TimePoint now, Outbox& outbox);
  /// \brief When the caller of a request that may have run should come back to another entry; none
  /// unless the stop is what keeps it from being sent again.
  [[nodiscard]] std::optional<Duration> RetryElsewhere(TimePoint now, const Request& request) const;

  // Ends (dispatcher_end.cpp).
  void GiveUp(TimePoint now, Request& request, Outbox& outbox);
  /// \brief Ends an answer of which a part has gone to the caller.
  void Cut(TimePoint now, Request& request, Outbox& outbox);
  /// \brief When a caller for whom no target can be chosen should come back; none if no slot is
  /// expected before its deadline.
  [[nodiscard]] std::optional<Duration> RetryAfter(TimePoint now,
                                                   const Request& request,
                                                   const TargetQuery& query,
                                                   NoTargetReason reason);
  /// \brief Answers the caller of a request that may have run, by a status that promises nothing.
  void RefuseUnknown(TimePoint now,
                     Request& request,
                     std::optional<Duration> retryAfter,
                     Outbox& outbox);
  void Refuse(TimePoint now, Request& request, const Refusal& refusal, Outbox& outbox);
  void End(TimePoint now, Request& request, const char* outcome, unsigned status, Outbox& outbox);

  Request* Find(ExchangeId exchange);
  Request* FindByAttempt(ExchangeId attempt);

  GatewayApi m_api;
  AnswerLimits m_limits;
  HeldAnswerHook m_onHeldAnswer; ///< May be empty.
  std::function<std::uint64_t()> m_random;
  TargetSelector m_selector;
  RetryAllowance m_retries;
  WaitQueue m_queue;
  HeadRoom m_room;
  bool m_usesForecasts = false;
  HeadForecasts m_forecasts;
  bool m_usesRetryPlaces = false;
  CallerRetries m_callerRetries;
  std::map<ServedKind, RetryPlaces> m_retryPlaces;
  CrashSuspects m_suspects;
  FinishedRequests m_finished; ///< None of them is a suspect.
  PromptSuspects m_promptParts;
  std::map<ServedKind, RecentMinimum> m_fastestStarts; ///< From sending to the first event.
  std::set<RequestFingerprint> m_heldParts;            ///< As last applied to the requests.
  std::map<RequestFingerprint, TimePoint> m_trials;    ///< Granted to this entry, with their ends.
  UnconfirmedEnds m_unconfirmed;
  std::set<std::pair<TimePoint, ExchangeId>> m_heldEnds; ///< With the time of the end.
  bool m_hasReplaced = false; ///< Requests may be in flight at targets that have restarted.
  std::multiset<ServedKind> m_freedSlots; ///< Freed since the queue was last served.
  std::unordered_map<ExchangeId, Request> m_requests;
  std::unordered_map<ExchangeId, ExchangeId> m_attempts; ///< Attempt to request.
  std::set<std::pair<TimePoint, ExchangeId>> m_deadlines;
  std::map<std::pair<std::string, std::string>, DemandRow> m_demand; ///< By service and model.
  std::uint64_t m_lastAttempt = 0;
  AnswerTimes m_answerTimes;
  std::uint64_t m_answerTimesVersion = 0; ///< Of the document whose routes they are of.
  std::optional<StopPlan> m_end;          ///< Set once the process stops.
};

} // namespace gooseberrysail
