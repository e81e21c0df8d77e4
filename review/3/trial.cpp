// Case 3: a stream whose replica states no length reaches the client without one too. When the
// process that passes it on is killed, the connection closes in order, and the part that the client
// has looks like the whole stream.

#include "../common/model_replica.hpp"

namespace {

using namespace review;

constexpr int kEntries = 5;
constexpr int kReplicas = 6;
constexpr int kEvents = 29;
constexpr auto kTraffic = 90s;
/// The streams of the site for each replica, for six replicas.
constexpr double kPerSecond = 27;
constexpr int kDeadlineMs = 6000;
/// garble: "unframed", x = 0.05, share = 0.5, for 5 s: the largest dose in the site file.
constexpr double kUnframedShareOfAnswers = 0.05;
constexpr auto kGarbleFor = 5s;
constexpr auto kPause = 500ms;
/// node_kill: one of five entries now and then, which starts again.
constexpr auto kKillEvery = 2750ms;
constexpr auto kRestartAfter = 500ms;

const char* const kKey = "n2ctnfzs989anu6wsjnb";

const std::string kConfig =
  R"({"version":7,"routes":[)"
  R"({"name":"r-ask","host":"ficu95.example","pathPrefix":"/ask/","kind":"stream",)"
  R"("timeoutMs":6000,"targetLatencyMs":300,"priority":1,"service":"hire-assist",)"
  R"("maxAttempts":2,"public":false,"sticky":true,"streamResume":true,"gapTargetMs":200}],)"
  R"("services":[{"name":"hire-assist","healthPath":"/health","maxConns":346,"protocol":"h1",)"
  R"("tls":false,"engine":{"slots":34,"kvCapacityTokens":1860000,"kvTokenBytes":96256,)"
  R"("linkMbps":400000.0,"stride":5,"models":[{"name":"rada7437b5","size":2,"share":1.0,)"
  R"("pace":0.6,"loadS":12.0,"warmS":1.1}],"step_ms":7.8,"per_seq_ms":0.0947,)"
  R"("context_per_k":0.0096,"read_per_s":45900.0,"pairs_per_m":0.433,"chunk":2048,)"
  R"("report_lag_ms":200.0,"loadsPerS":3.0,"loads_at_once":6,"delays":[],)"
  R"("usual":{"prompt":919,"answer":135},"retainCount":1,"far_x":3.0,"formMs":300.0}}],)"
  R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
  R"("idleTimeoutMs":15000},)"
  R"("tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1}]})";

std::string EventFor(const std::string& id, int number)
{
  return "id: " + std::to_string(number) + "\ndata: " + id + " " + std::string(50, 'x') + "\n\n";
}

std::string WholeStream(const std::string& id)
{
  std::string whole;
  for (int number = 1; number <= kEvents; ++number) {
    whole += EventFor(id, number);
  }
  return whole;
}

/// Runs a request: its events one after the other, with a length or until the connection closes.
bool RunStream(ModelReplica& replica,
               Connection& connection,
               const Message& request,
               const std::string& id,
               bool isUnframed,
               Record& record)
{
  const std::string last = request.Find("Last-Event-Id");
  const int first = last.empty() ? 1 : std::stoi(last) + 1;
  record.Write(replica.Name() + ": " + id + " runs from event " + std::to_string(first) +
               (isUnframed ? ", without a length" : ""));
  std::vector<Header> headers = { { "X-Request-Id", id },
                                  { "X-Response-Seal", replica.Name() + "." + id },
                                  { "X-Weight-Versions", "1" },
                                  { "Content-Type", "text/event-stream" } };
  headers.push_back(isUnframed ? Header{ "Connection", "close" }
                               : Header{ "Transfer-Encoding", "chunked" });
  if (!connection.Write(Encode("HTTP/1.1 200 OK", headers, "", false))) {
    return false;
  }
  for (int number = first; number <= kEvents; ++number) {
    std::this_thread::sleep_for(replica.Spec().betweenEvents);
    const std::string event = EventFor(id, number);
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", event.size());
    // A caller that has closed its connection is noticed by the second write at the latest.
    if (replica.IsStopping() || !connection.Write(isUnframed ? event : size + event + "\r\n")) {
      return false;
    }
  }
  if (isUnframed) {
    return false; // Its end is that of the connection.
  }
  return connection.Write("0\r\n\r\n");
}

struct Sums
{
  std::atomic<int> sent = 0;
  std::atomic<int> whole = 0;
  std::atomic<int> visiblyCut = 0;
  std::atomic<int> falselyWhole = 0;
};

