// Measures the cost of an entry's role at several sizes: processor time and bytes per request, and
// memory per request in flight, each with a linear fit. Sockets and HTTP are not included.
#include "gooseberrysail/roles/entry_role.hpp"
#include "gooseberrysail/wire/envelope.hpp"
#include "linear_fit.hpp"
#include "support/entry_fixture.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <malloc.h>
#include <string>
#include <vector>

namespace gooseberrysail {
namespace {

constexpr std::size_t kBodyBytes = 2048;
constexpr std::size_t kFrames = 20;
constexpr std::size_t kFrameBytes = 64;
constexpr Duration kRunTime = std::chrono::seconds(10);
constexpr std::size_t kMaxInFlight = 100'000;
constexpr std::size_t kRequestsPerGroup = 32;
constexpr double kLengthPrefix = 4;
const std::string kAgent = "agent-1";
const std::string kControl = "control-1";

struct Sample
{
  double requests = 0;
  double cpuMicros = 0;
  double bytesSent = 0;     ///< In frames to the agent.
  double bytesReceived = 0; ///< In frames from the agent.
  double heapBytes = 0;     ///< With all requests in flight.
  double recordBytes = 0;   ///< With all requests finished and kept as records.
};

double CpuMicros()
{
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

double HeapBytes()
{
  return static_cast<double>(mallinfo2().uordblks);
}

/// Routes to enough groups that admission accepts all requests at once.
wire::RoutesUpdateT MakeRoutes(std::size_t groups)
{
  wire::RoutesUpdateT update;
  update.whole = true;
  for (std::size_t group = 1; group <= groups; ++group) {
    auto route = std::make_unique<wire::RouteT>();
    route->group = group;
    route->epoch = group;
    route->entry = "hire-assist";
    route->head = kAgent;
    update.routes.push_back(std::move(route));
  }
  return update;
}

template<class MessageT>
FrameIn MakeFrame(const std::string& peer, MessageT message)
{
  const Incarnation incarnation(peer == kAgent ? 3 : 1);
  return FrameIn{ ProcessId(peer), incarnation, MakeEnvelope(std::move(message)) };
}

/// \brief An entry role; only the processor time of its ticks is counted.
class Entry
{
public:
  explicit Entry(std::size_t requests)
    : m_step(kRunTime / (requests * (kFrames + 1)))
    , m_role(MakeSettings(), RoleHooks{ [this] { return ++m_random; }, [] { return 1; } })
  {
    Deliver(PeerUp{ ProcessId(kControl), "control", Incarnation(1), "" });
    Deliver(PeerUp{ ProcessId(kAgent), "agent", Incarnation(3), "" });
    Deliver(MakeFrame(kControl, MakeRoutes(requests / kRequestsPerGroup + 1)));
  }

  void Deliver(EntryInput input)
  {
    m_now += m_step;
    m_inbox.clear();
    m_inbox.push_back(std::move(input));
    while (!m_inbox.empty()) {
      m_outbox.clear();
      const double before = CpuMicros();
      m_role.Tick(m_now, m_inbox, m_outbox);
      cpuMicros += CpuMicros() - before;
      m_inbox.clear();
      HandleOutputs();
    }
  }

  /// \brief Frees the buffers of this fixture, so that they don't count as memory of the role.
  void FreeBuffers()
  {
    m_inbox = {};
    m_outbox = {};
  }

  double cpuMicros = 0;
  double bytesSent = 0;
  std::size_t ended = 0;

private:
  static EntrySettings MakeSettings()
  {
    EntrySettings settings;
    settings.process = ProcessId("entry-1");
    settings.incarnation = Incarnation(7);
    settings.controls = { { ProcessId(kControl), "" } };
    settings.maxInFlight = kMaxInFlight;
    settings.maxRecords = kMaxInFlight;
    return settings;
  }

  void HandleOutputs()
  {
    for (const EntryOutput& output : m_outbox) {
      if (const auto* answer = std::get_if<HttpAnswerOut>(&output)) {
        ended += answer->end && answer->status.value_or(200) == 200 ? 1 : 0;
      }
      const auto* frame = std::get_if<FrameOut>(&output);
      if (frame == nullptr) {
        continue;
      }
      if (frame->peer.Get() == kAgent) {
        bytesSent += static_cast<double>(EncodeEnvelope(*frame->envelope).size()) + kLengthPrefix;
      } else if (const auto* query = frame->envelope->body.AsConfigQuery()) {
        wire::ConfigStateT state = test::MakeCatalogueState(40);
        state.nonce = query->nonce;
        m_inbox.emplace_back(MakeFrame(kControl, std::move(state)));
      }
    }
  }

  Duration m_step;
  TimePoint m_now{ std::chrono::seconds(100) };
  std::uint64_t m_random = 0;
  EntryRole m_role;
  std::vector<EntryInput> m_inbox;
  std::vector<EntryOutput> m_outbox;
};

HttpRequestIn MakeCall(std::size_t number)
{
  HttpRequestIn http;
  http.exchange = ExchangeId(number);
  http.method = "POST";
  http.target = "/v1/chat/completions";
  http.headers = { { "Authorization", "Bearer " + std::string(test::kToken) },
                   { "Content-Type", "application/json" },
                   { "User-Agent", "hire-desk/4.2" } };
  http.body = R"({"model":"hire-assist","stream":true,"messages":[{"role":"user","content":")";
  http.body += std::string(kBodyBytes - http.body.size() - 4, 'x') + R"("}]})";
  return http;
}

