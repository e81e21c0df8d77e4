#include "gooseberrysail/catalogue/catalogue.hpp"

#include <algorithm>
#include <vector>

namespace gooseberrysail {

namespace {

constexpr std::string_view kDefaultPolicy = "default";

template<class Spec>
const Spec* FindSpec(const Catalogue::EntryMap& entries, std::string_view name)
{
  const auto found = entries.find(name);
  return found == entries.end() ? nullptr : std::get_if<Spec>(&found->second.spec);
}

} // namespace

Result<bool> Catalogue::Apply(const wire::ConfigStateT& state)
{
  if (state.version <= m_version.Get()) {
    // From a lagging control process or a delayed frame. Applying it would undo newer changes, for
    // example admit a revoked token or use a drained target again.
    return false;
  }
  const bool whole = state.fromVersion == 0;
  if (!whole && state.fromVersion > m_version.Get()) {
    return Error{ ErrorCode::kConflict,
                  "apply configuration",
                  "",
                  "changes after " + std::to_string(state.fromVersion) + " arrived at version " +
                    std::to_string(m_version.Get()) };
  }

  std::vector<std::pair<wire::EntryKind, CatalogueEntry>> parsed;
  parsed.reserve(state.items.size());
  for (const auto& item : state.items) {
    if (item->deleted) {
      continue;
    }
    Result<CatalogueEntry> entry = ParseEntry(*item);
    if (!entry) {
      return entry.error();
    }
    parsed.emplace_back(item->kind, std::move(entry.value()));
  }

  if (whole) {
    m_tables = Tables{};
  }
  for (const auto& item : state.items) {
    if (item->deleted && static_cast<std::size_t>(item->kind) < kKinds) {
      m_tables[static_cast<std::size_t>(item->kind)].erase(item->name);
    }
  }
  for (auto& [kind, entry] : parsed) {
    const std::string name = entry.name.Get();
    m_tables[static_cast<std::size_t>(kind)].insert_or_assign(name, std::move(entry));
  }
  m_version = LogIndex(state.version);
  IndexTokens();
  return true;
}

void Catalogue::IndexTokens()
{
  m_workspaceByToken.clear();
  for (const auto& [name, entry] : All(wire::EntryKind::Workspace)) {
    m_workspaceByToken.emplace(std::get<WorkspaceSpec>(entry.spec).tokenHash, name);
  }
}

const Catalogue::EntryMap& Catalogue::All(wire::EntryKind kind) const
{
  static const EntryMap kNone;
  const auto index = static_cast<std::size_t>(kind);
  return index < kKinds ? m_tables[index] : kNone;
}

const CatalogueEntry* Catalogue::Find(wire::EntryKind kind, std::string_view name) const
{
  const EntryMap& entries = All(kind);
  const auto found = entries.find(name);
  return found == entries.end() ? nullptr : &found->second;
}

const ModelSpec* Catalogue::FindModel(const EntryName& name) const
{
  return FindSpec<ModelSpec>(All(wire::EntryKind::Model), name.Get());
}

const ServiceSpec* Catalogue::FindService(const EntryName& name) const
{
  return FindSpec<ServiceSpec>(All(wire::EntryKind::Service), name.Get());
}

const TargetSpec* Catalogue::FindTarget(const VmId& vm) const
{
  return FindSpec<TargetSpec>(All(wire::EntryKind::Target), vm.Get());
}

const WorkspaceSpec* Catalogue::FindWorkspace(const WorkspaceId& workspace) const
{
  return FindSpec<WorkspaceSpec>(All(wire::EntryKind::Workspace), workspace.Get());
}

const CatalogueEntry* Catalogue::FindWorkspaceByToken(std::string_view tokenHash) const
{
  // The lookup need not take constant time: its timing can reveal parts of a stored hash, but not a
  // token with that hash.
  const auto found = m_workspaceByToken.find(std::string(tokenHash));
  return found == m_workspaceByToken.end() ? nullptr
                                           : Find(wire::EntryKind::Workspace, found->second);
}

const PolicySpec& Catalogue::Policy() const
{
  static const PolicySpec kDefaults;
  const auto* policy = FindSpec<PolicySpec>(All(wire::EntryKind::Policy), kDefaultPolicy);
  return policy != nullptr ? *policy : kDefaults;
}

bool IsNonRepeatable(const ServiceSpec& spec, std::string_view method, std::string_view path)
{
  return std::any_of(
    spec.nonRepeatable.begin(), spec.nonRepeatable.end(), [&](const NonRepeatableCall& call) {
      return (call.method.empty() || call.method == method) && path.starts_with(call.pathPrefix);
    });
}

bool MayCall(const WorkspaceSpec& spec, const EntryName& entry)
{
  return spec.allowed.empty() ||
         std::find(spec.allowed.begin(), spec.allowed.end(), entry.Get()) != spec.allowed.end();
}

} // namespace gooseberrysail
