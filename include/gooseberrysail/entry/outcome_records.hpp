#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/entry/outcome.hpp"

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <wire_generated.h>

namespace gooseberrysail {

/// \brief What became of each request, for a bounded number and time.
/// \remarks Records of requests in flight are never dropped; of the finished ones the oldest goes
/// first.
class OutcomeRecords
{
public:
  OutcomeRecords(std::size_t maxFinished, Duration keepFor);

  wire::RequestRecordT& Open(wire::RequestRecordT record);
  [[nodiscard]] wire::RequestRecordT* Find(std::string_view request);
  [[nodiscard]] const wire::RequestRecordT* Find(std::string_view request) const;

  /// \brief The request is over as far as its caller is concerned.
  void Close(TimePoint now,
             std::string_view request,
             Outcome outcome,
             std::string_view why,
             std::uint32_t status,
             WallMillis endedMillis);

  /// \brief What truly happened became known after the caller's answer.
  void Amend(std::string_view request, Outcome outcome, std::string_view why);

  void Expire(TimePoint now);
  [[nodiscard]] std::size_t Size() const noexcept { return m_records.size(); }

private:
  struct Closed
  {
    TimePoint at{};
    std::string request;
  };
  std::size_t m_maxFinished;
  Duration m_keepFor;
  std::unordered_map<std::string, wire::RequestRecordT> m_records;
  std::deque<Closed> m_closed; ///< Oldest first.
};

} // namespace gooseberrysail
