#pragma once

#include "gooseberrysail/catalogue/entry.hpp"
#include "gooseberrysail/observe/event.hpp"
#include "gooseberrysail/roles/agent_role.hpp"
#include "gooseberrysail/wire/envelope.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gooseberrysail::test {

/// \brief One agent under simulated time, with simulated peers: control, entries, the other
/// members' agents and the target. \code AgentHarness agent; agent.FormGroup(7);
/// agent.Start("entry-1.1.1");
/// agent.AnswerCall("entry-1.1.1", "hello", true);
/// \endcode
class AgentHarness
{
public:
  struct Shape
  {
    wire::TargetKind kind = wire::TargetKind::Engine;
    std::size_t members = 4;
    std::size_t maxHeldOutputBytes = 1024 * 1024;
    std::uint32_t maxConcurrent = 4;
    std::uint32_t maxQueued = 4;
    std::uint64_t incarnation = 11;
  };
  AgentHarness();
  explicit AgentHarness(Shape shape);

  // Automatic behaviour of the simulated peers.
  bool controlAnswersConfig = true;
  bool controlGrantsLease = true;
  bool targetAlive = true;
  bool engineIgnoresFencing = false;
  bool engineAnswersOrders = true;
  std::set<std::string> silentMembers; ///< VMs whose agents don't answer heartbeats.
  std::set<std::string> leavingMembers;
  PolicySpec policy;
  std::string drainingVm;
  std::string assignedVersion = "2026-11"; ///< Weights version in Assign.
  std::string cacheEvents;                 ///< The engine's answer to /cache_events; "": 404.
  std::uint64_t catalogueVersion = 1;      ///< Newest version, as control reports it.

  /// \brief Advances time in ticks of 50 ms; the simulated peers answer.
  void Advance(Duration duration);
  /// \brief Advances time without ticks, as if the process were frozen; queued inputs stay unread.
  void Pause(Duration duration);
  void Deliver(AgentInput input);
  /// \brief Runs one tick, so that pending answers are processed.
  void Settle() { Advance(std::chrono::milliseconds(50)); }

  /// \brief Assigns the group with `epoch` and gives its gate time to open.
  void FormGroup(std::uint64_t epoch, const std::string& head = "vm-1");
  void Assign(std::uint64_t epoch, const std::string& head = "vm-1", std::uint64_t group = 5);
  void Release(std::uint64_t epoch, std::uint32_t graceMillis, std::uint64_t group = 5);

  struct StartOptions
  {
    std::uint32_t attempt = 1;
    std::uint64_t epoch = 0;       ///< 0: the assigned one.
    std::uint64_t incarnation = 0; ///< 0: the agent's own.
    std::uint8_t priority = 0;
    std::uint32_t deadlineMillis = 0;
    bool repeatable = true;
    std::string entry = "entry-1";
    std::uint64_t entryIncarnation = 1;
  };
  void Start(const std::string& request, const StartOptions& options);
  void Start(const std::string& request) { Start(request, StartOptions{}); }
  void Seal(const std::string& request, std::uint32_t attempt = 1, std::uint64_t incarnation = 0);
  void Resume(const std::string& request, std::uint64_t offset, std::uint64_t incarnation = 0);
  void Acknowledge(const std::string& request, std::uint64_t offset, bool done);
  void Cancel(const std::string& request, const std::string& reason);

  template<class MessageT>
  void Frame(const std::string& peer, MessageT message, std::uint64_t incarnation = 1)
  {
    Deliver(FrameIn{ ProcessId(peer), Incarnation(incarnation), MakeEnvelope(std::move(message)) });
  }

