// Case 2: a late second copy of a refusal is taken for the answer to the next request on the
// connection, which is then sent to a second replica although it runs at the first.

#include "../common/heartbeat.hpp"

#include <set>

namespace {

using namespace review;

constexpr int kControls = 5;
constexpr int kEntries = 3;
constexpr int kReplicas = 11;
/// The doses: srv_grey "shed" with the share (0.15), x (0.4) and for_s (5) that the list of kinds
/// gives; garble "extra late" with share = 0.6, x = 0.03 and for_s = 5.0 as in the site file.
constexpr int kShedding = 2; // Of 11, 0.15 are 1.65.
constexpr int kGarbling = 6; // Of 11, 0.6 are 6.6; those that shed are among them.
constexpr int kSlots = 6;
constexpr int kQueue = 24;
constexpr auto kWork = 60ms;
constexpr auto kTraffic = 100s;
/// Requests a second of `cert-check`, and of `stock-fetch`, as on the site's sheet.
constexpr double kUnsafePerSecond = 73.7;
constexpr double kSafePerSecond = 29.6;
constexpr int kDeadlineMs = 3000;
constexpr double kGarbledShareOfAnswers = 0.03;
constexpr double kShedShareOfRequests = 0.4;
/// Both last this long, and come again after a pause.
constexpr auto kTroubleFor = 5s;
constexpr auto kPause = 500ms;

const char* const kKey = "n2ctnfzs989anu6wsjnb";

/// What the sheet of ipeha-ops-large says of settings.
Site Deployment()
{
  Site site;
  site.zone = "half-way-tree";
  site.stallMs = 5000;
  site.drainMs = 3000;
  site.passMs = 200;
  site.budgetSlack = 330;
  site.toleratedMachines = 2;
  return site;
}

const std::string kConfig =
  R"({"version":7,"routes":[)"
  R"({"name":"r-cert","host":"ficu95.example","pathPrefix":"/cert/","kind":"unsafe",)"
  R"("timeoutMs":3000,"targetLatencyMs":300,"priority":2,"service":"booking-portal",)"
  R"("maxAttempts":2,"public":false},)"
  R"({"name":"r-stock","host":"ficu95.example","pathPrefix":"/stock/","kind":"safe",)"
  R"("timeoutMs":3000,"targetLatencyMs":300,"priority":2,"service":"booking-portal",)"
  R"("maxAttempts":2,"public":false}],)"
  R"("services":[{"name":"booking-portal","healthPath":"/health","maxConns":680,)"
  R"("protocol":"h1","tls":false}],)"
  R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
  R"("idleTimeoutMs":15000},)"
  R"("tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1}]})";

/// What clients and replicas saw.
class Ledger
{
public:
  void OnSent(const std::string& id, bool isUnsafe)
  {
    const std::scoped_lock lock(m_mutex);
    m_rows[id].isUnsafe = isUnsafe;
  }
  void OnRun(const std::string& id, const std::string& replica)
  {
    const std::scoped_lock lock(m_mutex);
    m_rows[id].runs.push_back(replica);
  }
  void OnAnswer(const std::string& id, int status)
  {
    const std::scoped_lock lock(m_mutex);
    m_rows[id].status = status;
  }

  /// \returns Whether TWICE or REFUSED was broken.
  bool Judge(Record& record)
  {
    const std::scoped_lock lock(m_mutex);
    int twice = 0;
    int refused = 0;
    int sent = 0;
    int served = 0;
    for (const auto& [id, row] : m_rows) {
      ++sent;
      served += row.status == 200 ? 1 : 0;
      if (!row.isUnsafe) {
        continue;
      }
      const bool isPromise =
        row.status == 429 || row.status == 503 || row.status == 408 || row.status == 421;
      std::string runs;
      for (const std::string& replica : row.runs) {
        runs += " " + replica;
      }
      if (row.runs.size() > 1) {
        ++twice;
        record.Write("TWICE: " + id + " ran at" + runs + ", answered " +
                     std::to_string(row.status));
      }
      if (isPromise && !row.runs.empty()) {
        ++refused;
        record.Write("REFUSED: " + id + " was answered " + std::to_string(row.status) +
                     " and ran at" + runs);
      }
    }
    record.Write("sum: " + std::to_string(sent) + " requests sent, " + std::to_string(served) +
                 " served, " + std::to_string(twice) + " unsafe ran twice, " +
                 std::to_string(refused) + " unsafe refused and ran");
    return twice + refused > 0;
  }

private:
  struct Row
  {
    bool isUnsafe = false;
    int status = 0;
    std::vector<std::string> runs;
  };
  std::mutex m_mutex;
  std::map<std::string, Row> m_rows;
};

