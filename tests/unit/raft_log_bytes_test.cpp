#include "fakes/raft_cluster.hpp"
#include "gooseberrysail/storage/control_store.hpp"
#include "support/section.hpp"
#include "support/temporary_folder.hpp"

#include <algorithm>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace gooseberrysail {
namespace {

using fakes::RaftCluster;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::TemporaryFolder;
using testing::UnsyncedFileSystem;

/// Of a route in a configuration document.
constexpr std::size_t kRouteBytes = 185;

std::uint64_t FolderBytes(const std::string& path)
{
  std::uint64_t bytes = 0;
  for (const auto& file : std::filesystem::directory_iterator(path)) {
    std::error_code error; // A file may be removed meanwhile.
    const std::uintmax_t size = file.file_size(error);
    bytes += error ? 0 : size;
  }
  return bytes;
}

/// \brief One control process that applies changes of a document, each of which replaces all of it.
class DocumentChanges
{
public:
  explicit DocumentChanges(std::size_t documentBytes)
    : m_documentBytes(documentBytes)
    , m_path(m_folder.Path() + "/data")
  {
    m_store.emplace(ControlStore::Open(MakeOptions()).value());
    m_settings.self = ProcessId("control-1");
    m_settings.voters = { m_settings.self };
    m_node = std::make_unique<RaftNode>(
      m_settings, RaftHooks{ [] { return 5; } }, m_store->TakeRecovered());
    m_node->Tick(TimePoint(seconds(1)));
    HandleReady();
  }

  void Change()
  {
    ++m_changes;
    std::vector<std::uint8_t> document(m_documentBytes, static_cast<std::uint8_t>(m_changes % 251));
    ASSERT_TRUE(m_node->Propose(std::move(document)));
    HandleReady();
  }

  /// \brief The most that the folder held after any write.
  [[nodiscard]] std::uint64_t MostStored() const { return m_mostStored; }

  /// \brief The most payload bytes of the entries in memory.
  [[nodiscard]] std::uint64_t MostHeld() const { return m_mostHeld; }

  /// \brief See docs/LIMITS.md.
  [[nodiscard]] std::uint64_t StoredLimit() const
  {
    constexpr std::uint64_t kFraming = 64 * 1024;
    return SnapshotDueBytes(m_settings, m_documentBytes) + 3 * m_documentBytes + kFraming;
  }

  [[nodiscard]] std::uint64_t HeldLimit() const
  {
    return SnapshotDueBytes(m_settings, m_documentBytes) + m_documentBytes +
           std::max(m_settings.keepBytes, m_documentBytes);
  }

  void ExpectRecovered()
  {
    m_store.reset(); // Unlocks the folder.
    m_store.emplace(ControlStore::Open(MakeOptions()).value());
    const RecoveredLog recovered = m_store->TakeRecovered();
    const std::vector<std::uint8_t>& newest =
      recovered.entries.empty() ? recovered.snapshot->state : recovered.entries.back().payload;
    EXPECT_EQ(newest, m_applied);
    EXPECT_EQ(newest.at(0), m_changes % 251);
  }

private:
  ControlStoreOptions MakeOptions()
  {
    ControlStoreOptions options;
    options.folder = m_path;
    options.random = [] { return 77; };
    options.files = UnsyncedFileSystem();
    options.files.write = [this, write = options.files.write](int file, auto bytes) {
      const int error = write(file, bytes);
      m_mostStored = std::max(m_mostStored, FolderBytes(m_path));
      return error;
    };
    return options;
  }

  void HandleReady()
  {
    while (m_node->HasReady()) {
      const ReadyOutput ready = m_node->TakeReady();
      ASSERT_TRUE(m_store->Persist(ready));
      m_mostStored = std::max(m_mostStored, FolderBytes(m_path));
      for (const LogRecord& entry : ready.committed) {
        m_applied = entry.payload;
      }
      m_node->Advance();
      m_mostHeld = std::max(m_mostHeld, HeldBytes());
      if (m_node->WantsSnapshot()) {
        m_node->OnSnapshotTaken(m_node->Status().applied, m_applied);
      }
    }
  }

  [[nodiscard]] std::uint64_t HeldBytes() const
  {
    std::uint64_t bytes = 0;
    for (const LogRecord& entry : m_node->Entries()) {
      bytes += entry.payload.size();
    }
    return bytes;
  }

