#include "support/descriptor_limit.hpp"
#include "support/flood.hpp"
#include "support/memory_watch.hpp"
#include "support/section.hpp"
#include "support/serving_installation.hpp"

#include <optional>
#include <thread>

namespace gooseberrysail::test {
namespace {

using namespace std::chrono_literals;
using tests::Flood;
using tests::FloodInput;

constexpr std::size_t kKibi = 1024;
constexpr std::size_t kMebi = 1024 * kKibi;

/// The memory of the machines on which entries and control run.
constexpr std::size_t kEntryMemory = std::size_t{ 160 } * 1000 * 1000;
constexpr std::size_t kControlMemory = std::size_t{ 256 } * 1000 * 1000;

constexpr std::size_t kEntryBody = 4 * kMebi;
constexpr std::size_t kControlBody = 8 * kMebi;

/// Connections, each with a request of the largest size.
constexpr std::size_t kCrowd = 48;
/// Connections that send far more than that.
constexpr std::size_t kEndlessCrowd = 16;
constexpr std::size_t kEndlessBytes = 32 * kMebi;
/// An ordinary caller who is turned away asks again.
constexpr int kAttempts = 20;
constexpr auto kRetryAfter = 50ms;

/// Where the connections of a flood go.
enum class Port
{
  kCallers,
  kReadiness,
  kEntryMetrics,
  kControl,
  kControlMetrics,
};

constexpr std::array kEveryPort{ Port::kCallers,
                                 Port::kReadiness,
                                 Port::kEntryMetrics,
                                 Port::kControl,
                                 Port::kControlMetrics };

std::string NameOf(Port port)
{
  constexpr std::array<const char*, kEveryPort.size()> kNames{ "the callers' port",
                                                               "the readiness port",
                                                               "the metrics of an entry",
                                                               "control's port",
                                                               "the metrics of control" };
  return kNames.at(static_cast<std::size_t>(port));
}

bool IsControl(Port port)
{
  return port == Port::kControl || port == Port::kControlMetrics;
}

/// The largest body that the port takes by its settings.
std::size_t LargestBody(Port port)
{
  return port == Port::kCallers ? kEntryBody : kControlBody;
}

std::string LimitsAndMetrics(std::size_t maxBody, const std::string& metrics)
{
  return "[limits]\nmaxBodyBytes = " + std::to_string(maxBody) +
         "\n[observe]\nmetricsListen = " + metrics + "\n";
}

/// \brief An installation of which one process is flooded.
class FloodedInstallation
{
public:
  FloodedInstallation()
    : m_entryMetrics(FreeAddress())
    , m_controlMetrics(FreeAddress())
    , serving(kServingConfig,
              { .control = LimitsAndMetrics(kControlBody, m_controlMetrics),
                .entry = LimitsAndMetrics(kEntryBody, m_entryMetrics) })
  {
  }

  [[nodiscard]] std::string AddressOf(Port port) const
  {
    switch (port) {
      case Port::kCallers:
        return serving.site.entryHttp;
      case Port::kReadiness:
        return serving.site.ready;
      case Port::kEntryMetrics:
        return m_entryMetrics;
      case Port::kControl:
        return serving.site.controlHttp;
      case Port::kControlMetrics:
        return m_controlMetrics;
    }
    return "";
  }

  /// \brief Floods a port and expects that its process stays within its machine's memory, and that
  /// an ordinary request is answered while the connections stay open.
  void Expect(Port port, std::size_t connections, const FloodInput& input)
  {
    ChildProcess& process = IsControl(port) ? *serving.site.control : *serving.site.entry;
    MemoryWatch watch(process.Pid(),
                      { serving.site.entryHttp,
                        serving.site.ready,
                        m_entryMetrics,
                        serving.site.controlHttp,
                        m_controlMetrics });
    std::optional<Flood> flood(std::in_place, AddressOf(port), connections, input);
    flood->WaitUntilSent();
    EXPECT_TRUE(IsOrdinaryRequestAnswered(port));
    watch.Stop();
    ::testing::Test::RecordProperty("bytes at " + NameOf(port), std::to_string(watch.MostBytes()));
    EXPECT_TRUE(process.Running());
    EXPECT_LE(watch.MostBytes(), IsControl(port) ? kControlMemory : kEntryMemory)
      << watch.Most().residentBytes << " resident, " << watch.Most().socketBytes
      << " in sockets, after " << flood->SentBytes() << " bytes";
  }

