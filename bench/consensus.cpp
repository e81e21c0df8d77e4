// Measures the replicated log and its store: bytes and CPU time per change and per heartbeat round,
// commit latency with real syncs, and snapshot times by size. Prints tables with linear fits.

#include "gooseberrysail/storage/control_store.hpp"
#include "gooseberrysail/wire/envelope.hpp"
#include "linear_fit.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <deque>
#include <filesystem>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace gooseberrysail {
namespace {

constexpr std::size_t kFramePrefixBytes = 4;
constexpr std::size_t kChanges = 4000;
constexpr std::size_t kTypicalCommandBytes = 256;

double Seconds(clockid_t clock)
{
  timespec moment{};
  clock_gettime(clock, &moment);
  return static_cast<double>(moment.tv_sec) + static_cast<double>(moment.tv_nsec) * 1e-9;
}

double CpuSeconds()
{
  return Seconds(CLOCK_PROCESS_CPUTIME_ID);
}

double WallSeconds()
{
  return Seconds(CLOCK_MONOTONIC);
}

using bench::FitPoint;

void PrintFit(const char* what, const std::vector<FitPoint>& points)
{
  const bench::LinearFit fit = bench::FitLine(points);
  std::printf("  fit: %s = %.4g + %.4g * x, largest residual %.3g\n",
              what,
              fit.offset,
              fit.slope,
              bench::LargestResidual(fit, points));
}

/// \brief Several nodes that exchange encoded frames in memory, without disks.
class Cluster
{
public:
  explicit Cluster(std::size_t voters)
  {
    std::vector<ProcessId> names;
    for (std::size_t i = 0; i < voters; ++i) {
      names.emplace_back("control-" + std::to_string(i + 1));
    }
    for (std::size_t i = 0; i < voters; ++i) {
      RaftSettings settings;
      settings.self = names[i];
      settings.voters = names;
      RecoveredLog empty;
      empty.identity = StorageIdentity(i + 1);
      m_nodes.push_back(
        std::make_unique<RaftNode>(settings, RaftHooks{ [this] { return m_random(); } }, empty));
    }
    while (Leader() == nullptr) {
      Advance(std::chrono::milliseconds(20));
    }
    Advance(std::chrono::milliseconds(200));
  }

  RaftNode* Leader()
  {
    for (auto& node : m_nodes) {
      const ReplicationStatus status = node->Status();
      if (status.leader && status.quorumHeardAt != TimePoint{}) {
        return node.get();
      }
    }
    return nullptr;
  }

  void Advance(Duration step)
  {
    m_now += step;
    for (auto& node : m_nodes) {
      node->Tick(m_now);
      ProcessReady(*node);
    }
    DeliverAll();
  }

  void DeliverAll()
  {
    while (!m_frames.empty()) {
      const std::vector<std::uint8_t> frame = std::move(m_frames.front());
      m_frames.pop_front();
      const auto envelope = DecodeEnvelope(frame, "peer").value();
      const wire::RaftMessageT& message = *envelope->body.AsRaftMessage();
      RaftNode& node = *m_nodes[static_cast<std::size_t>(message.to.back() - '1')];
      node.Step(m_now, message);
      ProcessReady(node);
    }
  }

  void ProcessReady(RaftNode& node)
  {
    while (node.HasReady()) {
      ReadyOutput ready = node.TakeReady();
      for (wire::RaftMessageT& message : ready.messages) {
        m_frames.push_back(EncodeEnvelope(*MakeEnvelope(std::move(message))));
        m_bytes += m_frames.back().size() + kFramePrefixBytes;
      }
      node.Advance();
      if (node.WantsSnapshot()) {
        node.OnSnapshotTaken(node.Status().applied, {});
      }
    }
  }