  std::size_t m_documentBytes;
  TemporaryFolder m_folder;
  std::string m_path;
  std::uint64_t m_mostStored = 0;
  std::uint64_t m_mostHeld = 0;
  std::optional<ControlStore> m_store;
  RaftSettings m_settings;
  std::unique_ptr<RaftNode> m_node;
  std::vector<std::uint8_t> m_applied;
  std::uint64_t m_changes = 0;
};

// Guards against changes of a large document that fill the disk or the memory of a control process.
TEST(RaftLogBytes, AreBoundedByTheSizeOfTheDocument)
{
  for (const auto& [routes, count] :
       { std::pair<std::size_t, int>{ 10, 2'000 }, { 3'000, 2'000 }, { 10'000, 500 } }) {
    SECTION(std::to_string(count) + " changes of " + std::to_string(routes) + " routes")
    {
      DocumentChanges changes(routes * kRouteBytes);
      for (int change = 0; change < count; ++change) {
        changes.Change();
      }
      EXPECT_LE(changes.MostStored(), changes.StoredLimit());
      EXPECT_LE(changes.MostHeld(), changes.HeldLimit());
      changes.ExpectRecovered();
    }
  }
}

RaftCluster::Options ByBytes(std::uint64_t seed)
{
  RaftCluster::Options options;
  options.seed = seed;
  options.settings.snapshotEvery = 1'000'000;
  options.settings.snapshotLogBytes = 256;
  options.settings.snapshotLogFactor = 1;
  options.settings.keepBytes = 64;
  options.settings.snapshotChunkBytes = 64;
  options.settings.wantedVoters = 3;
  return options;
}

// Guards against a follower that replays a long log though a snapshot has fewer bytes.
TEST(RaftLogBytes, AProcessThatLacksMoreThanASnapshotIsSentIt)
{
  RaftCluster cluster(ByBytes(1));
  ASSERT_TRUE(cluster.RunUntil(seconds(20), [&] { return cluster.Leader().has_value(); }));
  const std::size_t leader = *cluster.Leader();
  const std::size_t down = (leader + 1) % 3;
  cluster.Crash(down);
  for (std::uint64_t value = 1; value <= 500; ++value) {
    ASSERT_TRUE(cluster.Propose(leader, value));
    cluster.Advance(milliseconds(5));
  }
  cluster.Restart(down);
  ASSERT_TRUE(cluster.RunUntil(seconds(20),
                               [&] { return cluster.IsAcknowledged(500) && cluster.Converged(); }));
  EXPECT_GE(cluster.At(down).restores, 1U);
  EXPECT_LE(cluster.At(down).appliedCommands, 64U);
  EXPECT_EQ(cluster.Violation(), "");
}

// Guards against a follower that is sent one snapshot after the other while changes come in.
TEST(RaftLogBytes, AFollowerIsSentOneSnapshotAlsoUnderChanges)
{
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    SECTION("seed " + std::to_string(seed))
    {
      RaftCluster::Options options = ByBytes(seed);
      options.settings.snapshotLogBytes = 512;
      options.settings.snapshotChunkBytes = 256;
      RaftCluster cluster(options);
      ASSERT_TRUE(cluster.RunUntil(seconds(20), [&] { return cluster.Leader().has_value(); }));
      const std::size_t leader = *cluster.Leader();
      const std::size_t down = (leader + 1) % 3;
      std::uint64_t value = 0;
      const auto change = [&](int count) {
        for (; count > 0; --count) {
          cluster.Propose(leader, ++value);
          cluster.Advance(milliseconds(5));
        }
      };
      cluster.Crash(down);
      change(150);
      cluster.SetNetwork(0, 0, milliseconds(40));
      cluster.Restart(down);
      change(300);
      EXPECT_LE(cluster.At(down).restores, 2U); // Its own one and the one that it was sent.
      EXPECT_TRUE(cluster.RunUntil(seconds(20), [&] { return cluster.Converged(); }));
      EXPECT_EQ(cluster.Violation(), "");
    }
  }
}

/// \brief Loses the disk of each process in turn, under changes, with the leader cut off at times.
/// \returns What went wrong, or "".
std::string LoseDisksInTurn(std::uint64_t seed)
{
  RaftCluster cluster(ByBytes(seed));
  std::uint64_t value = 0;
  const auto change = [&] {
    ++value;
    for (std::size_t index = 0; index < cluster.Size(); ++index) {
      if (cluster.At(index).node) {
        cluster.Propose(index, value);
      }
    }
    cluster.Advance(milliseconds(5 + cluster.Random() % 20));
  };
  const auto isHealthy = [&] {
    return !cluster.Violation().empty() ||
           (cluster.Leader() && cluster.WipedAndNotVoting() == 0 && cluster.Converged());
  };
  if (!cluster.RunUntil(seconds(20), [&] { return cluster.Leader().has_value(); })) {
    return "no leader was elected";
  }
  for (int round = 0; round < 4; ++round) {
    for (std::uint64_t count = 40 + cluster.Random() % 120; count > 0; --count) {
      change();
    }
    const std::size_t lost = cluster.Random() % cluster.Size();
    cluster.Crash(lost);
    cluster.Wipe(lost);
    cluster.Advance(milliseconds(cluster.Random() % 2'000));
    cluster.Restart(lost);
    for (std::uint64_t count = cluster.Random() % 30; count > 0; --count) {
      change();
    }
    if (cluster.Random() % 2 == 0 && cluster.Leader()) {
      cluster.Isolate(*cluster.Leader());
      cluster.Advance(milliseconds(cluster.Random() % 3'000));
      cluster.RestoreLinks();
    }
    if (!cluster.RunUntil(seconds(60), isHealthy)) {
      return "the lost disk of round " + std::to_string(round) + " was not replaced";
    }
  }
  for (const auto& [acknowledged, index] : cluster.Acknowledged()) {
    if (!cluster.IsCommitted(acknowledged)) {
      return "the acknowledged change " + std::to_string(acknowledged) + " is lost";
    }
  }
  return cluster.Violation();
}

// Guards against a change that is lost, or a quorum that doesn't come back, when disks are lost in
// turn while snapshots are due by bytes.
TEST(RaftLogBytes, DisksLostInTurnLoseNothing)
{
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    ASSERT_EQ(LoseDisksInTurn(seed), "") << "seed " << seed;
  }
}

} // namespace
} // namespace gooseberrysail