  /// \brief Asks as an ordinary caller of a port does, again if it is turned away.
  [[nodiscard]] bool IsOrdinaryRequestAnswered(Port port)
  {
    for (int attempt = 0; attempt < kAttempts; ++attempt) {
      if (Ask(port) == 200) {
        return true;
      }
      std::this_thread::sleep_for(kRetryAfter);
    }
    return false;
  }

private:
  unsigned Ask(Port port)
  {
    switch (port) {
      case Port::kCallers:
        return serving.Ask("sound").status;
      case Port::kReadiness:
        return serving.site.Readiness();
      case Port::kControl:
        return serving.site.CallControl("GET", "").status;
      case Port::kEntryMetrics:
      case Port::kControlMetrics:
        break;
    }
    return Call({ .address = AddressOf(port), .target = "/metrics", .timeout = 5s }).status;
  }

  std::string m_entryMetrics;
  std::string m_controlMetrics;

public:
  ServingInstallation serving;
};

/// The head of a request that is an ordinary one at the port.
std::string HeadFor(Port port, const std::string& framing, const std::string& path = "/a/x")
{
  const std::string line = port == Port::kControl ? "PUT /api/config" : "POST " + path;
  return line + " HTTP/1.1\r\nHost: hire.example\r\nX-Request-Id: flood\r\n" +
         "Authorization: Bearer key-of-t1\r\n" + framing + "\r\n\r\n";
}

std::string Chunk(std::size_t size)
{
  std::ostringstream chunk;
  chunk << std::hex << size << "\r\n" << std::string(size, 'x') << "\r\n";
  return chunk.str();
}

/// A chunked body of the largest size for the port that stops short of its end.
FloodInput UnfinishedChunks(Port port, std::size_t chunkSize)
{
  const std::string chunk = Chunk(chunkSize);
  const std::size_t chunks = LargestBody(port) / chunkSize;
  return { .begin = HeadFor(port, "Transfer-Encoding: chunked"),
           .repeated = chunk,
           .bytes = chunks * chunk.size() - 3 };
}

void ExpectAtEveryPort(std::size_t connections, const std::function<FloodInput(Port)>& makeInput)
{
  for (const Port port : kEveryPort) {
    SECTION(NameOf(port))
    {
      FloodedInstallation installation;
      installation.serving.WaitUntilServed();
      installation.Expect(port, connections, makeInput(port));
    }
  }
}

void ExpectAtCallers(std::size_t connections, const FloodInput& input)
{
  FloodedInstallation installation;
  installation.serving.WaitUntilServed();
  installation.Expect(Port::kCallers, connections, input);
}

// Guards against a process that keeps all of a trailer section until its end.
TEST(Flood, TrailersWithoutEnd)
{
  ExpectAtEveryPort(kEndlessCrowd, [](Port port) {
    return FloodInput{ .begin = HeadFor(port, "Transfer-Encoding: chunked") + "5\r\nwhole\r\n0\r\n",
                       .repeated = "X-Trailer: " + std::string(1000, 'x') + "\r\n",
                       .bytes = kEndlessBytes };
  });
}

// Guards against a process that keeps all of a chunk's extensions until their end.
TEST(Flood, ExtensionsWithoutEnd)
{
  ExpectAtEveryPort(kEndlessCrowd, [](Port port) {
    return FloodInput{ .begin = HeadFor(port, "Transfer-Encoding: chunked") + "5",
                       .repeated = ";name=" + std::string(1000, 'x'),
                       .bytes = kEndlessBytes };
  });
}

// Guards against a process whose memory is used up by requests that stop short of their end.
TEST(Flood, UnfinishedChunkedBodies)
{
  ExpectAtEveryPort(kCrowd, [](Port port) { return UnfinishedChunks(port, 64 * kKibi); });
}

// Guards against the same, in chunks that cost more than their bytes.
TEST(Flood, UnfinishedBodiesInSmallChunks)
{
  ExpectAtCallers(kCrowd, UnfinishedChunks(Port::kCallers, 16));
}

// Guards against the same, with the length of the body announced.
TEST(Flood, UnfinishedBodiesOfAnnouncedLength)
{
  ExpectAtEveryPort(kCrowd, [](Port port) {
    const std::size_t size = LargestBody(port);
    return FloodInput{ .begin = HeadFor(port, "Content-Length: " + std::to_string(size)),
                       .repeated = "x",
                       .bytes = size - 1 };
  });
}

// Guards against a process that takes in bodies over the limit, or keeps what it rejects.
TEST(Flood, BodiesOverTheLimit)
{
  SECTION("announced")
  {
    ExpectAtCallers(kEndlessCrowd,
                    { .begin = HeadFor(Port::kCallers, "Content-Length: 10000000000"),
                      .repeated = "x",
                      .bytes = kEndlessBytes });
  }
  SECTION("just sent")
  {
    ExpectAtEveryPort(kCrowd, [](Port port) {
      return FloodInput{ .begin = HeadFor(port, "Transfer-Encoding: chunked"),
                         .repeated = Chunk(64 * kKibi),
                         .bytes = kEndlessBytes };
    });
  }
}

// Guards against an entry whose memory is used up by whole requests that wait or run.
TEST(Flood, WholeBodiesAtTargetsThatDoNotAnswer)
{
  FloodedInstallation installation;
  for (const auto& replica : installation.serving.replicas) {
    replica->SetSlots(2 * kCrowd);
  }
  installation.serving.WaitUntilServed();
  for (const auto& replica : installation.serving.replicas) {
    replica->FallSilentFor(4s);
  }
  installation.Expect(
    Port::kCallers,
    2 * kCrowd,
    { .begin = HeadFor(Port::kCallers, "Content-Length: " + std::to_string(kEntryBody)),
      .repeated = "x",
      .bytes = kEntryBody });
}

// Guards against an entry whose memory is used up by answers that their callers don't read.
TEST(Flood, AnswersThatAreNotRead)
{
  FloodedInstallation installation;
  for (const auto& replica : installation.serving.replicas) {
    replica->SetAnswer("/a/large", std::string(kEntryBody - 100 * kKibi, 'x'));
  }
  installation.serving.WaitUntilServed();
  installation.Expect(Port::kCallers,
                      kCrowd,
                      { .begin = HeadFor(Port::kCallers, "Content-Length: 0", "/a/large"),
                        .repeated = "",
                        .bytes = 0,
                        .readsAnswers = false });
}

// Guards against an entry that reads ahead, or leaves in its sockets, more than its machine bears.
TEST(Flood, PipelinedRequestsWithoutReadingAnswers)
{
  constexpr std::size_t kBody = 60'000;
  ExpectAtCallers(
    kCrowd,
    { .begin = "",
      .repeated = HeadFor(Port::kCallers, "Content-Length: " + std::to_string(kBody)) +
                  std::string(kBody, 'x'),
      .bytes = kEndlessBytes,
      .readsAnswers = false });
}

// Guards against an entry that serves nobody once unfinished requests hold all its descriptors.
TEST(Flood, UnfinishedRequestsOnAllDescriptors)
{
  constexpr rlim_t kDescriptors = 300;
  constexpr std::size_t kConnections = 320;
  constexpr std::size_t kBody = 2000;
  std::optional<FloodedInstallation> installation;
  {
    const DescriptorLimit low(kDescriptors);
    installation.emplace();
  }
  installation->serving.WaitUntilServed();
  installation->Expect(
    Port::kCallers,
    kConnections,
    { .begin = HeadFor(Port::kCallers, "Content-Length: " + std::to_string(kBody)),
      .repeated = "x",
      .bytes = kBody - 1 });
}

} // namespace
} // namespace gooseberrysail::test
