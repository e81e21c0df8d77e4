#pragma once

// A model replica: reports, orders, groups and streams as PROTOCOL.md says.

#include "heartbeat.hpp"

#include <condition_variable>
#include <set>

namespace review {

/// The text or number of a field of a flat JSON object; "" where it is absent.
inline std::string JsonField(const std::string& body, const std::string& name)
{
  const std::size_t key = body.find("\"" + name + "\":");
  if (key == std::string::npos) {
    return {};
  }
  std::size_t at = key + name.size() + 3;
  if (body[at] == '"') {
    return body.substr(at + 1, body.find('"', at + 1) - at - 1);
  }
  if (body[at] == '[') {
    return body.substr(at, body.find(']', at) - at + 1);
  }
  return body.substr(at, body.find_first_of(",}", at) - at);
}

struct ModelSpec
{
  std::string service = "hire-assist";
  std::string model = "rada7437b5";
  int slots = 34;
  Millis load = 1200ms; ///< Before the first request, loads take a tenth of the time.
  Millis warm = 1100ms;
  Millis join = 200ms; ///< With the weights of the last group.
  Millis open = 300ms;
  Millis betweenEvents = 50ms;
};

/// What a replica tells of its groups to a trial.
struct GroupHooks
{
  std::function<void(const std::string& replica, const std::string& line)> onOrder;
};

class ModelReplica
{
public:
  enum class State
  {
    kNone,
    kJoining,
    kReady,
    kOpening,
    kOpen,
    kClosing,
  };

  /// Writes the answer to a request that runs. \returns Whether the connection may be kept.
  using RunStream = std::function<
    bool(ModelReplica& replica, Connection& connection, const Message& request, const std::string& id)>;
  /// Writes an answer to control; a trial may add to it.
  using WriteToControl =
    std::function<bool(Connection& connection, const Message& request, const std::string& answer)>;

  ModelReplica(Cluster& cluster,
               Record& record,
               std::string name,
               ModelSpec spec,
               RunStream run,
               WriteToControl writeToControl = {})
    : m_record(record)
    , m_name(std::move(name))
    , m_spec(std::move(spec))
    , m_run(std::move(run))
    , m_writeToControl(std::move(writeToControl))
    , m_zone(cluster.Deployed().zone)
    , m_listener(cluster.NewIp(),
                 [this](Connection& connection, const std::atomic<bool>& stop) {
                   Serve(connection, stop);
                 })
    , m_heartbeat(
        cluster, [this] { return m_name; }, [this] { return Announcement(); })
    , m_clock([this] { Watch(); })
  {
  }

  ~ModelReplica()
  {
    m_stop = true;
    m_clock.join();
  }

  [[nodiscard]] const std::string& Name() const { return m_name; }
  [[nodiscard]] const ModelSpec& Spec() const { return m_spec; }
  [[nodiscard]] bool IsStopping() const { return m_stop; }

  [[nodiscard]] bool IsOpenHead()
  {
    const std::scoped_lock lock(m_mutex);
    Advance();
    return m_state == State::kOpen;
  }

  [[nodiscard]] std::string Members()
  {
    const std::scoped_lock lock(m_mutex);
    return m_state == State::kNone ? std::string() : m_members;
  }

  /// Says with the next heartbeat, which is sent at once, that it drains.
  void Drain()
  {
    m_isDraining = true;
    m_heartbeat.Hurry();
  }

  /// How often it took a join of another group while it was the head of an open or closing one.
  [[nodiscard]] int JoinsWhileServing() const { return m_joinsWhileServing; }
  [[nodiscard]] int Running()
  {
    const std::scoped_lock lock(m_mutex);
    return m_running;
  }

private:
  static const char* NameOf(State state)
  {
    switch (state) {
      case State::kNone:
        return "none";
      case State::kJoining:
        return "joining";
      case State::kReady:
      case State::kOpening:
        return "ready";
      case State::kOpen:
        return "open";
      case State::kClosing:
        return "closing";
    }
    return "";
  }

  // With m_mutex held.
  void Enter(State state, Millis duration = {})
  {
    m_state = state;
    m_until = Clock::now() + duration;
    m_heartbeat.Hurry();
  }