/// A replica of a plain service.
class Replica
{
public:
  Replica(Cluster& cluster, Record& record, Ledger& ledger, std::string name, unsigned seed)
    : m_record(record)
    , m_ledger(ledger)
    , m_name(std::move(name))
    , m_random(seed)
    , m_listener(cluster.NewIp(),
                 [this](Connection& connection, const std::atomic<bool>& stop) {
                   Serve(connection, stop);
                 })
    , m_heartbeat(
        cluster,
        [this] { return m_name; },
        [this, zone = cluster.Deployed().zone] {
          return R"("service":"booking-portal","address":")" + m_listener.Own().Text() +
                 R"(","zone":")" + zone +
                 R"(","version":"v1","slots":6,"state":"ready","coldLeftMs":0)";
        })
  {
  }

  void SetShedding(bool isOn) { m_isShedding = isOn; }
  void SetGarbling(bool isOn) { m_isGarbling = isOn; }

private:
  bool Draw(double probability)
  {
    const std::scoped_lock lock(m_mutex);
    return std::uniform_real_distribution<>(0, 1)(m_random) < probability;
  }

  void Serve(Connection& connection, const std::atomic<bool>& stop)
  {
    std::string late; // A second copy of an earlier answer.
    std::string lateOf;
    while (!stop) {
      ReadResult request = ReadMessage(connection, false, Clock::now() + 200ms);
      if (request.end == MessageEnd::kTimeout && request.message.start.empty() &&
          connection.Buffer().empty()) {
        continue;
      }
      if (request.end != MessageEnd::kComplete) {
        return;
      }
      const std::string id = request.message.Find("X-Request-Id");
      if (!late.empty()) {
        m_record.Write(m_name + ": on the connection of " + id +
                       ", first the second copy of the answer to " + lateOf);
        if (!connection.Write(std::exchange(late, {}))) {
          return;
        }
      }
      const std::string answer = Answer(request.message, id);
      if (!connection.Write(answer)) {
        return;
      }
      if (m_isGarbling && Draw(kGarbledShareOfAnswers)) {
        late = answer;
        lateOf = id;
      }
    }
  }

  std::string Answer(const Message& request, const std::string& id)
  {
    const auto refuse = [&](const std::string& status) {
      m_record.Write(m_name + ": " + id + " refused with " + status);
      return Encode("HTTP/1.1 " + status,
                    { { "X-Request-Id", id }, { "X-Not-Executed", "1" } },
                    "not run");
    };
    if (request.Find("X-Expect-Instance") != m_name) {
      return refuse("421 Misdirected Request");
    }
    if (m_isShedding && Draw(kShedShareOfRequests)) {
      return refuse("503 Service Unavailable");
    }
    if (++m_held > kSlots + kQueue) {
      --m_held;
      return refuse("503 Service Unavailable");
    }
    while (++m_running > kSlots) {
      --m_running;
      std::this_thread::sleep_for(1ms);
    }
    m_record.Write(m_name + ": " + id + " runs");
    m_ledger.OnRun(id, m_name);
    std::this_thread::sleep_for(kWork);
    --m_running;
    --m_held;
    return Encode("HTTP/1.1 200 OK",
                  { { "X-Request-Id", id }, { "X-Response-Seal", m_name + "." + id } },
                  "answer to " + id + " " + std::string(780, 'x'));
  }

  Record& m_record;
  Ledger& m_ledger;
  std::string m_name;
  std::mutex m_mutex;
  std::mt19937 m_random;
  std::atomic<bool> m_isShedding = false;
  std::atomic<bool> m_isGarbling = false;
  std::atomic<int> m_held = 0;
  std::atomic<int> m_running = 0;
  Listener m_listener;
  Heartbeat m_heartbeat;
};

