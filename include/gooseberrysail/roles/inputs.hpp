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

/// \file What enters and leaves the I/O-free roles. The shell turns sockets, HTTP and files into
/// these, golden sessions write them down, and both drive the same systems with them.

namespace gooseberrysail {

/// \brief One HTTP exchange of the process, numbered by the shell.
using ExchangeId = impl::StrongId<struct ExchangeTag, std::uint64_t>;

// ---- peers ----

/// \brief A connection with a peer stands and the peer proved that it has the cluster key.
struct PeerUp
{
  ProcessId peer;
  std::string role;
  Incarnation incarnation;
  std::string address; ///< Where the peer listens, "ip:port".
};

/// \brief The last connection with the peer ended or went silent; frames may have been lost.
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

/// \brief A frame to send. Frames to one peer stay in order; they are lost when it goes down.
struct FrameOut
{
  ProcessId peer;
  std::string address; ///< Dialled when no connection stands; "" never dials.
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
};

/// \brief The caller closed its connection before the answer was complete.
struct HttpCallerGone
{
  ExchangeId exchange;
};

/// \brief Part of an answer; the first part carries status and headers.
/// \remarks With `end` on the first part the answer is sent with its length, else chunked. With
/// `abort` the connection is closed so that the caller sees the answer is not whole.
struct HttpAnswerOut
{
  ExchangeId exchange;
  std::optional<unsigned> status;
  std::vector<HttpHeader> headers;
  std::string bytes;
  bool end = false;
  bool abort = false;
};

// ---- HTTP calls made to targets ----

struct TargetCallOut
{
  ExchangeId exchange;
  std::string method;
  std::string path;
  std::vector<HttpHeader> headers;
  std::string body;
  Duration timeout{};       ///< Without a byte for this long, the call fails; 0: none.
  std::string address = {}; ///< "ip:port"; "": the process's own target.
};

/// \brief Close the connection of a call: the target sees its caller gone.
struct TargetCancelOut
{
  ExchangeId exchange;
};

struct TargetAnswerIn
{
  ExchangeId exchange;
  std::optional<unsigned> status; ///< With the first part.
  std::vector<HttpHeader> headers;
  std::string bytes;
  bool end = false;
};

struct TargetFailedIn
{
  ExchangeId exchange;
  Error error;
  bool neverSent = false; ///< Certain that no byte of the call reached the target.
};

// ---- the process itself ----

/// \brief SIGTERM: leave gracefully.
struct StopRequested
{};

/// \brief Everything in flight is done; the shell may exit.
struct StoppedOut
{};

/// \brief A numbered event for the log and the time line.
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
using GatewayOutput =
  std::variant<FrameOut, HttpAnswerOut, TargetCallOut, TargetCancelOut, EventOut, StoppedOut>;

} // namespace gooseberrysail
