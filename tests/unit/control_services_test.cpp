#include "gooseberrysail/control/route_distribution.hpp"
#include "gooseberrysail/control/usage_shares.hpp"
#include "support/control_cluster.hpp"
#include "support/section.hpp"

#include <gmock/gmock.h>
#include <numeric>

namespace gooseberrysail::test {
namespace {

using ::testing::IsEmpty;

wire::ClaimRequestT Claim(const std::string& key, const std::string& request)
{
  wire::ClaimRequestT claim;
  claim.workspace = "site-7";
  claim.key = key;
  claim.bodyHash = 11;
  claim.request = request;
  return claim;
}

wire::ClaimOutcomeT Outcome(const std::string& key,
                            const std::string& request,
                            bool ran,
                            std::size_t bytes = 4)
{
  wire::ClaimOutcomeT outcome;
  outcome.workspace = "site-7";
  outcome.key = key;
  outcome.request = request;
  outcome.ran = ran;
  outcome.outcome = ran ? "completed" : "not-run";
  outcome.status = 201;
  outcome.body.assign(bytes, 'x');
  return outcome;
}

struct Claims
{
  std::shared_ptr<ScriptedLog> log = std::make_shared<ScriptedLog>();
  ControlNode control{ "control-1", log, MakeControlSettings("control-1") };

  Claims()
  {
    control.Tick({ Up("entry-1", "entry"), Up("entry-2", "entry") });
    control.Lead(1);
  }

  std::vector<ControlOutput> Send(std::vector<ControlInput> inbox)
  {
    auto outbox = control.Tick(std::move(inbox));
    const auto more = control.Run(milliseconds(100));
    outbox.insert(outbox.end(), more.begin(), more.end());
    return outbox;
  }

