#include "gooseberrysail/net/peer_mesh.hpp"

#include "gooseberrysail/net/endpoint.hpp"
#include "gooseberrysail/shell/clock.hpp"
#include "net/peer_mesh_impl.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrysail {

namespace asio = boost::asio;
using asio::ip::tcp;

PeerMesh::Impl::Impl(IoRuntime& ioRuntime, PeerMeshSettings meshSettings, PeerMeshHooks meshHooks)
  : runtime(ioRuntime)
  , settings(std::move(meshSettings))
  , hooks(std::move(meshHooks))
  , acceptor(ioRuntime.Io())
{
  std::uint32_t seed = 0;
  for (const std::uint8_t byte : impl::MakeNonce()) {
    seed = seed * 31 + byte;
  }
  jitter.seed(seed);
}

Result<void> PeerMesh::Impl::Start()
{
  if (settings.clusterKey.empty()) {
    return Error{
      ErrorCode::kInvalid, "start mesh", settings.process.Get(), "the cluster key is empty"
    };
  }
  BOOST_OUTCOME_TRY(auto listening, Listen(runtime.Io(), settings.listenAddress));
  acceptor = std::move(listening);
  boost::system::error_code error;
  const tcp::endpoint bound = acceptor.local_endpoint(error);
  if (error) {
    return Error{ ErrorCode::kIo, "listen", settings.listenAddress, error.message() };
  }
  listenAddress = ToAddress(bound);
  // A wildcard address can't be dialled, so it is not announced.
  if (settings.announcedAddress.empty() && !bound.address().is_unspecified()) {
    settings.announcedAddress = listenAddress;
  }
  Spawn([this] { Accept(); });
  Spawn([this] { RunHeartbeats(); });
  return outcome::success();
}

void PeerMesh::Impl::Spawn(std::function<void()> work)
{
  ++fibers;
  runtime.Spawn([this, work = std::move(work)] {
    work();
    --fibers;
    fiberEnded.Notify();
  });
}

void PeerMesh::Impl::Close()
{
  closed = true;
  boost::system::error_code ignored;
  acceptor.close(ignored);
  for (const auto& [id, connection] : connections) {
    connection->Close("this process is stopping");
  }
  for (auto& [name, peer] : peers) {
    peer.changed.Notify();
  }
  heartbeatWake.Notify();
  while (fibers > 0) {
    fiberEnded.Wait();
  }
}

void PeerMesh::Impl::Flush(Duration timeout)
{
  const TimePoint until = BootNow() + timeout;
  const auto isQueued = [](const auto& row) { return row.second->QueuedBytes() > 0; };
  while (std::any_of(connections.begin(), connections.end(), isQueued)) {
    const TimePoint now = BootNow();
    if (now >= until || !written.WaitFor(until - now)) {
      return;
    }
  }
}

void PeerMesh::Impl::Emit(EventNumber number,
                          std::vector<std::pair<std::string, std::string>> fields) const
{
  if (hooks.onEvent && !closed) {
    hooks.onEvent(MakeEvent(number, std::move(fields)));
  }
}

PeerMesh::Impl::ConnectionPtr PeerMesh::Impl::Register(tcp::socket socket,
                                                       bool dialled,
                                                       std::string address)
{
  const impl::ConnectionId id(++lastOrder);
  auto connection = std::make_shared<Connection>(id, std::move(socket), dialled);
  connection->address = std::move(address);
  connection->reader.SetLimit(impl::kMaxHandshakeBytes);
  connection->onWritten = [this](std::size_t size) {
    counters.bytesSent += size;
    ++counters.writes;
    written.Notify();
  };
  connections.emplace(id, connection);
  return connection;
}

PeerMesh::Impl::ConnectionPtr PeerMesh::Impl::Find(impl::ConnectionId id) const
{
  const auto found = connections.find(id);
  return found == connections.end() ? nullptr : found->second;
}

void PeerMesh::Impl::Count(FrameCounts& counts, wire::Body kind, std::size_t bytes)
{
  FrameCount& count = counts.at(static_cast<std::size_t>(kind));
  ++count.frames;
  count.bytes += bytes;
}

