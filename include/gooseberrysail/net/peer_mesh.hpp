#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/result.hpp"
#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/net/fiber_runtime.hpp"
#include "gooseberrysail/roles/inputs.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace gooseberrysail {

/// \brief The identity that this process presents to its peers, and connection limits.
struct PeerMeshSettings
{
  ProcessId process;
  std::string role;
  Incarnation incarnation;
  std::string listenAddress;    ///< "ip:port"; port 0 picks a free port.
  std::string announcedAddress; ///< Sent to peers; "": the listen address.
  std::string clusterKey;       ///< Shared by all processes of the installation.
  Duration heartbeatInterval = std::chrono::seconds(1);
  /// \brief A connection is replaced after its heartbeats were unanswered for this long.
  Duration silenceTimeout = std::chrono::milliseconds(3500);
  /// \brief For connecting, before another attempt: the kernel sends a lost opening packet again
  /// only after a second.
  Duration connectTimeout = std::chrono::milliseconds(500);
  Duration dialTimeout = std::chrono::seconds(2); ///< For the handshake.
  Duration backoffMin = std::chrono::milliseconds(50);
  Duration backoffMax = std::chrono::seconds(2);
  std::size_t maxQueuedBytes = 20 * 1024 * 1024;    ///< Unsent bytes of each peer.
  std::size_t maxAllQueuedBytes = 64 * 1024 * 1024; ///< Unsent bytes of all peers together.
  std::size_t maxHandshakes = 256;                  ///< Incoming connections not yet authenticated.
};

/// \brief Callbacks of the mesh. They must not block; they may call Send.
struct PeerMeshHooks
{
  std::function<void(PeerUp)> onUp;
  std::function<void(PeerDown)> onDown;
  std::function<void(FrameIn)> onFrame;
  std::function<void(EventOut)> onEvent;
};

/// \brief Number and total size of the frames of one message type.
struct FrameCount
{
  std::uint64_t frames = 0;
  std::uint64_t bytes = 0;
};

/// \brief Frame counts indexed by wire::Body.
using FrameCounts = std::array<FrameCount, static_cast<std::size_t>(wire::Body::MAX) + 1>;

/// \brief Counters since the start of the process, for metrics.
struct PeerMeshCounters
{
  FrameCounts sentByKind{};
  FrameCounts receivedByKind{};
  std::uint64_t framesSent = 0;
  std::uint64_t framesReceived = 0;
  std::uint64_t bytesSent = 0;
  std::uint64_t bytesReceived = 0;
  std::uint64_t writes = 0;
  std::uint64_t dials = 0;
  std::uint64_t dialsFailed = 0;
  std::uint64_t refused = 0;   ///< Incoming connections that failed the handshake.
  std::uint64_t silent = 0;    ///< Connections whose heartbeats went unanswered.
  std::uint64_t malformed = 0; ///< Connections closed because of invalid input.
};

/// \brief Exchanges authenticated, ordered frames with other processes over TCP.
/// \remarks Each peer has at most one active connection. PeerUp and PeerDown alternate for each
/// peer, except that a failed dial produces an additional PeerDown, because the frames queued for
/// that connection are lost.
/// \code
/// PeerMesh mesh(runtime, settings, hooks);
/// BOOST_OUTCOME_TRY(mesh.Start());
/// mesh.Send(FrameOut{ ProcessId("control-1"), "10.0.0.1:7100", MakeEnvelope(wire::InForceT{}) });
/// \endcode
class PeerMesh
{
public:
  PeerMesh(IoRuntime& runtime, PeerMeshSettings settings, PeerMeshHooks hooks);
  /// \brief Calls Close; must run in a fiber of the runtime's thread.
  ~PeerMesh();
  PeerMesh(const PeerMesh&) = delete;
  PeerMesh& operator=(const PeerMesh&) = delete;

  /// \brief Starts listening.
  [[nodiscard]] Result<void> Start();

  /// \brief The bound address, with the actual port where port 0 was configured.
  [[nodiscard]] std::string ListenAddress() const;

  /// \brief Queues a frame; dials the peer if it has no connection and its address is given.
  void Send(const FrameOut& frame);

  /// \brief Number of unsent bytes queued for the peer.
  [[nodiscard]] std::size_t QueuedBytes(const ProcessId& peer) const;

  /// \brief Number of unsent bytes of the connection with the largest queue.
  [[nodiscard]] std::size_t MostQueuedBytes() const;

  /// \brief Closes all connections without PeerDown calls and waits for the mesh's fibers to end.
  void Close();

  /// \brief Waits until all queued bytes are written to the sockets, or until `timeout` expires.
  void Flush(Duration timeout);

  [[nodiscard]] const PeerMeshCounters& Counters() const noexcept;

  /// \brief Number of established connections.
  [[nodiscard]] std::size_t ConnectionCount() const noexcept;

private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

} // namespace gooseberrysail
