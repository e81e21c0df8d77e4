#include "gooseberrysail/control/control_state.hpp"

namespace gooseberrysail {

ControlState::Applied ControlState::Apply(LogIndex index, std::span<const std::uint8_t> bytes)
{
  Applied applied;
  if (index <= m_index) {
    applied.refusal = "already applied";
    return applied;
  }
  m_index = index;
  if (bytes.empty()) {
    return applied;
  }
  flatbuffers::Verifier verifier(bytes.data(), bytes.size());
  if (!verifier.VerifyBuffer<wire::Command>()) {
    applied.refusal = "not a valid command";
    return applied;
  }
  wire::CommandT command;
  flatbuffers::GetRoot<wire::Command>(bytes.data())->UnPackTo(&command);
  applied.kind = command.body.type;
  applied.refusal = ApplyBody(index, command, applied);
  return applied;
}

std::string ControlState::ApplyBody(LogIndex index, const wire::CommandT& command, Applied& applied)
{
  const wire::CommandBodyUnion& body = command.body;
  switch (body.type) {
    case wire::CommandBody::NONE:
      return "a command of an unknown kind";
    case wire::CommandBody::ChangeCatalogue:
      m_catalogue.Apply(index, *body.AsChangeCatalogue());
      return {};
    case wire::CommandBody::UpsertVm:
      return m_groups.Upsert(*body.AsUpsertVm()->vm);
    case wire::CommandBody::RemoveVm:
      return m_groups.Remove(VmId(body.AsRemoveVm()->vm));
    case wire::CommandBody::FormGroup: {
      const wire::FormGroupT& form = *body.AsFormGroup();
      const bool known = m_catalogue.Find(wire::EntryKind::Model, form.entry) != nullptr ||
                         m_catalogue.Find(wire::EntryKind::Service, form.entry) != nullptr;
      applied.group = GroupId(index.Get());
      return known ? m_groups.Form(index, form) : "no catalogue entry " + form.entry;
    }
    case wire::CommandBody::DissolveGroup:
      applied.group = GroupId(body.AsDissolveGroup()->group);
      applied.reason = body.AsDissolveGroup()->reason;
      return m_groups.Dissolve(applied.group, applied.reason);
    case wire::CommandBody::FreeVm:
      applied.group = GroupId(body.AsFreeVm()->group);
      applied.vm = VmId(body.AsFreeVm()->vm);
      return m_groups.Free(applied.vm, applied.group);
    case wire::CommandBody::DrainGroup:
      applied.group = GroupId(body.AsDrainGroup()->group);
      applied.reason = body.AsDrainGroup()->reason;
      return m_groups.Drain(applied.group, applied.reason);
    case wire::CommandBody::ClaimBatch: {
      const std::size_t refused = m_claims.Apply(*body.AsClaimBatch());
      return refused == 0 ? std::string() : std::to_string(refused) + " claims: the table is full";
    }
    case wire::CommandBody::ClaimOutcomeBatch:
      m_claims.Apply(*body.AsClaimOutcomeBatch());
      return {};
    case wire::CommandBody::ExpireClaims:
      m_claims.Apply(*body.AsExpireClaims());
      return {};
    case wire::CommandBody::LeaderStart:
      m_startedTerm = Term(body.AsLeaderStart()->term);
      return {};
    case wire::CommandBody::PutDocument:
      return ApplyPutDocument(*body.AsPutDocument());
    case wire::CommandBody::SetEvacuation:
      applied.failureDomain = FailureDomainId(body.AsSetEvacuation()->failureDomain);
      ApplySetEvacuation(*body.AsSetEvacuation());
      return {};
    case wire::CommandBody::RecordDepartures:
      applied.recorded = body.AsRecordDepartures()->departures.size();
      applied.forgotten = body.AsRecordDepartures()->forgotten.size();
      m_departures.Apply(index, *body.AsRecordDepartures());
      return {};
  }
  return "a command of an unknown kind";
}

// Two operators may send documents concurrently, and an older document may be sent again. The log
// decides their order, and the version in force never decreases.
std::string ControlState::ApplyPutDocument(const wire::PutDocumentT& put)
{
  if (put.version <= m_document.version) {
    return "a document of version " + std::to_string(m_document.version) + " is in force";
  }
  m_document = StoredDocument{ put.version, put.text };
  return {};
}

void ControlState::ApplySetEvacuation(const wire::SetEvacuationT& order)
{
  const FailureDomainId domain(order.failureDomain);
  if (order.withdrawn) {
    m_evacuated.erase(domain);
  } else {
    m_evacuated.insert(domain);
  }
  m_evacuationOrder = order.order;
}

std::vector<std::uint8_t> ControlState::TakeSnapshot() const
{
  wire::ControlSnapshotT snapshot;
  snapshot.index = m_index.Get();
  m_catalogue.SaveTo(snapshot);
  m_groups.SaveTo(snapshot);
  m_claims.SaveTo(snapshot);
  if (m_document.version != 0) {
    snapshot.document = std::make_unique<wire::PutDocumentT>();
    snapshot.document->version = m_document.version;
    snapshot.document->text = m_document.text;
  }
  for (const FailureDomainId& domain : m_evacuated) {
    snapshot.evacuated.push_back(domain.Get());
  }
  snapshot.evacuationOrder = m_evacuationOrder;
  m_departures.SaveTo(snapshot);
  flatbuffers::FlatBufferBuilder builder(1024 * 1024);
  builder.Finish(wire::ControlSnapshot::Pack(builder, &snapshot));
  const std::span<const std::uint8_t> bytes(builder.GetBufferPointer(), builder.GetSize());
  return { bytes.begin(), bytes.end() };
}

Result<void> ControlState::RestoreSnapshot(std::span<const std::uint8_t> bytes)
{
  constexpr flatbuffers::uoffset_t kMaxDepth = 64;
  constexpr flatbuffers::uoffset_t kMaxTables = 10'000'000;
  flatbuffers::Verifier verifier(bytes.data(), bytes.size(), kMaxDepth, kMaxTables);
  if (!verifier.VerifyBuffer<wire::ControlSnapshot>()) {
    return Error{ ErrorCode::kCorrupt, "restore control snapshot", "", "not a valid snapshot" };
  }
  wire::ControlSnapshotT snapshot;
  flatbuffers::GetRoot<wire::ControlSnapshot>(bytes.data())->UnPackTo(&snapshot);
  m_catalogue.LoadFrom(snapshot);
  m_groups.LoadFrom(snapshot);
  m_claims.LoadFrom(snapshot);
  m_document = {};
  if (snapshot.document) {
    m_document = { snapshot.document->version, snapshot.document->text };
  }
  m_evacuated.clear();
  for (const std::string& domain : snapshot.evacuated) {
    m_evacuated.emplace(domain);
  }
  m_evacuationOrder = snapshot.evacuationOrder;
  m_index = LogIndex(snapshot.index);
  m_departures.LoadFrom(snapshot);
  return outcome::success();
}

} // namespace gooseberrysail
