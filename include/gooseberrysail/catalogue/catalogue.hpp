#pragma once

#include "gooseberrysail/catalogue/codec.hpp"
#include "gooseberrysail/catalogue/entry.hpp"
#include "gooseberrysail/core/result.hpp"

#include <array>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace gooseberrysail {

/// \brief A process's copy of the catalogue. Its version never decreases.
/// \code
/// Catalogue catalogue;
/// Result<bool> newer = catalogue.Apply(*state);
/// const ModelSpec* spec = catalogue.FindModel(EntryName("hire-assist"));
/// \endcode
class Catalogue
{
public:
  /// \brief Applies a full copy, or a delta from a version that this copy has reached.
  /// \returns Whether the copy changed; false for an older or equal version, which is ignored.
  /// kConflict if the delta starts after Version(); request the changes since Version() instead.
  /// \remarks After an error the copy is unchanged.
  [[nodiscard]] Result<bool> Apply(const wire::ConfigStateT& state);

  /// \brief 0 until a copy has been applied.
  [[nodiscard]] LogIndex Version() const noexcept { return m_version; }

  [[nodiscard]] const CatalogueEntry* Find(wire::EntryKind kind, std::string_view name) const;

  [[nodiscard]] const ModelSpec* FindModel(const EntryName& name) const;
  [[nodiscard]] const ServiceSpec* FindService(const EntryName& name) const;
  [[nodiscard]] const TargetSpec* FindTarget(const VmId& vm) const;
  [[nodiscard]] const WorkspaceSpec* FindWorkspace(const WorkspaceId& workspace) const;
  /// \brief The workspace whose bearer token has this hash, or null.
  [[nodiscard]] const CatalogueEntry* FindWorkspaceByToken(std::string_view tokenHash) const;
  /// \brief The policy named `default`, or the default values if there is none.
  [[nodiscard]] const PolicySpec& Policy() const;

  /// \brief The entries of one kind, by name.
  using EntryMap = std::map<std::string, CatalogueEntry, std::less<>>;
  [[nodiscard]] const EntryMap& All(wire::EntryKind kind) const;

private:
  static constexpr std::size_t kKinds = 5;
  using Tables = std::array<EntryMap, kKinds>;

  void IndexTokens();

  LogIndex m_version;
  Tables m_tables;
  std::unordered_map<std::string, std::string> m_workspaceByToken;
};

/// \brief Whether a call of a service must not run twice.
[[nodiscard]] bool IsNonRepeatable(const ServiceSpec& spec,
                                   std::string_view method,
                                   std::string_view path);

/// \brief Whether a workspace may call a model or service.
[[nodiscard]] bool MayCall(const WorkspaceSpec& spec, const EntryName& entry);

} // namespace gooseberrysail
