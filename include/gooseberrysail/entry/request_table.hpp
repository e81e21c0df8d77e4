#pragma once

#include "gooseberrysail/entry/request.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace gooseberrysail {

/// \brief Requests in flight, found by id or by the caller's exchange.
class RequestTable
{
public:
  Request& Insert(Request request);
  void Erase(const RequestId& id);

  /// \returns Null when the request has ended or is unknown.
  [[nodiscard]] Request* Find(std::string_view id);
  [[nodiscard]] Request* FindByExchange(ExchangeId exchange);

  /// \brief Ids of the requests that match, in order of arrival. The caller may erase rows while it
  /// goes through them, and the order is deterministic.
  template<class Predicate>
  [[nodiscard]] std::vector<RequestId> IdsWhere(const Predicate& wanted) const
  {
    // Only matching ids are copied and sorted: few rows match as a rule, and sorting all of them
    // cost more than serving the requests.
    std::vector<std::pair<std::uint64_t, RequestId>> found;
    for (const auto& [id, row] : m_rows) {
      if (wanted(row.request)) {
        found.emplace_back(row.order, row.request.id);
      }
    }
    return SortByArrival(std::move(found));
  }
  [[nodiscard]] std::size_t Size() const noexcept { return m_rows.size(); }
  /// \brief Number of requests whose caller is not fully answered.
  [[nodiscard]] std::size_t WaitingCallers() const noexcept { return m_byExchange.size(); }

  /// \brief Unlinks the caller's exchange, after its last byte was sent or its connection closed.
  void DetachCaller(Request& request);

private:
  [[nodiscard]] static std::vector<RequestId> SortByArrival(
    std::vector<std::pair<std::uint64_t, RequestId>> found);

  struct Row
  {
    std::uint64_t order = 0;
    Request request;
  };
  std::uint64_t m_nextOrder = 0;
  std::unordered_map<std::string, Row> m_rows;
  std::unordered_map<ExchangeId, std::string> m_byExchange;
};

} // namespace gooseberrysail
