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

  /// \returns Null when the request is over or was never known.
  [[nodiscard]] Request* Find(std::string_view id);
  [[nodiscard]] Request* FindByExchange(ExchangeId exchange);

  /// \brief Ids of the requests that a sweep is about, in order of arrival: it may erase rows, and
  /// is the same on every run.
  template<class Predicate>
  [[nodiscard]] std::vector<RequestId> IdsWhere(const Predicate& wanted) const
  {
    // Most sweeps are about few rows; copying and sorting the ids of all cost more than the
    // requests themselves.
    std::vector<std::pair<std::uint64_t, RequestId>> found;
    for (const auto& [id, row] : m_rows) {
      if (wanted(row.request)) {
        found.emplace_back(row.order, row.request.id);
      }
    }
    return InOrder(std::move(found));
  }
  [[nodiscard]] std::size_t Size() const noexcept { return m_rows.size(); }
  /// \brief Requests whose caller still waits.
  [[nodiscard]] std::size_t Waiting() const noexcept { return m_byExchange.size(); }

  /// \brief The caller has its last byte or has left: its exchange number means nothing any more.
  void ForgetCaller(Request& request);

private:
  [[nodiscard]] static std::vector<RequestId> InOrder(
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