  void Advance()
  {
    if (!m_staging.empty() && Clock::now() >= m_stagedAt) {
      m_staged = std::exchange(m_staging, {});
      m_heartbeat.Hurry();
    }
    if (m_state == State::kJoining && Clock::now() >= m_until) {
      m_loaded = m_joinModel;
      m_staged = m_joinModel;
      Enter(State::kReady);
    } else if (m_state == State::kOpening && Clock::now() >= m_until) {
      Enter(State::kOpen);
    } else if (m_state == State::kClosing && m_running == 0) {
      Enter(State::kReady);
    }
  }

  void Watch()
  {
    while (!m_stop) {
      {
        const std::scoped_lock lock(m_mutex);
        Advance();
      }
      std::this_thread::sleep_for(10ms);
    }
  }

  std::string ReportFields()
  {
    const std::scoped_lock lock(m_mutex);
    Advance();
    std::string fields = R"("stage":"both","domain":"d1","models":[)";
    if (m_state != State::kNone && m_state != State::kJoining) {
      fields += R"({"name":")" + m_loaded + R"(","version":1,"adapters":[]})";
    }
    fields += R"(],"staged":[)" + (m_staged.empty() ? "" : "\"" + m_staged + "\"") + "]";
    if (m_state != State::kNone) {
      fields += R"(,"group":{"name":")" + m_group + R"(","epoch":)" + std::to_string(m_epoch) +
                R"(,"rank":)" + std::to_string(m_rank) + R"(,"state":")" + NameOf(m_state) + "\"}";
    }
    return fields;
  }

