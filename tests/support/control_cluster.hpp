#pragma once

#include "gooseberrysail/control/control_state.hpp"
#include "gooseberrysail/core/token.hpp"
#include "gooseberrysail/roles/control_role.hpp"
#include "gooseberrysail/wire/envelope.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// \file Control roles that share one simulated log, for tests without I/O.

namespace gooseberrysail::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr const char* kOperatorToken = "operator-secret";

/// \brief A simulated log for one leader at a time. Commits proposals at once unless `holdBack` is
/// set.
class ScriptedLog
{
public:
  struct Entry
  {
    Term term;
    std::vector<std::uint8_t> command;
  };
  std::vector<Entry> entries; ///< Committed, from index 1.
  std::vector<Entry> waiting; ///< Accepted, not committed.
  bool holdBack = false;      ///< Leaves proposals uncommitted.
  [[nodiscard]] LogIndex Committed() const { return LogIndex(entries.size()); }
  void Commit()
  {
    for (Entry& entry : waiting) {
      entries.push_back(std::move(entry));
    }
    waiting.clear();
  }
};

/// \brief One control process that uses a ScriptedLog.
class ControlNode
{
public:
  ControlNode(std::string name, std::shared_ptr<ScriptedLog> log, ControlSettings settings)
    : m_name(std::move(name))
    , m_log(std::move(log))
    , m_settings(std::move(settings))
  {
    Restart();
  }

  /// \brief Restarts the process: replays the log from its beginning, or from a snapshot.
  void Restart(std::optional<std::vector<std::uint8_t>> snapshot = std::nullopt,
               LogIndex snapshotIndex = LogIndex())
  {
    ControlHooks hooks;
    hooks.role.random = [] { return std::uint64_t{ 4 }; };
    hooks.role.wallMillis = [this] { return 1'000'000 + ToMillis(now.time_since_epoch()); };
    hooks.propose = [this](std::vector<std::uint8_t> command) {
      if (!leader || refuseProposals) {
        return false;
      }
      if (cutOff) {
        lost.push_back(std::move(command)); // Only in the leader's own log; never committed.
        return true;
      }
      m_log->waiting.push_back({ term, std::move(command) });
      if (!m_log->holdBack) {
        m_log->Commit();
      }
      return true;
    };
    hooks.plan = [this](TimePoint at, const PlannerInput& input) {
      return plan ? plan(at, input) : std::vector<PlannerAction>();
    };
    hooks.outside = outside;
    role = std::make_unique<ControlRole>(m_settings, hooks);
    applied = LogIndex();
    if (snapshot) {
      EXPECT_TRUE(role->RestoreSnapshot(*snapshot));
      applied = snapshotIndex;
    }
  }

  /// \brief Applies all committed commands, then ticks.
  std::vector<ControlOutput> Tick(std::vector<ControlInput> inbox = {})
  {
    while (!cutOff && applied < m_log->Committed()) {
      applied = LogIndex(applied.Get() + 1);
      const ScriptedLog::Entry& entry = m_log->entries[applied.Get() - 1];
      role->Apply(applied, entry.term, entry.command);
    }
    ReplicationStatus status;
    status.leader = leader;
    status.term = term;
    status.committed = applied;
    status.applied = applied;
    status.leaderHint = leader ? ProcessId(m_name) : leaderHint;
    status.quorumHeardAt = cutOff ? quorumHeardAt : now;
    if (!cutOff) {
      quorumHeardAt = now;
    }
    std::vector<ControlOutput> outbox;
    role->Tick(now, status, inbox, outbox);
    for (const ControlOutput& output : outbox) {
      seen.push_back(output);
    }
    return outbox;
  }

  /// \brief Ticks for the given duration.
  /// \returns All outputs.
  std::vector<ControlOutput> Run(Duration duration)
  {
    std::vector<ControlOutput> all;
    for (const TimePoint end = now + duration; now < end;) {
      now += ControlRole::kTickInterval;
      for (ControlOutput& output : Tick()) {
        all.push_back(std::move(output));
      }
    }
    return all;
  }

  void Lead(std::uint64_t newTerm)
  {
    leader = true;
    term = Term(newTerm);
    Tick();
    Tick();
  }

  TimePoint now{ seconds(100) };
  bool leader = false;
  bool cutOff = false; ///< Unnoticed partition: connected to peers but not to control processes.
  bool refuseProposals = false;
  Term term;
  ProcessId leaderHint;
  TimePoint quorumHeardAt{};
  LogIndex applied;
  std::vector<std::vector<std::uint8_t>> lost;
  std::function<std::vector<PlannerAction>(TimePoint, const PlannerInput&)> plan;
  OutsideApi outside; ///< Used from the next restart on.
  std::unique_ptr<ControlRole> role;
  std::vector<ControlOutput> seen;

private:
  std::string m_name;
  std::shared_ptr<ScriptedLog> m_log;
  ControlSettings m_settings;
};

