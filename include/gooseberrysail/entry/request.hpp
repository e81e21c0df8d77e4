#pragma once

#include "gooseberrysail/catalogue/entry.hpp"
#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/roles/inputs.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>
#include <wire_generated.h>

namespace gooseberrysail {

/// \brief What the entry does about an attempt at the moment.
enum class AttemptState
{
  kLive,    ///< The connection with the agent stands.
  kSilent,  ///< The connection is gone; the attempt is taken up again on the next one.
  kSealing, ///< The agent was asked to note that it never starts.
};

/// \brief One sending of a request to one agent.
struct Attempt
{
  std::uint32_t number = 0; ///< From 1.
  GroupId group;
  Epoch epoch;
  ProcessId head;
  Incarnation incarnation; ///< Of the head's agent.
  std::string address;
  AttemptState state = AttemptState::kLive;
  TimePoint sentAt{};
  TimePoint silentSince{};
  TimePoint askAgainAt{};       ///< When Resume or Seal goes out once more.
  TimePoint gapAskAt{};         ///< Before this, a gap isn't asked for once more.
  std::uint64_t nextOffset = 0; ///< Bytes of the answer taken over.
  bool headSeen = false;        ///< Status and headers arrived: the target has started.
  bool cancelled = false;
  bool ackDue = false;
};

enum class RequestStage
{
  kClaiming, ///< Waits for control to grant the claim; no byte has left.
  kAttempting,
  kResolving, ///< The caller got its final answer; what truly happened is still being found out.
};

/// \brief How far the answer to the caller has got.
struct CallerSide
{
  ExchangeId exchange;
  bool waiting = true; ///< Has not got its last byte and has not left.
  bool headSent = false;
  bool eventStream = false;
  bool holdBack = false; ///< A short answer is sent whole, so that a cut one becomes a clear error.
  unsigned status = 0;
  std::vector<HttpHeader> headers;
  std::string held;
};

/// \brief The answer kept for the claim, as long as it is small enough.
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
  std::string key;            ///< Idempotency key, "" when none.
  std::uint64_t bodyHash = 0; ///< Tells apart requests under one key.
  /// \brief May be cancelled and asked again; false for keyed and for non-repeatable calls.
  bool repeatable = true;
  RequestStage stage = RequestStage::kAttempting;
  bool closed = false; ///< Counted as over for its caller: in the record and for admission.
  TimePoint received{};
  TimePoint deadline{};
  TimePoint resolveUntil{}; ///< With kResolving: when finding out ends.
  /// \brief What is sent to agents; dropped once the target has started, as it can't be sent again.
  std::unique_ptr<wire::StartT> start;
  std::vector<std::uint64_t> prefixHashes;
  std::size_t promptBytes = 0;
  std::vector<GroupId> tried;
  std::uint32_t attempts = 0;
  std::optional<Attempt> attempt;
  CallerSide caller;
  std::unique_ptr<CapturedAnswer> captured; ///< Keyed requests only.
  std::uint32_t tokens = 0;                 ///< Seen in the answer so far.
};

} // namespace gooseberrysail
