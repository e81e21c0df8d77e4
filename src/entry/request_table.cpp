#include "gooseberrysail/entry/request_table.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrysail {

Request& RequestTable::Insert(Request request)
{
  std::string id = request.id.Get();
  m_byExchange[request.caller.exchange] = id;
  Row row{ m_nextOrder++, std::move(request) };
  return m_rows.insert_or_assign(std::move(id), std::move(row)).first->second.request;
}

void RequestTable::Erase(const RequestId& id)
{
  const auto found = m_rows.find(id.Get());
  if (found == m_rows.end()) {
    return;
  }
  DetachCaller(found->second.request);
  m_rows.erase(found);
}

Request* RequestTable::Find(std::string_view id)
{
  const auto found = m_rows.find(std::string(id));
  return found == m_rows.end() ? nullptr : &found->second.request;
}

Request* RequestTable::FindByExchange(ExchangeId exchange)
{
  const auto found = m_byExchange.find(exchange);
  return found == m_byExchange.end() ? nullptr : Find(found->second);
}

std::vector<RequestId> RequestTable::SortByArrival(
  std::vector<std::pair<std::uint64_t, RequestId>> found)
{
  std::sort(found.begin(), found.end());
  std::vector<RequestId> ids;
  ids.reserve(found.size());
  for (auto& [order, id] : found) {
    ids.push_back(std::move(id));
  }
  return ids;
}

void RequestTable::DetachCaller(Request& request)
{
  if (request.caller.waiting) {
    request.caller.waiting = false;
    m_byExchange.erase(request.caller.exchange);
  }
}

} // namespace gooseberrysail
