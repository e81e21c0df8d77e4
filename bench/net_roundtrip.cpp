// Measures the cost of peer connections: memory, processor time and bytes of idle connections at
// several numbers of them, and the latency and processor time of frames. The peers run in a child
// process, so that the figures cover one process alone.

#include "cost_meter.hpp"
#include "gooseberrysail/net/peer_mesh.hpp"
#include "gooseberrysail/shell/clock.hpp"
#include "gooseberrysail/wire/envelope.hpp"
#include "linear_fit.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <memory>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace gooseberrysail {
namespace {

constexpr std::array<std::size_t, 4> kConnections{ 50, 100, 200, 400 };
constexpr Duration kIdleTime = std::chrono::seconds(4);
constexpr std::size_t kRoundTrips = 20000;
constexpr std::size_t kStreamedFrames = 200000;
constexpr std::size_t kWindow = 64;
constexpr const char* kFirstPeer = "peer-0";

using bench::FitLine;
using bench::FitPoint;
using bench::Micros;
using bench::ProcessorTime;
using bench::ResidentKilobytes;

PeerMeshSettings MakeSettings(const std::string& name)
{
  PeerMeshSettings settings;
  settings.process = ProcessId(name);
  settings.role = "bench";
  settings.incarnation = Incarnation(1);
  settings.listenAddress = "127.0.0.1:0";
  settings.clusterKey = "a key of the bench";
  return settings;
}

// Runs in the child process: as many meshes as the hub requests, each of which echoes all frames.
class Peers
{
public:
  explicit Peers(std::string hubAddress)
    : m_hubAddress(std::move(hubAddress))
  {
    Add();
  }

  void Serve() { m_runtime.Run(); }

private:
  void Add()
  {
    const std::string name = "peer-" + std::to_string(m_meshes.size());
    PeerMeshHooks hooks;
    const std::size_t index = m_meshes.size();
    hooks.onFrame = [this, index](const FrameIn& frame) { HandleFrame(index, frame); };
    hooks.onDown = [this](const PeerDown&) { m_runtime.Stop(); };
    m_meshes.push_back(std::make_unique<PeerMesh>(m_runtime, MakeSettings(name), hooks));
    if (!m_meshes.back()->Start()) {
      std::fputs("bench: a peer could not listen\n", stderr);
      return;
    }
    m_meshes.back()->Send(
      FrameOut{ ProcessId("hub"), m_hubAddress, MakeEnvelope(wire::ConfigQueryT{}) });
  }

  void HandleFrame(std::size_t index, const FrameIn& frame)
  {
    if (const auto* wanted = frame.envelope->body.AsInForce()) {
      while (m_meshes.size() < wanted->version) {
        Add();
      }
      return;
    }
    m_meshes[index]->Send(
      FrameOut{ frame.peer, "", std::make_shared<wire::EnvelopeT>(*frame.envelope) });
  }

  IoRuntime m_runtime;
  std::string m_hubAddress;
  std::vector<std::unique_ptr<PeerMesh>> m_meshes;
};

class Hub
{
public:
  Hub()
    : m_mesh(m_runtime, MakeSettings("hub"), MakeHooks())
  {
    m_started = m_mesh.Start().has_value();
  }

  [[nodiscard]] bool Started() const { return m_started; }
  [[nodiscard]] std::string Address() const { return m_mesh.ListenAddress(); }

  void Measure()
  {
    WaitForConnections(1);
    MeasureConnections();
    MeasureRoundTrips();
    MeasureStream();
    m_mesh.Close();
  }

private:
  PeerMeshHooks MakeHooks()
  {
    PeerMeshHooks hooks;
    hooks.onUp = [this](const PeerUp&) { m_changed.Notify(); };
    hooks.onFrame = [this](const FrameIn&) {
      ++m_received;
      m_changed.Notify();
    };
    return hooks;
  }

  void WaitForConnections(std::size_t count)
  {
    while (m_mesh.ConnectionCount() < count) {
      m_changed.Wait();
    }
  }

  void SendOutput(std::size_t bytes)
  {
    wire::OutputT output;
    output.request = "entry-1.1.123456";
    output.bytes.resize(bytes);
    m_mesh.Send(FrameOut{ ProcessId(kFirstPeer), "", MakeEnvelope(std::move(output)) });
  }