  wire::ClaimReplyT Ask(const std::string& entry,
                        const std::string& key,
                        const std::string& request)
  {
    const auto replies = Sent<wire::ClaimReplyT>(Send({ From(entry, Claim(key, request)) }));
    EXPECT_EQ(replies.size(), 1U);
    return replies.empty() ? wire::ClaimReplyT() : replies.front().second;
  }
};

// Guards against running work twice when a call and its retry reach two entries at the same time:
// an entry must not decide by itself, and control must not answer before the claim is committed.
TEST(ControlClaims, OfTwoEntriesWithOneKeyExactlyOneMayRun)
{
  Claims test;
  test.log->holdBack = true;
  auto outbox = test.Send(
    { From("entry-1", Claim("k", "entry-1.1.1")), From("entry-2", Claim("k", "entry-2.1.1")) });
  EXPECT_THAT(Sent<wire::ClaimReplyT>(outbox), IsEmpty()) << "nothing is committed yet";
  EXPECT_EQ(test.log->waiting.size(), 1U) << "claims of a tick are one command";
  test.log->Commit();
  test.log->holdBack = false;
  const auto replies = Sent<wire::ClaimReplyT>(test.control.Tick());
  ASSERT_EQ(replies.size(), 2U);
  EXPECT_EQ(replies[0].second.state, wire::ClaimState::Granted);
  EXPECT_EQ(replies[1].second.state, wire::ClaimState::Running);
  EXPECT_EQ(replies[1].second.holder, "entry-1.1.1");

  SECTION("the holder is granted the claim again when it repeats the request")
  {
    EXPECT_EQ(test.Ask("entry-1", "k", "entry-1.1.1").state, wire::ClaimState::Granted);
  }
  SECTION("finished work is answered with the stored outcome")
  {
    const auto acks = Sent<wire::ClaimOutcomeAckT>(
      test.Send({ From("entry-1", Outcome("k", "entry-1.1.1", true)) }));
    ASSERT_EQ(acks.size(), 1U);
    const wire::ClaimReplyT again = test.Ask("entry-2", "k", "entry-2.1.9");
    EXPECT_EQ(again.state, wire::ClaimState::Finished);
    EXPECT_EQ(again.status, 201U);
    EXPECT_EQ(again.body.size(), 4U);
    EXPECT_TRUE(again.bodyMatches);
  }
  SECTION("the next leader restores it from a snapshot")
  {
    const auto snapshot = test.control.role->TakeSnapshot();
    test.control.Restart(snapshot, test.control.applied);
    test.control.Tick({ Up("entry-2", "entry") });
    test.control.Lead(2);
    EXPECT_EQ(test.Ask("entry-2", "k", "entry-2.1.10").state, wire::ClaimState::Finished);
  }
}

TEST(ControlClaims, WorkThatNeverRanReleasesItsKey)
{
  Claims test;
  EXPECT_EQ(test.Ask("entry-1", "k", "entry-1.1.1").state, wire::ClaimState::Granted);
  SECTION("not when another entry than the holder reports it")
  {
    test.Send({ From("entry-2", Outcome("k", "entry-2.1.1", false)) });
    EXPECT_EQ(test.Ask("entry-2", "k", "entry-2.1.1").state, wire::ClaimState::Running);
  }
  SECTION("when the holder reports it, another entry may run")
  {
    test.Send({ From("entry-1", Outcome("k", "entry-1.1.1", false)) });
    EXPECT_EQ(test.Ask("entry-2", "k", "entry-2.1.2").state, wire::ClaimState::Granted);
  }
}

// Guards against running work a second time after its entry died, or letting its caller wait for
// ever. The killed entry restarts without its state, and the caller retries. The key must not be
// granted to another entry, because the work may have run.
TEST(ControlClaims, TheClaimOfADeadEntryIsUnknownAndNotReassigned)
{
  Claims test;
  EXPECT_EQ(test.Ask("entry-1", "k", "entry-1.1.1").state, wire::ClaimState::Granted);
  test.Send({ Down("entry-1") });
  EXPECT_EQ(test.Ask("entry-2", "k", "entry-2.1.1").state, wire::ClaimState::Running);
  test.Send({ Up("entry-1", "entry", 2) });
  EXPECT_EQ(test.Ask("entry-2", "k", "entry-2.1.2").state, wire::ClaimState::Unknown);
}

// Guards against a claim that stays running although its work ended. A deposed leader that does not
// know the claim must not acknowledge its outcome as if the claim had been settled.
TEST(ControlClaims, AnOutcomeIsAcknowledgedOnlyWhenItIsCommitted)
{
  Claims test;
  test.control.cutOff = true;
  test.control.now += seconds(1);
  auto outbox = test.Send({ From("entry-1", Outcome("k", "entry-1.1.1", true)) });
  EXPECT_THAT(Sent<wire::ClaimOutcomeAckT>(outbox), IsEmpty());
}

TEST(ClaimTable, HoldsAnswersWithinItsByteLimitAndExpiresByAge)
{
  ClaimTable table;
  const std::size_t count = ClaimTable::kMaxHeldBytes / ClaimTable::kMaxAnswerBytes + 10;
  wire::ClaimBatchT batch;
  wire::ClaimOutcomeBatchT outcomes;
  batch.atMillis = 1000;
  for (std::size_t index = 0; index < count; ++index) {
    const std::string key = "k" + std::to_string(index);
    batch.claims.push_back(std::make_unique<wire::ClaimRequestT>(Claim(key, "entry-1.1.1")));
    outcomes.outcomes.push_back(std::make_unique<wire::ClaimOutcomeT>(
      Outcome(key, "entry-1.1.1", true, ClaimTable::kMaxAnswerBytes)));
  }
  EXPECT_EQ(table.Apply(batch), 0U);
  table.Apply(outcomes);
  EXPECT_LE(table.HeldBytes(), ClaimTable::kMaxHeldBytes);
  SECTION("the oldest answers are dropped, their outcomes are kept")
  {
    const ClaimRow* oldest = table.Find({ "site-7", "k0" });
    ASSERT_NE(oldest, nullptr);
    EXPECT_TRUE(oldest->finished);
    EXPECT_FALSE(oldest->answerHeld);
    EXPECT_EQ(oldest->outcome.outcome, "completed");
  }
  SECTION("a snapshot preserves the table")
  {
    wire::ControlSnapshotT snapshot;
    table.SaveTo(snapshot);
    ClaimTable copy;
    copy.LoadFrom(snapshot);
    EXPECT_EQ(copy.Size(), table.Size());
    EXPECT_EQ(copy.HeldBytes(), table.HeldBytes());
  }
  SECTION("older claims are removed, younger ones are kept")
  {
    wire::ExpireClaimsT expire;
    expire.olderThanMillis = 1000;
    table.Apply(expire);
    EXPECT_EQ(table.Size(), count);
    expire.olderThanMillis = 1001;
    table.Apply(expire);
    EXPECT_EQ(table.Size(), 0U);
    EXPECT_EQ(table.HeldBytes(), 0U);
  }
}

// Guards against dropping old keys for new ones, after which work with an old key runs a second
// time.
TEST(ClaimTable, AFullTableRefusesNewClaimsAndKeepsTheOldOnes)
{
  ClaimTable table;
  wire::ClaimBatchT batch;
  for (std::size_t index = 0; index <= ClaimTable::kMaxClaims; ++index) {
    batch.claims.push_back(
      std::make_unique<wire::ClaimRequestT>(Claim("k" + std::to_string(index), "entry-1.1.1")));
  }
  EXPECT_EQ(table.Apply(batch), 1U);
  EXPECT_NE(table.Find({ "site-7", "k0" }), nullptr);
}

TEST(Routes, CandidatesAreBoundedStableAndPreferTheOwnDomain)
{
  std::vector<RouteWeight> weights;
  for (std::uint64_t index = 1; index <= 300; ++index) {
    weights.push_back({ GroupId(index), index % 3 == 0, index * 2654435761U % 100003U });
  }
  const std::vector<GroupId> chosen = ChooseRoutes(weights, 32);
  EXPECT_EQ(chosen.size(), 32U);
  const auto own =
    std::count_if(chosen.begin(), chosen.end(), [](GroupId group) { return group.Get() % 3 == 0; });
  EXPECT_GE(own, 16);
  EXPECT_LT(own, 32);
  SECTION("removing a group changes at most one candidate")
  {
    std::vector<RouteWeight> fewer = weights;
    std::erase_if(fewer, [&](const RouteWeight& weight) { return weight.group == chosen[0]; });
    const std::vector<GroupId> again = ChooseRoutes(fewer, 32);
    const auto kept = std::count_if(again.begin(), again.end(), [&](GroupId group) {
      return std::find(chosen.begin(), chosen.end(), group) != chosen.end();
    });
    EXPECT_EQ(kept, 31);
  }
  SECTION("with few groups all are candidates")
  {
    weights.resize(20);
    EXPECT_EQ(ChooseRoutes(weights, 32).size(), 20U);
  }
}

TEST(Shares, AreDividedByDemandAndSumUpToTheLimit)
{
  const std::vector<double> parts = DivideByDemand(10, std::vector<double>{ 2, 20, 1 });
  EXPECT_DOUBLE_EQ(parts[0], 2);
  EXPECT_DOUBLE_EQ(parts[1], 7);
  EXPECT_DOUBLE_EQ(parts[2], 1);
  const std::vector<double> idle = DivideByDemand(9, std::vector<double>{ 0, 0, 0 });
  EXPECT_DOUBLE_EQ(idle[0], 3);
  const std::vector<std::uint32_t> whole = DivideWhole(7, std::vector<double>{ 1, 1, 1 });
  EXPECT_EQ(std::accumulate(whole.begin(), whole.end(), 0U), 7U);
}

TEST(Shares, EachEntryIsSentItsPart)
{
  Claims test;
  const std::string write = R"({"entry":{"kind":"workspace","name":"site-7","owner":"x","spec":)"
                            R"({"tokenHash":")" +
                            TokenHash("t") + R"(","requestsPerSecond":100,"maxConcurrent":10}}})";
  test.Send({ Called(1, "POST", "/admin/v1/catalogue", Change("w", write)) });
  const auto usage = [](double demand) {
    wire::UsageReportT report;
    report.usage.push_back(std::make_unique<wire::WorkspaceUsageT>());
    report.usage[0]->workspace = "site-7";
    report.usage[0]->demandPerSecond = demand;
    return report;
  };
  test.control.Tick({ From("entry-1", usage(200)), From("entry-2", usage(10)) });
  const auto updates = Sent<wire::ShareUpdateT>(test.control.Run(milliseconds(1100)));
  ASSERT_GE(updates.size(), 2U);
  std::map<std::string, double> rate;
  std::uint32_t concurrent = 0;
  for (std::size_t index = updates.size() - 2; index < updates.size(); ++index) {
    rate[updates[index].first] = updates[index].second.shares[0]->requestsPerSecond;
    concurrent += updates[index].second.shares[0]->concurrent;
  }
  EXPECT_NEAR(rate["entry-1"], 85, 1e-6);
  EXPECT_NEAR(rate["entry-2"], 15, 1e-6);
  EXPECT_EQ(concurrent, 10U);
}

