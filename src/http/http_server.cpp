#include "gooseberrysail/http/http_server.hpp"

#include "gooseberrysail/admission/caller_memory.hpp"
#include "gooseberrysail/admission/unread_queue.hpp"
#include "gooseberrysail/net/endpoint.hpp"
#include "gooseberrysail/observe/event.hpp"
#include "gooseberrysail/shell/clock.hpp"
#include "http/connection_ends.hpp"
#include "http/http_headers.hpp"
#include "http/http_listener.hpp"
#include "http/http_session.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace gooseberrysail {

namespace {

using boost::asio::ip::tcp;

/// Bounds the time for which accepting keeps other fibers from running.
constexpr std::size_t kMaxAcceptedAtOnce = 256;
/// Read before the time is looked at again: a tick of the role serves them together.
constexpr std::size_t kReadTogether = 4;
/// Of these, requests that are served late.
constexpr std::size_t kLateTogether = kReadTogether / 2;
/// A request that was read ahead is served late until it has waited for this many times the limit.
constexpr int kMaxReadAheadWaits = 2;
/// An overload has ended when no caller was turned away for this long.
constexpr Duration kCalmTime = std::chrono::seconds(1);
/// Between two log lines about the limit of connections.
constexpr Duration kLimitLogInterval = std::chrono::seconds(1);
constexpr std::size_t kMaxLoggedIdLength = 64;
/// Of a server that shares it with no other.
constexpr std::size_t kDefaultMemory = std::size_t{ 64 } * 1024 * 1024;
/// A header or a body may have this part of the memory for all callers.
constexpr std::size_t kRequestsInMemory = 5;
/// At the limit, this part of the idle or slow connections is closed, so that not each new one
/// searches.
constexpr std::size_t kClosedFraction = 16;

constexpr std::array<std::string_view, kAnswerCutCauses> kCauseNames{
  "caller", "slow-caller", "write-timeout", "process", "stop", "unsent"
};

// The messages come from the HTTP library and from the sessions; they need no JSON escaping.
std::string DefaultErrorBody(unsigned status, std::string_view message)
{
  // Only a request that was passed on can have run.
  const char* outcome = status == impl::kBadGateway ? "unknown" : "not-run";
  return std::string("{\"error\":{\"outcome\":\"") + outcome + "\",\"reason\":\"http-" +
         std::to_string(status) + "\",\"message\":\"" + std::string(message) + "\"}}";
}

} // namespace

std::string_view ToString(AnswerCutCause cause) noexcept
{
  return kCauseNames.at(static_cast<std::size_t>(cause));
}

struct HttpServer::Impl
{
  using SessionPtr = std::shared_ptr<impl::HttpSession>;

  /// \brief A session that waits for its turn to read a request.
  struct Turn
  {
    Signal decided;
    impl::WaitingRequest request;
    impl::ReadTurn result = impl::ReadTurn::kClose;
  };

  Impl(IoRuntime& ioRuntime, HttpServerSettings serverSettings, HttpServerHooks serverHooks);

  Result<void> Start();
  void Spawn(std::function<void()> work);
  void StopAccepting();
  bool WaitDrained(Duration timeout);
  void Close();
  void OnCallerDisconnected(ExchangeId exchange);
  void OnCut(const std::string& peer, const impl::AnswerCut& cut);
  void OnEnded(const impl::ConnectionEnd& end, const std::function<std::string()>& peer);
  void OnEnded(HttpEndCause cause, const impl::AcceptedConnection& connection);
  void OnRefusedForMemory(const std::string& peer, std::string_view requestId);
  void Emit(EventNumber number, std::vector<std::pair<std::string, std::string>> fields) const;
  [[nodiscard]] impl::HttpSessionHooks MakeSessionHooks();
  [[nodiscard]] std::size_t OpenConnections() const { return sessions.size() + accepted.size(); }

