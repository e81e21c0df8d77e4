#pragma once

#include "gooseberrysail/net/peer_mesh.hpp"
#include "gooseberrysail/observe/event.hpp"
#include "net/handshake.hpp"
#include "net/peer_connection.hpp"

#include <deque>
#include <random>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace gooseberrysail {

/// \brief The state of the mesh: connections by id, peers by name, and their fibers.
struct PeerMesh::Impl
{
  using Connection = impl::PeerConnection;
  using ConnectionPtr = impl::PeerConnectionPtr;
  using Frame = std::vector<std::uint8_t>;

  struct Peer
  {
    std::string address;                   ///< The address to dial; "" if unknown.
    impl::ConnectionId connection;         ///< The established one; none when down.
    impl::ConnectionId dial;               ///< The one being dialled.
    bool dialling = false;                 ///< A fiber is dialling or waiting to retry.
    std::deque<impl::QueuedFrame> waiting; ///< Frames queued until connected.
    std::size_t waitingBytes = 0;
    unsigned failures = 0; ///< Consecutive failed dials.
    TimePoint retryAt{};
    TimePoint usedAt{};
    Signal changed;
  };

  Impl(IoRuntime& ioRuntime, PeerMeshSettings meshSettings, PeerMeshHooks meshHooks);

  // Start and shutdown (peer_mesh.cpp).
  Result<void> Start();
  void Close();
  void Flush(Duration timeout);
  void Spawn(std::function<void()> work);
  void Emit(EventNumber number, std::vector<std::pair<std::string, std::string>> fields) const;

  // Sending, connections and peers (peer_mesh.cpp).
  void Send(const FrameOut& frame);
  [[nodiscard]] impl::SharedFrame Encode(const FrameOut& frame);
  [[nodiscard]] bool HasRoom(const Connection& connection, std::size_t size) const;
  [[nodiscard]] std::size_t AllQueuedBytes() const;
  void ReportQueueFull(const ProcessId& name, std::size_t queued) const;
  void QueueFrame(Connection& connection, const impl::QueuedFrame& frame);
  void QueueUntilConnected(const ProcessId& name, Peer& peer, impl::QueuedFrame frame);
  ConnectionPtr Register(boost::asio::ip::tcp::socket socket, bool dialled, std::string address);
  [[nodiscard]] ConnectionPtr Find(impl::ConnectionId id) const;
  void Establish(const ConnectionPtr& connection);
  void Disconnect(const ConnectionPtr& connection,
                  std::string_view step,
                  const std::string& reason);
  void NotifyDown(const ProcessId& name, Incarnation incarnation, std::string reason) const;

  // Dialling (peer_dialler.cpp).
  [[nodiscard]] bool NeedsDial(const Peer& peer) const;
  void StartDial(const ProcessId& name, Peer& peer);
  void Dial(const ProcessId& name, Peer& peer);
  void WaitToDial(Peer& peer) const;
  Result<void> DialOnce(const ProcessId& name, Peer& peer);
  void OnDialFailed(const ProcessId& name, Peer& peer, const Error& error);

  // Accepting and the handshake (peer_handshake.cpp).
  void Accept();
  void ServeAccepted(const ConnectionPtr& connection);
  [[nodiscard]] wire::HelloT OwnHello() const;
  Result<void> AuthenticateAsDialler(const ConnectionPtr& connection, const ProcessId& expected);
  Result<void> AuthenticateAsAcceptor(const ConnectionPtr& connection);
  [[nodiscard]] bool IsDuplicate(const Connection& connection) const;
  Result<void> WriteHandshakeFrame(const ConnectionPtr& connection, const Frame& frame);
  Result<std::shared_ptr<const wire::EnvelopeT>> ReadHandshakeFrame(
    const ConnectionPtr& connection);
  void ReportRefused(const Connection& connection, const Error& error);

  // Traffic and heartbeats (peer_traffic.cpp).
  void Serve(const ConnectionPtr& connection);
  Result<void> DispatchFrames(const ConnectionPtr& connection);
  Result<void> DispatchFrame(const ConnectionPtr& connection,
                             const std::shared_ptr<const wire::EnvelopeT>& envelope,
                             std::size_t bytes);
  static void Count(FrameCounts& counts, wire::Body kind, std::size_t bytes);
  void RecordAnswer(Connection& connection, std::uint64_t sequence) const;
  void RunHeartbeats();
  void SendHeartbeats(TimePoint now, Duration period, bool stalled);
  void ReplaceSilent(const ConnectionPtr& connection, TimePoint now);
  void ForgetIdlePeers(TimePoint now);

  IoRuntime& runtime;
  PeerMeshSettings settings;
  PeerMeshHooks hooks;
  PeerMeshCounters counters;
  boost::asio::ip::tcp::acceptor acceptor;
  std::string listenAddress;
  std::unordered_map<impl::ConnectionId, ConnectionPtr> connections;
  std::unordered_map<ProcessId, Peer> peers;
  std::uint64_t lastOrder = 0; ///< Source of connection ids and establishedOrder.
  std::size_t establishedCount = 0;
  std::size_t handshakes = 0;
  std::size_t fibers = 0;
  bool closed = false;
  Signal fiberEnded;
  Signal heartbeatWake;
  Signal written;
  std::shared_ptr<const wire::EnvelopeT> lastEncoded; ///< The envelope encoded in lastFrame.
  impl::SharedFrame lastFrame;
  mutable std::minstd_rand jitter;
};

} // namespace gooseberrysail