std::string NewId(std::mt19937_64& random)
{
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

/// One client attempt on a new connection, and the retry that PROTOCOL.md lets a client make.
void Ask(Cluster& cluster, Record& record, Ledger& ledger, bool isUnsafe, std::uint64_t seed)
{
  std::mt19937_64 random(seed);
  const auto until = Clock::now() + Millis(kDeadlineMs);
  int entry = static_cast<int>(random() % kEntries);
  for (int attempt = 0; attempt < 2; ++attempt) {
    const auto left = std::chrono::duration_cast<Millis>(until - Clock::now());
    if (left < 50ms) {
      return;
    }
    const std::string id = NewId(random);
    ledger.OnSent(id, isUnsafe);
    record.Write("client: " + id + (isUnsafe ? " unsafe" : " safe") + " sent to entry " +
                 std::to_string(entry));
    Connection connection = Connection::Open(cluster.EntryHttp(entry), 1s);
    if (!connection.IsOpen()) {
      return;
    }
    const std::string start =
      (isUnsafe ? "POST /cert/" : "GET /stock/") + id.substr(0, 4) + " HTTP/1.1";
    const std::string body = isUnsafe ? "operator of " + id + std::string(500, 'b') : "";
    connection.Write(Encode(start,
                            { { "Host", "ficu95.example" },
                              { "X-Request-Id", id },
                              { "X-Request-Deadline", std::to_string(left.count()) },
                              { "Authorization", std::string("Bearer ") + kKey } },
                            body,
                            isUnsafe));
    const ReadResult answer = ReadMessage(connection, true, until);
    const int status = answer.end == MessageEnd::kComplete ? answer.Status() : 0;
    ledger.OnAnswer(id, status);
    record.Write("client: " + id + " answered with " + std::to_string(status));
    const bool isPromise = status == 429 || status == 503 || status == 408 || status == 421;
    const bool mayRetry = isUnsafe ? isPromise : status / 100 != 2 && status / 100 != 4;
    if (!mayRetry) {
      return;
    }
    const std::string after = answer.message.Find("Retry-After");
    const auto wait = Millis(after.empty() ? 20 : static_cast<int>(1000 * std::stod(after)));
    std::this_thread::sleep_for(std::min<Millis>(wait, left / 3));
    entry = (entry + 1) % kEntries;
  }
}

bool Run(Record& record, bool hasTrouble)
{
  const unsigned seed = std::random_device{}();
  record.Write("seed " + std::to_string(seed) + (hasTrouble ? "" : ", without the disruption"));
  Ledger ledger;
  Cluster cluster(record, kControls, kEntries, Deployment());
  if (cluster.PutConfig(kConfig, 15s) != 200) {
    throw CannotRun("no configuration was acknowledged");
  }
  std::vector<std::unique_ptr<Replica>> replicas;
  for (int i = 0; i < kReplicas; ++i) {
    replicas.push_back(std::make_unique<Replica>(
      cluster, record, ledger, "i-portal" + std::to_string(i + 1), seed + i));
  }
  if (!cluster.WaitReady(15s)) {
    throw CannotRun("the entries did not get ready");
  }
  std::this_thread::sleep_for(2s);
  std::mt19937_64 random(seed);
  std::vector<std::thread> clients;
  const auto start = Clock::now();
  auto next = start;
  while (next - start < kTraffic) {
    std::this_thread::sleep_until(next);
    const bool isTroubled =
      hasTrouble && (Clock::now() - start) % (kTroubleFor + kPause) < kTroubleFor;
    for (int i = 0; i < kReplicas; ++i) {
      replicas[i]->SetShedding(isTroubled && i < kShedding);
      replicas[i]->SetGarbling(isTroubled && i < kGarbling);
    }
    const double all = kUnsafePerSecond + kSafePerSecond;
    const bool isUnsafe = std::uniform_real_distribution<>(0, all)(random) < kUnsafePerSecond;
    clients.emplace_back(
      [&, isUnsafe, own = random()] { Ask(cluster, record, ledger, isUnsafe, own); });
    next += std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(std::exponential_distribution<>(all)(random)));
  }
  for (std::thread& client : clients) {
    client.join();
  }
  // What was refused must not run later either.
  std::this_thread::sleep_for(2s);
  return ledger.Judge(record);
}

} // namespace

int main(int argc, char** argv)
{
  return RunTrial(argc, argv, Run);
}
