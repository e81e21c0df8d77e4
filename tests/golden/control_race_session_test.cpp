#include "gooseberrysail/observe/event_catalog.hpp"
#include "support/control_cluster.hpp"

#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <sstream>

namespace gooseberrysail::test {
namespace {

/// \brief Runs two control processes on one log and records their inputs and outputs, one per line.
class RaceSession
{
public:
  RaceSession()
  {
    for (ControlNode* node : { &one, &two }) {
      node->Tick({ Up("entry-1", "entry"), Up("agent-vm-1", "agent") });
    }
  }

  void AddComment(const std::string& what) { m_text << "# " << what << '\n'; }

  void Lead(ControlNode& node, const std::string& name, std::uint64_t term)
  {
    node.leader = true;
    node.term = Term(term);
    Tick(node, name);
    Tick(node, name);
  }

  /// \brief Delivers all inputs to a control process in one tick.
  void Send(ControlNode& node, const std::string& name, std::vector<ControlInput> inbox)
  {
    for (const ControlInput& input : inbox) {
      if (const auto* call = std::get_if<HttpRequestIn>(&input)) {
        Line(name, "<") << "http " << call->exchange << ' ' << call->method << ' ' << call->target
                        << (call->body.empty() ? "" : " " + call->body) << '\n';
      } else if (const auto* frame = std::get_if<FrameIn>(&input)) {
        Line(name, "<") << "frame " << frame->peer << ' ' << BodyName(*frame->envelope) << '\n';
      }
    }
    RecordOutputs(name, node.Tick(std::move(inbox)));
  }

  void Tick(ControlNode& node, const std::string& name) { Send(node, name, {}); }

  void AdvanceTime(Duration duration)
  {
    for (const TimePoint end = one.now + duration; one.now < end;) {
      one.now += ControlRole::kTickInterval;
      two.now = one.now;
      Tick(one, "control-1");
      Tick(two, "control-2");
    }
  }

  void Compare(const std::string& path) const
  {
    if (std::getenv("GOOSEBERRYSAIL_WRITE_GOLDEN") != nullptr) {
      std::ofstream(path, std::ios::binary) << m_text.str();
      ADD_FAILURE() << "written, not compared: " << path;
      return;
    }
    std::ifstream file(path, std::ios::binary);
    ASSERT_TRUE(file.is_open()) << path;
    std::ostringstream expected;
    expected << file.rdbuf();
    EXPECT_EQ(m_text.str(), expected.str()) << path;
  }

  std::shared_ptr<ScriptedLog> log = std::make_shared<ScriptedLog>();
  ControlNode one{ "control-1", log, MakeControlSettings("control-1") };
  ControlNode two{ "control-2", log, MakeControlSettings("control-2") };

private:
  std::ostream& Line(const std::string& name, const char* direction)
  {
    const auto at = ToMillis(one.now - TimePoint(seconds(100)));
    return m_text << std::setw(6) << at << "ms " << name << ' ' << direction << ' ';
  }

  void RecordOutputs(const std::string& name, const std::vector<ControlOutput>& outbox)
  {
    for (const ControlOutput& output : outbox) {
      if (const auto* answer = std::get_if<HttpAnswerOut>(&output)) {
        Line(name, ">") << "http " << answer->exchange << ' ' << answer->status.value_or(0) << ' '
                        << answer->bytes;
      } else if (const auto* frame = std::get_if<FrameOut>(&output)) {
        RecordFrame(name, *frame);
      } else if (const auto* event = std::get_if<EventOut>(&output)) {
        std::ostream& line = Line(name, ">");
        line << "event " << event->number << ' ' << FindEvent(event->number)->name;
        for (const auto& [field, value] : event->fields) {
          line << ' ' << field << '=' << std::quoted(value);
        }
        line << '\n';
      }
    }
  }

  void RecordFrame(const std::string& name, const FrameOut& frame)
  {
    std::ostream& line = Line(name, ">");
    line << "frame " << frame.peer << ' ' << BodyName(*frame.envelope);
    if (const auto* state = frame.envelope->body.AsConfigState()) {
      line << " nonce=" << state->nonce << " from=" << state->fromVersion
           << " version=" << state->version << " term=" << state->leaderTerm;
      for (const auto& item : state->items) {
        line << ' ' << item->name << '@' << item->revision << ' ' << item->spec;
      }
    }
    line << '\n';
  }

  std::ostringstream m_text;
};

ControlInput Query(std::uint64_t nonce, std::uint64_t haveVersion)
{
  wire::ConfigQueryT query;
  query.nonce = nonce;
  query.haveVersion = haveVersion;
  return From("entry-1", std::move(query));
}

// Guards against changes of operators that are lost or applied twice. Two operators write at once
// on the basis of revision 1, and the leader is cut off before it answers either. The operator
// whose change was committed retries it at the next leader; the other one writes again with the
// revision from the conflict reply. Needs all three mechanisms: revisions compared when the log is
// applied, change ids stored with their outcome, and answers only from a leader that a quorum
// confirmed.
TEST(ControlSession, TwoOperatorsRaceAndTheLeaderIsCutOff)
{
  const auto change = [](const std::string& id, const std::string& version, const char* revision) {
    const std::string operatorName = id.substr(0, id.find('-'));
    return Change(id, ModelWrite("hire-assist", version, revision), operatorName);
  };
  const auto post = [](std::uint64_t exchange, const std::string& body) {
    return Called(exchange, "POST", "/admin/v1/catalogue", body);
  };
  RaceSession session;
  session.AddComment("control-1 leads; the entry exists at revision 1");
  session.Lead(session.one, "control-1", 1);
  session.Send(session.one, "control-1", { post(1, change("winsome-0", "2026-10", "0")) });
  session.AdvanceTime(milliseconds(50));

  session.AddComment(
    "two operators hold revision 1; both changes are accepted before either commits");
  session.log->holdBack = true;
  session.Send(
    session.one,
    "control-1",
    { post(2, change("winsome-1", "2026-11", "1")), post(3, change("delroy-1", "2026-12", "1")) });
  session.AddComment("control-1 is cut off in silence; its followers commit both, control-2 leads");
  session.one.cutOff = true;
  session.log->Commit();
  session.log->holdBack = false;
  session.one.now += milliseconds(50);
  session.two.now = session.one.now;
  session.Lead(session.two, "control-2", 2);

  session.AddComment("an entry asks both; only the leader that a quorum confirms answers");
  session.Send(session.one, "control-1", { Query(41, 2) });
  session.Send(session.two, "control-2", { Query(42, 2) });
  session.AdvanceTime(milliseconds(5200));

  session.AddComment("both operators got no outcome and send again, to control-2");
  session.Send(session.two, "control-2", { post(4, change("winsome-1", "2026-11", "1")) });
  session.Send(session.two, "control-2", { post(5, change("delroy-1", "2026-12", "1")) });
  session.AddComment("the loser writes anew with the revision it was shown");
  session.Send(session.two, "control-2", { post(6, change("delroy-2", "2026-12", "2")) });
  session.AdvanceTime(milliseconds(100));

  session.AddComment("control-1 is back as a follower and points to the leader");
  session.one.cutOff = false;
  session.one.leader = false;
  session.one.leaderHint = ProcessId("control-2");
  session.AdvanceTime(milliseconds(50));
  session.Send(session.one, "control-1", { Called(7, "GET", "/admin/v1/history") });
  session.Send(session.two, "control-2", { Called(8, "GET", "/admin/v1/history") });
  session.Compare(GOOSEBERRYSAIL_SOURCE_DIR "/tests/golden/control_operators_race.session");
}

} // namespace
} // namespace gooseberrysail::test