  [[nodiscard]] std::uint64_t Bytes() const { return m_bytes; }

private:
  std::mt19937_64 m_random{ 1 }; // A fixed seed, for the same elections in each run.
  std::vector<std::unique_ptr<RaftNode>> m_nodes;
  std::deque<std::vector<std::uint8_t>> m_frames;
  TimePoint m_now{ std::chrono::seconds(1) };
  std::uint64_t m_bytes = 0;
};

struct Cost
{
  double bytes = 0;
  double cpuMicros = 0;
};

Cost CostOfChange(std::size_t voters, std::size_t commandBytes, std::size_t batch)
{
  Cluster cluster(voters);
  RaftNode& leader = *cluster.Leader();
  const std::uint64_t bytes = cluster.Bytes();
  const double cpu = CpuSeconds();
  for (std::size_t done = 0; done < kChanges; done += batch) {
    for (std::size_t i = 0; i < batch; ++i) {
      if (!leader.Propose(std::vector<std::uint8_t>(commandBytes, 7))) {
        std::abort();
      }
    }
    cluster.ProcessReady(leader);
    cluster.DeliverAll();
  }
  return { static_cast<double>(cluster.Bytes() - bytes) / kChanges,
           (CpuSeconds() - cpu) * 1e6 / kChanges };
}

Cost CostOfHeartbeat(std::size_t voters)
{
  constexpr std::size_t kRounds = 5000;
  Cluster cluster(voters);
  const std::uint64_t bytes = cluster.Bytes();
  const double cpu = CpuSeconds();
  for (std::size_t i = 0; i < kRounds; ++i) {
    cluster.Advance(RaftSettings{}.heartbeat);
  }
  return { static_cast<double>(cluster.Bytes() - bytes) / kRounds,
           (CpuSeconds() - cpu) * 1e6 / kRounds };
}

template<class CostOf>
void PrintByVoters(const char* unit, CostOf costOf)
{
  std::printf("  voters  bytes/%s  CPU us/%s\n", unit, unit);
  std::vector<FitPoint> bytes;
  std::vector<FitPoint> cpu;
  for (const std::size_t voters : { 1U, 3U, 5U, 7U }) {
    const Cost cost = costOf(voters);
    std::printf("  %6zu  %12.1f  %13.2f\n", voters, cost.bytes, cost.cpuMicros);
    bytes.push_back({ static_cast<double>(voters - 1), cost.bytes });
    cpu.push_back({ static_cast<double>(voters - 1), cost.cpuMicros });
  }
  PrintFit("bytes (x: followers)", bytes);
  PrintFit("CPU us (x: followers)", cpu);
}

void PrintVoters()
{
  for (const std::size_t batch : { 1U, 16U }) {
    std::printf("\nchanges of %zu bytes, %zu at once; all processes together, no disk\n",
                kTypicalCommandBytes,
                batch);
    PrintByVoters("change", [batch](std::size_t voters) {
      return CostOfChange(voters, kTypicalCommandBytes, batch);
    });
  }
  std::printf("\nheartbeat rounds without changes; all processes together\n");
  PrintByVoters("round", CostOfHeartbeat);
}

void PrintCommandSizes()
{
  std::printf("\nsize of a change, 3 voters, one at a time\n  bytes  bytes sent  CPU us\n");
  std::vector<FitPoint> bytes;
  std::vector<FitPoint> cpu;
  for (const std::size_t size : { 64U, 256U, 1024U, 4096U, 16384U }) {
    const Cost cost = CostOfChange(3, size, 1);
    std::printf("  %5zu  %10.1f  %6.2f\n", size, cost.bytes, cost.cpuMicros);
    bytes.push_back({ static_cast<double>(size), cost.bytes });
    cpu.push_back({ static_cast<double>(size), cost.cpuMicros });
  }
  PrintFit("bytes sent (x: bytes)", bytes);
  PrintFit("CPU us (x: bytes)", cpu);
}

ControlStore OpenStore(const std::string& folder)
{
  ControlStoreOptions options;
  options.folder = folder;
  options.random = [] { return 1; };
  return ControlStore::Open(std::move(options)).value();
}

void PersistOrAbort(ControlStore& store, const ReadyOutput& ready)
{
  const Result<void> persisted = store.Persist(ready);
  if (!persisted) {
    std::fprintf(stderr, "%s\n", ToString(persisted.error()).c_str());
    std::abort();
  }
}

double Percentile(std::vector<double> values, double share)
{
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

void PrintCommits(const std::string& folder, std::size_t batch)
{
  constexpr std::size_t kSyncs = 200;
  ControlStore store = OpenStore(folder);
  RaftSettings settings;
  settings.self = ProcessId("control-1");
  settings.voters = { settings.self };
  settings.snapshotEvery = std::uint64_t{ 1 } << 30;
  RaftNode node(settings, RaftHooks{ [] { return 1; } }, store.TakeRecovered());
  const auto processReady = [&] {
    while (node.HasReady()) {
      PersistOrAbort(store, node.TakeReady());
      node.Advance();
    }
  };
  node.Tick(TimePoint(std::chrono::seconds(1)));
  processReady();
  std::vector<double> latencies;
  const double cpu = CpuSeconds();
  const double start = WallSeconds();
  for (std::size_t sync = 0; sync < kSyncs; ++sync) {
    const double before = WallSeconds();
    for (std::size_t i = 0; i < batch; ++i) {
      if (!node.Propose(std::vector<std::uint8_t>(kTypicalCommandBytes, 7))) {
        std::abort();
      }
    }
    processReady();
    latencies.push_back((WallSeconds() - before) * 1e3);
  }
  const auto changes = static_cast<double>(kSyncs * batch);
  std::printf("  %12zu  %6.2f  %6.2f  %6.2f  %9.0f  %13.2f\n",
              batch,
              Percentile(latencies, 0.5),
              Percentile(latencies, 0.95),
              Percentile(latencies, 0.99),
              changes / (WallSeconds() - start),
              (CpuSeconds() - cpu) * 1e6 / changes);
}

struct SnapshotTimes
{
  double fileKilobytes = 0;
  double writeMillis = 0;
  double openMillis = 0;
};

SnapshotTimes MeasureSnapshot(const std::string& folder, std::size_t kilobytes)
{
  SnapshotTimes times;
  RaftSnapshot snapshot;
  snapshot.index = LogIndex(10);
  snapshot.term = Term(1);
  snapshot.state.assign(kilobytes * 1024, 5);
  ReadyOutput ready;
  ready.hardState = HardState{ Term(1), ProcessId("control-1"), 1 };
  ready.persistSnapshot = std::make_shared<const RaftSnapshot>(std::move(snapshot));
  {
    ControlStore store = OpenStore(folder);
    const double before = WallSeconds();
    PersistOrAbort(store, ready);
    times.writeMillis = (WallSeconds() - before) * 1e3;
    times.fileKilobytes = static_cast<double>(store.UsedBytes()) / 1024;
  }
  const double before = WallSeconds();
  const ControlStore store = OpenStore(folder);
  times.openMillis = (WallSeconds() - before) * 1e3;
  return times;
}

void PrintSnapshots(const std::string& folder)
{
  std::printf("\nsnapshots\n  state KB  file KB  write+sync ms  open ms\n");
  std::vector<FitPoint> writing;
  std::vector<FitPoint> opening;
  for (const std::size_t kilobytes : { 64U, 256U, 1024U, 4096U, 16384U }) {
    const SnapshotTimes times =
      MeasureSnapshot(folder + "/snapshot-" + std::to_string(kilobytes), kilobytes);
    std::printf("  %8zu  %7.0f  %13.2f  %7.2f\n",
                kilobytes,
                times.fileKilobytes,
                times.writeMillis,
                times.openMillis);
    writing.push_back({ static_cast<double>(kilobytes), times.writeMillis });
    opening.push_back({ static_cast<double>(kilobytes), times.openMillis });
  }
  PrintFit("write ms (x: KB)", writing);
  PrintFit("open ms (x: KB)", opening);
}

} // namespace
} // namespace gooseberrysail

int main()
{
  std::string folder = (std::filesystem::temp_directory_path() / "consensus-bench-XXXXXX").string();
  if (::mkdtemp(folder.data()) == nullptr) {
    std::perror("make a folder");
    return 1;
  }
  gooseberrysail::PrintVoters();
  gooseberrysail::PrintCommandSizes();
  std::printf("\ncommit of one voter with real syncs, %zu-byte changes\n"
              "  changes/sync  p50 ms  p95 ms  p99 ms  changes/s  CPU us/change\n",
              gooseberrysail::kTypicalCommandBytes);
  for (const std::size_t batch : { 1U, 8U, 64U, 512U }) {
    gooseberrysail::PrintCommits(folder + "/commit-" + std::to_string(batch), batch);
  }
  gooseberrysail::PrintSnapshots(folder);
  std::filesystem::remove_all(folder);
  return 0;
}