void Ask(Cluster& cluster, Record& record, Sums& sums, std::uint64_t seed)
{
  std::mt19937_64 random(seed);
  const auto until = Clock::now() + Millis(kDeadlineMs);
  const int entry = static_cast<int>(random() % kEntries);
  char id[17];
  std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(random()));
  Connection connection = Connection::Open(cluster.EntryHttp(entry), 1s);
  if (!connection.IsOpen()) {
    return;
  }
  ++sums.sent;
  record.Write("client: " + std::string(id) + " sent to entry " + std::to_string(entry));
  const std::string part = std::string(id).substr(0, 8);
  connection.Write(Encode("POST /ask/" + part + " HTTP/1.1",
                          { { "Host", "ficu95.example" },
                            { "X-Request-Id", id },
                            { "X-Model", "rada7437b5" },
                            { "X-Token-Count", "714,145" },
                            { "X-Prompt-Prefix", "5c1e07a2:40," + part + ":674" },
                            { "X-Request-Deadline", std::to_string(kDeadlineMs) },
                            { "Authorization", std::string("Bearer ") + kKey } },
                          "question of " + std::string(id)));
  const ReadResult answer = ReadMessage(connection, true, until);
  if (answer.Status() != 200) {
    record.Write("client: " + std::string(id) + " at entry " + std::to_string(entry) +
                 " answered with " + std::to_string(answer.Status()));
    return;
  }
  const bool looksComplete = answer.end == MessageEnd::kComplete;
  const bool isWhole = answer.message.body == WholeStream(id);
  const std::size_t events = answer.message.body.size() / EventFor(id, 10).size();
  const char* framing = answer.framing == Framing::kUntilClose ? "ended with its connection"
                        : answer.framing == Framing::kChunked  ? "in chunks"
                                                               : "with a length";
  if (looksComplete && isWhole) {
    ++sums.whole;
    record.Write("client: " + std::string(id) + " has a whole 200 " + framing);
  } else if (looksComplete) {
    ++sums.falselyWhole;
    record.Write("ORDER: " + std::string(id) + " at entry " + std::to_string(entry) +
                 ": a 200 " + framing + ", closed in order after some " + std::to_string(events) +
                 " of " + std::to_string(kEvents) + " events");
  } else {
    ++sums.visiblyCut;
    record.Write("client: " + std::string(id) + " at entry " + std::to_string(entry) +
                 ": a 200 " + framing + ", visibly cut after some " + std::to_string(events) +
                 " events");
  }
}

bool Run(Record& record, bool hasTrouble)
{
  const unsigned seed = std::random_device{}();
  record.Write("seed " + std::to_string(seed) + (hasTrouble ? "" : ", without the disruption"));
  Sums sums;
  Cluster cluster(record, 3, kEntries);
  if (cluster.PutConfig(kConfig, 15s) != 200) {
    throw CannotRun("no configuration was acknowledged");
  }
  std::mt19937 draws(seed);
  std::mutex drawsMutex;
  std::atomic<bool> isGarbling = false;
  std::mutex garbledMutex;
  std::set<std::string> garbled;
  const auto run = [&](ModelReplica& replica,
                       Connection& connection,
                       const Message& request,
                       const std::string& id) {
    bool isUnframed = false;
    {
      const std::scoped_lock lock(drawsMutex, garbledMutex);
      isUnframed = isGarbling && garbled.contains(replica.Name()) &&
                   std::uniform_real_distribution<>(0, 1)(draws) < kUnframedShareOfAnswers;
    }
    return RunStream(replica, connection, request, id, isUnframed, record);
  };
  std::vector<std::unique_ptr<ModelReplica>> replicas;
  for (int i = 0; i < kReplicas; ++i) {
    replicas.push_back(std::make_unique<ModelReplica>(
      cluster, record, "i-hire" + std::to_string(i + 1), ModelSpec{}, run));
  }
  const auto heads = [&] {
    std::vector<std::string> names;
    for (const auto& replica : replicas) {
      if (replica->IsOpenHead()) {
        names.push_back(replica->Name());
      }
    }
    return names;
  };
  const auto formed = Clock::now() + 20s;
  while (heads().size() < 2 && Clock::now() < formed) {
    std::this_thread::sleep_for(100ms);
  }
  if (heads().empty() || !cluster.WaitReady(10s)) {
    throw CannotRun("no group opened, or the entries did not get ready");
  }
  std::this_thread::sleep_for(1s);
  std::mt19937_64 random(seed);
  std::vector<std::thread> clients;
  const auto start = Clock::now();
  auto next = start;
  auto restartAt = Clock::time_point::max();
  int killed = -1;
  Clock::duration nextKill = kKillEvery;
  while (next - start < kTraffic) {
    std::this_thread::sleep_until(next);
    const auto since = Clock::now() - start;
    if (hasTrouble) {
      isGarbling = since % (kGarbleFor + kPause) < kGarbleFor;
      {
        const std::scoped_lock lock(garbledMutex);
        // Half of the replicas, the heads of groups first.
        garbled.clear();
        for (const std::string& head : heads()) {
          if (garbled.size() < kReplicas / 2) {
            garbled.insert(head);
          }
        }
      }
      if (since >= nextKill) {
        nextKill += kKillEvery;
        killed = static_cast<int>(random() % kEntries);
        record.Write("trouble: entry " + std::to_string(killed) + " is killed");
        cluster.Entry(killed).Kill();
        restartAt = Clock::now() + kRestartAfter;
      }
      if (Clock::now() >= restartAt) {
        restartAt = Clock::time_point::max();
        cluster.Entry(killed).Start();
      }
    }
    clients.emplace_back([&, own = random()] { Ask(cluster, record, sums, own); });
    next += std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(std::exponential_distribution<>(kPerSecond)(random)));
  }
  for (std::thread& client : clients) {
    client.join();
  }
  record.Write("sum: " + std::to_string(sums.sent) + " requests sent, " +
               std::to_string(sums.whole) + " whole, " + std::to_string(sums.visiblyCut) +
               " visibly cut, " + std::to_string(sums.falselyWhole) +
               " cut that look complete");
  return sums.falselyWhole > 0;
}

} // namespace

int main(int argc, char** argv)
{
  return RunTrial(argc, argv, Run);
}
