#pragma once

#include "gooseberrysail/core/result.hpp"

#include <boost/json/value.hpp>
#include <cstdint>
#include <span>
#include <string>
#include <vector>
#include <wire_generated.h>

namespace gooseberrysail {

/// \brief The events of several processes in causal order.
struct MergedTimeline
{
  std::vector<wire::EventT> events;
  std::vector<std::string> notReached; ///< Processes that did not answer.
  std::uint64_t notAsked = 0;          ///< Processes beyond the limit of one query.
  std::uint64_t dropped = 0;           ///< Events already dropped from the processes' ring buffers.
  bool truncated = false;              ///< More events matched than fit in one answer.
};

/// \brief Merges the answers of several processes, ordered by stamp.
[[nodiscard]] MergedTimeline MergeTimelines(std::span<const wire::TimelineAnswerT> answers);

/// \brief Text with one line for each event, preceded by notes on missing events.
[[nodiscard]] std::string TimelineText(const MergedTimeline& timeline);

/// \brief A JSON file in the Trace Event Format, which chrome://tracing and Perfetto open.
/// \remarks Each process of the system is a process of the trace. Events are instant events at the
/// time of their stamps; flow events connect the events of one request.
[[nodiscard]] std::string TimelineChromeTrace(const MergedTimeline& timeline);

/// \brief Parses an answer of the admin API's `timeline` and sorts its events.
/// \param peer Source of the JSON, for error messages.
[[nodiscard]] Result<MergedTimeline> TimelineFromJson(const boost::json::value& json,
                                                      std::string_view peer);

} // namespace gooseberrysail