// An envelope that is sent to several peers in a row is encoded once.
impl::SharedFrame PeerMesh::Impl::Encode(const FrameOut& out)
{
  if (out.envelope != lastEncoded) {
    lastEncoded = out.envelope;
    lastFrame = std::make_shared<const Frame>(impl::EncodeFrame(*out.envelope));
  }
  return lastFrame;
}

std::size_t PeerMesh::Impl::AllQueuedBytes() const
{
  std::size_t sum = 0;
  for (const auto& [id, connection] : connections) {
    sum += connection->QueuedBytes();
  }
  return sum;
}

// Limits the memory used by peers that read too slowly. When all queues together exceed their
// limit, only connections that queue no more than their fair share may queue further frames.
bool PeerMesh::Impl::HasRoom(const Connection& connection, std::size_t size) const
{
  const std::size_t queued = connection.QueuedBytes() + size;
  if (queued > settings.maxQueuedBytes) {
    return false;
  }
  const std::size_t fairShare =
    settings.maxAllQueuedBytes / std::max<std::size_t>(establishedCount, 1);
  return queued <= fairShare || AllQueuedBytes() + size <= settings.maxAllQueuedBytes;
}

void PeerMesh::Impl::Send(const FrameOut& out)
{
  if (closed) {
    return;
  }
  const impl::QueuedFrame frame{ Encode(out),
                                 out.envelope->body.type,
                                 IsHighPriority(*out.envelope) };
  const std::size_t size = frame.bytes->size();
  if (size - impl::kFramePrefixBytes > kMaxFrameBytes) {
    // The peer would close the connection on receipt, and again on each retry.
    Emit(EventNumber::kPeerFrameTooLarge,
         { { "peer", out.peer.Get() },
           { "kind", BodyName(*out.envelope) },
           { "bytes", std::to_string(size) },
           { "limit", std::to_string(kMaxFrameBytes) } });
    return;
  }
  Peer& peer = peers[out.peer];
  peer.usedAt = BootNow();
  if (!out.address.empty()) {
    peer.address = out.address;
  }
  const ConnectionPtr connection = Find(peer.connection);
  if (!connection) {
    if (!out.address.empty()) {
      QueueUntilConnected(out.peer, peer, frame);
    }
    return;
  }
  if (!HasRoom(*connection, size)) {
    ReportQueueFull(out.peer, connection->QueuedBytes());
    Disconnect(connection, "send frame", "the send queue is full");
    return;
  }
  QueueFrame(*connection, frame);
}

void PeerMesh::Impl::ReportQueueFull(const ProcessId& name, std::size_t queued) const
{
  Emit(EventNumber::kPeerQueueFull,
       { { "peer", name.Get() },
         { "queuedBytes", std::to_string(queued) },
         { "limit", std::to_string(settings.maxQueuedBytes) } });
}

void PeerMesh::Impl::QueueFrame(Connection& connection, const impl::QueuedFrame& frame)
{
  ++counters.framesSent;
  Count(counters.sentByKind, frame.kind, frame.bytes->size());
  connection.Queue(frame);
}

void PeerMesh::Impl::QueueUntilConnected(const ProcessId& name, Peer& peer, impl::QueuedFrame frame)
{
  const std::size_t size = frame.bytes->size();
  if (peer.waitingBytes + size > settings.maxQueuedBytes) {
    ReportQueueFull(name, peer.waitingBytes);
    peer.waiting.clear();
    peer.waitingBytes = 0;
    NotifyDown(name, Incarnation(), "the send queue filled up before a connection was established");
    return;
  }
  peer.waitingBytes += size;
  peer.waiting.push_back(std::move(frame));
  StartDial(name, peer);
}