  // Accepting.
  void Accept();
  /// \returns Whether more may wait.
  bool AcceptWaiting();
  void Admit(impl::AcceptedConnection connection);
  /// \brief Closes the connections that have been idle longest or, if there are none, those whose
  /// requests arrive most slowly. \returns Whether there were any.
  bool MakeRoom(HttpEndCause cause);
  template<class Key, class KeyOf, class CloseOne>
  bool CloseFirst(const KeyOf& keyOf, const CloseOne& close);
  void ReportLimit(const std::string& peer);

  // Reading.
  void ReadInTurn();
  /// \returns Whether more requests may be read in this round.
  bool GrantTurns();
  void GrantTurn(UnreadQueue::Id id);
  [[nodiscard]] impl::ReadTurn ResultOfLate(UnreadQueue::Id id) const;
  void EndTurn(UnreadQueue::Id id, impl::ReadTurn result);
  void CloseUnread();
  void CloseWaiting();
  [[nodiscard]] impl::ReadTurn AwaitTurn(const impl::WaitingRequest& request);
  void StartSession(impl::AcceptedConnection connection);
  void ReportLoad(TimePoint now, bool isTurningAway, std::size_t waiting, Duration longestWait);

  IoRuntime& runtime;
  HttpServerSettings settings;
  HttpServerHooks hooks;
  std::shared_ptr<CallerMemory> memory; ///< Outlives the sessions.
  HttpServerCounters counters;
  impl::ConnectionEnds ends;
  impl::HttpSessionHooks sessionHooks;
  impl::HttpListener listener;
  std::unordered_map<std::uint64_t, SessionPtr> sessions;
  std::unordered_map<ExchangeId, SessionPtr> exchanges;
  UnreadQueue unread;
  Signal unreadAdded;
  std::unordered_map<UnreadQueue::Id, impl::AcceptedConnection> accepted; ///< Without a session.
  std::unordered_map<UnreadQueue::Id, Turn*> turns;
  std::deque<UnreadQueue::Id> late; ///< Turns of requests that waited too long.
  std::uint64_t lastSession = 0;
  std::uint64_t lastExchange = 0;
  UnreadQueue::Id lastUnread = 0;
  std::size_t fibers = 0;
  bool stopping = false;
  bool closed = false;
  std::optional<TimePoint> overloadedSince;
  TimePoint lastTurnedAway{};
  HttpServerCounters countersBefore; ///< At the start of the overload.
  TimePoint nextLimitLog{};
  TimePoint nextMemoryLog{};
  std::uint64_t loggedMemoryRefusals = 0;
  Signal fiberEnded;
  Signal drained; ///< Notified with fiberEnded: a signal wakes only one of those who wait for it.
};

HttpServer::Impl::Impl(IoRuntime& ioRuntime,
                       HttpServerSettings serverSettings,
                       HttpServerHooks serverHooks)
  : runtime(ioRuntime)
  , settings(std::move(serverSettings))
  , hooks(std::move(serverHooks))
  , memory(settings.memory ? settings.memory : std::make_shared<CallerMemory>(kDefaultMemory))
  , ends(ioRuntime, counters)
  , listener(ioRuntime)
{
  if (!hooks.errorBody) {
    hooks.errorBody = DefaultErrorBody;
  }
  sessionHooks = MakeSessionHooks();
}

Result<void> HttpServer::Impl::Start()
{
  BOOST_OUTCOME_TRY(listener.Open(settings.listenAddress));
  Spawn([this] { Accept(); });
  Spawn([this] { ReadInTurn(); });
  return outcome::success();
}

void HttpServer::Impl::Spawn(std::function<void()> work)
{
  ++fibers;
  runtime.Spawn([this, work = std::move(work)] {
    work();
    --fibers;
    fiberEnded.Notify();
    drained.Notify();
  });
}

void HttpServer::Impl::Emit(EventNumber number,
                            std::vector<std::pair<std::string, std::string>> fields) const
{
  if (hooks.onEvent && !closed) {
    hooks.onEvent(MakeEvent(number, std::move(fields)));
  }
}

void HttpServer::Impl::Accept()
{
  while (!stopping && listener.Wait()) {
    if (!stopping) {
      AcceptWaiting();
    }
  }
}

