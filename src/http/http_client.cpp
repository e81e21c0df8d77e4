#include "gooseberrysail/http/http_client.hpp"

#include "gooseberrysail/shell/clock.hpp"
#include "http/http_call.hpp"
#include "http/peek_input.hpp"

#include <deque>
#include <unordered_map>
#include <utility>

namespace gooseberrysail {

namespace {

/// Bounds the memory of a connection that is kept for long.
constexpr std::size_t kMaxCarried = 256;

} // namespace

struct HttpClient::Impl
{
  using CallPtr = std::shared_ptr<impl::HttpCall>;

  struct Idle
  {
    impl::KeptConnection connection;
    TimePoint since;
  };

  Impl(IoRuntime& ioRuntime, const HttpClientSettings& clientSettings, HttpClientHooks clientHooks)
    : runtime(ioRuntime)
    , settings(clientSettings)
    , hooks(std::move(clientHooks))
    , expiry(ioRuntime.Io().get_executor())
  {
  }

  std::uint64_t Begin(std::string_view address, TargetCallOut call, impl::HttpCallHooks callHooks);
  void Run(std::uint64_t number, const CallPtr& call);
  /// \brief Null for a call that has ended.
  CallPtr Find(ExchangeId exchange);
  void Cancel(std::uint64_t number);
  void Close();
  void TakeIdle(impl::HttpCall& call);
  [[nodiscard]] bool IsUsable(Idle& idleConnection) const;
  void KeepIdle(impl::HttpCall& call);
  void ExpireIdle();

