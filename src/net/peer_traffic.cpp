#include "gooseberrysail/shell/clock.hpp"
#include "net/peer_mesh_impl.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <utility>

namespace gooseberrysail {

namespace {

namespace asio = boost::asio;

constexpr Duration kForgetPeersAfter = std::chrono::minutes(10);

} // namespace

void PeerMesh::Impl::Serve(const ConnectionPtr& connection)
{
  while (!connection->Closed()) {
    const Result<void> dispatched = DispatchFrames(connection);
    if (connection->Closed()) {
      break;
    }
    if (!dispatched) {
      ++counters.malformed;
      Emit(EventNumber::kPeerMalformed,
           { { "peer", connection->process.Get() },
             { "address", connection->address },
             { "step", dispatched.error().step },
             { "reason", dispatched.error().description } });
      Disconnect(connection, dispatched.error().step, dispatched.error().description);
      return;
    }
    const auto room = connection->reader.Prepare();
    const auto [error, size] = Await([&](auto done) {
      connection->socket.async_read_some(asio::buffer(room.data(), room.size()), done);
    });
    if (connection->Closed()) {
      break;
    }
    if (error) {
      const bool ended = error == asio::error::eof;
      Disconnect(connection, "read frame", ended ? "closed by the peer" : error.message());
      return;
    }
    connection->reader.Commit(size);
    counters.bytesReceived += size;
  }
  Disconnect(connection, "serve connection", connection->CloseReason());
}

Result<void> PeerMesh::Impl::DispatchFrames(const ConnectionPtr& connection)
{
  while (!connection->Closed()) {
    BOOST_OUTCOME_TRY(const auto bytes, connection->reader.Next(connection->process.Get()));
    if (!bytes) {
      break;
    }
    BOOST_OUTCOME_TRY(const auto envelope, DecodeEnvelope(*bytes, connection->process.Get()));
    BOOST_OUTCOME_TRY(DispatchFrame(connection, envelope, bytes->size()));
  }
  return outcome::success();
}

Result<void> PeerMesh::Impl::DispatchFrame(const ConnectionPtr& connection,
                                           const std::shared_ptr<const wire::EnvelopeT>& envelope,
                                           std::size_t bytes)
{
  switch (envelope->body.type) {
    case wire::Body::Ping: {
      const wire::PingT& ping = *envelope->body.AsPing();
      RecordAnswer(*connection, ping.answered);
      wire::PongT pong;
      pong.sequence = ping.sequence;
      connection->QueueHeartbeat(impl::EncodeFrame(*MakeEnvelope(pong)));
      break;
    }
    case wire::Body::Pong:
      RecordAnswer(*connection, envelope->body.AsPong()->sequence);
      break;
    case wire::Body::Hello:
    case wire::Body::HelloProof:
      return Error{ ErrorCode::kInvalid,
                    "read frame",
                    connection->process.Get(),
                    "unexpected handshake message after the handshake" };
    default:
      Count(counters.receivedByKind, envelope->body.type, bytes);
      ++counters.framesReceived;
      if (hooks.onFrame) {
        hooks.onFrame(FrameIn{ connection->process, connection->incarnation, envelope });
      }
  }
  return outcome::success();
}

// Only an increase counts: when all bytes to the dialler are lost, its pings still arrive here, but
// they repeat the same `answered` value.
void PeerMesh::Impl::RecordAnswer(Connection& connection, std::uint64_t sequence) const
{
  if (sequence > connection.answered) {
    connection.answered = sequence;
    connection.answeredAt = BootNow();
  }
}

void PeerMesh::Impl::RunHeartbeats()
{
  const Duration period = std::min(settings.heartbeatInterval, settings.silenceTimeout / 4);
  TimePoint last = BootNow();
  while (!closed) {
    heartbeatWake.WaitFor(period);
    const TimePoint now = BootNow();
    // After a pause of this process, all connections appear silent. Replacing them all would be a
    // needless interruption; peers whose timeout expired have already closed theirs.
    const bool stalled = now - last > period + settings.silenceTimeout / 2;
    last = now;
    if (!closed) {
      SendHeartbeats(now, period, stalled);
    }
  }
}

void PeerMesh::Impl::SendHeartbeats(TimePoint now, Duration period, bool stalled)
{
  // Copied because hooks called in the loop may modify the table.
  std::vector<ConnectionPtr> present;
  present.reserve(connections.size());
  for (const auto& [id, connection] : connections) {
    if (connection->phase == Connection::Phase::kEstablished) {
      present.push_back(connection);
    }
  }
  for (const ConnectionPtr& connection : present) {
    // Only the dialler sends pings; they verify both directions for both sides with half the bytes.
    if (connection->Dialled()) {
      wire::PingT ping;
      ping.sequence = ++connection->pinged;
      ping.answered = connection->answered;
      connection->QueueHeartbeat(impl::EncodeFrame(*MakeEnvelope(ping)));
    }
    if (stalled) {
      connection->answeredAt = now;
    }
    // Replaced at the last check before the timeout expires.
    const bool late = now + period - connection->answeredAt > settings.silenceTimeout;
    if (late && !connection->silent && !connection->Closed()) {
      ReplaceSilent(connection, now);
    }
  }
  ForgetIdlePeers(now);
}

// A network device may drop all bytes of an open connection without closing it: writes succeed,
// reads wait forever, and only unanswered heartbeats reveal it. New connections may work, so a
// replacement is dialled before the old connection is closed.
void PeerMesh::Impl::ReplaceSilent(const ConnectionPtr& connection, TimePoint now)
{
  Peer& peer = peers[connection->process];
  ++counters.silent;
  Emit(EventNumber::kPeerSilent,
       { { "peer", connection->process.Get() },
         { "address", connection->address },
         { "silentMillis", std::to_string(ToMillis(now - connection->answeredAt)) } });
  if (peer.address.empty()) {
    Disconnect(connection, "heartbeat", "heartbeats unanswered");
    return;
  }
  connection->silent = true;
  StartDial(connection->process, peer);
}

void PeerMesh::Impl::ForgetIdlePeers(TimePoint now)
{
  std::erase_if(peers, [&](const auto& row) {
    const Peer& peer = row.second;
    return !peer.dialling && peer.connection.IsNone() && peer.waiting.empty() &&
           now - peer.usedAt > kForgetPeersAfter;
  });
}

} // namespace gooseberrysail
