#pragma once

#include "gooseberrysail/catalogue/entry.hpp"
#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/gateway/event_splitter.hpp"
#include "gooseberrysail/roles/inputs.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>
#include <wire_generated.h>

namespace gooseberrysail {

/// \brief State of the current attempt.
enum class AttemptState
{
  kConnected,    ///< The agent is connected.
  kDisconnected, ///< The agent is disconnected; the attempt is resumed on the next connection.
  kSealing,      ///< The agent was asked to seal it, so that it can never start.
};

/// \brief One attempt to run a request, sent to one agent.
struct Attempt
{
  std::uint32_t number = 0; ///< From 1.
  GroupId group;
  Epoch epoch;
  ProcessId head;
  Incarnation incarnation; ///< Incarnation of the head's agent.
  std::string address;
  AttemptState state = AttemptState::kConnected;
  TimePoint sentAt{};
  TimePoint disconnectedAt{};
  TimePoint nextProbeAt{};      ///< When Resume or Seal is resent, or the agent redialled.
  TimePoint nextGapResumeAt{};  ///< Earliest time of the next Resume because of a gap.
  std::uint64_t nextOffset = 0; ///< Bytes of the answer received in order.
  bool headersReceived = false; ///< Status and headers arrived, so the target has started.
  bool cancelled = false;
  bool ackDue = false;
};

enum class RequestStage
{
  kClaiming, ///< Waits for control to grant the claim; nothing was sent to an agent.
  kAttempting,
  kResolving, ///< The caller got its final answer; the agent is still asked for the outcome.
};

/// \brief State of the answer to the caller.
struct CallerResponse
{
  ExchangeId exchange;
  bool waiting = true; ///< Not fully answered and still connected.
  bool headersSent = false;
  bool eventStream = false;
  /// \brief Short answers are sent only when complete, so that a cut one can become an error.
  bool bufferUntilEnd = false;
  unsigned status = 0;
  std::vector<HttpHeader> headers;
  std::string buffered;
  EventSplitter events;     ///< Holds an event of a stream until it is whole.
  bool insideEvent = false; ///< A part of an event that is too long to be held was sent.
};

/// \brief The answer that is stored with the claim, unless it is too large.
struct CapturedAnswer
{
  unsigned status = 0;
  std::vector<HttpHeader> headers;
  std::string body;
  bool tooLarge = false;
};

/// \brief A request in flight.
struct Request
{
  RequestId id;
  WorkspaceId workspace;
  EntryName entry;
  std::string key;            ///< Idempotency key; empty when there is none.
  std::uint64_t bodyHash = 0; ///< Detects different requests under one key.
  /// \brief May be cancelled and repeated; false for keyed and for non-repeatable calls.
  bool repeatable = true;
  RequestStage stage = RequestStage::kAttempting;
  bool closed = false; ///< The caller's answer is final: in the record and for admission.
  TimePoint received{};
  TimePoint deadline{};
  TimePoint resolveDeadline{}; ///< In kResolving: when the outcome is no longer waited for.
  /// \brief The message sent to agents; released once the target has started, as it is never resent
  /// then.
  std::unique_ptr<wire::StartT> start;
  std::vector<std::uint64_t> prefixHashes;
  std::size_t promptBytes = 0;
  std::vector<GroupId> tried;
  std::uint32_t attempts = 0;
  std::optional<Attempt> attempt;
  CallerResponse caller;
  std::unique_ptr<CapturedAnswer> captured; ///< Keyed requests only.
  std::uint32_t tokens = 0;                 ///< Counted in the answer so far.
};

} // namespace gooseberrysail
