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
    const Result<void> taken = TakeFrames(connection);
    if (connection->Closed()) {
      break;
    }
    if (!taken) {
      ++counters.malformed;
      Emit(EventNumber::kPeerMalformed,
           { { "peer", connection->process.Get() },
             { "address", connection->address },
             { "step", taken.error().step },
             { "reason", taken.error().description } });
      Lose(connection, taken.error().step, taken.error().description);
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
      Lose(connection, "read frame", ended ? "closed by the peer" : error.message());
      return;
    }
    connection->reader.Commit(size);
    counters.bytesReceived += size;
  }
  Lose(connection, "serve connection", connection->CloseReason());
}

Result<void> PeerMesh::Impl::TakeFrames(const ConnectionPtr& connection)
{
  while (!connection->Closed()) {
    BOOST_OUTCOME_TRY(const auto bytes, connection->reader.Next(connection->process.Get()));
    if (!bytes) {
      break;
    }
    BOOST_OUTCOME_TRY(const auto envelope, DecodeEnvelope(*bytes, connection->process.Get()));
    BOOST_OUTCOME_TRY(TakeFrame(connection, envelope, bytes->size()));
  }
  return outcome::success();
}

Result<void> PeerMesh::Impl::TakeFrame(const ConnectionPtr& connection,
                                       const std::shared_ptr<const wire::EnvelopeT>& envelope,
                                       std::size_t bytes)
{
  switch (envelope->body.type) {
    case wire::Body::Ping: {
      const wire::PingT& ping = *envelope->body.AsPing();
      NoteAnswered(*connection, ping.answered);
      wire::PongT pong;
      pong.sequence = ping.sequence;
      connection->QueueHeartbeat(impl::EncodeFrame(*MakeEnvelope(pong)));
      break;
    }
    case wire::Body::Pong:
      NoteAnswered(*connection, envelope->body.AsPong()->sequence);
      break;
    case wire::Body::Hello:
    case wire::Body::HelloProof:
      return Error{ ErrorCode::kInvalid,
                    "read frame",
                    connection->process.Get(),
                    "a handshake message after the handshake" };
    default:
      Count(counters.receivedByKind, envelope->body.type, bytes);
      ++counters.framesReceived;
      if (hooks.onFrame) {
        hooks.onFrame(FrameIn{ connection->process, connection->incarnation, envelope });
      }
  }
  return outcome::success();
}

// Only a newer number counts: when the way to the dialler swallows everything, its heartbeats go on
// arriving here, but they repeat the same answer.
void PeerMesh::Impl::NoteAnswered(Connection& connection, std::uint64_t sequence) const
{
  if (sequence > connection.answered) {
    connection.answered = sequence;
    connection.answeredAt = BootNow();
  }
}

void PeerMesh::Impl::Beat()
{
  const Duration period = std::min(settings.heartbeatInterval, settings.silenceTimeout / 4);
  TimePoint last = BootNow();
  while (!closed) {
    wakeBeat.WaitFor(period);
    const TimePoint now = BootNow();
    // After this process itself was paused, every connection looks silent. Replacing them all at
    // once would interrupt everything for nothing; peers that gave us up have closed them.
    const bool stalled = now - last > period + settings.silenceTimeout / 2;
    last = now;
    if (!closed) {
      BeatOnce(now, period, stalled);
    }
  }
}

void PeerMesh::Impl::BeatOnce(TimePoint now, Duration period, bool stalled)
{
  // Hooks called on the way may change the table.
  std::vector<ConnectionPtr> present;
  present.reserve(connections.size());
  for (const auto& [id, connection] : connections) {
    if (connection->phase == Connection::Phase::kEstablished) {
      present.push_back(connection);
    }
  }
  for (const ConnectionPtr& connection : present) {
    // One side's heartbeats prove both ways for both sides, at half the bytes.
    if (connection->Dialled()) {
      wire::PingT ping;
      ping.sequence = ++connection->pinged;
      ping.answered = connection->answered;
      connection->QueueHeartbeat(impl::EncodeFrame(*MakeEnvelope(ping)));
    }
    if (stalled) {
      connection->answeredAt = now;
    }
    // Given up at the last look that still is within the timeout.
    const bool late = now + period - connection->answeredAt > settings.silenceTimeout;
    if (late && !connection->silent && !connection->Closed()) {
      GiveUpSilent(connection, now);
    }
  }
  ForgetIdlePeers(now);
}

// Something between the two ends may drop every byte of an open connection without closing it:
// writes succeed, reads wait for ever, and only missing answers to heartbeats show it. New
// connections work, so one is dialled before the old one is given up.
void PeerMesh::Impl::GiveUpSilent(const ConnectionPtr& connection, TimePoint now)
{
  Peer& peer = peers[connection->process];
  ++counters.silent;
  Emit(EventNumber::kPeerSilent,
       { { "peer", connection->process.Get() },
         { "address", connection->address },
         { "silentMillis", std::to_string(ToMillis(now - connection->answeredAt)) } });
  if (peer.address.empty()) {
    Lose(connection, "heartbeat", "went silent");
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