wire::OutputT MakePart(std::size_t number, std::size_t frame)
{
  wire::OutputT output = test::MakeOutput("entry-1.7." + std::to_string(number),
                                          1,
                                          frame * kFrameBytes,
                                          std::string(kFrameBytes, 'y'),
                                          frame == 0 ? 200 : 0,
                                          frame + 1 == kFrames);
  if (frame == 0) {
    output.headers.push_back(test::MakeWireHeader("Content-Type", "text/event-stream"));
  }
  return output;
}

Sample Measure(std::size_t requests)
{
  Sample sample;
  sample.requests = static_cast<double>(requests);
  Entry entry(requests);
  entry.FreeBuffers();
  const double heapBefore = HeapBytes();
  entry.cpuMicros = 0;
  for (std::size_t number = 1; number <= requests; ++number) {
    entry.Deliver(MakeCall(number));
  }
  entry.FreeBuffers();
  sample.heapBytes = HeapBytes() - heapBefore;
  for (std::size_t frame = 0; frame < kFrames; ++frame) {
    for (std::size_t number = 1; number <= requests; ++number) {
      FrameIn arrival = MakeFrame(kAgent, MakePart(number, frame));
      sample.bytesReceived +=
        static_cast<double>(EncodeEnvelope(*arrival.envelope).size()) + kLengthPrefix;
      entry.Deliver(std::move(arrival));
    }
  }
  entry.FreeBuffers();
  sample.recordBytes = HeapBytes() - heapBefore;
  sample.cpuMicros = entry.cpuMicros;
  sample.bytesSent = entry.bytesSent;
  if (entry.ended != requests) {
    std::printf("only %zu of %zu requests got a complete answer\n", entry.ended, requests);
    std::exit(1);
  }
  return sample;
}

void PrintFit(const char* what,
              const char* unit,
              const std::vector<Sample>& samples,
              const std::function<double(const Sample&)>& value)
{
  std::vector<bench::FitPoint> points;
  for (const Sample& sample : samples) {
    points.push_back({ static_cast<double>(sample.requests), value(sample) });
  }
  const bench::LinearFit fit = bench::FitLine(points);
  double worst = 0;
  for (const bench::FitPoint& point : points) {
    worst = std::max(worst, fit.Residual(point) / point.y);
  }
  std::printf("%-34s %10.2f %s per request, offset %.0f, largest residual %.1f%%\n",
              what,
              fit.slope,
              unit,
              fit.offset,
              worst * 100);
}

int Run()
{
  std::printf("entry role: %zu-byte bodies, %zu frames of %zu bytes per answer, 10 s per run\n",
              kBodyBytes,
              kFrames,
              kFrameBytes);
  std::printf("%9s %12s %12s %12s %12s %12s\n",
              "requests",
              "CPU us/req",
              "sent B/req",
              "recv B/req",
              "heap B/req",
              "record B/req");
  std::vector<Sample> samples;
  Measure(100); // Warms up the allocator and the caches.
  for (const std::size_t requests : { 125, 250, 500, 1000, 2000 }) {
    const Sample sample = Measure(requests);
    samples.push_back(sample);
    std::printf("%9zu %12.1f %12.0f %12.0f %12.0f %12.0f\n",
                requests,
                sample.cpuMicros / sample.requests,
                sample.bytesSent / sample.requests,
                sample.bytesReceived / sample.requests,
                sample.heapBytes / sample.requests,
                sample.recordBytes / sample.requests);
  }
  PrintFit("processor time", "us", samples, [](const Sample& s) { return s.cpuMicros; });
  PrintFit("bytes to the agent", "B", samples, [](const Sample& s) { return s.bytesSent; });
  PrintFit("bytes from the agent", "B", samples, [](const Sample& s) { return s.bytesReceived; });
  PrintFit("memory in flight", "B", samples, [](const Sample& s) { return s.heapBytes; });
  PrintFit(
    "memory of a finished record", "B", samples, [](const Sample& s) { return s.recordBytes; });
  return 0;
}

} // namespace
} // namespace gooseberrysail

int main()
{
  return gooseberrysail::Run();
}
