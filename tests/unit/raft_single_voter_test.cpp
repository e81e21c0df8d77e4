#include "gooseberrysail/observe/event_catalog.hpp"
#include "gooseberrysail/storage/control_store.hpp"
#include "support/section.hpp"
#include "support/temporary_folder.hpp"

#include <memory>
#include <string>

namespace gooseberrysail {
namespace {

using testing::TemporaryFolder;
using testing::UnsyncedFileSystem;

// One control process with real files and no network; handles ready outputs like the shell.
struct SingleVoter
{
  explicit SingleVoter(const std::string& folder, FileSystem files = UnsyncedFileSystem())
  {
    ControlStoreOptions options;
    options.folder = folder;
    options.random = [] { return 77; };
    options.files = std::move(files);
    Result<ControlStore> opened = ControlStore::Open(std::move(options));
    if (!opened) {
      error = opened.error();
      return;
    }
    store.emplace(std::move(opened).value());
    RaftSettings settings;
    settings.self = ProcessId("control-1");
    settings.voters = { settings.self };
    settings.snapshotEvery = 100;
    RecoveredLog recovered = store->TakeRecovered();
    recoveredEntries = recovered.entries.size();
    node =
      std::make_unique<RaftNode>(settings, RaftHooks{ [] { return 5; } }, std::move(recovered));
    node->Tick(TimePoint(std::chrono::seconds(1)));
    ProcessReady();
  }

  // The applied state is the sequence of commands, one byte each.
  void ProcessReady()
  {
    while (!error && node->HasReady()) {
      const ReadyOutput ready = node->TakeReady();
      const Result<void> persisted = store->Persist(ready);
      if (!persisted) {
        error = persisted.error();
        return;
      }
      if (ready.restoreSnapshot) {
        applied = ready.restoreSnapshot->state;
      }
      for (const LogRecord& entry : ready.committed) {
        applied.push_back(entry.payload.at(0));
      }
      node->Advance();
      if (node->WantsSnapshot()) {
        node->OnSnapshotTaken(node->Status().applied, applied);
      }
    }
  }

  bool Propose(std::uint8_t value)
  {
    const bool accepted = node->Propose({ value }).has_value();
    ProcessReady();
    return accepted;
  }

