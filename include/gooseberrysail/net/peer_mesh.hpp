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

/// \brief Who this process is to its peers, and the limits of its connections.
struct PeerMeshSettings
{
  ProcessId process;
  std::string role;
  Incarnation incarnation;
  std::string listenAddress;    ///< "ip:port"; port 0 takes a free one.
  std::string announcedAddress; ///< Told to peers; "": where it listens.
  std::string clusterKey;       ///< Shared by all processes of the installation.
  Duration heartbeatInterval = std::chrono::seconds(1);
  /// \brief A connection whose heartbeats go unanswered for this long is replaced.
  Duration silenceTimeout = std::chrono::milliseconds(3500);
  Duration dialTimeout = std::chrono::seconds(2); ///< Connecting and handshake together.
  Duration backoffMin = std::chrono::milliseconds(50);
  Duration backoffMax = std::chrono::seconds(2);
  std::size_t maxQueuedBytes = 20 * 1024 * 1024;    ///< Unsent, for each peer.
  std::size_t maxAllQueuedBytes = 64 * 1024 * 1024; ///< Unsent, all peers together.
  std::size_t maxHandshakes = 256;                  ///< Callers not yet proved, all together.
};

/// \brief What the mesh tells its owner. Hooks must not wait; they may call Send.
struct PeerMeshHooks
{
  std::function<void(PeerUp)> onUp;
  std::function<void(PeerDown)> onDown;
  std::function<void(FrameIn)> onFrame;
  std::function<void(EventOut)> onEvent;
};

/// \brief Frames of one kind of message, with their bytes.
struct FrameCount
{
  std::uint64_t frames = 0;
  std::uint64_t bytes = 0;
};

/// \brief By wire::Body.
using FrameCounts = std::array<FrameCount, static_cast<std::size_t>(wire::Body::MAX) + 1>;

/// \brief Counters since start, for metrics.
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
  std::uint64_t refused = 0;   ///< Callers that failed the handshake.
  std::uint64_t silent = 0;    ///< Connections given up for silence.
  std::uint64_t malformed = 0; ///< Connections closed for what they sent.
};

/// \brief Authenticated, ordered frames between the system's processes over TCP.
/// \remarks One connection carries a peer's traffic at a time; PeerUp and PeerDown alternate for
/// each peer, but a failed dial gives a PeerDown of its own, since the frames that waited for it
/// are lost.
/// \code
/// PeerMesh mesh(runtime, settings, hooks);
/// BOOST_OUTCOME_TRY(mesh.Start());
/// mesh.Send(FrameOut{ ProcessId("control-1"), "10.0.0.1:7100", MakeEnvelope(wire::InForceT{}) });
/// \endcode
class PeerMesh
{
public:
  PeerMesh(IoRuntime& runtime, PeerMeshSettings settings, PeerMeshHooks hooks);
  /// \brief Closes; must run in a fiber of the runtime's thread.
  ~PeerMesh();
  PeerMesh(const PeerMesh&) = delete;
  PeerMesh& operator=(const PeerMesh&) = delete;

  /// \brief Begins to listen.
  [[nodiscard]] Result<void> Start();

  /// \brief Where it listens, with the port that port 0 became.
  [[nodiscard]] std::string ListenAddress() const;

  /// \brief Queues a frame; dials when no connection stands and the address is known.
  void Send(const FrameOut& frame);

  /// \brief What waits to be sent to the peer.
  [[nodiscard]] std::size_t QueuedBytes(const ProcessId& peer) const;

  /// \brief What waits to be sent to the peer for which most does.
  [[nodiscard]] std::size_t MostQueuedBytes() const;

  /// \brief Closes every connection without a PeerDown and waits for the mesh's fibers to end.
  void Close();

  /// \brief Waits until everything queued is handed to the kernel, or `timeout` passed.
  void Flush(Duration timeout);

  [[nodiscard]] const PeerMeshCounters& Counters() const noexcept;

  /// \brief Connections that stand now.
  [[nodiscard]] std::size_t ConnectionCount() const noexcept;

private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

} // namespace gooseberrysail