  void MeasureRoundTrips()
  {
    std::printf("\nframe round trips, one at a time (%zu each)\n", kRoundTrips);
    std::printf("%8s %10s %10s %10s %16s\n", "bytes", "p50 us", "p99 us", "max us", "cpu us/frame");
    for (const std::size_t bytes : { 64, 1024, 65536 }) {
      std::vector<double> micros;
      const Duration before = ProcessorTime();
      for (std::size_t i = 0; i < kRoundTrips; ++i) {
        const TimePoint sent = BootNow();
        const std::size_t expected = m_received + 1;
        SendOutput(bytes);
        while (m_received < expected) {
          m_changed.Wait();
        }
        micros.push_back(Micros(BootNow() - sent));
      }
      const Duration used = ProcessorTime() - before;
      std::sort(micros.begin(), micros.end());
      std::printf("%8zu %10.1f %10.1f %10.1f %16.2f\n",
                  bytes,
                  micros[micros.size() / 2],
                  micros[micros.size() * 99 / 100],
                  micros.back(),
                  Micros(used) / (2.0 * kRoundTrips));
    }
  }

  void MeasureStream()
  {
    std::printf(
      "\nframes streamed and echoed, %zu in flight (%zu each)\n", kWindow, kStreamedFrames);
    std::printf("%8s %14s %16s %14s\n", "bytes", "frames/s", "cpu us/frame", "frames/write");
    for (const std::size_t bytes : { 64, 1024 }) {
      const std::size_t first = m_received;
      const std::uint64_t writes = m_mesh.Counters().writes;
      const Duration before = ProcessorTime();
      const TimePoint begun = BootNow();
      std::size_t sent = 0;
      while (m_received - first < kStreamedFrames) {
        while (sent < kStreamedFrames && sent - (m_received - first) < kWindow) {
          SendOutput(bytes);
          ++sent;
        }
        m_changed.Wait();
      }
      const double seconds = Micros(BootNow() - begun) / 1e6;
      std::printf("%8zu %14.0f %16.2f %14.1f\n",
                  bytes,
                  2.0 * kStreamedFrames / seconds,
                  Micros(ProcessorTime() - before) / (2.0 * kStreamedFrames),
                  static_cast<double>(kStreamedFrames) /
                    static_cast<double>(m_mesh.Counters().writes - writes));
    }
  }

  void MeasureConnections()
  {
    std::printf("idle connections, measured for %lld ms each; default heartbeats\n",
                static_cast<long long>(ToMillis(kIdleTime)));
    std::printf(
      "%12s %12s %16s %18s\n", "connections", "rss KB", "cpu % of a core", "sent bytes/s");
    std::vector<FitPoint> memory;
    std::vector<FitPoint> processor;
    std::vector<FitPoint> bytes;
    for (const std::size_t count : kConnections) {
      wire::InForceT wanted;
      wanted.version = count;
      m_mesh.Send(FrameOut{ ProcessId(kFirstPeer), "", MakeEnvelope(std::move(wanted)) });
      WaitForConnections(count);
      m_runtime.SleepFor(std::chrono::seconds(1));
      const Duration before = ProcessorTime();
      const std::uint64_t sentBefore = m_mesh.Counters().bytesSent;
      m_runtime.SleepFor(kIdleTime);
      const double seconds = Micros(kIdleTime) / 1e6;
      const double share = 100 * Micros(ProcessorTime() - before) / Micros(kIdleTime);
      const double sent = static_cast<double>(m_mesh.Counters().bytesSent - sentBefore) / seconds;
      const double resident = ResidentKilobytes();
      const auto connections = static_cast<double>(count);
      memory.push_back({ connections, resident });
      processor.push_back({ connections, share });
      bytes.push_back({ connections, sent });
      std::printf("%12zu %12.0f %16.3f %18.0f\n", count, resident, share, sent);
    }
    std::printf("slope for one more connection: %.1f KB, %.4f %% of a core, %.0f bytes/s sent\n",
                FitLine(memory).slope,
                FitLine(processor).slope,
                FitLine(bytes).slope);
  }

  IoRuntime m_runtime;
  std::size_t m_received = 0;
  Signal m_changed;
  bool m_started = false;
  PeerMesh m_mesh;
};

int RunPeers(int pipe)
{
  std::array<char, 64> address{};
  const ssize_t size = read(pipe, address.data(), address.size());
  if (size <= 0) {
    return 1;
  }
  Peers peers(std::string(address.data(), static_cast<std::size_t>(size)));
  peers.Serve();
  return 0;
}

} // namespace
} // namespace gooseberrysail

int main()
{
  std::array<int, 2> ends{};
  if (pipe(ends.data()) != 0) {
    return 1;
  }
  const pid_t child = fork();
  if (child == 0) {
    return gooseberrysail::RunPeers(ends[0]);
  }
  {
    gooseberrysail::Hub hub;
    const std::string address = hub.Address();
    if (!hub.Started() || write(ends[1], address.data(), address.size()) < 0) {
      return 1;
    }
    hub.Measure();
  }
  int status = 0;
  waitpid(child, &status, 0);
  return status;
}
