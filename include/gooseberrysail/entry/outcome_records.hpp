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

/// \brief The record of each request, bounded in number and age.
/// \remarks Records of requests in flight are never removed; of the finished ones the oldest is
/// removed first.
class OutcomeRecords
{
public:
  OutcomeRecords(std::size_t maxFinished, Duration retention);

  wire::RequestRecordT& Open(wire::RequestRecordT record);
  [[nodiscard]] wire::RequestRecordT* Find(std::string_view request);
  [[nodiscard]] const wire::RequestRecordT* Find(std::string_view request) const;

  /// \brief Records the final answer to the caller. Later calls for the same request have no
  /// effect.
  void Close(TimePoint now,
             std::string_view request,
             Outcome outcome,
             std::string_view why,
             std::uint32_t status,
             WallMillis endedMillis);

  /// \brief Corrects the outcome when it becomes known after the caller was answered.
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
  Duration m_retention;
  std::unordered_map<std::string, wire::RequestRecordT> m_records;
  std::deque<Closed> m_closed; ///< Oldest first.
};

} // namespace gooseberrysail
