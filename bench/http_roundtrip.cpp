// Measures the cost of the HTTP server: memory of open connections, processor time and latency of
// plain and of streamed answers. The callers run in a child process, so that the figures cover the
// server alone.

#include "cost_meter.hpp"
#include "gooseberrysail/http/http_client.hpp"
#include "gooseberrysail/http/http_server.hpp"
#include "gooseberrysail/shell/clock.hpp"
#include "linear_fit.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <memory>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace gooseberrysail {
namespace {

constexpr std::array<std::size_t, 4> kConnections{ 50, 100, 200, 400 };
constexpr std::size_t kSequentialRequests = 10000;
constexpr std::size_t kConcurrentRequests = 40000;
constexpr std::size_t kCallers = 32;
constexpr std::size_t kStreams = 2000;
constexpr std::size_t kPartsPerStream = 100;
constexpr Duration kTimeout = std::chrono::seconds(60);

using bench::FitLine;
using bench::FitPoint;
using bench::Micros;
using bench::ProcessorTime;
using bench::ResidentKilobytes;

// Runs in the child process: makes the calls of each phase, and announces it by `/phase/...`.
class Callers
{
public:
  explicit Callers(std::string address)
    : m_address(std::move(address))
    , m_client(m_runtime, MakeSettings())
  {
  }

  void Run()
  {
    OpenConnections();
    Call("/phase/one");
    std::vector<double> micros;
    for (std::size_t i = 0; i < kSequentialRequests; ++i) {
      const TimePoint sent = BootNow();
      Call("/whole");
      micros.push_back(Micros(BootNow() - sent));
    }
    std::sort(micros.begin(), micros.end());
    Call("/phase/together");
    CallConcurrently(kConcurrentRequests, "/whole");
    Call("/phase/streams");
    CallConcurrently(kStreams, "/stream");
    Call("/phase/end");
    std::printf("round trip of one request at a time: p50 %.1f us, p99 %.1f us\n",
                micros[micros.size() / 2],
                micros[micros.size() * 99 / 100]);
    std::fflush(stdout);
  }

private:
  static HttpClientSettings MakeSettings()
  {
    HttpClientSettings settings;
    settings.maxIdlePerAddress = 1000;
    settings.idleTimeout = kTimeout;
    return settings;
  }

  void Call(const std::string& path)
  {
    const auto reply = m_client.Fetch(m_address, "POST", path, {}, "prompt", kTimeout);
    if (!reply) {
      std::fprintf(stderr, "%s failed: %s\n", path.c_str(), ToString(reply.error()).c_str());
      std::_Exit(1);
    }
  }

  // The server answers these calls only when all have arrived, so that each needs its own
  // connection.
  void OpenConnections()
  {
    for (const std::size_t count : kConnections) {
      std::size_t running = count;
      Signal ended;
      for (std::size_t i = 0; i < count; ++i) {
        m_runtime.Spawn([&, count] {
          Call("/hold/" + std::to_string(count));
          --running;
          ended.Notify();
        });
      }
      while (running > 0) {
        ended.Wait();
      }
    }
  }

  void CallConcurrently(std::size_t calls, const std::string& path)
  {
    std::size_t running = kCallers;
    std::size_t left = calls;
    Signal ended;
    for (std::size_t i = 0; i < kCallers; ++i) {
      m_runtime.Spawn([&] {
        while (left > 0) {
          --left;
          Call(path);
        }
        --running;
        ended.Notify();
      });
    }
    while (running > 0) {
      ended.Wait();
    }
  }

  IoRuntime m_runtime;
  std::string m_address;
  HttpClient m_client;
};

class MeasuredServer
{
public:
  MeasuredServer()
    : m_server(m_runtime, MakeSettings(), MakeHooks())
  {
    m_started = m_server.Start().has_value();
  }

  [[nodiscard]] bool Started() const { return m_started; }
  [[nodiscard]] std::string Address() const { return m_server.ListenAddress(); }
  void Run() { m_runtime.Run(); }

private:
  static HttpServerSettings MakeSettings()
  {
    HttpServerSettings settings;
    settings.listenAddress = "127.0.0.1:0";
    return settings;
  }

