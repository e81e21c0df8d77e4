#pragma once

#include "gooseberrysail/core/http_header.hpp"
#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/result.hpp"
#include "gooseberrysail/core/time.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>
#include <wire_generated.h>

/// \file Inputs and outputs of the roles, which perform no I/O. The shell converts socket, HTTP and
/// file events to and from these types; golden sessions record and replay them.

namespace gooseberrysail {

/// \brief Number of an HTTP exchange within the process.
using ExchangeId = impl::StrongId<struct ExchangeTag, std::uint64_t>;

// ---- peers ----

/// \brief A connection with a peer is established and the peer proved that it has the cluster key.
struct PeerUp
{
  ProcessId peer;
  std::string role;
  Incarnation incarnation;
  std::string address; ///< Where the peer listens, "ip:port".
};

/// \brief The last connection with the peer was closed or timed out; frames may have been lost.
struct PeerDown
{
  ProcessId peer;
  Incarnation incarnation;
  std::string reason;
};

/// \brief A frame arrived.
struct FrameIn
{
  ProcessId peer;
  Incarnation incarnation;
  std::shared_ptr<const wire::EnvelopeT> envelope;
};

/// \brief A frame to send. Frames to one peer stay in order and are lost when its connection ends.
struct FrameOut
{
  ProcessId peer;
  std::string address; ///< Dialled when there is no connection; "" never dials.
  std::shared_ptr<wire::EnvelopeT> envelope;
};

// ---- HTTP served by this process (callers at an entry, operators at control) ----

struct HttpRequestIn
{
  ExchangeId exchange;
  std::string method;
  std::string target; ///< Path and query as sent.
  std::vector<HttpHeader> headers;
  std::string body;
  std::string peer; ///< "ip:port" of the caller.
  /// When its last bytes came, which may be long before it could be read; none if not known.
  std::optional<TimePoint> receivedAt = std::nullopt;
};

/// \brief The caller closed its connection before the answer was complete.
struct HttpCallerGone
{
  ExchangeId exchange;
};

/// \brief How an answer marks its end.
enum class AnswerFraming : std::uint8_t
{
  kDelimited,  ///< By a length or a last chunk, or it has no body.
  kUntilClose, ///< By the end of its connection: it can't be told from an answer that was cut.
};

[[nodiscard]] constexpr const char* ToString(AnswerFraming framing) noexcept
{
  return framing == AnswerFraming::kDelimited ? "delimited" : "until-close";
}

/// \brief Part of an answer; the first part carries status and headers.
/// \remarks A delimited answer is sent with its length if the first part has `end` set, otherwise
/// chunked. One that lasts until close gets neither, as its own end is not certain. After `abort`
/// the caller can detect that the answer is incomplete.
struct HttpAnswerOut
{
  ExchangeId exchange;
  std::optional<unsigned> status;
  std::vector<HttpHeader> headers;
  AnswerFraming framing = AnswerFraming::kDelimited; ///< Valid in the first part.
  std::string bytes;
  bool end = false;
  bool abort = false;
  /// Of the first part: the connection is closed after the answer, unless the caller has already
  /// sent another request on it.
  bool endsConnection = false;
};

// ---- HTTP calls made to targets ----

struct TargetCallOut
{
  ExchangeId exchange;
  std::string method;
  std::string path;
  std::vector<HttpHeader> headers;
  std::string body;
  Duration timeout{};       ///< The call fails after this long without a byte; 0: no limit.
  std::string address = {}; ///< "ip:port"; "" for the process's own target.
  ExchangeId caller = {};   ///< It is not sent once this exchange's caller has left; none: always.
  Duration totalTimeout{};  ///< The call fails unless its answer is whole by then; 0: no limit.
  std::uint64_t maxAnswerBytes =
    0; ///< The call fails if the body of its answer is longer; 0: none.
};

/// \brief Cancels a call by closing its connection.
struct TargetCancelOut
{
  ExchangeId exchange;
};

/// \brief Cancels a call of which no byte has been sent; it then fails as withdrawn. Others go on.
struct TargetWithdrawOut
{
  ExchangeId exchange;
};

struct TargetAnswerIn
{
  ExchangeId exchange;
  std::optional<unsigned> status; ///< Set in the first part.
  std::vector<HttpHeader> headers;
  AnswerFraming framing = AnswerFraming::kDelimited; ///< Valid in the first part.
  std::string bytes;
  bool end = false;
};

struct TargetFailedIn
{
  ExchangeId exchange;
  /// kUnavailable if the target closed the connection or, of a call never sent, refused it.
  Error error;
  bool neverSent = false;   ///< No byte of the call was sent to the target.
  bool isWithdrawn = false; ///< By TargetWithdrawOut, so it says nothing of the target.
};

// ---- the process itself ----

/// \brief SIGTERM was received: shut down gracefully.
struct StopRequested
{};

/// \brief The graceful shutdown is complete; the shell may exit.
struct StoppedOut
{};

/// \brief A numbered event for the log and the timeline.
struct EventOut
{
  std::uint32_t number = 0;
  std::vector<std::pair<std::string, std::string>> fields;
};

using EntryInput =
  std::variant<PeerUp, PeerDown, FrameIn, HttpRequestIn, HttpCallerGone, StopRequested>;
using EntryOutput = std::variant<FrameOut, HttpAnswerOut, EventOut, StoppedOut>;

using AgentInput =
  std::variant<PeerUp, PeerDown, FrameIn, TargetAnswerIn, TargetFailedIn, StopRequested>;
using AgentOutput = std::variant<FrameOut, TargetCallOut, TargetCancelOut, EventOut, StoppedOut>;

using ControlInput = std::variant<PeerUp,
                                  PeerDown,
                                  FrameIn,
                                  HttpRequestIn,
                                  HttpCallerGone,
                                  TargetAnswerIn,
                                  TargetFailedIn,
                                  StopRequested>;
using ControlOutput = std::variant<FrameOut, HttpAnswerOut, TargetCallOut, EventOut, StoppedOut>;

using GatewayInput = std::variant<PeerUp,
                                  PeerDown,
                                  FrameIn,
                                  HttpRequestIn,
                                  HttpCallerGone,
                                  TargetAnswerIn,
                                  TargetFailedIn,
                                  StopRequested>;
using GatewayOutput = std::variant<FrameOut,
                                   HttpAnswerOut,
                                   TargetCallOut,
                                   TargetCancelOut,
                                   TargetWithdrawOut,
                                   EventOut,
                                   StoppedOut>;

} // namespace gooseberrysail
