#include "support/agent_harness.hpp"
#include "support/golden_session.hpp"

#include <gtest/gtest.h>

namespace gooseberrysail::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

void Record(AgentHarness& agent, GoldenSession& session)
{
  agent.onInput = [&session](TimePoint now, const AgentInput& input) {
    session.RecordInput(now, input);
  };
  agent.onOutput = [&session](TimePoint now, const AgentOutput& output) {
    session.RecordOutput(now, output);
  };
}

// Guards against a group that serves with a dead member, and against callers that get no outcome.
// vm-3 fails permanently while one answer streams and another request waits. The engine detects
// the lost rank late, so the head must rely on the missing heartbeats.
TEST(AgentSession, AMemberFailsWhileAnAnswerStreams)
{
  AgentHarness agent({ .maxConcurrent = 1 });
  agent.FormGroup(7);
  GoldenSession session(agent.Now());
  Record(agent, session);
  session.AddComment("a request streams, a second one waits for its slot");
  agent.Start("entry-1.1.1");
  agent.Start("entry-1.1.2");
  agent.AnswerCall("entry-1.1.1", "two rollers ", false);
  agent.Acknowledge("entry-1.1.1", 12, false);
  session.AddComment("vm-3 answers no more beats");
  agent.silentMembers = { "vm-3" };
  agent.Advance(agent.policy.memberTimeout);
  session.AddComment("the engine goes on for a moment: its output is withheld");
  agent.AnswerCall("entry-1.1.1", "are free", false, false);
  session.AddComment("a third request is refused; past the grace the running one is cut");
  agent.Start("entry-1.1.3");
  agent.Advance(seconds(4));
  session.Compare(GOOSEBERRYSAIL_SOURCE_DIR "/tests/golden/agent_member_death.session");
}

// Guards against a VM that serves in two groups and against requests lost when its group changes.
// Control releases the VM from its group and assigns it, with a higher epoch, to a group with vm-2
// as head; a delayed Assign of the old epoch arrives last. Messages of two control processes can
// arrive out of order.
TEST(AgentSession, AGroupIsDissolvedAndItsHeadJoinsAnother)
{
  AgentHarness agent;
  agent.FormGroup(7);
  GoldenSession session(agent.Now());
  Record(agent, session);
  session.AddComment("one request is in flight when the release arrives");
  agent.Start("entry-1.1.1");
  agent.Release(7, 10000);
  session.AddComment("new work is refused before its start, the running one ends whole");
  agent.Start("entry-1.1.2");
  agent.AnswerCall("entry-1.1.1", "confirmed", true);
  agent.Acknowledge("entry-1.1.1", 9, true);
  agent.Advance(milliseconds(200));
  session.AddComment("control assigns the VM to the new group, of which vm-2 is head");
  agent.Assign(12, "vm-2", 12);
  wire::BeatRequestT beat;
  beat.group = 12;
  beat.epoch = 12;
  beat.nonce = 77;
  beat.configVersion = 1;
  agent.Frame("agent-vm-2", beat);
  session.AddComment("an order of the former epoch arrives late");
  agent.Assign(7);
  agent.Advance(milliseconds(500));
  session.Compare(GOOSEBERRYSAIL_SOURCE_DIR "/tests/golden/agent_group_change.session");
}

} // namespace
} // namespace gooseberrysail::test
