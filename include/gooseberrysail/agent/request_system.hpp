#pragma once

#include "gooseberrysail/agent/context.hpp"
#include "gooseberrysail/agent/gate.hpp"
#include "gooseberrysail/agent/held_output.hpp"
#include "gooseberrysail/agent/ledger.hpp"
#include "gooseberrysail/agent/start_queue.hpp"

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace gooseberrysail {

/// \brief The catalogue's limits on the requests of one group.
struct RequestLimits
{
  std::uint32_t maxConcurrent = 0;
  std::uint32_t maxQueued = 0;
};

/// \brief Queries about the group, evaluated at each use.
struct RequestHooks
{
  std::function<GateState(TimePoint)> gate;        ///< For new requests.
  std::function<GateState(TimePoint)> groupIntact; ///< For output of running requests.
  std::function<bool(GroupId, Epoch)> holds;
  std::function<RequestLimits()> limits;
};

/// \brief Requests on this target. Each is started at most once, and is either answered completely
/// or cut with a reason.
class RequestSystem
{
public:
  /// How long answers are kept for an entry that doesn't reconnect.
  static constexpr Duration kOutputRetention = std::chrono::seconds(60);
  /// How long after its deadline a call that must not be repeated may still complete.
  static constexpr Duration kOverdueLimit = std::chrono::minutes(5);
  /// How long output is withheld while the group isn't intact, before the requests are cut.
  static constexpr Duration kWithholdGrace = std::chrono::seconds(3);
  /// How long queued requests wait for a closed gate before they are refused, so that their entries
  /// can send them to another group.
  static constexpr Duration kQueueGateTimeout = std::chrono::milliseconds(500);

  RequestSystem(Incarnation incarnation, std::size_t maxHeldBytes, RequestHooks hooks);

  void OnPeerUp(impl::AgentContext& context, const ProcessId& peer, Incarnation incarnation);
  void OnPeerDown(impl::AgentContext& context, const ProcessId& peer);

  void OnStart(impl::AgentContext& context, const FrameIn& frame, const wire::StartT& start);
  void OnSeal(impl::AgentContext& context, const FrameIn& frame, const wire::SealT& seal);
  void OnResume(impl::AgentContext& context, const FrameIn& frame, const wire::ResumeT& resume);
  void OnCancel(impl::AgentContext& context, const FrameIn& frame, const wire::CancelT& cancel);
  void OnAck(impl::AgentContext& context, const FrameIn& frame, const wire::AckT& ack);

  /// \returns True when the exchange belongs to a request.
  bool OnAnswer(impl::AgentContext& context, const TargetAnswerIn& answer);
  bool OnFailed(impl::AgentContext& context, const TargetFailedIn& failure);

  /// \brief Handles deadlines, withheld output, queued requests and expired answers.
  void Tick(impl::AgentContext& context);
  /// \brief Cuts running requests and refuses queued ones, when this VM leaves the group.
  void EndAll(impl::AgentContext& context, const std::string& reason);

  [[nodiscard]] std::uint32_t Running() const noexcept { return m_running; }
  [[nodiscard]] std::uint32_t Queued() const noexcept
  {
    return static_cast<std::uint32_t>(m_queue.Size());
  }
  [[nodiscard]] std::size_t HeldBytes() const noexcept { return m_heldBytes; }
  /// \brief Whether no request is queued, running or waiting for its acknowledgement.
  [[nodiscard]] bool Idle() const noexcept { return m_attempts.empty(); }

private:
  enum class State : std::uint8_t
  {
    kQueued,
    kRunning,
    kEnded,
  };
  /// The target call of a request that has not started.
  struct Call
  {
    std::string method;
    std::string path;
    std::vector<HttpHeader> headers;
    std::string body;
  };
  struct Attempt
  {
    ProcessId entry;
    Incarnation entryIncarnation;
    Epoch epoch;
    State state = State::kQueued;
    bool repeatable = true;
    std::uint8_t priority = 0;
    bool connected = true;
    std::optional<Call> call;
    std::optional<TimePoint> deadline;
    std::optional<TimePoint> disconnectedAt; ///< When the entry's connection went down.
    TimePoint startedAt{};
    TimePoint lastContact{};
    ExchangeId exchange;
    HeldOutput output;
    /// Output before this offset may be sent: the group was intact after the target produced it.
    std::uint64_t deliverableEnd = 0;
    bool endDeliverable = false;
    std::uint64_t sent = 0; ///< Offset up to which output was sent on the current connection.
    bool headSent = false;
    bool endSent = false;
  };
  using Table = std::unordered_map<AttemptKey, Attempt, AttemptKeyHash>;

  // Starting.
  void Enqueue(impl::AgentContext& context,
               const FrameIn& frame,
               const wire::StartT& start,
               const AttemptKey& key);
  void AnswerFinished(impl::AgentContext& context, const ProcessId& peer, const AttemptKey& key);
  [[nodiscard]] wire::SealResult SealAttempt(TimePoint now, const AttemptKey& key);
  void SendUnknown(impl::AgentContext& context, const ProcessId& peer, const AttemptKey& key);
  bool MakeQueueRoom(impl::AgentContext& context, std::uint8_t priority);
  void StartQueued(impl::AgentContext& context);
  void Run(impl::AgentContext& context, const AttemptKey& key, Attempt& attempt);
  void SendRefused(impl::AgentContext& context,
                   const ProcessId& peer,
                   const AttemptKey& key,
                   const std::string& reason,
                   Duration retryAfter);
  void Refuse(impl::AgentContext& context,
              const ProcessId& peer,
              const AttemptKey& key,
              const std::string& reason,
              Duration retryAfter);
  void RefuseQueued(impl::AgentContext& context, const AttemptKey& key, const std::string& reason);
  void RefuseAllQueued(impl::AgentContext& context, const std::string& reason);
  [[nodiscard]] Duration ExpectedWait() const;

  // Ending.
  void Finish(impl::AgentContext& context, Attempt& attempt);
  void Cut(impl::AgentContext& context,
           const AttemptKey& key,
           Attempt& attempt,
           const std::string& reason);
  void CutRunning(impl::AgentContext& context, const std::string& reason);
  void Remove(impl::AgentContext& context, Table::iterator row);

  // Delivering.
  void MarkDeliverable(TimePoint now, Attempt& attempt);
  void Replay(impl::AgentContext& context,
              const AttemptKey& key,
              Attempt& attempt,
              std::uint64_t offset);
  void Deliver(impl::AgentContext& context, const AttemptKey& key, Attempt& attempt);
  void SendCutNotice(impl::AgentContext& context,
                     const ProcessId& peer,
                     const AttemptKey& key,
                     std::uint64_t offset,
                     const std::string& reason);
  void EnforceHeldLimit(impl::AgentContext& context);
  void DropHeld(Attempt& attempt);

  // Sweeping.
  void SweepGate(impl::AgentContext& context);
  void SweepAttempts(impl::AgentContext& context);
  [[nodiscard]] bool SweepAttempt(impl::AgentContext& context,
                                  const AttemptKey& key,
                                  Attempt& attempt);

  Incarnation m_incarnation;
  std::size_t m_maxHeldBytes;
  RequestHooks m_hooks;
  RequestLedger m_ledger;
  Table m_attempts;
  std::unordered_map<ExchangeId, AttemptKey> m_byExchange;
  StartQueue m_queue;
  std::uint32_t m_running = 0;
  std::size_t m_heldBytes = 0;
  double m_meanServiceMillis = 0; ///< Exponential moving average of the run time of requests.
  std::optional<TimePoint> m_groupBrokenSince;
  std::optional<TimePoint> m_gateClosedSince;
  std::optional<TimePoint> m_lastSweep;
};

} // namespace gooseberrysail
