#pragma once

#include "gooseberrysail/control/catalogue_table.hpp"
#include "gooseberrysail/control/claim_table.hpp"
#include "gooseberrysail/control/departure_table.hpp"
#include "gooseberrysail/control/group_table.hpp"
#include "gooseberrysail/core/result.hpp"

#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace gooseberrysail {

/// \brief The committed serving document.
struct StoredDocument
{
  std::uint64_t version = 0; ///< 0 when there is none yet.
  std::string text;          ///< As the operator sent it.
};

/// \brief The replicated state of the control processes: a pure function of the log.
class ControlState
{
public:
  /// \brief The effect of a command, reported in events.
  struct Applied
  {
    wire::CommandBody kind = wire::CommandBody::NONE;
    std::string refusal; ///< Why the command had no effect; "" when it had one.
    GroupId group;       ///< The group that the command concerns; none for other commands.
    VmId vm;             ///< The VM that the command concerns; none for other commands.
    FailureDomainId failureDomain; ///< That the command concerns; none for other commands.
    std::string reason;            ///< As given in the command.
    std::size_t recorded = 0;      ///< Departures in the command.
    std::size_t forgotten = 0;     ///< Departures in the command that need not be kept.
  };

  /// \brief Applies one committed command.
  Applied Apply(LogIndex index, std::span<const std::uint8_t> command);

  [[nodiscard]] std::vector<std::uint8_t> TakeSnapshot() const;
  /// \remarks The state is unchanged on error.
  [[nodiscard]] Result<void> RestoreSnapshot(std::span<const std::uint8_t> snapshot);

  [[nodiscard]] const CatalogueTable& GetCatalogue() const noexcept { return m_catalogue; }
  [[nodiscard]] const GroupTable& GetGroups() const noexcept { return m_groups; }
  [[nodiscard]] const ClaimTable& GetClaims() const noexcept { return m_claims; }
  [[nodiscard]] const StoredDocument& GetDocument() const noexcept { return m_document; }
  /// \brief Failure domains whose targets get no requests, by order of an operator.
  [[nodiscard]] const std::set<FailureDomainId>& Evacuated() const noexcept { return m_evacuated; }
  /// \brief The number of the latest applied order to evacuate a domain or to withdraw that.
  [[nodiscard]] std::uint64_t EvacuationOrder() const noexcept { return m_evacuationOrder; }
  /// \brief Targets that said that they leave or have left.
  [[nodiscard]] const DepartureTable& Departures() const noexcept { return m_departures; }
  [[nodiscard]] LogIndex Index() const noexcept { return m_index; }
  /// \brief The latest term whose LeaderStart command is applied; everything that earlier leaders
  /// committed is applied too.
  [[nodiscard]] Term StartedTerm() const noexcept { return m_startedTerm; }

private:
  std::string ApplyPutDocument(const wire::PutDocumentT& put);
  void ApplySetEvacuation(const wire::SetEvacuationT& order);
  std::string ApplyBody(LogIndex index, const wire::CommandT& command, Applied& applied);

  LogIndex m_index;
  Term m_startedTerm;
  CatalogueTable m_catalogue;
  GroupTable m_groups;
  ClaimTable m_claims;
  StoredDocument m_document;
  std::set<FailureDomainId> m_evacuated;
  std::uint64_t m_evacuationOrder = 0;
  DepartureTable m_departures;
};

/// \brief Serializes a command for the log.
template<class CommandT>
[[nodiscard]] std::vector<std::uint8_t> EncodeCommand(CommandT body)
{
  wire::CommandT command;
  command.body.Set(std::move(body));
  flatbuffers::FlatBufferBuilder builder(512);
  builder.Finish(wire::Command::Pack(builder, &command));
  const std::span<const std::uint8_t> bytes(builder.GetBufferPointer(), builder.GetSize());
  return { bytes.begin(), bytes.end() };
}

} // namespace gooseberrysail