  std::optional<ControlStore> store;
  std::unique_ptr<RaftNode> node;
  std::vector<std::uint8_t> applied;
  std::size_t recoveredEntries = 0;
  std::optional<Error> error;
};

TEST(RaftSingleVoter, LeadsImmediatelyAndCommitsSyncedEntries)
{
  const TemporaryFolder folder;
  SingleVoter voter(folder.Path() + "/data", RealFileSystem());
  ASSERT_FALSE(voter.error) << *voter.error;
  EXPECT_TRUE(voter.node->Status().leader);
  EXPECT_EQ(voter.node->Status().quorumHeardAt, TimePoint(std::chrono::seconds(1)));
  EXPECT_TRUE(voter.Propose(7));
  EXPECT_EQ(voter.applied, std::vector<std::uint8_t>({ 7 }));
}

TEST(RaftSingleVoter, AProposalDuringASyncWaitsForTheNextSync)
{
  // Symptom: a change is acknowledged and lost in a crash.
  // Sequence: a second change is proposed while the first one is being synced.
  // Cause: the leader counts itself for entries that it has not synced.
  const TemporaryFolder folder;
  SingleVoter voter(folder.Path() + "/data");
  const Result<LogIndex> first = voter.node->Propose({ 1 });
  const ReadyOutput ready = voter.node->TakeReady();
  const Result<LogIndex> second = voter.node->Propose({ 2 });
  ASSERT_TRUE(voter.store->Persist(ready));
  voter.node->Advance();
  EXPECT_EQ(voter.node->Status().committed, first.value());
  voter.ProcessReady();
  EXPECT_EQ(voter.node->Status().committed, second.value());
}

TEST(RaftSingleVoter, RestartAfterFiveHundredChangesReadsTheSnapshotAndFewEntries)
{
  // Symptom: restarts become slower with each change.
  // Sequence: 500 changes are made; the process ends without a shutdown and restarts.
  // Cause: replaying the whole log instead of a snapshot.
  const TemporaryFolder folder;
  std::vector<std::uint8_t> before;
  SECTION("500 changes without a shutdown")
  {
    SingleVoter voter(folder.Path() + "/data");
    for (int i = 0; i < 500; ++i) {
      ASSERT_TRUE(voter.Propose(static_cast<std::uint8_t>(i)));
    }
    before = voter.applied;
    ASSERT_EQ(before.size(), 500U);
  }
  SECTION("restart")
  {
    SingleVoter voter(folder.Path() + "/data");
    ASSERT_FALSE(voter.error) << *voter.error;
    EXPECT_EQ(voter.applied, before);
    EXPECT_LT(voter.recoveredEntries, 110U);
    EXPECT_TRUE(voter.Propose(9));
  }
}

TEST(RaftSingleVoter, AFailedSyncAcknowledgesNothingAndIsNotRetried)
{
  // Symptom: a change that was acknowledged to an operator is lost after a restart.
  // Sequence: the disk reports an error for one sync; the next sync succeeds.
  // Cause: after a failed sync the kernel may drop the unwritten pages, so the success of a second
  // sync does not show that they were written.
  const TemporaryFolder folder;
  int syncsUntilFailure = -1;
  FileSystem files = RealFileSystem();
  files.sync = [&, real = files.sync](int file) {
    return syncsUntilFailure-- == 0 ? EIO : real(file);
  };
  SingleVoter voter(folder.Path() + "/data", files);
  ASSERT_TRUE(voter.Propose(1));
  syncsUntilFailure = 0;
  (void)voter.Propose(2);
  ASSERT_TRUE(voter.error);
  EXPECT_EQ(voter.error->code, ErrorCode::kIo);
  EXPECT_EQ(voter.error->step, "sync log file");
  EXPECT_EQ(voter.applied, std::vector<std::uint8_t>({ 1 }));
  const Result<void> again = voter.store->Persist({});
  ASSERT_FALSE(again);
  EXPECT_EQ(again.error().step, "sync log file");
}

TEST(RaftSingleVoter, AFullDiskAcknowledgesNothingAndKeepsAcknowledgedChanges)
{
  // Symptom: a change is acknowledged, or an earlier one is lost, when the disk is full.
  // Sequence: a write stores half of the record and then fails with ENOSPC; later the process
  // restarts with free space on the disk.
  // Cause: treating a partial record as complete, or as damage.
  const TemporaryFolder folder;
  bool full = false;
  FileSystem files = RealFileSystem();
  files.write = [&, real = files.write](int file, std::span<const std::uint8_t> bytes) {
    if (!full) {
      return real(file, bytes);
    }
    (void)real(file, bytes.first(bytes.size() / 2));
    return ENOSPC;
  };
  SECTION("the disk is full")
  {
    SingleVoter voter(folder.Path() + "/data", files);
    ASSERT_TRUE(voter.Propose(1));
    full = true;
    (void)voter.Propose(2);
    ASSERT_TRUE(voter.error);
    EXPECT_EQ(voter.error->step, "write log file");
    EXPECT_EQ(voter.applied, std::vector<std::uint8_t>({ 1 }));
  }
  SECTION("restart with free space")
  {
    SingleVoter voter(folder.Path() + "/data");
    ASSERT_FALSE(voter.error) << *voter.error;
    EXPECT_EQ(voter.applied, std::vector<std::uint8_t>({ 1 }));
    ASSERT_EQ(voter.store->OpenEvents().size(), 2U);
    EXPECT_EQ(voter.store->OpenEvents()[0].number,
              static_cast<std::uint32_t>(EventNumber::kStorageTornTailCut));
  }
}

} // namespace
} // namespace gooseberrysail