bool HttpServer::Impl::AcceptWaiting()
{
  for (std::size_t count = 0; count < kMaxAcceptedAtOnce; ++count) {
    boost::system::error_code error;
    std::optional<impl::AcceptedConnection> connection = listener.Accept(error);
    if (connection) {
      Admit(std::move(*connection));
      continue;
    }
    if (!error) {
      return false;
    }
    // No descriptor is free. A connection that nobody accepts would only wait in the kernel.
    if (!MakeRoom(HttpEndCause::kDescriptorLimit)) {
      const std::optional<tcp::endpoint> peer = listener.CloseNext();
      if (!peer) {
        return false;
      }
      OnEnded(impl::ConnectionEnd{ .cause = HttpEndCause::kDescriptorLimit },
              [&peer] { return ToAddress(*peer); });
      ++counters.closedAtLimit;
    }
    if (BootNow() >= nextLimitLog) {
      nextLimitLog = BootNow() + kLimitLogInterval;
      Emit(EventNumber::kAcceptFailed,
           { { "address", listener.Address() }, { "reason", error.message() } });
    }
  }
  return true;
}

void HttpServer::Impl::Admit(impl::AcceptedConnection connection)
{
  connection.acceptedAt = runtime.Times().polledAt;
  if (closed) {
    OnEnded(HttpEndCause::kStop, connection);
    return;
  }
  const bool isReserved =
    !settings.usesReservedDescriptors && listener.IsReserved(connection.descriptor);
  const bool isAtLimit = isReserved || OpenConnections() >= settings.maxConnections ||
                         !memory->HasRoomForConnection(accepted.size());
  const HttpEndCause limit =
    isReserved ? HttpEndCause::kDescriptorLimit : HttpEndCause::kConnectionLimit;
  if (isAtLimit && !MakeRoom(limit)) {
    ++counters.closedAtLimit;
    OnEnded(limit, connection);
    ReportLimit(ToAddress(connection.peer));
    return;
  }
  if (isReserved) {
    connection.descriptor = std::move(connection.descriptor).Renumber();
  }
  ++counters.connections;
  const UnreadQueue::Id id = ++lastUnread;
  accepted.emplace(id, std::move(connection));
  unread.Add(id, runtime.Times().polledAt);
  unreadAdded.Notify();
}

template<class Key, class KeyOf, class CloseOne>
bool HttpServer::Impl::CloseFirst(const KeyOf& keyOf, const CloseOne& close)
{
  std::vector<std::pair<Key, impl::HttpSession*>> candidates;
  for (const auto& [number, session] : sessions) {
    if (const std::optional<Key> key = keyOf(*session)) {
      candidates.emplace_back(*key, session.get());
    }
  }
  const std::size_t count = (candidates.size() + kClosedFraction - 1) / kClosedFraction;
  std::ranges::partial_sort(candidates, candidates.begin() + static_cast<std::ptrdiff_t>(count));
  bool hasClosed = false;
  for (const auto& [key, session] : std::span(candidates).first(count)) {
    hasClosed = close(*session) || hasClosed;
  }
  counters.closedAtLimit += hasClosed ? count : 0;
  return hasClosed;
}

// Without an idle connection, new callers would be kept out for as long as a request may take.
bool HttpServer::Impl::MakeRoom(HttpEndCause cause)
{
  const TimePoint now = BootNow();
  return CloseFirst<TimePoint>(
           [](const impl::HttpSession& session) { return session.IdleSince(); },
           [cause](impl::HttpSession& session) { return session.CloseIfIdle(cause); }) ||
         CloseFirst<double>(
           [now](const impl::HttpSession& session) { return session.ArrivalRate(now); },
           [cause](impl::HttpSession& session) { return session.CloseUnfinished(cause); });
}

void HttpServer::Impl::ReportLimit(const std::string& peer)
{
  const TimePoint now = BootNow();
  if (now >= nextLimitLog) {
    nextLimitLog = now + kLimitLogInterval;
    Emit(EventNumber::kHttpConnectionLimit,
         { { "peer", peer },
           { "limit", std::to_string(settings.maxConnections) },
           { "connections", std::to_string(OpenConnections()) } });
  }
}

