#pragma once

#include "gooseberrysail/core/result.hpp"

#include <boost/json/value.hpp>
#include <cstdint>
#include <span>
#include <string>
#include <vector>
#include <wire_generated.h>

namespace gooseberrysail {

/// \brief The events of several processes in one causal order.
struct MergedTimeline
{
  std::vector<wire::EventT> events;
  std::vector<std::string> notReached; ///< Processes that gave no answer.
  std::uint64_t notAsked = 0;          ///< Processes beyond those that one query asks.
  std::uint64_t dropped = 0;           ///< Events that the processes' rings no longer hold.
  bool truncated = false;              ///< More events matched than one answer holds.
};

/// \brief Merges the processes' answers by their stamps.
[[nodiscard]] MergedTimeline MergeTimelines(std::span<const wire::TimelineAnswerT> answers);

/// \brief One line an event, for people; says first what is missing.
[[nodiscard]] std::string TimelineText(const MergedTimeline& timeline);

/// \brief A JSON file in the Trace Event Format, which chrome://tracing and Perfetto open.
/// \remarks Each process of the system is a process of the trace; events are instants at their
/// stamps, and the events of one request are tied together by arrows.
[[nodiscard]] std::string TimelineChromeTrace(const MergedTimeline& timeline);

/// \brief Reads an answer of the admin API's `timeline` and sorts its events.
/// \param peer Where the JSON came from, for the error.
[[nodiscard]] Result<MergedTimeline> TimelineFromJson(const boost::json::value& json,
                                                      std::string_view peer);

} // namespace gooseberrysail