inline ControlSettings MakeControlSettings(const std::string& name)
{
  ControlSettings settings;
  settings.process = ProcessId(name);
  settings.incarnation = Incarnation(1);
  settings.address = "127.0.0.1:1";
  settings.controls = { { ProcessId("control-1"), "127.0.0.1:1" },
                        { ProcessId("control-2"), "127.0.0.1:2" },
                        { ProcessId("control-3"), "127.0.0.1:3" } };
  settings.operatorTokenHash = TokenHash(kOperatorToken);
  return settings;
}

inline ControlInput Up(const std::string& peer, const std::string& role, std::uint64_t life = 1)
{
  return PeerUp{ ProcessId(peer), role, Incarnation(life), peer + ":1" };
}

inline ControlInput Down(const std::string& peer, std::uint64_t life = 1)
{
  return PeerDown{ ProcessId(peer), Incarnation(life), "cut" };
}

template<class MessageT>
ControlInput From(const std::string& peer, MessageT message, std::uint64_t life = 1)
{
  return FrameIn{ ProcessId(peer), Incarnation(life), MakeEnvelope(std::move(message)) };
}

inline ControlInput Announced(const std::string& vm,
                              const std::string& fabricDomain = "fabric-1",
                              std::uint64_t group = 0)
{
  wire::AnnounceT announce;
  announce.vm = vm;
  announce.address = vm + ":7";
  announce.failureDomain = "half-way-tree";
  announce.fabricDomain = fabricDomain;
  announce.accelerators = 8;
  announce.group = group;
  announce.epoch = group;
  return From("agent-" + vm, std::move(announce));
}

inline ControlInput ServiceAnnounced(const std::string& vm, const std::string& service)
{
  wire::AnnounceT announce;
  announce.vm = vm;
  announce.address = vm + ":7";
  announce.kind = wire::TargetKind::Service;
  announce.service = service;
  announce.failureDomain = "half-way-tree";
  return From("agent-" + vm, std::move(announce));
}

inline ControlInput Reported(const std::string& vm,
                             std::uint64_t group,
                             bool ready = true,
                             std::vector<std::string> missing = {})
{
  wire::GroupReportT report;
  report.nonce = 7;
  report.group = group;
  report.epoch = group;
  report.vm = vm;
  report.ready = ready;
  report.missing = std::move(missing);
  report.weightsLoaded = true;
  return From("agent-" + vm, std::move(report));
}

inline ControlInput ReleasedBy(const std::string& vm, std::uint64_t group)
{
  wire::ReleasedT released;
  released.vm = vm;
  released.group = group;
  released.epoch = group;
  return From("agent-" + vm, std::move(released));
}

inline ControlInput Called(std::uint64_t exchange,
                           const std::string& method,
                           const std::string& target,
                           const std::string& body = "",
                           const std::string& token = kOperatorToken)
{
  HttpRequestIn request;
  request.exchange = ExchangeId(exchange);
  request.method = method;
  request.target = target;
  request.headers = { { "Authorization", "Bearer " + token } };
  request.body = body;
  request.peer = "10.0.0.9:999";
  return request;
}

/// \brief The sent messages of one type, each with its receiver.
template<class MessageT>
std::vector<std::pair<std::string, MessageT>> Sent(const std::vector<ControlOutput>& outbox)
{
  std::vector<std::pair<std::string, MessageT>> found;
  for (const ControlOutput& output : outbox) {
    const auto* frame = std::get_if<FrameOut>(&output);
    const auto wanted = wire::BodyUnionTraits<MessageT>::enum_value;
    if (frame != nullptr && frame->envelope->body.type == wanted) {
      const auto* message = static_cast<const MessageT*>(frame->envelope->body.value);
      found.emplace_back(frame->peer.Get(), *message);
    }
  }
  return found;
}

struct Answer
{
  unsigned status = 0;
  boost::json::object body;
};

/// \brief The answer to an exchange; none when it was not answered.
inline std::optional<Answer> AnswerOf(const std::vector<ControlOutput>& outbox,
                                      std::uint64_t exchange)
{
  for (const ControlOutput& output : outbox) {
    const auto* answer = std::get_if<HttpAnswerOut>(&output);
    if (answer != nullptr && answer->exchange == ExchangeId(exchange)) {
      return Answer{ answer->status.value_or(0), boost::json::parse(answer->bytes).as_object() };
    }
  }
  return std::nullopt;
}

inline std::string ModelWrite(const std::string& name,
                              const std::string& version,
                              const std::string& expectedRevision)
{
  return R"({"entry":{"kind":"model","name":")" + name +
         R"(","owner":"hire-desk","class":"interactive","spec":{"version":")" + version +
         R"(","replicas":1}},"expectedRevision":)" + expectedRevision + "}";
}

inline std::string Change(const std::string& id,
                          const std::string& writes,
                          const std::string& operatorName = "winsome")
{
  return R"({"changeId":")" + id + R"(","operator":")" + operatorName + R"(","writes":[)" + writes +
         "]}";
}

} // namespace gooseberrysail::test