// Requests are read after the fibers that are ready, which serve requests that were read before:
// under overload the work that has begun goes first, and the remaining time goes to new requests.
void HttpServer::Impl::ReadInTurn()
{
  while (!closed) {
    if (unread.IsEmpty() && late.empty()) {
      unreadAdded.Wait();
      continue;
    }
    runtime.WaitUntilIdle();
    if (!closed && !GrantTurns()) {
      runtime.WaitForPoll();
    }
  }
}

bool HttpServer::Impl::GrantTurns()
{
  CloseUnread();
  std::size_t granted = 0;
  for (std::size_t count = 0; count < kReadTogether && granted < kLateTogether && !late.empty();
       ++count) {
    const impl::ReadTurn result = ResultOfLate(late.front());
    granted += result == impl::ReadTurn::kRead ? 1 : 0;
    EndTurn(late.front(), result);
    late.pop_front();
  }
  for (; granted < kReadTogether; ++granted) {
    const std::optional<UnreadQueue::Id> next =
      settings.maxUnreadWait > Duration::zero() ? unread.TakeNewest() : unread.TakeOldest();
    if (!next && late.empty()) {
      return false;
    }
    if (next) {
      GrantTurn(*next);
    }
  }
  return BootNow() - runtime.Times().polledAt < settings.maxReadTime;
}

void HttpServer::Impl::GrantTurn(UnreadQueue::Id id)
{
  if (turns.contains(id)) {
    EndTurn(id, impl::ReadTurn::kRead);
  } else if (auto connection = accepted.extract(id)) {
    StartSession(std::move(connection.mapped()));
  }
}

// The wait of a request that was read ahead may be that of this process, which was busy with the
// request before it. Under overload there are as many of them as kept connections: if all were
// served, none would be served in time.
impl::ReadTurn HttpServer::Impl::ResultOfLate(UnreadQueue::Id id) const
{
  const auto turn = turns.find(id);
  const bool isServed =
    turn != turns.end() && turn->second->request.isRead &&
    BootNow() - turn->second->request.since < kMaxReadAheadWaits * settings.maxUnreadWait;
  return isServed ? impl::ReadTurn::kRead : impl::ReadTurn::kRefuse;
}

void HttpServer::Impl::EndTurn(UnreadQueue::Id id, impl::ReadTurn result)
{
  const auto turn = turns.find(id);
  if (turn != turns.end()) {
    turn->second->result = result;
    turn->second->decided.Notify();
    turns.erase(turn);
  }
}

// A connection that waits for its first turn is closed, which costs least. On one that is open
// already the request is answered, since a reset would not tell its caller that it did not run.
void HttpServer::Impl::CloseUnread()
{
  if (settings.maxUnreadWait == Duration::zero()) {
    return;
  }
  const TimePoint now = BootNow();
  const Duration longest = unread.LongestWait(now);
  const std::size_t size = unread.Size();
  const std::vector<UnreadQueue::Id> expired = unread.TakeOlderThan(now - settings.maxUnreadWait);
  std::size_t closedCount = 0;
  for (const UnreadQueue::Id id : expired) {
    if (const auto connection = accepted.extract(id)) {
      ++closedCount;
      OnEnded(HttpEndCause::kUnread, connection.mapped());
    } else {
      late.push_back(id);
    }
  }
  const bool isRefusing = !late.empty() && ResultOfLate(late.front()) == impl::ReadTurn::kRefuse;
  ReportLoad(now, closedCount > 0 || isRefusing, size, longest);
  counters.closedUnread += closedCount;
}

void HttpServer::Impl::CloseWaiting()
{
  for (const auto& [id, turn] : turns) {
    turn->decided.Notify();
  }
  turns.clear();
  late.clear();
  for (const auto& [id, connection] : accepted) {
    OnEnded(HttpEndCause::kStop, connection);
  }
  accepted.clear();
}

impl::ReadTurn HttpServer::Impl::AwaitTurn(const impl::WaitingRequest& request)
{
  if (closed) {
    return impl::ReadTurn::kClose;
  }
  const UnreadQueue::Id id = ++lastUnread;
  Turn turn;
  turn.request = request;
  turns.emplace(id, &turn);
  unread.Add(id, request.since);
  unreadAdded.Notify();
  turn.decided.Wait();
  return turn.result;
}

