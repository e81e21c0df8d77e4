/// \file Measures the cost of an agent at several sizes: processor time and bytes for the
/// heartbeats and reports of a head and of a member, processor time and memory for requests. Prints
/// tables, a least-squares fit and its largest residual. Runs the real role under scripted time,
/// without sockets.

#include "linear_fit.hpp"
#include "support/agent_harness.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <malloc.h>
#include <string>
#include <vector>

namespace {

using namespace gooseberrysail;
using test::AgentHarness;

constexpr std::size_t kFramePrefixBytes = 4;
constexpr int kIdleSeconds = 60;
constexpr double kNanosPerMicro = 1000.0;

double CpuMicros()
{
  timespec spent{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
  return static_cast<double>(spent.tv_sec) * 1e6 +
         static_cast<double>(spent.tv_nsec) / kNanosPerMicro;
}

/// Measures the processor time of the role alone and the bytes of all frames but those of entries.
class Meter
{
public:
  explicit Meter(AgentHarness& agent)
  {
    agent.beforeTick = [this] { m_tickStart = CpuMicros(); };
    agent.afterTick = [this] { cpuMicros += CpuMicros() - m_tickStart; };
    agent.onOutput = [this](TimePoint, const AgentOutput& output) {
      if (const auto* frame = std::get_if<FrameOut>(&output)) {
        Count(frame->peer, *frame->envelope);
      }
    };
    agent.onInput = [this](TimePoint, const AgentInput& input) {
      if (const auto* frame = std::get_if<FrameIn>(&input)) {
        Count(frame->peer, *frame->envelope);
      }
    };
  }

  double cpuMicros = 0;
  std::size_t controlBytes = 0;
  std::size_t frames = 0;

private:
  void Count(const ProcessId& peer, const wire::EnvelopeT& envelope)
  {
    if (!peer.Get().starts_with("entry")) {
      controlBytes += EncodeEnvelope(envelope).size() + kFramePrefixBytes;
      ++frames;
    }
  }
  double m_tickStart = 0;
};

using gooseberrysail::bench::FitPoint;

void PrintFit(const char* what, const char* unit, const std::vector<FitPoint>& points)
{
  const auto fit = gooseberrysail::bench::FitLine(points);
  std::printf("%s: %.4g + %.4g x size %s, largest residual %.3g\n",
              what,
              fit.offset,
              fit.slope,
              unit,
              gooseberrysail::bench::LargestResidual(fit, points));
}

void MeasureIdleHeads()
{
  std::printf("head of a group, idle, %d s\n%8s %14s %14s %12s\n",
              kIdleSeconds,
              "members",
              "control B/s",
              "frames/s",
              "cpu us/s");
  std::vector<FitPoint> bytes;
  std::vector<FitPoint> cpu;
  for (const std::size_t members : { 1, 2, 4, 8, 16 }) {
    AgentHarness agent({ .members = members });
    agent.FormGroup(7);
    Meter meter(agent);
    agent.Advance(std::chrono::seconds(kIdleSeconds));
    const double bytesPerSecond = static_cast<double>(meter.controlBytes) / kIdleSeconds;
    const double cpuPerSecond = meter.cpuMicros / kIdleSeconds;
    std::printf("%8zu %14.1f %14.2f %12.1f\n",
                members,
                bytesPerSecond,
                static_cast<double>(meter.frames) / kIdleSeconds,
                cpuPerSecond);
    bytes.push_back({ static_cast<double>(members), bytesPerSecond });
    cpu.push_back({ static_cast<double>(members), cpuPerSecond });
  }
  PrintFit("control bytes of a head", "B/s", bytes);
  PrintFit("cpu of a head", "us/s", cpu);
}

void MeasureIdleMember()
{
  std::printf("\nmember of a group of 4, by heartbeat requests per second, %d s\n%8s %14s %12s\n",
              kIdleSeconds,
              "beats/s",
              "control B/s",
              "cpu us/s");
  std::vector<FitPoint> bytes;
  std::vector<FitPoint> cpu;
  for (const int beatsPerSecond : { 1, 2, 4, 10 }) {
    AgentHarness agent;
    agent.Advance(std::chrono::seconds(1));
    agent.Assign(7, "vm-2");
    agent.Advance(std::chrono::seconds(2));
    Meter meter(agent);
    wire::BeatRequestT beat;
    beat.group = 5;
    beat.epoch = 7;
    beat.configVersion = 1;
    for (int sent = 0; sent < kIdleSeconds * beatsPerSecond; ++sent) {
      beat.nonce = 0x123456789abcdefU + static_cast<std::uint64_t>(sent);
      agent.Frame("agent-vm-2", beat);
      agent.Advance(std::chrono::milliseconds(1000 / beatsPerSecond));
    }
    const double bytesPerSecond = static_cast<double>(meter.controlBytes) / kIdleSeconds;
    const double cpuPerSecond = meter.cpuMicros / kIdleSeconds;
    std::printf("%8d %14.1f %12.1f\n", beatsPerSecond, bytesPerSecond, cpuPerSecond);
    bytes.push_back({ static_cast<double>(beatsPerSecond), bytesPerSecond });
    cpu.push_back({ static_cast<double>(beatsPerSecond), cpuPerSecond });
  }
  PrintFit("control bytes of a member by beats/s", "B/s", bytes);
  PrintFit("cpu of a member by beats/s", "us/s", cpu);
}

std::string RequestName(std::size_t index)
{
  return "entry-1.1700000000000." + std::to_string(index);
}

void MeasureInFlight()
{
  constexpr std::size_t kUnacknowledgedBytes = 1024;
  std::printf("\nrequests in flight, each with %zu B of unacknowledged answer\n%8s %14s\n",
              kUnacknowledgedBytes,
              "requests",
              "heap bytes");
  std::vector<FitPoint> memory;
  for (const std::size_t requests : { 0, 125, 250, 500, 1000 }) {
    AgentHarness agent({ .maxConcurrent = 2000 });
    agent.FormGroup(7);
    const auto before = mallinfo2().uordblks;
    for (std::size_t index = 0; index < requests; ++index) {
      agent.Start(RequestName(index));
      agent.AnswerCall(RequestName(index), std::string(kUnacknowledgedBytes, 'x'), false);
      agent.ClearSent();
    }
    agent.Advance(std::chrono::milliseconds(50));
    agent.ClearSent();
    const double grown = static_cast<double>(mallinfo2().uordblks) - static_cast<double>(before);
    std::printf("%8zu %14.0f\n", requests, grown);
    memory.push_back({ static_cast<double>(requests), grown });
  }
  PrintFit("heap by requests in flight (including the records of the test harness)", "B", memory);
}

void MeasureRequests()
{
  constexpr std::size_t kRequests = 500;
  std::printf("\ncpu of one request by parts of its answer, %zu sequential requests\n"
              "%8s %16s\n",
              kRequests,
              "parts",
              "cpu us/request");
  std::vector<FitPoint> cpu;
  for (const std::size_t parts : { 1, 16, 64, 256 }) {
    AgentHarness agent;
    agent.FormGroup(7);
    Meter meter(agent);
    for (std::size_t index = 0; index < kRequests; ++index) {
      const std::string name = RequestName(index);
      agent.Start(name);
      for (std::size_t part = 1; part <= parts; ++part) {
        agent.AnswerCall(name, std::string(100, 'x'), part == parts, part == 1);
      }
      agent.Acknowledge(name, parts * 100, true);
      agent.ClearSent();
    }
    const double each = meter.cpuMicros / kRequests;
    std::printf("%8zu %16.2f\n", parts, each);
    cpu.push_back({ static_cast<double>(parts), each });
  }
  PrintFit("cpu of a request", "us", cpu);
}

} // namespace

int main()
{
  MeasureIdleHeads();
  MeasureIdleMember();
  MeasureInFlight();
  MeasureRequests();
}
