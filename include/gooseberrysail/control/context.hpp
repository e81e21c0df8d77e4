#pragma once

#include "gooseberrysail/catalogue/catalogue.hpp"
#include "gooseberrysail/control/control_state.hpp"
#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/roles/control_role.hpp"
#include "gooseberrysail/roles/inputs.hpp"
#include "gooseberrysail/wire/envelope.hpp"

#include <functional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace gooseberrysail {

/// \brief A process that is, or was lately, connected.
struct PeerRow
{
  std::string role;
  Incarnation incarnation;
  std::string address;
  bool up = false;
  TimePoint since{}; ///< Up or down since.
};

using PeerTable = std::unordered_map<ProcessId, PeerRow>;

/// \brief Hands commands to the log, each at most once within a retry interval.
class Proposer
{
public:
  explicit Proposer(std::function<bool(std::vector<std::uint8_t>)> propose)
    : m_propose(std::move(propose))
  {
  }

  template<class CommandT>
  bool Propose(CommandT command)
  {
    return m_propose(EncodeCommand(std::move(command)));
  }

  /// \brief Proposes unless a command with this key was proposed within kRetryAfter.
  /// \remarks A proposal can be lost with its leader's term, so it is made again; commands that
  /// are proposed so have no effect when applied a second time.
  template<class CommandT>
  bool ProposeOnce(TimePoint now, const std::string& key, CommandT command)
  {
    if (!IsDue(now, key)) {
      return false;
    }
    return Propose(std::move(command));
  }

  void Forget(TimePoint now);
  void Clear() { m_proposedAt.clear(); }

  static constexpr Duration kRetryAfter = std::chrono::seconds(2);

private:
  bool IsDue(TimePoint now, const std::string& key);

  std::function<bool(std::vector<std::uint8_t>)> m_propose;
  std::unordered_map<std::string, TimePoint> m_proposedAt;
};

/// \brief What the leader's systems see and use during one tick.
struct ControlContext
{
  TimePoint now;
  WallMillis wallMillis = 0;
  const ControlSettings& settings;
  /// \brief Control processes: of the settings, or the cluster's members where they join by
  /// themselves.
  const std::vector<EntrySettings::Control>& controls;
  const ReplicationStatus& replication;
  const ControlState& state;
  const Catalogue& catalogue; ///< Typed copy of the committed catalogue.
  const PeerTable& peers;
  Proposer& proposer;
  TimePoint leaderSince{};
  /// \brief This process leads and has applied everything that earlier leaders committed.
  bool ready = false;
  std::vector<ControlOutput>& outbox;
  /// \brief See ControlHooks::queuedBytes; null where nothing waits.
  const std::function<std::size_t(const ProcessId&)>* queuedBytes = nullptr;

  /// \brief Whether what can be replaced by a later word should be sent to the peer now.
  /// \remarks What waits in a peer's queue can't be taken back, and a peer that reads slowly would
  /// be told one old state after the other. Where there is no room, the state is told as it is once
  /// there is.
  [[nodiscard]] bool HasRoom(const ProcessId& peer) const;

  /// \brief Whether a quorum followed this leader within a moment before now.
  /// \remarks A deposed leader that is cut off in silence still believes that it leads; without
  /// this check it would go on giving orders that contradict its successor's.
  [[nodiscard]] bool HasFreshQuorum() const;

  [[nodiscard]] bool IsUp(const ProcessId& peer) const;

  void Send(const ProcessId& peer, std::shared_ptr<wire::EnvelopeT> envelope);
  template<class MessageT>
  void SendMessage(const ProcessId& peer, MessageT message)
  {
    Send(peer, MakeEnvelope(std::move(message)));
  }
};

/// \brief A question whose answer must not come from a deposed leader's state.
struct ReadTicket
{
  TimePoint asked{};
  LogIndex committed;
};

[[nodiscard]] ReadTicket TakeTicket(const ControlContext& context);

/// \brief Whether a quorum has confirmed the leader since the question, and all that was committed
/// then is applied: an answer from the state now is linearizable.
[[nodiscard]] bool IsConfirmed(const ControlContext& context, const ReadTicket& ticket);

} // namespace gooseberrysail