void HttpServer::Impl::StartSession(impl::AcceptedConnection connection)
{
  boost::system::error_code error;
  tcp::socket socket(runtime.Io());
  socket.assign(connection.peer.protocol(), connection.descriptor.Get(), error);
  if (error) {
    OnEnded(HttpEndCause::kDescriptorLimit, connection);
    return;
  }
  static_cast<void>(connection.descriptor.Release());
  socket.set_option(tcp::no_delay(true), error);
  const std::uint64_t number = ++lastSession;
  const auto session = std::make_shared<impl::HttpSession>(
    std::move(socket), ToAddress(connection.peer), settings, sessionHooks, *memory);
  sessions.emplace(number, session);
  Spawn([this, number, session] {
    session->Serve();
    sessions.erase(number);
  });
}

// Logs when callers begin to be turned away because they waited too long, and when that has ended.
void HttpServer::Impl::ReportLoad(TimePoint now,
                                  bool isTurningAway,
                                  std::size_t waiting,
                                  Duration longestWait)
{
  const bool isOverloaded = overloadedSince.has_value();
  if (isTurningAway) {
    lastTurnedAway = now;
  }
  if (isTurningAway && !isOverloaded) {
    overloadedSince = now;
    countersBefore = counters;
    Emit(EventNumber::kHttpOverloadBegan,
         { { "address", listener.Address() },
           { "unread", std::to_string(waiting) },
           { "longestMillis", std::to_string(ToMillis(longestWait)) },
           { "limitMillis", std::to_string(ToMillis(settings.maxUnreadWait)) },
           { "roundMillis", std::to_string(ToMillis(runtime.Times().latestRound)) },
           { "roundCpuMillis", std::to_string(ToMillis(runtime.Times().latestRoundCpu)) },
           { "connections", std::to_string(OpenConnections()) },
           { "pending", std::to_string(exchanges.size()) } });
  } else if (isOverloaded && now - lastTurnedAway >= kCalmTime) {
    Emit(EventNumber::kHttpOverloadEnded,
         { { "address", listener.Address() },
           { "millis", std::to_string(ToMillis(lastTurnedAway - *overloadedSince)) },
           { "closedUnread", std::to_string(counters.closedUnread - countersBefore.closedUnread) },
           { "refusedLate", std::to_string(counters.refusedLate - countersBefore.refusedLate) },
           { "goneUnread",
             std::to_string(counters.callersGoneUnread - countersBefore.callersGoneUnread) },
           { "read", std::to_string(counters.requests - countersBefore.requests) } });
    overloadedSince.reset();
  }
}

impl::HttpSessionHooks HttpServer::Impl::MakeSessionHooks()
{
  impl::HttpSessionHooks callbacks;
  callbacks.onBegin = [this](impl::HttpSession& session) {
    const ExchangeId exchange(++lastExchange);
    exchanges.emplace(exchange, session.shared_from_this());
    ++counters.requests;
    return exchange;
  };
  callbacks.onRequest = [this](HttpRequestIn request) { hooks.onRequest(std::move(request)); };
  callbacks.onEnd = [this](ExchangeId exchange) { exchanges.erase(exchange); };
  callbacks.onCallerGone = [this](ExchangeId exchange) { OnCallerDisconnected(exchange); };
  callbacks.onCut = [this](const impl::HttpSession& session, const impl::AnswerCut& cut) {
    OnCut(session.Peer(), cut);
  };
  callbacks.onEnded = [this](const impl::HttpSession& session, const impl::ConnectionEnd& end) {
    OnEnded(end, [&session] { return session.Peer(); });
  };
  callbacks.onRejected =
    [this](const impl::HttpSession& session, unsigned status, std::string_view message) {
      ++counters.rejected;
      Emit(EventNumber::kHttpRejected,
           { { "peer", session.Peer() },
             { "status", std::to_string(status) },
             { "reason", std::string(message) } });
    };
  callbacks.onGoneUnread = [this] { ++counters.callersGoneUnread; };
  callbacks.onRefusedLate = [this](const impl::HttpSession& session, std::string_view requestId) {
    ++counters.refusedLate;
    Emit(EventNumber::kHttpRefusedLate,
         { { "peer", session.Peer() },
           { "request", std::string(requestId.substr(0, kMaxLoggedIdLength)) },
           { "limitMillis", std::to_string(ToMillis(settings.maxUnreadWait)) },
           { "roundMillis", std::to_string(ToMillis(runtime.Times().latestRound)) },
           { "stopping", stopping ? "yes" : "no" } });
  };
  callbacks.onRefusedForMemory = [this](const impl::HttpSession& session,
                                        std::string_view requestId) {
    OnRefusedForMemory(session.Peer(), requestId);
  };
  callbacks.awaitTurn = [this](const impl::WaitingRequest& request) { return AwaitTurn(request); };
  callbacks.errorBody = hooks.errorBody;
  callbacks.isStopping = [this] { return stopping; };
  callbacks.loopTimes = [this]() -> const LoopTimes& { return runtime.Times(); };
  return callbacks;
}