TEST(AdminQueries, AskTheEntryAndReturnItsAnswer)
{
  Claims test;
  auto outbox = test.Send({ Called(5, "GET", "/admin/v1/requests/entry-1.1.9") });
  const auto queries = Sent<wire::RequestQueryT>(outbox);
  ASSERT_EQ(queries.size(), 1U);
  EXPECT_EQ(queries[0].first, "entry-1");
  SECTION("its answer is returned")
  {
    wire::RequestAnswerT answer;
    answer.nonce = queries[0].second.nonce;
    answer.found = true;
    answer.record = std::make_unique<wire::RequestRecordT>();
    answer.record->request = "entry-1.1.9";
    answer.record->outcome = "cut";
    outbox = test.control.Tick({ From("entry-1", std::move(answer)) });
    ASSERT_TRUE(AnswerOf(outbox, 5));
    EXPECT_EQ(AnswerOf(outbox, 5)->body.at("outcome").as_string(), "cut");
  }
  SECTION("without an answer the call ends in time")
  {
    test.control.Tick({ Called(6, "GET", "/admin/v1/requests/entry-2.1.9") });
    EXPECT_EQ(AnswerOf(test.control.Run(seconds(3)), 6)->status, 504U);
  }
}

TEST(AdminQueries, TheTimelineListsUnreachableProcesses)
{
  Claims test;
  auto outbox = test.Send({ Called(5, "GET", "/admin/v1/timeline?limit=10") });
  const auto queries = Sent<wire::TimelineQueryT>(outbox);
  ASSERT_EQ(queries.size(), 3U) << "two entries and control itself";
  wire::TimelineAnswerT answer;
  answer.nonce = queries[0].second.nonce;
  answer.events.push_back(std::make_unique<wire::EventT>());
  answer.events[0]->number = 500;
  answer.events[0]->process = "entry-1";
  test.control.Tick({ From("entry-1", std::move(answer)) });
  outbox = test.control.Run(seconds(3));
  const auto response = AnswerOf(outbox, 5);
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body.at("events").as_array().size(), 1U);
  EXPECT_EQ(boost::json::serialize(response->body.at("notReached")), R"(["control-1","entry-2"])");
  SECTION("bad parameters are refused")
  {
    outbox = test.Send({ Called(6, "GET", "/admin/v1/timeline?limit=0") });
    EXPECT_EQ(AnswerOf(outbox, 6)->status, 400U);
  }
}

// Guards against operators' calls that wait until their connection is closed: a leader that asked
// other processes loses its lead, and nothing answers the call from then on.
TEST(AdminQueries, AreAnsweredWhenLeadershipIsLost)
{
  Claims test;
  test.Send({ Called(5, "GET", "/admin/v1/requests/entry-1.1.9"),
              Called(6, "GET", "/admin/v1/timeline?limit=10") });
  test.control.leader = false;
  test.control.leaderHint = ProcessId("control-2");
  SECTION("with the address of the new leader")
  {
    const auto outbox = test.control.Tick();
    for (const std::uint64_t exchange : { 5U, 6U }) {
      const auto answer = AnswerOf(outbox, exchange);
      ASSERT_TRUE(answer) << exchange;
      EXPECT_EQ(answer->status, 421U);
      EXPECT_EQ(answer->body.at("leader").at("process").as_string(), "control-2");
    }
  }
  SECTION("and don't delay a stop")
  {
    const auto outbox = test.control.Tick({ StopRequested{} });
    EXPECT_TRUE(std::ranges::any_of(
      outbox, [](const auto& output) { return std::holds_alternative<StoppedOut>(output); }));
  }
}

} // namespace
} // namespace gooseberrysail::test
