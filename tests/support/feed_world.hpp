#pragma once

#include "gooseberrysail/control/serving_feed.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace gooseberrysail::tests {

/// \brief A feed on a leader with an empty state, asked by entries.
class FeedWorld
{
public:
  /// An entry's question with what it has counted so far, of a model with 100 tokens a request.
  wire::ServingQueryT Query(std::uint64_t requests) const
  {
    wire::ServingQueryT query;
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
  }

  /// What an entry saw of a head.
  void Tell(const std::string& entry, std::uint32_t answeredAgoMillis, bool isFailing)
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

  /// The part of the model's callers that the entry was last told; none when it was told nothing.
  [[nodiscard]] std::optional<float> ToldPart(const std::string& entry) const
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

  /// The frames of the outbox, which is empty afterwards.
  std::vector<FrameOut> TakeFrames()
  {
    std::vector<FrameOut> frames;
    for (ControlOutput& output : std::exchange(outbox, {})) {
      if (FrameOut* frame = std::get_if<FrameOut>(&output)) {
        frames.push_back(std::move(*frame));
      }
    }
    return frames;
  }

  ServingFeed feed;
  TimePoint now{ std::chrono::hours(1) };
  std::vector<ControlOutput> outbox;
  ReplicationStatus replication;
  std::function<std::size_t(const ProcessId&)> queuedBytes; ///< Unset: nothing ever waits.

private:
  ControlContext Context()
  {
    return { now,     0,          m_settings, m_controls, replication, m_state,     m_catalogue,
             m_peers, m_proposer, {},         true,       outbox,      &queuedBytes };
  }

  ControlSettings m_settings;
  std::vector<EntrySettings::Control> m_controls;
  ControlState m_state;
  Catalogue m_catalogue;
  PeerTable m_peers;
  Proposer m_proposer{ [](std::vector<std::uint8_t>) { return true; } };
};

} // namespace gooseberrysail::tests