  IoRuntime& runtime;
  HttpClientSettings settings;
  HttpClientHooks hooks;
  std::unordered_map<std::uint64_t, CallPtr> calls;
  std::unordered_map<ExchangeId, std::uint64_t> exchanges;
  std::unordered_map<std::string, std::deque<Idle>> idle;
  impl::Deadline expiry;
  std::uint64_t lastCall = 0;
  std::size_t fibers = 0;
  bool closed = false;
  Signal fiberEnded;
};

std::uint64_t HttpClient::Impl::Begin(std::string_view address,
                                      TargetCallOut call,
                                      impl::HttpCallHooks callHooks)
{
  const std::uint64_t number = ++lastCall;
  const auto httpCall = std::make_shared<impl::HttpCall>(
    runtime.Io(), settings, std::string(address), std::move(call), std::move(callHooks));
  calls.emplace(number, httpCall);
  ++fibers;
  runtime.Spawn([this, number, httpCall] {
    Run(number, httpCall);
    --fibers;
    fiberEnded.Notify();
  });
  return number;
}

void HttpClient::Impl::Run(std::uint64_t number, const CallPtr& call)
{
  // Selected only here, because the server may close an idle connection before this fiber runs.
  TakeIdle(*call);
  const bool reusable = call->Run();
  calls.erase(number);
  const auto found = exchanges.find(call->Exchange());
  if (found != exchanges.end() && found->second == number) {
    exchanges.erase(found);
  }
  if (reusable && !closed) {
    KeepIdle(*call);
  }
}

// One that is readable was closed by the server or has bytes that belong to no call.
bool HttpClient::Impl::IsUsable(Idle& idleConnection) const
{
  return BootNow() - idleConnection.since < settings.idleTimeout &&
         impl::PeekInput(idleConnection.connection.socket) == impl::InputState::kNone;
}

// Prefers the most recently used connection, so that the others can expire.
void HttpClient::Impl::TakeIdle(impl::HttpCall& call)
{
  const auto found = idle.find(call.Address());
  if (found == idle.end()) {
    return;
  }
  std::deque<Idle>& connections = found->second;
  for (std::size_t number = connections.size(); number > 0; --number) {
    const auto candidate = connections.begin() + static_cast<std::ptrdiff_t>(number) - 1;
    if (!IsUsable(*candidate)) {
      connections.erase(candidate);
    } else if (!call.IsAmbiguousOn(candidate->connection)) {
      call.Reuse(std::move(candidate->connection));
      connections.erase(candidate);
      return;
    }
  }
}

void HttpClient::Impl::KeepIdle(impl::HttpCall& call)
{
  impl::KeptConnection connection = call.TakeConnection();
  if (connection.carried.size() >= kMaxCarried) {
    return;
  }
  std::deque<Idle>& connections = idle[call.Address()];
  if (connections.size() >= settings.maxIdlePerAddress) {
    connections.pop_front();
  }
  connections.push_back(Idle{ std::move(connection), BootNow() });
  if (!expiry.IsArmed()) {
    expiry.Arm(settings.idleTimeout, [this] { ExpireIdle(); });
  }
}

void HttpClient::Impl::ExpireIdle()
{
  const TimePoint now = BootNow();
  for (auto& [address, idleSockets] : idle) {
    while (!idleSockets.empty() && now - idleSockets.front().since >= settings.idleTimeout) {
      idleSockets.pop_front();
    }
  }
  std::erase_if(idle, [](const auto& row) { return row.second.empty(); });
  if (!idle.empty()) {
    expiry.Arm(settings.idleTimeout, [this] { ExpireIdle(); });
  }
}

HttpClient::Impl::CallPtr HttpClient::Impl::Find(ExchangeId exchange)
{
  const auto number = exchanges.find(exchange);
  if (number == exchanges.end()) {
    return nullptr;
  }
  const auto found = calls.find(number->second);
  return found == calls.end() ? nullptr : found->second;
}

void HttpClient::Impl::Cancel(std::uint64_t number)
{
  const auto found = calls.find(number);
  if (found != calls.end()) {
    const CallPtr call = found->second;
    call->Cancel();
  }
}

void HttpClient::Impl::Close()
{
  closed = true;
  expiry.Disarm();
  idle.clear();
  for (const auto& [number, call] : calls) {
    call->Cancel();
  }
  while (fibers > 0) {
    fiberEnded.Wait();
  }
}

HttpClient::HttpClient(IoRuntime& runtime, HttpClientSettings settings, HttpClientHooks hooks)
  : m_impl(std::make_shared<Impl>(runtime, settings, std::move(hooks)))
{
}

HttpClient::~HttpClient()
{
  Close();
}

void HttpClient::Start(std::string_view address, TargetCallOut call)
{
  const ExchangeId exchange = call.exchange;
  impl::HttpCallHooks callHooks;
  callHooks.onAnswer = m_impl->hooks.onAnswer;
  callHooks.onFailed = m_impl->hooks.onFailed;
  callHooks.isCallerConnected = m_impl->hooks.isCallerConnected;
  m_impl->exchanges[exchange] = m_impl->Begin(address, std::move(call), std::move(callHooks));
}

void HttpClient::Cancel(ExchangeId exchange)
{
  if (const Impl::CallPtr call = m_impl->Find(exchange)) {
    call->Cancel();
  }
}

void HttpClient::Withdraw(ExchangeId exchange)
{
  if (const Impl::CallPtr call = m_impl->Find(exchange)) {
    call->Withdraw();
  }
}

Result<HttpReply> HttpClient::Fetch(std::string_view address,
                                    std::string_view method,
                                    std::string_view path,
                                    std::vector<HttpHeader> headers,
                                    std::string body,
                                    Duration timeout)
{
  struct FetchState
  {
    HttpReply reply;
    std::optional<Error> error;
    bool done = false;
    Signal changed;
  };
  const auto state = std::make_shared<FetchState>();
  const std::string peer(address);
  const std::uint64_t limit = m_impl->settings.maxFetchedBytes;
  impl::HttpCallHooks callHooks;
  callHooks.onAnswer = [state, limit, peer](TargetAnswerIn part) {
    if (part.status) {
      state->reply.status = *part.status;
      state->reply.headers = std::move(part.headers);
    }
    state->reply.body += part.bytes;
    if (state->reply.body.size() > limit) {
      state->error = Error{ ErrorCode::kTooLarge, "read answer", peer, "the answer is too large" };
    }
    state->done = part.end;
    state->changed.Notify();
  };
  callHooks.onFailed = [state](TargetFailedIn failed) {
    state->error = std::move(failed.error);
    state->changed.Notify();
  };
  TargetCallOut call;
  call.method = std::string(method);
  call.path = std::string(path);
  call.headers = std::move(headers);
  call.body = std::move(body);
  call.timeout = timeout;
  const std::uint64_t number = m_impl->Begin(address, std::move(call), std::move(callHooks));
  const TimePoint until = BootNow() + timeout;
  while (!state->done && !state->error) {
    const TimePoint now = BootNow();
    if (now >= until || m_impl->closed) {
      state->error = Error{ ErrorCode::kTimeout, "read answer", peer, "not whole in time" };
      break;
    }
    state->changed.WaitFor(until - now);
  }
  if (state->error) {
    m_impl->Cancel(number);
    return std::move(*state->error);
  }
  return std::move(state->reply);
}

void HttpClient::Close()
{
  m_impl->Close();
}

} // namespace gooseberrysail
