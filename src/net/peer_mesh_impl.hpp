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

/// \brief The mesh's tables: connections by id, peers by name, and the fibers that run over them.
struct PeerMesh::Impl
{
  using Connection = impl::PeerConnection;
  using ConnectionPtr = impl::PeerConnectionPtr;
  using Frame = std::vector<std::uint8_t>;

  struct Peer
  {
    std::string address;                   ///< Where to dial; "" when unknown.
    impl::ConnectionId connection;         ///< The one that stands; none when down.
    impl::ConnectionId dial;               ///< The one being dialled.
    bool dialling = false;                 ///< A fiber dials or waits to dial again.
    std::deque<impl::QueuedFrame> waiting; ///< Frames for when a connection stands.
    std::size_t waitingBytes = 0;
    unsigned failures = 0; ///< Dials failed in a row.
    TimePoint retryAt{};
    TimePoint usedAt{};
    Signal changed;
  };

  Impl(IoRuntime& ioRuntime, PeerMeshSettings meshSettings, PeerMeshHooks meshHooks);

  // Life of the mesh (peer_mesh.cpp).
  Result<void> Start();
  void Close();
  void Flush(Duration timeout);
  void Spawn(std::function<void()> work);
  void Emit(EventNumber number, std::vector<std::pair<std::string, std::string>> fields) const;

  // Sending and the two tables (peer_mesh.cpp).
  void Send(const FrameOut& frame);
  [[nodiscard]] impl::SharedFrame Encode(const FrameOut& frame);
  [[nodiscard]] bool HasRoom(const Connection& connection, std::size_t size) const;
  [[nodiscard]] std::size_t AllQueuedBytes() const;
  void ReportFull(const ProcessId& name, std::size_t queued) const;
  void Hand(Connection& connection, const impl::QueuedFrame& frame);
  void Keep(const ProcessId& name, Peer& peer, impl::QueuedFrame frame);
  ConnectionPtr Register(boost::asio::ip::tcp::socket socket, bool dialled, std::string address);
  [[nodiscard]] ConnectionPtr Find(impl::ConnectionId id) const;
  void Establish(const ConnectionPtr& connection);
  void Lose(const ConnectionPtr& connection, std::string_view step, const std::string& reason);
  void Down(const ProcessId& name, Incarnation incarnation, std::string reason) const;

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
  Result<void> ProveAsDialler(const ConnectionPtr& connection, const ProcessId& expected);
  Result<void> ProveAsAcceptor(const ConnectionPtr& connection);
  [[nodiscard]] bool IsDuplicate(const Connection& connection) const;
  Result<void> WriteNow(const ConnectionPtr& connection, const Frame& frame);
  Result<std::shared_ptr<const wire::EnvelopeT>> ReadNow(const ConnectionPtr& connection);
  void ReportRefused(const Connection& connection, const Error& error);

  // Traffic and heartbeats (peer_traffic.cpp).
  void Serve(const ConnectionPtr& connection);
  Result<void> TakeFrames(const ConnectionPtr& connection);
  Result<void> TakeFrame(const ConnectionPtr& connection,
                         const std::shared_ptr<const wire::EnvelopeT>& envelope,
                         std::size_t bytes);
  static void Count(FrameCounts& counts, wire::Body kind, std::size_t bytes);
  void NoteAnswered(Connection& connection, std::uint64_t sequence) const;
  void Beat();
  void BeatOnce(TimePoint now, Duration period, bool stalled);
  void GiveUpSilent(const ConnectionPtr& connection, TimePoint now);
  void ForgetIdlePeers(TimePoint now);

  IoRuntime& runtime;
  PeerMeshSettings settings;
  PeerMeshHooks hooks;
  PeerMeshCounters counters;
  boost::asio::ip::tcp::acceptor acceptor;
  std::string listenAddress;
  std::unordered_map<impl::ConnectionId, ConnectionPtr> connections;
  std::unordered_map<ProcessId, Peer> peers;
  std::uint64_t lastOrder = 0; ///< Numbers connections and the moments they were established.
  std::size_t standing = 0;
  std::size_t handshakes = 0;
  std::size_t fibers = 0;
  bool closed = false;
  Signal fiberEnded;
  Signal wakeBeat;
  Signal written;
  std::shared_ptr<const wire::EnvelopeT> lastEncoded; ///< That lastFrame was made of.
  impl::SharedFrame lastFrame;
  mutable std::minstd_rand jitter;
};

} // namespace gooseberrysail
