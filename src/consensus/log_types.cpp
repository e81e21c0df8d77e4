#include "gooseberrysail/consensus/log_types.hpp"

#include <algorithm>
#include <wire_generated.h>

namespace gooseberrysail {

namespace {

template<class TableT>
std::vector<std::uint8_t> Encode(const TableT& table)
{
  flatbuffers::FlatBufferBuilder builder(512);
  builder.Finish(TableT::TableType::Pack(builder, &table));
  const std::span<const std::uint8_t> bytes(builder.GetBufferPointer(), builder.GetSize());
  return { bytes.begin(), bytes.end() };
}

template<class TableT>
Result<TableT> Decode(std::span<const std::uint8_t> bytes, const char* step)
{
  using Table = typename TableT::TableType;
  flatbuffers::Verifier verifier(bytes.data(), bytes.size());
  if (bytes.empty() || !verifier.VerifyBuffer<Table>()) {
    return Error{ ErrorCode::kCorrupt, step, "", "not a valid record" };
  }
  TableT table;
  flatbuffers::GetRoot<Table>(bytes.data())->UnPackTo(&table);
  return table;
}

wire::RaftMembershipT ToTable(const Membership& membership)
{
  wire::RaftMembershipT table;
  table.cluster = membership.cluster;
  table.forming = membership.forming;
  for (const Member& member : membership.members) {
    auto row = std::make_unique<wire::RaftMemberT>();
    row->process = member.process.Get();
    row->identity = member.identity.Get();
    row->voter = member.voter;
    table.members.push_back(std::move(row));
  }
  return table;
}

Membership FromTable(const wire::RaftMembershipT& table)
{
  Membership membership;
  membership.cluster = table.cluster;
  membership.forming = table.forming;
  for (const auto& row : table.members) {
    membership.members.push_back(
      { ProcessId(row->process), StorageIdentity(row->identity), row->voter });
  }
  return membership;
}

} // namespace

const Member* Membership::Find(const ProcessId& process) const noexcept
{
  const auto found = std::find_if(members.begin(), members.end(), [&](const Member& member) {
    return member.process == process;
  });
  return found == members.end() ? nullptr : &*found;
}

std::size_t Membership::VoterCount() const noexcept
{
  return static_cast<std::size_t>(std::count_if(
    members.begin(), members.end(), [](const Member& member) { return member.voter; }));
}

std::vector<std::uint8_t> EncodeMembership(const Membership& membership)
{
  return Encode(ToTable(membership));
}

Result<Membership> DecodeMembership(std::span<const std::uint8_t> bytes)
{
  BOOST_OUTCOME_TRY(const auto table, Decode<wire::RaftMembershipT>(bytes, "decode membership"));
  return FromTable(table);
}

std::vector<std::uint8_t> EncodeSnapshot(const RaftSnapshot& snapshot)
{
  wire::RaftSnapshotImageT table;
  table.index = snapshot.index.Get();
  table.term = snapshot.term.Get();
  table.membership = std::make_unique<wire::RaftMembershipT>(ToTable(snapshot.membership));
  table.state = snapshot.state;
  return Encode(table);
}

Result<RaftSnapshot> DecodeSnapshot(std::span<const std::uint8_t> bytes)
{
  BOOST_OUTCOME_TRY(auto table, Decode<wire::RaftSnapshotImageT>(bytes, "decode snapshot"));
  RaftSnapshot snapshot;
  snapshot.index = LogIndex(table.index);
  snapshot.term = Term(table.term);
  if (table.membership) {
    snapshot.membership = FromTable(*table.membership);
  }
  snapshot.state = std::move(table.state);
  return snapshot;
}

std::vector<std::uint8_t> EncodeHardState(const HardState& state)
{
  wire::RaftHardStateT table;
  table.term = state.term.Get();
  table.vote = state.vote.Get();
  table.cluster = state.cluster;
  return Encode(table);
}

Result<HardState> DecodeHardState(std::span<const std::uint8_t> bytes)
{
  BOOST_OUTCOME_TRY(const auto table, Decode<wire::RaftHardStateT>(bytes, "decode hard state"));
  return HardState{ Term(table.term), ProcessId(table.vote), table.cluster };
}

std::vector<std::uint8_t> EncodeLogBatch(std::span<const LogRecord> entries)
{
  wire::RaftLogBatchT table;
  for (const LogRecord& entry : entries) {
    auto row = std::make_unique<wire::LogEntryT>();
    row->term = entry.term.Get();
    row->index = entry.index.Get();
    row->kind = static_cast<std::uint8_t>(entry.kind);
    row->payload = entry.payload;
    table.entries.push_back(std::move(row));
  }
  return Encode(table);
}

Result<std::vector<LogRecord>> DecodeLogBatch(std::span<const std::uint8_t> bytes)
{
  BOOST_OUTCOME_TRY(auto table, Decode<wire::RaftLogBatchT>(bytes, "decode log records"));
  std::vector<LogRecord> entries;
  entries.reserve(table.entries.size());
  for (auto& row : table.entries) {
    entries.push_back({ LogIndex(row->index),
                        Term(row->term),
                        static_cast<LogEntryKind>(row->kind),
                        std::move(row->payload) });
  }
  return entries;
}

} // namespace gooseberrysail
