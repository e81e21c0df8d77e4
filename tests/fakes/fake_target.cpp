#include "fakes/fake_target.hpp"

#include "gooseberrysail/http/http_client.hpp"
#include "gooseberrysail/shell/clock.hpp"

#include <boost/json.hpp>
#include <charconv>
#include <utility>
#include <xxhash.h>

namespace gooseberrysail::fakes {

namespace {

namespace json = boost::json;

constexpr unsigned kOk = 200;
constexpr unsigned kCreated = 201;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr unsigned kUnavailable = 503;
/// The block size of entries, so that both compute the same hashes of prefixes.
constexpr std::size_t kBlockBytes = 256;
constexpr std::size_t kCachedBlocks = 4096;

std::string_view PathOf(std::string_view target)
{
  return target.substr(0, target.find('?'));
}

std::string Message(std::string_view text)
{
  return json::serialize(json::object{ { "error", json::string(text.data(), text.size()) } });
}

json::object Counts(const std::map<std::string, std::uint64_t>& counts)
{
  json::object object;
  for (const auto& [name, count] : counts) {
    object[name] = count;
  }
  return object;
}

} // namespace

FakeTarget::FakeTarget(IoRuntime& runtime, Settings settings)
  : m_runtime(runtime)
  , m_settings(std::move(settings))
  , m_server(runtime,
             HttpServerSettings{ .listenAddress = m_settings.listenAddress },
             HttpServerHooks{ [this](HttpRequestIn request) { OnRequest(std::move(request)); },
                              [this](HttpCallerGone gone) {
                                m_cancelledExchanges.insert(gone.exchange);
                                ++m_cancelled;
                              },
                              {},
                              {} })
  , m_switches(m_settings.switches)
  , m_model(m_settings.model)
  , m_version(m_settings.version)
{
}

Result<void> FakeTarget::Start()
{
  return m_server.Start();
}

void FakeTarget::Sleep(std::uint32_t millis)
{
  if (millis > 0) {
    m_runtime.SleepFor(std::chrono::milliseconds(millis));
  }
}

void FakeTarget::Answer(ExchangeId exchange, unsigned status, std::string body)
{
  HttpAnswerOut answer;
  answer.exchange = exchange;
  answer.status = status;
  answer.headers = { HttpHeader{ "Content-Type", "application/json" } };
  answer.bytes = std::move(body);
  answer.end = true;
  m_server.Send(std::move(answer));
}

void FakeTarget::OnRequest(HttpRequestIn request)
{
  // Each call runs in its own fiber, since switches can delay it.
  m_runtime.Spawn([this, held = std::move(request)] {
    Serve(held);
    m_cancelledExchanges.erase(held.exchange);
  });
}

void FakeTarget::Serve(const HttpRequestIn& request)
{
  const std::string_view path = PathOf(request.target);
  if (path == "/switch") {
    ServeSwitch(request);
  } else if (path == "/counters") {
    ServeCounters(request);
  } else if (path == "/health" || path == "/load") {
    ServeHealth(request);
  } else if (path == "/cache_events") {
    ServeCacheEvents(request);
  } else if (path == "/orders/load" || path == "/orders/unload") {
    ServeOrder(request, path == "/orders/load");
  } else if (m_switches.hang) {
    ++m_runs[std::string(FindHeader(request.headers, "X-Request-Id"))];
  } else if (path == "/v1/chat/completions" || path == "/v1/completions") {
    ServeCompletion(request);
  } else if (path == "/bookings" && request.method == "POST") {
    ServeBooking(request);
  } else if (path.starts_with("/stock")) {
    Sleep(m_switches.answerDelayMs);
    ++m_stock;
    Answer(request.exchange,
           kOk,
           json::serialize(json::object{ { "path", std::string(path) }, { "rollers", 3 } }));
  } else {
    Answer(request.exchange, kNotFound, Message("no such path"));
  }
}

void FakeTarget::ServeHealth(const HttpRequestIn& request)
{
  if (m_switches.silentHealth) {
    return;
  }
  const json::object body{ { "status", m_switches.unhealthy ? "failing" : "ok" },
                           { "model", m_model },
                           { "version", m_version },
                           { "loading", m_loading > 0 },
                           { "running", m_running },
                           { "kv_used_permille", m_cached.size() * 1000 / kCachedBlocks },
                           { "tokens_generated", m_tokens } };
  Answer(request.exchange, m_switches.unhealthy ? kUnavailable : kOk, json::serialize(body));
}

void FakeTarget::ServeCompletion(const HttpRequestIn& request)
{
  const auto call = ParseCompletion(PathOf(request.target), request.body);
  if (!call) {
    Answer(request.exchange, kBadRequest, Message(call.error().description));
    return;
  }
  if (m_model.empty() || m_model != call.value().model) {
    Answer(request.exchange, kUnavailable, Message("model not loaded: " + call.value().model));
    return;
  }
  ++m_completions;
  ++m_runs[std::string(FindHeader(request.headers, "X-Request-Id"))];
  ++m_running;
  RecordCachedBlocks(call.value().prompt);
  Sleep(m_switches.answerDelayMs);
  const auto tokens = AnswerTokens(call.value());
  if (call.value().stream) {
    StreamTokens(request.exchange, call.value(), tokens);
  } else if (m_switches.responseBytes > 0) {
    Answer(request.exchange, kOk, std::string(m_switches.responseBytes, 'x'));
  } else {
    bool cut = false;
    for (std::size_t done = 0; done < tokens.size() && !cut; ++done) {
      Sleep(m_switches.tokenDelayMs);
      cut =
        m_cancelledExchanges.contains(request.exchange) || InjectFault(request.exchange, done + 1);
    }
    m_tokens += tokens.size();
    if (!cut) {
      Answer(request.exchange, kOk, WholeAnswer(call.value(), tokens));
    }
  }
  --m_running;
}

void FakeTarget::StreamTokens(ExchangeId exchange,
                              const CompletionCall& call,
                              const std::vector<std::string>& tokens)
{
  HttpAnswerOut head;
  head.exchange = exchange;
  head.status = kOk;
  head.headers = { HttpHeader{ "Content-Type", "text/event-stream" } };
  m_server.Send(std::move(head));
  for (std::size_t index = 0; index < tokens.size(); ++index) {
    Sleep(m_switches.tokenDelayMs);
    if (m_cancelledExchanges.contains(exchange)) {
      return;
    }
    HttpAnswerOut part;
    part.exchange = exchange;
    part.bytes = TokenEvent(call, tokens[index]);
    m_server.Send(std::move(part));
    ++m_tokens;
    if (InjectFault(exchange, index + 1)) {
      return;
    }
  }
  HttpAnswerOut last;
  last.exchange = exchange;
  last.bytes = FinalEvents(call, tokens.size());
  last.end = true;
  m_server.Send(std::move(last));
}

bool FakeTarget::InjectFault(ExchangeId exchange, std::size_t tokens)
{
  if (m_switches.dieAfterTokens != 0 && tokens >= m_switches.dieAfterTokens && m_settings.die) {
    m_settings.die();
  }
  if (m_switches.cutAfterTokens == 0 || tokens < m_switches.cutAfterTokens) {
    return false;
  }
  HttpAnswerOut cut;
  cut.exchange = exchange;
  cut.abort = true;
  m_server.Send(std::move(cut));
  return true;
}

void FakeTarget::ServeOrder(const HttpRequestIn& request, bool load)
{
  boost::system::error_code failed;
  const json::value parsed = json::parse(request.body, failed);
  const auto* order = failed ? nullptr : parsed.if_object();
  const auto* fencingField = order != nullptr ? order->if_contains("fencing") : nullptr;
  if (fencingField == nullptr || !fencingField->is_number()) {
    Answer(request.exchange, kBadRequest, Message("an order needs a fencing number"));
    return;
  }
  const auto fencing = fencingField->to_number<std::uint64_t>(failed);
  if (fencing < m_highestFencing && !m_switches.ignoreFencing) {
    ++m_ordersRefused;
    Answer(request.exchange, kConflict, Message("old fencing number"));
    return;
  }
  m_highestFencing = std::max(m_highestFencing, fencing);
  ++m_orders;
  ++m_loading;
  m_ordersAtOnce = std::max<std::uint64_t>(m_ordersAtOnce, m_loading);
  const auto text = [order](const char* name) {
    const auto* field = order->if_contains(name);
    return field != nullptr && field->is_string() ? std::string(field->get_string()) : "";
  };
  const std::string model = load ? text("model") : "";
  const std::string version = load ? text("version") : "";
  if (load) {
    Sleep(m_switches.loadDelayMs);
  }
  --m_loading;
  m_model = model;
  m_version = version;
  m_cached.clear();
  Answer(request.exchange, kOk, json::serialize(json::object{ { "model", m_model } }));
}

void FakeTarget::ServeBooking(const HttpRequestIn& request)
{
  const std::string_view key = FindHeader(request.headers, "Idempotency-Key");
  const std::string name = key.empty() ? request.body : std::string(key);
  const std::uint64_t runs = ++m_bookings[name];
  Sleep(m_switches.answerDelayMs);
  if (InjectFault(request.exchange, 1)) {
    return;
  }
  const json::object body{ { "booked", name }, { "runs", runs } };
  Answer(request.exchange, kCreated, json::serialize(body));
}

void FakeTarget::ServeCounters(const HttpRequestIn& request)
{
  const json::object body{ { "bookings", Counts(m_bookings) },
                           { "requests", Counts(m_runs) },
                           { "completions", m_completions },
                           { "cancelled", m_cancelled },
                           { "stock", m_stock },
                           { "running", m_running },
                           { "tokens", m_tokens },
                           { "orders", m_orders },
                           { "ordersRefused", m_ordersRefused },
                           { "ordersAtOnce", m_ordersAtOnce },
                           { "fencing", m_highestFencing } };
  Answer(request.exchange, kOk, json::serialize(body));
}

void FakeTarget::ServeSwitch(const HttpRequestIn& request)
{
  const auto switches = ApplySwitches(m_switches, request.body);
  if (!switches) {
    Answer(request.exchange, kBadRequest, Message(switches.error().description));
    return;
  }
  m_switches = switches.value();
  Answer(request.exchange, kOk, "{}");
}

void FakeTarget::RecordCachedBlocks(std::string_view prompt)
{
  std::uint64_t hash = 0;
  for (std::size_t at = 0; at + kBlockBytes <= prompt.size(); at += kBlockBytes) {
    hash = XXH64(prompt.data() + at, kBlockBytes, hash);
    if (m_cached.size() >= kCachedBlocks || !m_cached.insert(hash).second) {
      continue;
    }
    ++m_cacheSequence;
    const bool lost =
      m_switches.cacheGapEvery != 0 && m_cacheSequence % m_switches.cacheGapEvery == 0;
    if (!lost) {
      m_cacheEvents.push_back(
        CacheEvent{ m_cacheSequence,
                    hash,
                    true,
                    BootNow() + std::chrono::milliseconds(m_switches.cacheDelayMs) });
    }
    if (m_cacheEvents.size() > kCachedBlocks) {
      m_cacheEvents.pop_front();
    }
  }
}

void FakeTarget::ServeCacheEvents(const HttpRequestIn& request)
{
  std::uint64_t after = 0;
  const auto equals = request.target.find("after=");
  if (equals != std::string::npos) {
    const char* begin = request.target.data() + equals + std::string_view("after=").size();
    std::from_chars(begin, request.target.data() + request.target.size(), after);
  }
  std::uint64_t latest = 0;
  json::array events;
  for (const CacheEvent& event : m_cacheEvents) {
    if (event.visibleAt > BootNow()) {
      continue;
    }
    latest = event.sequence;
    if (event.sequence > after) {
      events.push_back({ { "sequence", event.sequence },
                         { "block", event.block },
                         { "kind", event.added ? "added" : "removed" } });
    }
  }
  Answer(request.exchange,
         kOk,
         json::serialize(json::object{ { "events", events }, { "latest", latest } }));
}

} // namespace gooseberrysail::fakes
