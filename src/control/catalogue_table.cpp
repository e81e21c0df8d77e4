#include "gooseberrysail/control/catalogue_table.hpp"

#include "gooseberrysail/catalogue/codec.hpp"

#include <algorithm>
#include <set>
#include <xxhash.h>

namespace gooseberrysail {

namespace {

constexpr std::size_t kMaxRemovals = 4'000;

std::size_t BytesOf(const wire::CatalogueItemT& item)
{
  return item.name.size() + item.owner.size() + item.spec.size() + sizeof(item);
}

std::size_t BytesOf(const wire::ChangeRecordT& change)
{
  std::size_t bytes = sizeof(change) + change.changeId.size() + change.operatorName.size() +
                      change.detail.size() + change.digest.size();
  for (const auto& item : change.items) {
    bytes += BytesOf(*item);
  }
  return bytes;
}

std::string Describe(const wire::CatalogueItemT& item)
{
  return std::string(KindName(item.kind)) + " " + item.name;
}

std::string TokenHashOf(const wire::CatalogueItemT& item)
{
  const Result<CatalogueEntry> entry = ParseEntry(item);
  const auto* spec = entry ? std::get_if<WorkspaceSpec>(&entry.value().spec) : nullptr;
  return spec != nullptr ? spec->tokenHash : std::string();
}

std::unique_ptr<wire::CatalogueItemT> Copy(const wire::CatalogueItemT& item)
{
  return std::make_unique<wire::CatalogueItemT>(item);
}

} // namespace

std::string DigestOf(const wire::ChangeCatalogueT& change)
{
  wire::ChangeCatalogueT content = change;
  content.atMillis = 0;
  flatbuffers::FlatBufferBuilder builder(1024);
  builder.Finish(wire::ChangeCatalogue::Pack(builder, &content));
  return std::to_string(XXH3_64bits(builder.GetBufferPointer(), builder.GetSize()));
}

/// \brief Result of checking a change: the reason for a refusal, and the current entries whose
/// revisions conflict with it.
struct CatalogueTable::CheckResult
{
  std::string refusal;
  std::vector<const wire::CatalogueItemT*> current;
  void Refuse(const std::string& reason, const wire::CatalogueItemT* item)
  {
    refusal += refusal.empty() ? reason : "; " + reason;
    if (item != nullptr) {
      current.push_back(item);
    }
  }
};

const wire::CatalogueItemT* CatalogueTable::Find(wire::EntryKind kind, std::string_view name) const
{
  const auto found = m_items.find(Key(kind, std::string(name)));
  return found == m_items.end() || found->second.deleted ? nullptr : &found->second;
}

CatalogueTable::CheckResult CatalogueTable::Check(const wire::ChangeCatalogueT& change) const
{
  CheckResult result;
  std::set<Key> written;
  std::size_t bytes = m_itemBytes;
  for (const auto& write : change.writes) {
    const wire::CatalogueItemT& item = *write->item;
    const wire::CatalogueItemT* current = Find(item.kind, item.name);
    const std::uint64_t revision = current != nullptr ? current->revision : 0;
    if (!written.emplace(item.kind, item.name).second) {
      result.Refuse(Describe(item) + " is written twice in one change", nullptr);
    }
    // Without this check, of two operators who read the same revision the later would overwrite the
    // earlier one's write, which was already acknowledged.
    if (write->expectedRevision != kAnyRevision && write->expectedRevision != revision) {
      result.Refuse(Describe(item) + " has revision " + std::to_string(revision) + ", not " +
                      std::to_string(write->expectedRevision),
                    current);
    } else if (write->remove && current == nullptr) {
      result.Refuse(Describe(item) + " does not exist", nullptr);
    }
    bytes += write->remove ? 0 : BytesOf(item);
  }
  if (bytes > kMaxItemBytes || m_items.size() + change.writes.size() > kMaxItems) {
    result.Refuse("the catalogue is full: " + std::to_string(m_items.size()) + " of " +
                    std::to_string(kMaxItems) + " entries, " + std::to_string(m_itemBytes) +
                    " of " + std::to_string(kMaxItemBytes) + " bytes",
                  nullptr);
  }
  if (!result.refusal.empty()) {
    return result;
  }

  // Check names and tokens that must be unique in the whole catalogue on the state after the
  // change.
  std::map<Key, const wire::CatalogueItemT*> after;
  for (const auto& [key, item] : m_items) {
    if (!item.deleted) {
      after.emplace(key, &item);
    }
  }
  for (const auto& write : change.writes) {
    const Key key(write->item->kind, write->item->name);
    if (write->remove) {
      after.erase(key);
    } else {
      after.insert_or_assign(key, write->item.get());
    }
  }
  const bool writesWorkspace =
    std::any_of(change.writes.begin(), change.writes.end(), [](const auto& write) {
      return write->item->kind == wire::EntryKind::Workspace;
    });
  std::map<std::string, std::string> workspaceByToken;
  for (const auto& [key, item] : after) {
    if (key.first == wire::EntryKind::Service &&
        after.contains(Key(wire::EntryKind::Model, key.second))) {
      result.Refuse(key.second + " would be both a model and a service", nullptr);
    }
    if (writesWorkspace && key.first == wire::EntryKind::Workspace) {
      const auto [other, isNew] = workspaceByToken.emplace(TokenHashOf(*item), key.second);
      if (!isNew) {
        result.Refuse("workspaces " + other->second + " and " + key.second + " would share a token",
                      nullptr);
      }
    }
  }
  return result;
}

void CatalogueTable::Write(LogIndex index,
                           const wire::CatalogueWriteT& write,
                           wire::ChangeRecordT& record)
{
  const Key key(write.item->kind, write.item->name);
  const auto found = m_items.find(key);
  // The revision continues after a removal, so that a revision read before the removal doesn't
  // match an entry created later under the same name.
  const std::uint64_t revision = found == m_items.end() ? 0 : found->second.revision;
  if (found != m_items.end()) {
    m_itemBytes -= BytesOf(found->second);
  }
  wire::CatalogueItemT item = *write.item;
  if (write.remove) {
    item = found->second;
    item.spec.clear();
    item.deleted = true;
  }
  item.revision = revision + 1;
  item.version = index.Get();
  m_itemBytes += BytesOf(item);
  record.items.push_back(Copy(item));
  m_items.insert_or_assign(key, std::move(item));
}

void CatalogueTable::Apply(LogIndex index, const wire::ChangeCatalogueT& change)
{
  if (FindChange(change.changeId) != nullptr) {
    // The operator repeats a change after a lost answer. Applying it again could undo a change that
    // another operator made in between.
    return;
  }
  wire::ChangeRecordT record;
  record.changeId = change.changeId;
  record.operatorName = change.operatorName;
  record.atMillis = change.atMillis;
  record.index = index.Get();
  record.digest = DigestOf(change);

  const CheckResult result = Check(change);
  record.ok = result.refusal.empty();
  record.detail = result.refusal;
  for (const wire::CatalogueItemT* item : result.current) {
    record.items.push_back(Copy(*item));
  }
  if (record.ok) {
    for (const auto& write : change.writes) {
      Write(index, *write, record);
    }
    m_version = index;
    PruneRemovals();
  }
  AddChange(std::move(record));
}

void CatalogueTable::AddChange(wire::ChangeRecordT record)
{
  m_changeById[record.changeId] = m_firstChange + m_changes.size();
  m_changeBytes += BytesOf(record);
  m_changes.push_back(std::move(record));
  while (m_changes.size() > kMaxChanges ||
         (m_changeBytes > kMaxChangeBytes && m_changes.size() > 1)) {
    m_changeBytes -= BytesOf(m_changes.front());
    m_changeById.erase(m_changes.front().changeId);
    m_changes.pop_front();
    ++m_firstChange;
  }
}

void CatalogueTable::PruneRemovals()
{
  std::vector<std::pair<std::uint64_t, Key>> removals;
  for (const auto& [key, item] : m_items) {
    if (item.deleted) {
      removals.emplace_back(item.version, key);
    }
  }
  if (removals.size() <= kMaxRemovals) {
    return;
  }
  std::sort(removals.begin(), removals.end());
  removals.resize(removals.size() - kMaxRemovals);
  for (const auto& [version, key] : removals) {
    m_prunedVersion = std::max(m_prunedVersion, version);
    m_itemBytes -= BytesOf(m_items.at(key));
    m_items.erase(key);
  }
}

wire::ConfigStateT CatalogueTable::StateSince(LogIndex haveVersion) const
{
  wire::ConfigStateT state;
  state.version = m_version.Get();
  // A version newer than m_version is not from this log; the receiver ignores versions that are not
  // newer than its own.
  const bool whole = haveVersion.IsNone() || haveVersion.Get() < m_prunedVersion;
  state.fromVersion = whole ? 0 : haveVersion.Get();
  for (const auto& [key, item] : m_items) {
    const bool wanted = whole ? !item.deleted : item.version > haveVersion.Get();
    if (wanted) {
      state.items.push_back(Copy(item));
    }
  }
  return state;
}

const wire::ChangeRecordT* CatalogueTable::FindChange(std::string_view changeId) const
{
  const auto found = m_changeById.find(std::string(changeId));
  return found == m_changeById.end() ? nullptr : &m_changes[found->second - m_firstChange];
}

void CatalogueTable::SaveTo(wire::ControlSnapshotT& snapshot) const
{
  snapshot.catalogueVersion = m_version.Get();
  for (const auto& [key, item] : m_items) {
    snapshot.items.push_back(Copy(item));
  }
  for (const wire::ChangeRecordT& change : m_changes) {
    snapshot.changes.push_back(std::make_unique<wire::ChangeRecordT>(change));
  }
}

void CatalogueTable::LoadFrom(const wire::ControlSnapshotT& snapshot)
{
  *this = CatalogueTable();
  m_version = LogIndex(snapshot.catalogueVersion);
  // The snapshot doesn't record which removals were pruned; sending the whole catalogue is always
  // correct.
  m_prunedVersion = snapshot.catalogueVersion;
  for (const auto& item : snapshot.items) {
    m_itemBytes += BytesOf(*item);
    m_items.emplace(Key(item->kind, item->name), *item);
  }
  for (const auto& change : snapshot.changes) {
    AddChange(*change);
  }
}

} // namespace gooseberrysail
