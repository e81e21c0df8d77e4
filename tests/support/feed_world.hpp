#pragma once

#include "gooseberrysail/control/serving_feed.hpp"
#include "support/control_world.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace gooseberrysail::tests {

/// \brief Fixture with the ServingFeed of a leader whose state is empty; entries query it.
class FeedWorld : public ControlWorld
{
public:
  /// \brief An entry's query with its total number of requests for a model; each has 100 prompt
  /// tokens.
  wire::ServingQueryT Query(std::uint64_t requests) const
  {
    wire::ServingQueryT query;
    query.countedAtMillis = static_cast<std::uint64_t>(ToMillis(now.time_since_epoch()));
    auto demand = std::make_unique<wire::ModelDemandT>();
    demand->service = "assist";
    demand->model = "large";
    demand->requests = requests;
    demand->promptTokens = requests * 100;
    query.demand.push_back(std::move(demand));
    return query;
  }

  void Ask(const std::string& entry, wire::ServingQueryT query)
  {
    ControlContext context = Context();
    feed.OnQuery(context, ProcessId(entry), query);
    feed.Tick(context); // A control process ticks the feed after its inputs, too.
  }

  /// \brief Sends an entry's report about a head.
  void ReportHead(const std::string& entry, std::uint32_t answeredAgoMillis, bool isFailing)
  {
    wire::ServingQueryT query;
    auto head = std::make_unique<wire::HeadViewT>();
    head->instance = "h1";
    head->answeredAgoMillis = answeredAgoMillis;
    head->failing = isFailing;
    query.heads.push_back(std::move(head));
    Ask(entry, std::move(query));
  }

  void Tick()
  {
    ControlContext context = Context();
    feed.Tick(context);
  }

  /// \brief The part of the model's requests that was last sent to the entry; none when none was
  /// sent.
  [[nodiscard]] std::optional<float> LastSentPart(const std::string& entry) const
  {
    std::optional<float> part;
    for (const ControlOutput& output : outbox) {
      const FrameOut* frame = std::get_if<FrameOut>(&output);
      if (frame == nullptr || frame->peer.Get() != entry) {
        continue;
      }
      const wire::ServingStateT* state = frame->envelope->body.AsServingState();
      if (state != nullptr && !state->parts.empty()) {
        part = state->parts.front()->part;
      }
    }
    return part;
  }

  ServingFeed feed;
};

} // namespace gooseberrysail::tests
