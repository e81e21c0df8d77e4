#include "gooseberrysail/control/claim_table.hpp"

#include <algorithm>
#include <xxhash.h>

namespace gooseberrysail {

std::size_t ClaimKeyHash::operator()(const ClaimKey& key) const noexcept
{
  const auto seed = XXH3_64bits(key.workspace.data(), key.workspace.size());
  return XXH3_64bits_withSeed(key.key.data(), key.key.size(), seed);
}

std::size_t ClaimTable::Apply(const wire::ClaimBatchT& batch)
{
  std::size_t refused = 0;
  for (const auto& claim : batch.claims) {
    const ClaimKey key{ claim->workspace, claim->key };
    if (m_claims.contains(key)) {
      continue;
    }
    // Evicting an old claim would allow its work to run a second time, so a full table rejects new
    // claims: the caller is refused before any work runs.
    if (m_claims.size() >= kMaxClaims) {
      ++refused;
      continue;
    }
    ClaimRow row;
    row.holder = RequestId(claim->request);
    row.bodyHash = claim->bodyHash;
    row.atMillis = batch.atMillis;
    Insert(key, std::move(row));
  }
  return refused;
}

void ClaimTable::Insert(const ClaimKey& key, ClaimRow row)
{
  row.sequence = ++m_sequence;
  m_byAge.emplace_back(row.sequence, key);
  if (row.answerHeld) {
    m_heldBytes += row.outcome.body.size();
    m_heldByAge.emplace_back(row.sequence, key);
  }
  m_claims.emplace(key, std::move(row));
}

void ClaimTable::Apply(const wire::ClaimOutcomeBatchT& batch)
{
  for (const auto& outcome : batch.outcomes) {
    const ClaimKey key{ outcome->workspace, outcome->key };
    const auto found = m_claims.find(key);
    const bool holds = found != m_claims.end() && found->second.holder.Get() == outcome->request;
    if (!holds || found->second.finished) {
      continue; // A repeat after a lost acknowledgement, or not from the holder.
    }
    if (outcome->ran) {
      Finish(key, found->second, *outcome);
    } else {
      Erase(key);
    }
  }
  DropOldestAnswers();
}

void ClaimTable::Finish(const ClaimKey& key, ClaimRow& row, const wire::ClaimOutcomeT& outcome)
{
  row.finished = true;
  row.outcome = outcome;
  row.answerHeld = outcome.body.size() <= kMaxAnswerBytes;
  if (row.answerHeld) {
    m_heldBytes += row.outcome.body.size();
    m_heldByAge.emplace_back(row.sequence, key);
  } else {
    row.outcome.body = {};
  }
}

void ClaimTable::DropAnswer(ClaimRow& row)
{
  if (row.answerHeld) {
    m_heldBytes -= row.outcome.body.size();
    row.answerHeld = false;
    row.outcome.body = {};
    row.outcome.headers.clear();
  }
}

void ClaimTable::DropOldestAnswers()
{
  while (m_heldBytes > kMaxHeldBytes && !m_heldByAge.empty()) {
    const auto [sequence, key] = m_heldByAge.front();
    m_heldByAge.pop_front();
    const auto found = m_claims.find(key);
    if (found != m_claims.end() && found->second.sequence == sequence) {
      DropAnswer(found->second);
    }
  }
}

void ClaimTable::Erase(const ClaimKey& key)
{
  const auto found = m_claims.find(key);
  if (found != m_claims.end()) {
    DropAnswer(found->second);
    m_claims.erase(found);
  }
}

void ClaimTable::Apply(const wire::ExpireClaimsT& command)
{
  while (!m_byAge.empty()) {
    const auto [sequence, key] = m_byAge.front();
    const auto found = m_claims.find(key);
    const bool current = found != m_claims.end() && found->second.sequence == sequence;
    if (current && found->second.atMillis >= command.olderThanMillis) {
      return;
    }
    m_byAge.pop_front();
    if (current) {
      Erase(key);
    }
  }
}

const ClaimRow* ClaimTable::Find(const ClaimKey& key) const
{
  const auto found = m_claims.find(key);
  return found == m_claims.end() ? nullptr : &found->second;
}

WallMillis ClaimTable::OldestMillis() const
{
  for (const auto& [sequence, key] : m_byAge) {
    const ClaimRow* row = Find(key);
    if (row != nullptr && row->sequence == sequence) {
      return row->atMillis;
    }
  }
  return 0;
}

void ClaimTable::SaveTo(wire::ControlSnapshotT& snapshot) const
{
  for (const auto& [sequence, key] : m_byAge) {
    const ClaimRow* row = Find(key);
    if (row == nullptr || row->sequence != sequence) {
      continue;
    }
    auto record = std::make_unique<wire::ClaimRecordT>();
    record->claim = std::make_unique<wire::ClaimRequestT>();
    record->claim->workspace = key.workspace;
    record->claim->key = key.key;
    record->claim->bodyHash = row->bodyHash;
    record->claim->request = row->holder.Get();
    record->atMillis = row->atMillis;
    record->finished = row->finished;
    if (row->finished) {
      record->outcome = std::make_unique<wire::ClaimOutcomeT>(row->outcome);
    }
    record->answerHeld = row->answerHeld;
    snapshot.claims.push_back(std::move(record));
  }
}

void ClaimTable::LoadFrom(const wire::ControlSnapshotT& snapshot)
{
  *this = ClaimTable();
  for (const auto& record : snapshot.claims) {
    ClaimRow row;
    row.holder = RequestId(record->claim->request);
    row.bodyHash = record->claim->bodyHash;
    row.atMillis = record->atMillis;
    row.finished = record->finished;
    row.answerHeld = record->answerHeld;
    if (record->outcome != nullptr) {
      row.outcome = *record->outcome;
    }
    Insert(ClaimKey{ record->claim->workspace, record->claim->key }, std::move(row));
  }
}

} // namespace gooseberrysail
