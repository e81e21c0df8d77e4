#pragma once

#include "gooseberrysail/control/context.hpp"
#include "gooseberrysail/control/outside_api.hpp"

#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrysail {

/// \brief Handles operators' writes and reads of the serving document on the leader.
class DocumentService
{
public:
  using Respond = std::function<void(ExchangeId, const OutsideAnswer&)>;

  explicit DocumentService(DocumentComparer isSameDocument);

  void OnPut(ControlContext& context,
             ExchangeId exchange,
             std::string text,
             const DocumentReader& read,
             const Respond& respond);
  void OnGet(const ControlContext& context, ExchangeId exchange, const Respond& respond);
  void OnCallerGone(ExchangeId exchange);

  /// \brief Answers the calls that are committed, confirmed or timed out.
  void Tick(ControlContext& context, const Respond& respond);

  /// \brief Answers all open calls with an error, as their outcome is not known here any more.
  void OnLeadershipLost(const Respond& respond);

  [[nodiscard]] std::size_t OpenCalls() const noexcept { return m_puts.size() + m_reads.size(); }

private:
  struct Put
  {
    ExchangeId exchange;
    std::uint64_t version = 0;
    std::string text;
    TimePoint since{};
  };
  struct Read
  {
    ExchangeId exchange;
    ReadTicket ticket;
  };

  static void Refuse(ControlContext& context,
                     ExchangeId exchange,
                     const Error& error,
                     const Respond& respond);
  [[nodiscard]] bool TryAnswer(ControlContext& context,
                               const Put& put,
                               const Respond& respond) const;
  [[nodiscard]] bool IsSame(std::string_view left, std::string_view right) const;

  DocumentComparer m_isSameDocument;

  std::vector<Put> m_puts;
  std::deque<Read> m_reads;
};

} // namespace gooseberrysail
