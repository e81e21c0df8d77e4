#pragma once

#include "fakes/fake_model.hpp"
#include "fakes/fake_switches.hpp"
#include "gooseberrysail/http/http_server.hpp"
#include "gooseberrysail/net/fiber_runtime.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrysail::fakes {

/// \brief A fake model engine and plain service over real HTTP.
/// \code
/// FakeTarget target(runtime, { .listenAddress = "127.0.0.1:0" });
/// BOOST_OUTCOME_TRY(target.Start());
/// \endcode
/// Engine: `/v1/chat/completions`, `/v1/completions`, `/health`, `/load`, `/orders/load`,
/// `/orders/unload`, `/cache_events?after=N`. Service: `POST /bookings`, `GET /stock/...`. For
/// tests: `GET /counters`, `POST /switch`.
class FakeTarget
{
public:
  struct Settings
  {
    std::string listenAddress = "127.0.0.1:0";
    std::string model; ///< Loaded at the start; "": none.
    std::string version;
    Switches switches;
    std::function<void()> die; ///< Ends the process.
  };
  FakeTarget(IoRuntime& runtime, Settings settings);

  [[nodiscard]] Result<void> Start();
  [[nodiscard]] std::string ListenAddress() const { return m_server.ListenAddress(); }
  void Close() { m_server.Close(); }

private:
  /// An event of the engine's cache feed about one prompt block.
  struct CacheEvent
  {
    std::uint64_t sequence = 0;
    std::uint64_t block = 0;
    bool added = true;
    TimePoint visibleAt;
  };

  void OnRequest(HttpRequestIn request);
  void Serve(const HttpRequestIn& request);
  void ServeHealth(const HttpRequestIn& request);
  void ServeCompletion(const HttpRequestIn& request);
  void StreamTokens(ExchangeId exchange,
                    const CompletionCall& call,
                    const std::vector<std::string>& tokens);
  void ServeOrder(const HttpRequestIn& request, bool load);
  void ServeBooking(const HttpRequestIn& request);
  void ServeCounters(const HttpRequestIn& request);
  void ServeSwitch(const HttpRequestIn& request);
  void ServeCacheEvents(const HttpRequestIn& request);
  [[nodiscard]] bool InjectFault(ExchangeId exchange, std::size_t tokens);
  void RecordCachedBlocks(std::string_view prompt);
  void Answer(ExchangeId exchange, unsigned status, std::string json);
  void Sleep(std::uint32_t millis);

  IoRuntime& m_runtime;
  Settings m_settings;
  HttpServer m_server;
  Switches m_switches;
  std::string m_model;
  std::string m_version;
  std::uint64_t m_highestFencing = 0;
  std::uint32_t m_loading = 0;
  std::uint32_t m_running = 0;
  std::set<ExchangeId> m_cancelledExchanges;
  std::map<std::string, std::uint64_t> m_runs;     ///< Completions by request id.
  std::map<std::string, std::uint64_t> m_bookings; ///< Runs by key, or else by body.
  std::uint64_t m_completions = 0;
  std::uint64_t m_cancelled = 0;
  std::uint64_t m_stock = 0;
  std::uint64_t m_orders = 0;
  std::uint64_t m_ordersRefused = 0;
  std::uint64_t m_ordersAtOnce = 0; ///< Largest number of concurrent orders.
  std::uint64_t m_tokens = 0;
  std::set<std::uint64_t> m_cached;
  std::deque<CacheEvent> m_cacheEvents;
  std::uint64_t m_cacheSequence = 0;
};

} // namespace gooseberrysail::fakes