void HttpServer::Impl::OnCallerDisconnected(ExchangeId exchange)
{
  if (exchanges.erase(exchange) == 0) {
    return;
  }
  ++counters.callersGone;
  if (hooks.onCallerGone && !closed) {
    hooks.onCallerGone(HttpCallerGone{ exchange });
  }
}

// Callers who leave are counted only: they may be many, and their requests have lines of their own.
void HttpServer::Impl::OnCut(const std::string& peer, const impl::AnswerCut& cut)
{
  ++counters.cuts.at(static_cast<std::size_t>(cut.cause));
  if (cut.cause == AnswerCutCause::kProcess || cut.cause == AnswerCutCause::kSlowCaller ||
      cut.cause == AnswerCutCause::kUnsent) {
    ++counters.aborted;
  }
  if (!hooks.onEvent || cut.cause == AnswerCutCause::kCaller) {
    return;
  }
  hooks.onEvent(MakeEvent(EventNumber::kHttpAnswerCut,
                          { { "peer", peer },
                            { "exchange", std::to_string(cut.exchange.Get()) },
                            { "reason", std::string(cut.reason) },
                            { "request", cut.request },
                            { "cause", std::string(ToString(cut.cause)) },
                            { "sentBytes", std::to_string(cut.sentBytes) },
                            { "queuedBytes", std::to_string(cut.queuedBytes) },
                            { "readAheadBytes", std::to_string(cut.readAheadBytes) },
                            { "millis", std::to_string(ToMillis(cut.sinceRead)) } }));
}

void HttpServer::Impl::OnEnded(const impl::ConnectionEnd& end,
                               const std::function<std::string()>& peer)
{
  std::optional<EventOut> event = ends.Note(end, stopping, peer);
  if (event && hooks.onEvent) {
    hooks.onEvent(std::move(*event));
  }
}

void HttpServer::Impl::OnEnded(HttpEndCause cause, const impl::AcceptedConnection& connection)
{
  OnEnded(impl::ConnectionEnd{ .cause = cause,
                               .descriptor = connection.descriptor.Get(),
                               .inputAt = connection.acceptedAt },
          [&connection] { return ToAddress(connection.peer); });
}

void HttpServer::Impl::OnRefusedForMemory(const std::string& peer, std::string_view requestId)
{
  ++counters.refusedForMemory;
  const TimePoint now = BootNow();
  if (now < nextMemoryLog) {
    return;
  }
  nextMemoryLog = now + kLimitLogInterval;
  const std::uint64_t since =
    counters.refusedForMemory - std::exchange(loggedMemoryRefusals, counters.refusedForMemory);
  Emit(EventNumber::kHttpMemoryLimit,
       { { "peer", peer },
         { "request", std::string(requestId.substr(0, kMaxLoggedIdLength)) },
         { "heldBytes", std::to_string(memory->UsedBytes()) },
         { "limitBytes", std::to_string(memory->Limit()) },
         { "connections", std::to_string(OpenConnections()) },
         { "refused", std::to_string(since) } });
}