void PeerMesh::Impl::Establish(const ConnectionPtr& connection)
{
  Peer& peer = peers[connection->process];
  if (const ConnectionPtr old = Find(peer.connection)) {
    // PeerDown for the old connection must come first: its frames may be lost, and the role sends
    // them again on PeerUp.
    Disconnect(old,
               "replace connection",
               old->silent ? "heartbeats unanswered" : "replaced by a newer connection");
  }
  connection->DisarmTimeout();
  connection->reader.SetLimit(kMaxFrameBytes);
  connection->phase = Connection::Phase::kEstablished;
  connection->establishedOrder = ++lastOrder;
  connection->answeredAt = BootNow();
  peer.connection = connection->Id();
  if (!connection->Dialled() && !connection->dialableAddress.empty()) {
    peer.address = connection->dialableAddress;
  }
  peer.failures = 0;
  peer.retryAt = TimePoint{};
  peer.usedAt = connection->answeredAt;
  peer.changed.Notify();
  ++establishedCount;
  for (const impl::QueuedFrame& frame : std::exchange(peer.waiting, {})) {
    QueueFrame(*connection, frame);
  }
  peer.waitingBytes = 0;
  Emit(EventNumber::kPeerConnected,
       { { "peer", connection->process.Get() },
         { "role", connection->role },
         { "incarnation", std::to_string(connection->incarnation.Get()) },
         { "address", connection->address },
         { "side", connection->Dialled() ? "dialled" : "accepted" } });
  if (hooks.onUp) {
    hooks.onUp(PeerUp{ connection->process,
                       connection->role,
                       connection->incarnation,
                       connection->dialableAddress });
  }
}

void PeerMesh::Impl::Disconnect(const ConnectionPtr& connection,
                                std::string_view step,
                                const std::string& reason)
{
  connection->Close(reason);
  if (connections.erase(connection->Id()) == 0 || connection->establishedOrder == 0) {
    return;
  }
  --establishedCount;
  const auto found = peers.find(connection->process);
  if (found == peers.end() || found->second.connection != connection->Id()) {
    return;
  }
  found->second.connection = impl::ConnectionId();
  found->second.changed.Notify();
  Emit(EventNumber::kPeerLost,
       { { "peer", connection->process.Get() },
         { "incarnation", std::to_string(connection->incarnation.Get()) },
         { "step", std::string(step) },
         { "reason", reason } });
  NotifyDown(connection->process, connection->incarnation, reason);
}

void PeerMesh::Impl::NotifyDown(const ProcessId& name,
                                Incarnation incarnation,
                                std::string reason) const
{
  if (hooks.onDown && !closed) {
    hooks.onDown(PeerDown{ name, incarnation, std::move(reason) });
  }
}

PeerMesh::PeerMesh(IoRuntime& runtime, PeerMeshSettings settings, PeerMeshHooks hooks)
  : m_impl(std::make_shared<Impl>(runtime, std::move(settings), std::move(hooks)))
{
}

PeerMesh::~PeerMesh()
{
  Close();
}

Result<void> PeerMesh::Start()
{
  return m_impl->Start();
}

std::string PeerMesh::ListenAddress() const
{
  return m_impl->listenAddress;
}

void PeerMesh::Send(const FrameOut& frame)
{
  m_impl->Send(frame);
}

std::size_t PeerMesh::QueuedBytes(const ProcessId& peer) const
{
  const auto found = m_impl->peers.find(peer);
  if (found == m_impl->peers.end()) {
    return 0;
  }
  const auto connection = m_impl->Find(found->second.connection);
  return connection ? connection->QueuedBytes() : found->second.waitingBytes;
}

std::size_t PeerMesh::MostQueuedBytes() const
{
  std::size_t most = 0;
  for (const auto& [id, connection] : m_impl->connections) {
    most = std::max(most, connection->QueuedBytes());
  }
  return most;
}

void PeerMesh::Close()
{
  m_impl->Close();
}

void PeerMesh::Flush(Duration timeout)
{
  m_impl->Flush(timeout);
}

const PeerMeshCounters& PeerMesh::Counters() const noexcept
{
  return m_impl->counters;
}

std::size_t PeerMesh::ConnectionCount() const noexcept
{
  return m_impl->establishedCount;
}

} // namespace gooseberrysail
