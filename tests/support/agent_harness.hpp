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

/// \brief One agent under scripted time, with everything round it played: control, entries, the
/// other members' agents and the target.
/// \code
/// AgentHarness agent;
/// agent.FormGroup(7);
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

  // What the surroundings do by themselves.
  bool controlAnswersConfig = true;
  bool controlGrantsLease = true;
  bool targetAlive = true;
  bool engineIgnoresFencing = false;
  bool engineAnswersOrders = true;
  std::set<std::string> silentMembers; ///< VMs whose agents don't answer beats.
  std::set<std::string> leavingMembers;
  PolicySpec policy;
  std::string drainingVm;
  std::string assignedVersion = "2026-11"; ///< Of the weights that Assign asks for.
  std::string cacheEvents;                 ///< The engine's answer to that path; "": it has none.
  std::uint64_t catalogueVersion = 1;      ///< What control says is the newest.

  /// \brief Ticks every 50 ms, with the surroundings answering.
  void Advance(Duration duration);
  /// \brief The process is frozen; what its peers sent meanwhile is waiting for it.
  void Pause(Duration duration);
  void Deliver(AgentInput input);
  /// \brief A moment passes, answers are taken in.
  void Settle() { Advance(std::chrono::milliseconds(50)); }

  /// \brief Assigns the group `epoch` and waits until its gate opened.
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

  // The target's side of requests.
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
  /// \brief The order that waits for its answer with `engineAnswersOrders` off.
  [[nodiscard]] std::optional<ExchangeId> OpenOrder() const noexcept { return m_openOrder; }
  void FailOpenOrder();
  void FinishLoad();
  std::string engineModel;
  std::string engineVersion;
  bool engineLoading = false;

  // What the agent said.
  /// \brief All frames of a kind to a peer ("": to anybody), oldest first.
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
  /// \brief What an entry that takes frames by offset has of an answer.
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
  /// \brief Whether the gate lets a new request through; uses a request id of its own.
  [[nodiscard]] bool Serves();
  [[nodiscard]] std::string LastRefusal() const { return m_lastRefusal; }
  [[nodiscard]] TimePoint Now() const noexcept { return m_now; }
  /// \brief Called with every output, for session files.
  std::function<void(TimePoint, const AgentOutput&)> onOutput;
  std::function<void(TimePoint, const AgentInput&)> onInput;
  std::function<void()> beforeTick; ///< Round the role's own work, for measurements.
  std::function<void()> afterTick;

private:
  void Tick();
  void Take(const AgentOutput& output);
  void TakeFrame(const FrameOut& frame);
  void TakeCall(const TargetCallOut& call);
  void TakeOrder(const TargetCallOut& call);
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
