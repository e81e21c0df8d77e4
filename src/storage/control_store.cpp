#include "gooseberrysail/storage/control_store.hpp"

#include "gooseberrysail/observe/event.hpp"
#include "storage/data_folder.hpp"
#include "storage/log_frames.hpp"
#include "storage/segments.hpp"

#include <algorithm>
#include <cstring>
#include <optional>

namespace gooseberrysail {

using impl::EncodeFrame;
using impl::FileHandle;
using impl::FrameScan;
using impl::ReadFile;
using impl::RecoveredSegments;
using impl::ReplaceFile;
using impl::ScanFrames;
using impl::Segments;

namespace {

constexpr const char* kIdentityName = "identity";
constexpr const char* kHardStateName = "hard-state";
constexpr const char* kSnapshotPrefix = "snapshot-";
constexpr const char* kLogPrefix = "log-";
constexpr const char* kTemporarySuffix = ".new";
constexpr std::uint64_t kFirstSegment = 1;

std::vector<std::uint8_t> ToBytes(std::uint64_t value)
{
  std::vector<std::uint8_t> bytes(sizeof value);
  std::memcpy(bytes.data(), &value, sizeof value);
  return bytes;
}

std::optional<std::uint64_t> FromBytes(std::span<const std::uint8_t> bytes)
{
  std::uint64_t value = 0;
  if (bytes.size() != sizeof value) {
    return std::nullopt;
  }
  std::memcpy(&value, bytes.data(), sizeof value);
  return value;
}

std::string SnapshotName(std::uint64_t index)
{
  const std::string digits = std::to_string(index);
  return kSnapshotPrefix + std::string(20 - digits.size(), '0') + digits;
}

Error CorruptFile(const std::string& path, const char* what)
{
  return Error{ ErrorCode::kCorrupt, "read data folder", path + " offset 0", what };
}

bool Contains(const std::vector<std::string>& names, const std::string& name)
{
  return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

struct ControlStore::Impl
{
  explicit Impl(ControlStoreOptions given)
    : options(std::move(given))
    , segments(options.folder, options.files, options.segmentBytes)
  {
  }

  [[nodiscard]] Result<void> Read();
  [[nodiscard]] Result<void> ReadIdentity();
  [[nodiscard]] Result<void> ReadHardState();
  [[nodiscard]] Result<void> ReadSnapshot();
  [[nodiscard]] Result<void> ReadLog();
  [[nodiscard]] Result<std::vector<std::vector<std::uint8_t>>> ReadFrames(const std::string& name,
                                                                          std::size_t count) const;
  [[nodiscard]] Result<void> Write(const ReadyOutput& ready);
  [[nodiscard]] Result<void> WriteSnapshot(const RaftSnapshot& snapshot, bool replacesLog);
  void RemoveOldSnapshots(const std::string& kept);

  ControlStoreOptions options;
  FileHandle lock;
  Segments segments;
  std::vector<std::string> names;
  RecoveredLog recovered;
  std::uint64_t firstSegment = kFirstSegment;
  std::uint64_t snapshotBytes = 0;
  std::vector<EventOut> events;
  std::optional<Error> failure;
};

Result<void> ControlStore::Impl::Read()
{
  // An earlier process may have renamed a file and crashed before it synced the folder. Files that
  // it replaces are removed only after that.
  if (const int error = options.files.syncFolder(options.folder); error != 0) {
    return impl::IoError("sync folder", options.folder, error);
  }
  BOOST_OUTCOME_TRY(names, impl::ListFiles(options.folder));
  std::vector<std::string> unfinished;
  std::copy_if(names.begin(), names.end(), std::back_inserter(unfinished), [](const auto& name) {
    return name.ends_with(kTemporarySuffix);
  });
  impl::RemoveFiles(options.folder, unfinished);
  std::erase_if(names, [](const auto& name) { return name.ends_with(kTemporarySuffix); });
  BOOST_OUTCOME_TRY(ReadIdentity());
  BOOST_OUTCOME_TRY(ReadHardState());
  BOOST_OUTCOME_TRY(ReadSnapshot());
  BOOST_OUTCOME_TRY(ReadLog());
  events.push_back(MakeEvent(
    EventNumber::kStorageOpened,
    { { "folder", options.folder },
      { "identity", std::to_string(recovered.identity.Get()) },
      { "snapshot", std::to_string(recovered.snapshot ? recovered.snapshot->index.Get() : 0) },
      { "entries", std::to_string(recovered.entries.size()) },
      { "term", std::to_string(recovered.hardState.term.Get()) } }));
  return outcome::success();
}

Result<std::vector<std::vector<std::uint8_t>>> ControlStore::Impl::ReadFrames(
  const std::string& name,
  std::size_t count) const
{
  const std::string path = options.folder + "/" + name;
  BOOST_OUTCOME_TRY(const auto bytes, ReadFile(path));
  BOOST_OUTCOME_TRY(const FrameScan scan, ScanFrames(bytes, path, false));
  if (scan.payloads.size() != count) {
    return CorruptFile(path, "the file is incomplete");
  }
  std::vector<std::vector<std::uint8_t>> frames;
  for (const auto payload : scan.payloads) {
    frames.emplace_back(payload.begin(), payload.end());
  }
  return frames;
}

// The identity distinguishes this disk from a wiped one. It is created once, and never in a folder
// that holds other data.
Result<void> ControlStore::Impl::ReadIdentity()
{
  if (Contains(names, kIdentityName)) {
    BOOST_OUTCOME_TRY(const auto frames, ReadFrames(kIdentityName, 1));
    const auto identity = FromBytes(frames[0]);
    if (!identity || *identity == 0) {
      return CorruptFile(options.folder + "/" + kIdentityName, "not a valid identity");
    }
    recovered.identity = StorageIdentity(*identity);
    return outcome::success();
  }
  const bool used = std::any_of(names.begin(), names.end(), [](const std::string& name) {
    return name == kHardStateName || name.starts_with(kSnapshotPrefix) ||
           name.starts_with(kLogPrefix);
  });
  if (used) {
    return CorruptFile(
      options.folder + "/" + kIdentityName,
      "missing although the folder holds data; restore it, or empty the folder so that "
      "the process joins the cluster again");
  }
  // A parent that belongs to an administrator may be unreadable for this process.
  if (const Result<void> synced = impl::SyncParent(options.folder, options.files); !synced) {
    events.push_back(
      MakeEvent(EventNumber::kStorageParentNotSynced,
                { { "folder", options.folder }, { "reason", synced.error().description } }));
  }
  const std::uint64_t drawn = std::max<std::uint64_t>(options.random(), 1);
  BOOST_OUTCOME_TRY(
    ReplaceFile(options.folder, kIdentityName, EncodeFrame(ToBytes(drawn)), options.files));
  recovered.identity = StorageIdentity(drawn);
  events.push_back(
    MakeEvent(EventNumber::kStorageCreated,
              { { "folder", options.folder }, { "identity", std::to_string(drawn) } }));
  return outcome::success();
}

Result<void> ControlStore::Impl::ReadHardState()
{
  if (!Contains(names, kHardStateName)) {
    const bool used = std::any_of(names.begin(), names.end(), [](const std::string& name) {
      return name.starts_with(kSnapshotPrefix);
    });
    if (used) {
      return CorruptFile(options.folder + "/" + kHardStateName,
                         "missing although the folder holds data");
    }
    return outcome::success();
  }
  BOOST_OUTCOME_TRY(const auto frames, ReadFrames(kHardStateName, 1));
  BOOST_OUTCOME_TRY(recovered.hardState, DecodeHardState(frames[0]));
  return outcome::success();
}

Result<void> ControlStore::Impl::ReadSnapshot()
{
  std::string newest;
  for (const std::string& name : names) {
    if (name.starts_with(kSnapshotPrefix)) {
      newest = name; // The names are sorted, so the last one has the highest index.
    }
  }
  if (newest.empty()) {
    return outcome::success();
  }
  BOOST_OUTCOME_TRY(const auto frames, ReadFrames(newest, 2));
  const auto first = FromBytes(frames[0]);
  Result<RaftSnapshot> snapshot = DecodeSnapshot(frames[1]);
  if (!first || !snapshot) {
    return CorruptFile(options.folder + "/" + newest, "not a valid snapshot");
  }
  firstSegment = *first;
  snapshotBytes = frames[1].size();
  recovered.snapshot = std::make_shared<const RaftSnapshot>(std::move(snapshot).value());
  RemoveOldSnapshots(newest);
  return outcome::success();
}

Result<void> ControlStore::Impl::ReadLog()
{
  const std::uint64_t after = recovered.snapshot ? recovered.snapshot->index.Get() : 0;
  BOOST_OUTCOME_TRY(RecoveredSegments read, segments.Read(firstSegment, after, names));
  recovered.entries = std::move(read.entries);
  if (!read.tornFile.empty()) {
    events.push_back(MakeEvent(EventNumber::kStorageTornTailCut,
                               { { "file", read.tornFile },
                                 { "offset", std::to_string(read.tornOffset) },
                                 { "bytes", std::to_string(read.tornBytes) } }));
  }
  if (!recovered.entries.empty() && recovered.entries.back().term > recovered.hardState.term) {
    return CorruptFile(options.folder + "/" + kHardStateName, "older than the log, or missing");
  }
  return outcome::success();
}

// The hard state is written first. If entries or a snapshot of a term were stored before it, the
// process could vote a second time in that term after a crash.
Result<void> ControlStore::Impl::Write(const ReadyOutput& ready)
{
  if (ready.hardState) {
    const auto frame = EncodeFrame(EncodeHardState(*ready.hardState));
    BOOST_OUTCOME_TRY(ReplaceFile(options.folder, kHardStateName, frame, options.files));
  }
  if (ready.persistSnapshot) {
    BOOST_OUTCOME_TRY(WriteSnapshot(*ready.persistSnapshot, ready.snapshotReplacesLog));
  }
  if (!ready.entries.empty()) {
    BOOST_OUTCOME_TRY(segments.Append(ready.entries));
  }
  return outcome::success();
}

// The snapshot file holds the number of the first valid log file. A single rename thus activates
// the snapshot and invalidates the log files that it replaces, so that a crash can't leave a new
// snapshot with an old log.
Result<void> ControlStore::Impl::WriteSnapshot(const RaftSnapshot& snapshot, bool replacesLog)
{
  BOOST_OUTCOME_TRY(segments.Roll());
  const std::uint64_t first =
    replacesLog ? segments.Current() : segments.FirstNeeded(snapshot.index.Get());
  std::vector<std::uint8_t> bytes = EncodeFrame(ToBytes(first));
  const std::vector<std::uint8_t> encoded = EncodeSnapshot(snapshot);
  const std::vector<std::uint8_t> frame = EncodeFrame(encoded);
  bytes.insert(bytes.end(), frame.begin(), frame.end());
  const std::string name = SnapshotName(snapshot.index.Get());
  BOOST_OUTCOME_TRY(ReplaceFile(options.folder, name, bytes, options.files));
  snapshotBytes = encoded.size();
  segments.RemoveBefore(first);
  RemoveOldSnapshots(name);
  return outcome::success();
}

void ControlStore::Impl::RemoveOldSnapshots(const std::string& kept)
{
  std::vector<std::string> old;
  for (const std::string& name : names) {
    if (name.starts_with(kSnapshotPrefix) && name != kept) {
      old.push_back(name);
    }
  }
  impl::RemoveFiles(options.folder, old);
  std::erase_if(names, [](const std::string& name) { return name.starts_with(kSnapshotPrefix); });
  names.push_back(kept);
}

ControlStore::ControlStore(std::unique_ptr<Impl> impl)
  : m_impl(std::move(impl))
{
}

ControlStore::ControlStore(ControlStore&&) noexcept = default;
ControlStore& ControlStore::operator=(ControlStore&&) noexcept = default;
ControlStore::~ControlStore() = default;

Result<ControlStore> ControlStore::Open(ControlStoreOptions options)
{
  BOOST_OUTCOME_TRY(impl::MakeFolder(options.folder, options.files));
  auto state = std::make_unique<Impl>(std::move(options));
  BOOST_OUTCOME_TRY(state->lock, impl::LockFolder(state->options.folder));
  BOOST_OUTCOME_TRY(state->Read());
  return ControlStore(std::move(state));
}

RecoveredLog ControlStore::TakeRecovered()
{
  return std::exchange(m_impl->recovered, {});
}

const std::vector<EventOut>& ControlStore::OpenEvents() const noexcept
{
  return m_impl->events;
}

Result<void> ControlStore::Persist(const ReadyOutput& ready)
{
  if (m_impl->failure) {
    return *m_impl->failure;
  }
  Result<void> result = m_impl->Write(ready);
  if (!result) {
    // Not retried: after a failed sync the kernel may have dropped the pages that it could not
    // write, and the next sync would succeed without them.
    m_impl->failure = result.error();
  }
  return result;
}

std::uint64_t ControlStore::UsedBytes() const
{
  return m_impl->segments.Bytes() + m_impl->snapshotBytes;
}

} // namespace gooseberrysail
