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

/// \brief A process that is or was connected.
struct PeerRow
{
  std::string role;
  Incarnation incarnation;
  std::string address;
  bool up = false;
  TimePoint since{}; ///< Time of the latest connect or disconnect.
};

using PeerTable = std::unordered_map<ProcessId, PeerRow>;

/// \brief Proposes commands to the log; keyed ones at most once within a retry interval.
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
  /// \remarks A proposal can be lost when the leader's term ends, so it is repeated. Commands
  /// proposed this way must have no effect when applied a second time.
  template<class CommandT>
  bool ProposeOnce(TimePoint now, const std::string& key, CommandT command)
  {
    if (!IsDue(now, key)) {
      return false;
    }
    return Propose(std::move(command));
  }

  /// \brief Removes the keys whose retry interval is over.
  void Forget(TimePoint now);
  void Clear() { m_proposedAt.clear(); }

  static constexpr Duration kRetryAfter = std::chrono::seconds(2);

private:
  bool IsDue(TimePoint now, const std::string& key);

  std::function<bool(std::vector<std::uint8_t>)> m_propose;
  std::unordered_map<std::string, TimePoint> m_proposedAt;
};

/// \brief State and outputs shared by the components of a control process during one tick.
struct ControlContext
{
  TimePoint now;
  WallMillis wallMillis = 0;
  const ControlSettings& settings;
  /// \brief Control processes: those of the settings, or the members of the cluster where the
  /// settings do not name them.
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
  /// \brief See ControlHooks::queuedBytes; null where nothing is ever queued.
  const std::function<std::size_t(const ProcessId&)>* queuedBytes = nullptr;

  /// \brief Whether the peer's send queue has room for a state that a later one replaces.
  /// \remarks Queued messages can't be withdrawn, so a peer that reads slowly would receive one
  /// outdated state after another. Without room, the sender waits and then sends the current state.
  [[nodiscard]] bool HasQueueCapacity(const ProcessId& peer) const;

  /// \brief Whether a quorum confirmed this leader within the last second.
  /// \remarks A deposed leader behind a network partition may not know that it was deposed; without
  /// this check it would keep sending orders that contradict its successor's.
  [[nodiscard]] bool HasFreshQuorum() const;

  [[nodiscard]] bool IsUp(const ProcessId& peer) const;

  /// \brief The entries that are connected.
  [[nodiscard]] std::vector<ProcessId> ListEntries() const;

  void Send(const ProcessId& peer, std::shared_ptr<wire::EnvelopeT> envelope);
  template<class MessageT>
  void SendMessage(const ProcessId& peer, MessageT message)
  {
    Send(peer, MakeEnvelope(std::move(message)));
  }
};

/// \brief Time and commit index at which a linearizable read was requested.
struct ReadTicket
{
  TimePoint asked{};
  LogIndex committed;
};

[[nodiscard]] ReadTicket TakeTicket(const ControlContext& context);

/// \brief Whether a quorum has confirmed the leader since the read was requested, and everything
/// committed by then is applied: a read of the current state is then linearizable.
[[nodiscard]] bool IsConfirmed(const ControlContext& context, const ReadTicket& ticket);

} // namespace gooseberrysail