  // Requests as the target receives them.
  struct TargetCall
  {
    ExchangeId exchange;
    std::string request;
    std::string path;
    std::string body;
    bool cancelled = false;
  };
  /// \brief Calls of requests that reached the target, in order.
  [[nodiscard]] const std::deque<TargetCall>& Calls() const noexcept { return m_calls; }
  [[nodiscard]] std::size_t RunsOf(const std::string& request) const;
  /// \brief The latest call of a request; null when none reached the target.
  [[nodiscard]] const TargetCall* CallOf(const std::string& request) const;
  void AnswerCall(const std::string& request,
                  const std::string& bytes,
                  bool end,
                  bool first = true);
  void FailCall(const std::string& request, bool neverSent);
  [[nodiscard]] const std::vector<std::string>& Orders() const noexcept { return m_orders; }
  /// \brief The unanswered order, if `engineAnswersOrders` is false.
  [[nodiscard]] std::optional<ExchangeId> OpenOrder() const noexcept { return m_openOrder; }
  void FailOpenOrder();
  void FinishLoad();
  std::string engineModel;
  std::string engineVersion;
  bool engineLoading = false;

  // Output of the agent.
  /// \brief All frames of a kind to a peer ("": to any peer), oldest first.
  template<class MessageT>
  [[nodiscard]] std::vector<const MessageT*> Sent(const std::string& peer = "") const
  {
    std::vector<const MessageT*> found;
    for (const FrameOut& frame : m_sent) {
      if (frame.envelope->body.type == wire::BodyUnionTraits<MessageT>::enum_value &&
          (peer.empty() || frame.peer.Get() == peer)) {
        found.push_back(static_cast<const MessageT*>(frame.envelope->body.value));
      }
    }
    return found;
  }
  template<class MessageT>
  [[nodiscard]] const MessageT* Last(const std::string& peer = "") const
  {
    const auto all = Sent<MessageT>(peer);
    return all.empty() ? nullptr : all.back();
  }
  void ClearSent() { m_sent.clear(); }
  /// \brief An answer as an entry reassembles it from frames by offset.
  struct Received
  {
    std::string bytes;
    std::uint32_t status = 0;
    bool ended = false;
    std::string cutReason;
  };
  [[nodiscard]] Received ReceivedOf(const std::string& request) const;
  [[nodiscard]] std::string RefusalOf(const std::string& request) const;
  [[nodiscard]] std::size_t Events(EventNumber number) const;
  [[nodiscard]] bool Stopped() const noexcept { return m_stopped; }
  /// \brief Whether the gate accepts a new request; sends one with a new request id.
  [[nodiscard]] bool Serves();
  [[nodiscard]] std::string LastRefusal() const { return m_lastRefusal; }
  [[nodiscard]] TimePoint Now() const noexcept { return m_now; }
  /// \brief Called with every output, to record sessions.
  std::function<void(TimePoint, const AgentOutput&)> onOutput;
  std::function<void(TimePoint, const AgentInput&)> onInput;
  std::function<void()> beforeTick; ///< Called around the role's Tick, for measurements.
  std::function<void()> afterTick;

private:
  void Tick();
  void Handle(const AgentOutput& output);
  void HandleFrame(const FrameOut& frame);
  void HandleCall(const TargetCallOut& call);
  void HandleOrder(const TargetCallOut& call);
  void AnswerConfig(const FrameOut& frame, const wire::ConfigQueryT& query);
  void Answer(ExchangeId exchange, unsigned status, std::string body);
  [[nodiscard]] wire::ConfigStateT Catalogue() const;

  Shape m_shape;
  TimePoint m_now{ std::chrono::hours(100) };
  std::uint64_t m_random = 0;
  std::unique_ptr<AgentRole> m_role;
  std::vector<AgentInput> m_inbox;
  std::deque<FrameOut> m_sent;
  std::deque<TargetCall> m_calls;
  std::vector<std::string> m_orders;
  std::optional<ExchangeId> m_openOrder;
  std::string m_orderedModel;
  std::string m_orderedVersion;
  std::uint64_t m_engineFencing = 0;
  std::vector<std::uint32_t> m_events;
  std::uint64_t m_epoch = 0;
  std::uint64_t m_probeRequests = 1000000;
  std::string m_lastRefusal;
  bool m_stopped = false;
};

} // namespace gooseberrysail::test