  HttpServerHooks MakeHooks()
  {
    HttpServerHooks hooks;
    hooks.onRequest = [this](const HttpRequestIn& request) { HandleRequest(request); };
    return hooks;
  }

  void Answer(ExchangeId exchange, std::size_t bytes, bool end)
  {
    HttpAnswerOut part;
    part.exchange = exchange;
    part.status = 200;
    part.headers.push_back(HttpHeader{ "Content-Type", "application/json" });
    part.bytes.assign(bytes, 'x');
    part.end = end;
    m_server.Send(std::move(part));
  }

  void HandleRequest(const HttpRequestIn& request)
  {
    if (request.target.starts_with("/hold/")) {
      Hold(request);
    } else if (request.target.starts_with("/phase/")) {
      EndPhase(request);
    } else if (request.target == "/stream") {
      m_runtime.Spawn([this, exchange = request.exchange] { Stream(exchange); });
    } else {
      ++m_requests;
      Answer(request.exchange, 200, true);
    }
  }

  // Sends one part per millisecond, as a model produces one token after another.
  void Stream(ExchangeId exchange)
  {
    ++m_requests;
    for (std::size_t i = 1; i <= kPartsPerStream; ++i) {
      Answer(exchange, 64, i == kPartsPerStream);
      m_runtime.SleepFor(std::chrono::milliseconds(1));
    }
  }

  void Hold(const HttpRequestIn& request)
  {
    m_held.push_back(request.exchange);
    const std::size_t expected = std::stoul(request.target.substr(6));
    if (m_held.size() < expected) {
      return;
    }
    const double resident = ResidentKilobytes();
    std::printf("%zu exchanges open: %.0f KB resident\n", expected, resident);
    m_points.push_back({ static_cast<double>(expected), resident });
    for (const ExchangeId exchange : m_held) {
      Answer(exchange, 200, true);
    }
    m_held.clear();
    if (expected == kConnections.back()) {
      std::printf("slope for one more open exchange: %.1f KB\n", FitLine(m_points).slope);
    }
  }

  void EndPhase(const HttpRequestIn& request)
  {
    const Duration used = ProcessorTime() - m_processorTimeBefore;
    const double seconds = Micros(BootNow() - m_phaseStart) / 1e6;
    if (m_requests > 0) {
      std::printf("%-10s %8.0f requests/s, %7.2f us of processor time each\n",
                  m_phase.c_str(),
                  static_cast<double>(m_requests) / seconds,
                  Micros(used) / static_cast<double>(m_requests));
    }
    std::fflush(stdout);
    m_phase = request.target.substr(7);
    m_requests = 0;
    m_processorTimeBefore = ProcessorTime();
    m_phaseStart = BootNow();
    Answer(request.exchange, 2, true);
    if (m_phase == "end") {
      m_runtime.Spawn([this] {
        m_server.StopAccepting();
        m_server.WaitDrained(kTimeout);
        m_runtime.Stop();
      });
    }
  }

  IoRuntime m_runtime;
  bool m_started = false;
  std::vector<ExchangeId> m_held;
  std::vector<FitPoint> m_points;
  std::string m_phase;
  std::size_t m_requests = 0;
  Duration m_processorTimeBefore{};
  TimePoint m_phaseStart{};
  HttpServer m_server;
};

int RunCallers(int pipe)
{
  std::array<char, 64> address{};
  const ssize_t size = read(pipe, address.data(), address.size());
  if (size <= 0) {
    return 1;
  }
  Callers callers(std::string(address.data(), static_cast<std::size_t>(size)));
  callers.Run();
  return 0;
}

} // namespace
} // namespace gooseberrysail

int main()
{
  std::array<int, 2> ends{};
  if (pipe(ends.data()) != 0) {
    return 1;
  }
  const pid_t child = fork();
  if (child == 0) {
    return gooseberrysail::RunCallers(ends[0]);
  }
  gooseberrysail::MeasuredServer server;
  const std::string address = server.Address();
  if (!server.Started() || write(ends[1], address.data(), address.size()) < 0) {
    return 1;
  }
  server.Run();
  int status = 0;
  waitpid(child, &status, 0);
  return status;
}
