#include "gooseberrysail/net/endpoint.hpp"
#include "gooseberrysail/shell/clock.hpp"
#include "net/peer_mesh_impl.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace gooseberrysail {

namespace {

using boost::asio::ip::tcp;

constexpr unsigned kMaxBackoffDoublings = 16;

Duration Backoff(const PeerMeshSettings& settings, unsigned failures, std::minstd_rand& jitter)
{
  const unsigned doublings = std::min(failures - 1, kMaxBackoffDoublings);
  const Duration full = std::min(settings.backoffMin * (1U << doublings), settings.backoffMax);
  // Without jitter, processes that lost the same peer together would all redial it at the same
  // moments.
  std::uniform_real_distribution<double> share(0.5, 1.0);
  return std::chrono::duration_cast<Duration>(full * share(jitter));
}

} // namespace

bool PeerMesh::Impl::NeedsDial(const Peer& peer) const
{
  if (closed) {
    return false;
  }
  const ConnectionPtr connection = Find(peer.connection);
  return connection ? connection->silent : !peer.waiting.empty();
}

void PeerMesh::Impl::StartDial(const ProcessId& name, Peer& peer)
{
  if (peer.dialling) {
    return;
  }
  peer.dialling = true;
  Spawn([this, name, &peer] {
    Dial(name, peer);
    peer.dialling = false;
  });
}

void PeerMesh::Impl::Dial(const ProcessId& name, Peer& peer)
{
  while (NeedsDial(peer)) {
    WaitToDial(peer);
    if (!NeedsDial(peer)) {
      return;
    }
    ++counters.dials;
    const Result<void> dialled = DialOnce(name, peer);
    peer.dial = impl::ConnectionId();
    if (dialled) {
      return;
    }
    if (dialled.error().code == ErrorCode::kConflict && NeedsDial(peer)) {
      // The peer is dialling us and chose that connection, which is about to be established.
      peer.changed.WaitFor(settings.dialTimeout);
    }
    if (NeedsDial(peer)) {
      OnDialFailed(name, peer, dialled.error());
    }
  }
}

void PeerMesh::Impl::WaitToDial(Peer& peer) const
{
  for (TimePoint now = BootNow(); now < peer.retryAt && NeedsDial(peer); now = BootNow()) {
    peer.changed.WaitFor(peer.retryAt - now);
  }
}

Result<void> PeerMesh::Impl::DialOnce(const ProcessId& name, Peer& peer)
{
  const std::string address = peer.address;
  BOOST_OUTCOME_TRY(const tcp::endpoint endpoint, ParseEndpoint(address));
  const ConnectionPtr connection = Register(tcp::socket(runtime.Io()), true, address);
  peer.dial = connection->Id();
  connection->phase = Connection::Phase::kConnecting;
  connection->ArmTimeout(settings.connectTimeout, "timed out while connecting");
  const auto [error, size] =
    Await([&](auto done) { connection->socket.async_connect(endpoint, done); });
  Result<void> proved = outcome::success();
  if (connection->Closed()) {
    proved = Error{ ErrorCode::kTimeout, "connect", address, connection->CloseReason() };
  } else if (error) {
    proved = Error{ ErrorCode::kUnavailable, "connect", address, error.message() };
  } else {
    boost::system::error_code ignored;
    connection->socket.set_option(tcp::no_delay(true), ignored);
    connection->phase = Connection::Phase::kHandshake;
    connection->ArmTimeout(settings.dialTimeout, "timed out while dialling");
    proved = AuthenticateAsDialler(connection, name);
  }
  if (!proved) {
    Disconnect(connection, proved.error().step, proved.error().description);
    return proved;
  }
  Establish(connection);
  Spawn([this, connection] { Serve(connection); });
  return outcome::success();
}

void PeerMesh::Impl::OnDialFailed(const ProcessId& name, Peer& peer, const Error& error)
{
  ++counters.dialsFailed;
  ++peer.failures;
  peer.retryAt = BootNow() + Backoff(settings, peer.failures, jitter);
  if (std::has_single_bit(peer.failures)) {
    Emit(EventNumber::kPeerDialFailed,
         { { "peer", name.Get() },
           { "address", peer.address },
           { "step", error.step },
           { "reason", error.description },
           { "failures", std::to_string(peer.failures) } });
  }
  if (const ConnectionPtr silent = Find(peer.connection)) {
    if (BootNow() - silent->answeredAt < settings.silenceTimeout) {
      silent->silent = false;
      return;
    }
    Disconnect(silent,
               "redial silent peer",
               "heartbeats unanswered, and redialling failed: " + error.step + ": " +
                 error.description);
    return;
  }
  peer.waiting.clear();
  peer.waitingBytes = 0;
  NotifyDown(name, Incarnation(), error.step + ": " + error.description);
}

} // namespace gooseberrysail