  std::string Announcement()
  {
    return R"("service":")" + m_spec.service + R"(","address":")" + m_listener.Own().Text() +
           R"(","zone":")" + m_zone + R"(","version":"v1","slots":)" +
           std::to_string(m_spec.slots) + R"(,"state":")" + (m_isDraining ? "draining" : "ready") +
           R"(","coldLeftMs":0,)" + ReportFields();
  }

  void Serve(Connection& connection, const std::atomic<bool>& stop)
  {
    while (!stop) {
      ReadResult request = ReadMessage(connection, false, Clock::now() + 200ms);
      if (request.end == MessageEnd::kTimeout && request.message.start.empty() &&
          connection.Buffer().empty()) {
        continue;
      }
      if (request.end != MessageEnd::kComplete) {
        return;
      }
      const bool isOfControl = request.message.Word(1).rfind("/api/", 0) == 0;
      const bool isKept = isOfControl ? AnswerControl(connection, request.message)
                                      : AnswerRequest(connection, request.message);
      if (!isKept) {
        return;
      }
    }
  }

  bool AnswerControl(Connection& connection, const Message& request)
  {
    std::string status = "200 OK";
    std::string body;
    const std::string id = request.Find("X-Request-Id");
    std::vector<Header> headers;
    if (!id.empty()) {
      headers.push_back({ "X-Request-Id", id });
    }
    const std::string expected = request.Find("X-Expect-Instance");
    if (!expected.empty() && expected != m_name) {
      status = "421 Misdirected Request";
    } else if (request.Word(1) == "/api/report") {
      headers.push_back({ "Content-Type", "application/json" });
      body = R"({"busy":false,"pace":1.0,"seq":1,"queued":0,"running":)" +
             std::to_string(Running()) + R"(,"kvUsed":0,"kvTotal":1860000,"handles":0,)" +
             ReportFields() + "}";
    } else {
      status = OnOrder(request.body);
      m_record.Write(m_name + ": order " + request.body + " answered with " + status);
    }
    const std::string answer = Encode("HTTP/1.1 " + status, headers, body);
    return m_writeToControl ? m_writeToControl(connection, request, answer)
                            : connection.Write(answer);
  }

  std::string OnOrder(const std::string& body)
  {
    const std::string op = JsonField(body, "op");
    const std::string group = JsonField(body, "group");
    const std::string epochText = JsonField(body, "epoch");
    const std::uint64_t epoch = epochText.empty() ? 0 : std::stoull(epochText);
    const std::scoped_lock lock(m_mutex);
    Advance();
    if (op == "stage") {
      const std::string model = JsonField(body, "model");
      if (m_staged == model) {
        return "200 OK";
      }
      m_staging = model;
      m_stagedAt = Clock::now() + m_spec.load;
      return "202 Accepted";
    }
    if (op == "join") {
      return Join(body, group, epoch);
    }
    const bool isOwn = m_state != State::kNone && group == m_group && epoch == m_epoch;
    if (op == "leave") {
      if (isOwn) {
        Enter(State::kNone);
      }
      return "200 OK";
    }
    if (!isOwn || m_state == State::kJoining || m_rank != 0) {
      return "409 Conflict";
    }
    if (op == "open") {
      if (m_state != State::kReady) {
        return "200 OK";
      }
      Enter(State::kOpening, m_spec.open);
      return "202 Accepted";
    }
    if (op == "close") {
      if (m_state == State::kReady) {
        return "200 OK";
      }
      if (m_state != State::kClosing) {
        Enter(State::kClosing);
        return "202 Accepted";
      }
      return "200 OK";
    }
    return "400 Bad Request";
  }

  std::string Join(const std::string& body, const std::string& group, std::uint64_t epoch)
  {
    const std::string members = JsonField(body, "members");
    const bool isSame = m_state != State::kNone && group == m_group && epoch == m_epoch;
    if (epoch < m_highestEpoch || (isSame && members != m_members)) {
      return "412 Precondition Failed";
    }
    if (isSame) {
      return "200 OK";
    }
    const bool isServing = m_rank == 0 && (m_state == State::kOpen || m_state == State::kClosing);
    if (isServing) {
      ++m_joinsWhileServing;
      m_record.Write("TWO: " + m_name + ", head of " + m_group + " which is " + NameOf(m_state) +
                     " with " + std::to_string(m_running) + " requests, takes the join of " + group);
    }
    const std::string model = JsonField(body, "model");
    m_group = group;
    m_epoch = epoch;
    m_highestEpoch = epoch;
    m_members = members;
    m_rank = 0;
    const std::size_t own = members.find("\"" + m_name + "\"");
    for (std::size_t comma = members.find(','); comma < own; comma = members.find(',', comma + 1)) {
      ++m_rank;
    }
    const Millis duration = m_loaded == model   ? m_spec.join
                            : m_staged == model ? m_spec.warm
                                                : m_spec.load;
    m_joinModel = model;
    Enter(State::kJoining, duration);
    return "202 Accepted";
  }

  bool AnswerRequest(Connection& connection, const Message& request)
  {
    const std::string id = request.Find("X-Request-Id");
    const auto refuse = [&](const std::string& status) {
      return connection.Write(Encode("HTTP/1.1 " + status,
                                     { { "X-Request-Id", id }, { "X-Not-Executed", "1" } },
                                     "not run"));
    };
    {
      const std::scoped_lock lock(m_mutex);
      Advance();
      const bool isHere = request.Find("X-Expect-Instance") == m_name && m_state == State::kOpen &&
                          m_rank == 0;
      if (!isHere || m_running >= m_spec.slots) {
        return refuse(isHere ? "503 Service Unavailable" : "421 Misdirected Request");
      }
      ++m_running;
    }
    const bool isKept = m_run(*this, connection, request, id);
    const std::scoped_lock lock(m_mutex);
    --m_running;
    Advance();
    return isKept;
  }

  Record& m_record;
  std::string m_name;
  ModelSpec m_spec;
  RunStream m_run;
  WriteToControl m_writeToControl;
  std::string m_zone;
  std::mutex m_mutex; ///< Guards the state of the group.
  State m_state = State::kNone;
  Clock::time_point m_until;
  std::string m_group;
  std::uint64_t m_epoch = 0;
  std::uint64_t m_highestEpoch = 0;
  std::string m_members;
  int m_rank = 0;
  std::string m_joinModel;
  std::string m_loaded;
  std::string m_staged;
  std::string m_staging;
  Clock::time_point m_stagedAt;
  int m_running = 0;
  std::atomic<int> m_joinsWhileServing = 0;
  std::atomic<bool> m_isDraining = false;
  std::atomic<bool> m_stop = false;
  Listener m_listener;
  Heartbeat m_heartbeat;
  std::thread m_clock;
};

} // namespace review
