#pragma once

#include "gooseberrysail/http/http_client.hpp"
#include "gooseberrysail/http/http_server.hpp"
#include "support/mesh_process.hpp"
#include "support/section.hpp"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace gooseberrysail::tests {

inline bool Contains(const std::string& text, const std::string& part)
{
  return text.find(part) != std::string::npos;
}

/// \brief A server that records its hook calls; the test sends the responses.
class RecordingServer
{
public:
  explicit RecordingServer(IoRuntime& runtime,
                           const std::function<void(HttpServerSettings&)>& adjust = {})
    : server(runtime, MakeSettings(adjust), MakeHooks())
  {
    started = server.Start().has_value();
    address = server.ListenAddress();
  }

  bool WaitFor(const std::function<bool()>& condition) { return WaitUntil(changed, condition); }

  /// \brief Waits for the `count`-th request and returns it.
  const HttpRequestIn& Request(std::size_t count)
  {
    EXPECT_TRUE(WaitFor([&] { return requests.size() >= count; }));
    return requests.at(count - 1);
  }

  void Send(const HttpRequestIn& request, std::string bytes, bool end, bool abort = false)
  {
    HttpAnswerOut part;
    part.exchange = request.exchange;
    part.status = 200;
    part.headers.push_back(HttpHeader{ "Content-Type", "text/plain" });
    part.bytes = std::move(bytes);
    part.end = end;
    part.abort = abort;
    server.Send(std::move(part));
  }

  bool started = false;
  std::string address;
  std::vector<HttpRequestIn> requests;
  std::vector<ExchangeId> disconnected;
  std::vector<EventOut> events;
  std::function<void(const HttpRequestIn&)> onRequest; ///< May be empty.
  Signal changed;
  HttpServer server;

private:
  static HttpServerSettings MakeSettings(const std::function<void(HttpServerSettings&)>& adjust)
  {
    HttpServerSettings settings;
    settings.listenAddress = "127.0.0.1:0";
    if (adjust) {
      adjust(settings);
    }
    return settings;
  }

  HttpServerHooks MakeHooks()
  {
    HttpServerHooks hooks;
    hooks.onRequest = [this](HttpRequestIn request) {
      requests.push_back(std::move(request));
      changed.Notify();
      if (onRequest) {
        onRequest(requests.back());
      }
    };
    hooks.onCallerGone = [this](HttpCallerGone caller) {
      disconnected.push_back(caller.exchange);
      changed.Notify();
    };
    hooks.onEvent = [this](EventOut event) {
      events.push_back(std::move(event));
      changed.Notify();
    };
    return hooks;
  }
};

/// \brief A client that records its hook calls.
class RecordingClient
{
public:
  explicit RecordingClient(IoRuntime& runtime, const HttpClientSettings& settings = {})
    : client(runtime, settings, MakeHooks())
  {
  }

  void Start(const std::string& address,
             std::uint64_t exchange,
             Duration timeout = Duration::zero(),
             std::string body = "")
  {
    TargetCallOut call;
    call.exchange = ExchangeId(exchange);
    call.method = "POST";
    call.path = "/v1/completions";
    call.body = std::move(body);
    call.timeout = timeout;
    client.Start(address, std::move(call));
  }

  bool WaitFor(const std::function<bool()>& condition) { return WaitUntil(changed, condition); }

  [[nodiscard]] std::string Body() const
  {
    std::string body;
    for (const TargetAnswerIn& part : parts) {
      body += part.bytes;
    }
    return body;
  }

  [[nodiscard]] bool IsWhole() const { return !parts.empty() && parts.back().end; }

  std::vector<TargetAnswerIn> parts;
  std::vector<TargetFailedIn> failures;
  Signal changed;
  HttpClient client;

private:
  HttpClientHooks MakeHooks()
  {
    HttpClientHooks hooks;
    hooks.onAnswer = [this](TargetAnswerIn part) {
      parts.push_back(std::move(part));
      changed.Notify();
    };
    hooks.onFailed = [this](TargetFailedIn failed) {
      failures.push_back(std::move(failed));
      changed.Notify();
    };
    return hooks;
  }
};

} // namespace gooseberrysail::tests
