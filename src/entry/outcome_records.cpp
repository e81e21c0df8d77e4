#include "gooseberrysail/entry/outcome_records.hpp"

#include <utility>

namespace gooseberrysail {

OutcomeRecords::OutcomeRecords(std::size_t maxFinished, Duration retention)
  : m_maxFinished(maxFinished)
  , m_retention(retention)
{
}

wire::RequestRecordT& OutcomeRecords::Open(wire::RequestRecordT record)
{
  record.outcome = ToString(Outcome::kRunning);
  std::string request = record.request;
  return m_records.insert_or_assign(std::move(request), std::move(record)).first->second;
}

wire::RequestRecordT* OutcomeRecords::Find(std::string_view request)
{
  const auto found = m_records.find(std::string(request));
  return found == m_records.end() ? nullptr : &found->second;
}

const wire::RequestRecordT* OutcomeRecords::Find(std::string_view request) const
{
  const auto found = m_records.find(std::string(request));
  return found == m_records.end() ? nullptr : &found->second;
}

void OutcomeRecords::Close(TimePoint now,
                           std::string_view request,
                           Outcome outcome,
                           std::string_view why,
                           std::uint32_t status,
                           WallMillis endedMillis)
{
  wire::RequestRecordT* record = Find(request);
  if (record == nullptr || record->endedMillis != 0) {
    return;
  }
  record->outcome = ToString(outcome);
  record->reason = why;
  record->status = status;
  record->endedMillis = endedMillis;
  m_closed.push_back({ now, record->request });
  Expire(now);
}

void OutcomeRecords::Amend(std::string_view request, Outcome outcome, std::string_view why)
{
  wire::RequestRecordT* record = Find(request);
  if (record == nullptr) {
    return;
  }
  record->outcome = ToString(outcome);
  record->reason = why;
}

void OutcomeRecords::Expire(TimePoint now)
{
  while (!m_closed.empty() &&
         (m_closed.size() > m_maxFinished || now - m_closed.front().at > m_retention)) {
    m_records.erase(m_closed.front().request);
    m_closed.pop_front();
  }
}

} // namespace gooseberrysail
