#pragma once

#include "gooseberrysail/entry/request.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
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

  /// \brief Ids in order of arrival, so that a sweep may erase rows and is the same on every run.
  [[nodiscard]] std::vector<RequestId> Ids() const;
  [[nodiscard]] std::size_t Size() const noexcept { return m_rows.size(); }
  /// \brief Requests whose caller still waits.
  [[nodiscard]] std::size_t Waiting() const noexcept { return m_byExchange.size(); }

  /// \brief The caller has its last byte or has left: its exchange number means nothing any more.
  void ForgetCaller(Request& request);

private:
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