void HttpServer::Impl::StopAccepting()
{
  if (stopping) {
    return;
  }
  stopping = true;
  // Accepts the connections that the kernel has already completed; closing the listener would reset
  // them.
  while (AcceptWaiting()) {
  }
  listener.Close();
  std::vector<SessionPtr> openSessions;
  for (const auto& [number, session] : sessions) {
    openSessions.push_back(session);
  }
  for (const SessionPtr& session : openSessions) {
    session->OnStopping();
  }
}

bool HttpServer::Impl::WaitDrained(Duration timeout)
{
  const TimePoint until = BootNow() + timeout;
  while (OpenConnections() > 0) {
    const TimePoint now = BootNow();
    if (now >= until) {
      return false;
    }
    drained.WaitFor(until - now);
  }
  return true;
}

void HttpServer::Impl::Close()
{
  const bool wasClosed = std::exchange(closed, true);
  stopping = true;
  listener.Close();
  unreadAdded.Notify();
  CloseWaiting();
  for (const auto& [number, session] : sessions) {
    session->Stop();
  }
  while (fibers > 0) {
    fiberEnded.Wait();
  }
  std::optional<EventOut> totals = wasClosed ? std::nullopt : ends.MakeTotals();
  if (totals && hooks.onEvent) {
    hooks.onEvent(std::move(*totals));
  }
}

HttpServer::HttpServer(IoRuntime& runtime, HttpServerSettings settings, HttpServerHooks hooks)
  : m_impl(std::make_shared<Impl>(runtime, std::move(settings), std::move(hooks)))
{
}

HttpServer::~HttpServer()
{
  Close();
}

Result<void> HttpServer::Start()
{
  return m_impl->Start();
}

std::string HttpServer::ListenAddress() const
{
  return m_impl->listener.Address();
}

void HttpServer::Send(HttpAnswerOut part)
{
  const auto found = m_impl->exchanges.find(part.exchange);
  if (found != m_impl->exchanges.end()) {
    const auto session = found->second;
    session->Answer(std::move(part));
  }
}

std::size_t HttpServer::QueuedBytes(ExchangeId exchange) const
{
  const auto found = m_impl->exchanges.find(exchange);
  return found == m_impl->exchanges.end() ? 0 : found->second->QueuedBytes();
}

void HttpServer::StopAccepting()
{
  m_impl->StopAccepting();
}

bool HttpServer::WaitDrained(Duration timeout)
{
  return m_impl->WaitDrained(timeout);
}

void HttpServer::Close()
{
  m_impl->Close();
}

const HttpServerCounters& HttpServer::Counters() const noexcept
{
  return m_impl->counters;
}

std::size_t HttpServer::PendingExchanges() const noexcept
{
  return m_impl->exchanges.size();
}

std::size_t HttpServer::OpenConnections() const noexcept
{
  return m_impl->OpenConnections();
}

void HttpServer::SetLimits(const HttpServerSettings& limits)
{
  HttpServerSettings& settings = m_impl->settings;
  const std::size_t most = m_impl->memory->Limit() / kRequestsInMemory;
  settings.maxHeaderBytes =
    static_cast<std::uint32_t>(std::min<std::size_t>(limits.maxHeaderBytes, most));
  settings.maxBodyBytes = std::min<std::uint64_t>(limits.maxBodyBytes, most);
  settings.headTimeout = limits.headTimeout;
  settings.idleTimeout = limits.idleTimeout;
}

void HttpServer::SetHeldBytes(ExchangeId exchange, std::size_t bytes)
{
  const auto found = m_impl->exchanges.find(exchange);
  if (found != m_impl->exchanges.end()) {
    const auto session = found->second;
    session->SetHeldBytes(bytes);
  }
}

bool HttpServer::IsCallerConnected(ExchangeId exchange)
{
  const auto found = m_impl->exchanges.find(exchange);
  if (found == m_impl->exchanges.end()) {
    return false;
  }
  const auto session = found->second;
  return session->CheckCaller();
}

} // namespace gooseberrysail
