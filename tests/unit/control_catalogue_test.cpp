#include "support/control_cluster.hpp"
#include "support/section.hpp"

#include <gmock/gmock.h>

namespace gooseberrysail::test {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;

struct OneControl
{
  std::shared_ptr<ScriptedLog> log = std::make_shared<ScriptedLog>();
  ControlNode control{ "control-1", log, MakeControlSettings("control-1") };

  OneControl() { control.Lead(1); }

  /// \brief Sends a call and ticks until it is answered.
  Answer Call(const std::string& method, const std::string& target, const std::string& body = "")
  {
    const std::uint64_t exchange = ++m_exchange;
    std::vector<ControlOutput> outbox = control.Tick({ Called(exchange, method, target, body) });
    for (int tick = 0; tick < 200; ++tick) {
      if (auto answer = AnswerOf(outbox, exchange)) {
        return *answer;
      }
      outbox = control.Run(ControlRole::kTickInterval);
    }
    ADD_FAILURE() << "no answer to " << target;
    return {};
  }

  Answer Post(const std::string& body) { return Call("POST", "/admin/v1/catalogue", body); }

private:
  std::uint64_t m_exchange = 0;
};

std::string Text(const boost::json::value& value)
{
  return boost::json::serialize(value);
}

TEST(ControlCatalogue, AChangeIsCommittedThenAnsweredAndReadBack)
{
  OneControl test;
  const Answer written = test.Post(Change("c-1", ModelWrite("hire-assist", "v1", "0")));
  ASSERT_EQ(written.status, 200U) << Text(written.body);
  EXPECT_EQ(written.body.at("entries").as_array().at(0).at("revision").to_number<int>(), 1);

  const Answer one = test.Call("GET", "/admin/v1/catalogue/model/hire-assist");
  EXPECT_EQ(one.status, 200U);
  EXPECT_EQ(one.body.at("owner").as_string(), "hire-desk");
  const Answer all = test.Call("GET", "/admin/v1/catalogue");
  EXPECT_EQ(all.body.at("entries").as_array().size(), 1U);
  const Answer history = test.Call("GET", "/admin/v1/history?limit=5");
  EXPECT_EQ(history.body.at("changes").as_array().at(0).at("changeId").as_string(), "c-1");
  EXPECT_EQ(test.Call("GET", "/admin/v1/catalogue/model/other").status, 404U);
}

// Guards against lost updates: two operators read revision 1 and both write, and the second write
// overwrites the first, which was already acknowledged. This happens if writes don't name the
// revision that they are based on, or if it is not checked when the log is applied.
TEST(ControlCatalogue, OfTwoOperatorsWithEqualRevisionsExactlyOneWins)
{
  OneControl test;
  ASSERT_EQ(test.Post(Change("c-1", ModelWrite("hire-assist", "v1", "0"))).status, 200U);

  SECTION("both changes arrive in one tick, before either is committed")
  {
    const auto outbox = test.control.Tick(
      { Called(
          100, "POST", "/admin/v1/catalogue", Change("a", ModelWrite("hire-assist", "v2", "1"))),
        Called(
          101, "POST", "/admin/v1/catalogue", Change("b", ModelWrite("hire-assist", "v3", "1"))) });
    auto after = test.control.Tick();
    after.insert(after.end(), outbox.begin(), outbox.end());
    const auto first = AnswerOf(after, 100);
    const auto second = AnswerOf(after, 101);
    ASSERT_TRUE(first && second);
    EXPECT_EQ(first->status, 200U);
    EXPECT_EQ(second->status, 409U);
    SECTION("the refused operator receives the current entry")
    {
      EXPECT_THAT(Text(second->body), HasSubstr("has revision 2, not 1"));
      EXPECT_THAT(Text(second->body.at("current")), HasSubstr("\"v2\""));
    }
  }
  const Answer now = test.Call("GET", "/admin/v1/catalogue/model/hire-assist");
  EXPECT_THAT(Text(now.body), HasSubstr("\"v2\""));
  EXPECT_EQ(now.body.at("revision").to_number<int>(), 2);
}

// Guards against a repeated change that undoes a later one: A's change commits but its answer is
// lost, B changes the entry, and A sends its change again. This happens if the change id and its
// first outcome are not recorded.
TEST(ControlCatalogue, AResentChangeTakesEffectOnceAndGetsItsFirstOutcome)
{
  OneControl test;
  const std::string change = Change("a", ModelWrite("hire-assist", "v1", "null"));
  const Answer first = test.Post(change);
  ASSERT_EQ(first.status, 200U);
  ASSERT_EQ(test.Post(Change("b", ModelWrite("hire-assist", "v2", "null"))).status, 200U);

  SECTION("the first outcome is returned again and nothing changes")
  {
    EXPECT_EQ(Text(test.Post(change).body), Text(first.body));
  }
  SECTION("also when both copies of the change are in the log")
  {
    test.log->holdBack = true;
    const std::string other = Change("d", ModelWrite("hire-assist", "v4", "2"));
    test.control.Tick({ Called(200, "POST", "/admin/v1/catalogue", other),
                        Called(201, "POST", "/admin/v1/catalogue", other) });
    test.log->Commit();
    test.log->holdBack = false;
    const auto outbox = test.control.Tick();
    EXPECT_EQ(AnswerOf(outbox, 200)->status, 200U);
    EXPECT_EQ(AnswerOf(outbox, 201)->status, 200U);
    EXPECT_EQ(test.Call("GET", "/admin/v1/catalogue/model/hire-assist")
                .body.at("revision")
                .to_number<int>(),
              3);
  }
  SECTION("a refused change keeps its first outcome too")
  {
    const std::string refused = Change("e", ModelWrite("hire-assist", "v9", "1"));
    EXPECT_EQ(test.Post(refused).status, 409U);
    EXPECT_EQ(test.Post(refused).status, 409U);
  }
  SECTION("one id for two different changes is refused")
  {
    EXPECT_EQ(test.Post(Change("a", ModelWrite("hire-assist", "v7", "null"))).status, 409U);
  }
  SECTION("the outcomes survive a snapshot")
  {
    const auto snapshot = test.control.role->TakeSnapshot();
    test.control.Restart(snapshot, test.control.applied);
    test.control.Lead(2);
    EXPECT_EQ(Text(test.Post(change).body), Text(first.body));
  }
}

TEST(ControlCatalogue, AllWritesOfAChangeTakeEffectOrNone)
{
  OneControl test;
  ASSERT_EQ(test.Post(Change("a", ModelWrite("one", "v1", "0"))).status, 200U);
  const Answer refused =
    test.Post(Change("b", ModelWrite("two", "v1", "0") + "," + ModelWrite("one", "v2", "7")));
  EXPECT_EQ(refused.status, 409U);
  EXPECT_EQ(test.Call("GET", "/admin/v1/catalogue/model/two").status, 404U);

  SECTION("a name that is both a model and a service is refused")
  {
    const Answer both = test.Post(
      Change("c", R"({"entry":{"kind":"service","name":"one","owner":"x"},"expectedRevision":0})"));
    EXPECT_EQ(both.status, 409U);
    EXPECT_THAT(Text(both.body), HasSubstr("both a model and a service"));
  }
  SECTION("two workspaces with one token are refused")
  {
    const std::string workspace =
      R"(","owner":"x","spec":{"tokenHash":")" + TokenHash("t") + R"("}},"expectedRevision":0})";
    const Answer shared =
      test.Post(Change("d",
                       R"({"entry":{"kind":"workspace","name":"site-1)" + workspace +
                         R"(,{"entry":{"kind":"workspace","name":"site-2)" + workspace));
    EXPECT_EQ(shared.status, 409U);
    EXPECT_THAT(Text(shared.body), HasSubstr("share a token"));
  }
  SECTION("after a removal an old revision doesn't match the new entry")
  {
    const std::string removal =
      R"({"entry":{"kind":"model","name":"one"},"expectedRevision":1,"remove":true})";
    EXPECT_EQ(test.Post(Change("e", removal)).status, 200U);
    EXPECT_EQ(test.Call("GET", "/admin/v1/catalogue/model/one").status, 404U);
    EXPECT_EQ(test.Post(Change("f", ModelWrite("one", "v1", "0"))).status, 200U);
    EXPECT_EQ(test.Post(Change("g", ModelWrite("one", "v9", "1"))).status, 409U);
  }
}

TEST(ControlCatalogue, TheHistoryOfChangesIsBounded)
{
  CatalogueTable table;
  const std::size_t large = CatalogueTable::kMaxChangeBytes / 10;
  for (std::uint64_t index = 1; index <= 30; ++index) {
    wire::ChangeCatalogueT change;
    change.changeId = "c-" + std::to_string(index);
    change.writes.push_back(std::make_unique<wire::CatalogueWriteT>());
    change.writes[0]->expectedRevision = kAnyRevision;
    change.writes[0]->item = std::make_unique<wire::CatalogueItemT>();
    change.writes[0]->item->name = "one";
    change.writes[0]->item->spec.assign(large, ' ');
    table.Apply(LogIndex(index), change);
  }
  EXPECT_LT(table.Changes().size(), 11U);
  EXPECT_EQ(table.FindChange("c-1"), nullptr);
  ASSERT_NE(table.FindChange("c-30"), nullptr);
  EXPECT_TRUE(table.FindChange("c-30")->ok);
}

TEST(ControlCatalogue, InvalidCallsAreAnsweredWithAReason)
{
  OneControl test;
  SECTION("no token and a wrong token")
  {
    const auto outbox = test.control.Tick({ Called(1, "GET", "/admin/v1/status", "", "guess") });
    EXPECT_EQ(AnswerOf(outbox, 1)->status, 401U);
  }
  SECTION("invalid JSON, and several invalid fields in one answer")
  {
    EXPECT_EQ(test.Post("{").status, 400U);
    const Answer bad = test.Post(
      Change("a", R"({"entry":{"kind":"model","name":"m","owner":"o","spec":{"replicas":-1}}},7)"));
    EXPECT_EQ(bad.status, 400U);
    EXPECT_THAT(Text(bad.body), HasSubstr("writes[0]: spec.version is missing"));
    EXPECT_THAT(Text(bad.body), HasSubstr("spec.replicas is -1"));
    EXPECT_THAT(Text(bad.body), HasSubstr("writes[1]"));
    EXPECT_EQ(test.Post(R"({"changeId":7,"operator":"","writes":[]})").status, 400U);
  }
  SECTION("unknown paths and methods")
  {
    EXPECT_EQ(test.Call("GET", "/admin/v2/status").status, 404U);
    EXPECT_EQ(test.Call("GET", "/admin/v1/nothing").status, 404U);
    EXPECT_EQ(test.Call("GET", "/admin/v1/%zz").status, 400U);
    EXPECT_EQ(test.Call("DELETE", "/admin/v1/catalogue").status, 405U);
    EXPECT_EQ(test.Call("GET", "/admin/v1/requests/xyz").status, 400U);
    EXPECT_EQ(test.Call("GET", "/admin/v1/requests/entry-1.1.1").status, 503U);
  }
  SECTION("a follower names the leader")
  {
    test.control.leader = false;
    test.control.leaderHint = ProcessId("control-2");
    const Answer pointed = test.Call("GET", "/admin/v1/status");
    EXPECT_EQ(pointed.status, 421U);
    EXPECT_EQ(pointed.body.at("leader").at("process").as_string(), "control-2");
    test.control.leaderHint = ProcessId();
    EXPECT_EQ(test.Call("GET", "/admin/v1/status").status, 503U);
  }
}

// Guards against a refusal (503), or a statement that it has no effect, of a change that was
// proposed and is committed later.
TEST(ControlCatalogue, AChangeThatMayBeCommittedIsNeverCalledWithoutEffect)
{
  OneControl test;
  test.log->holdBack = true;
  const std::string body = Change("a", ModelWrite("one", "v1", "0"));
  test.control.Tick({ Called(901, "POST", "/admin/v1/catalogue", body) });
  SECTION("it is sent again, and can't be proposed again")
  {
    test.control.Tick({ HttpCallerGone{ ExchangeId(901) } });
    test.control.refuseProposals = true;
    const Answer again = test.Post(body);
    EXPECT_EQ(again.status, 503U);
    EXPECT_THAT(Text(again.body), Not(HasSubstr("no effect")));
    EXPECT_THAT(Text(again.body), HasSubstr("earlier call"));
    test.control.refuseProposals = false;
  }
  SECTION("its leader loses the lead")
  {
    test.control.Tick({ Called(902, "POST", "/admin/v1/catalogue", body) });
    test.control.leader = false;
    test.control.leaderHint = ProcessId("control-2");
    const auto outbox = test.control.Tick();
    ASSERT_TRUE(AnswerOf(outbox, 902));
    EXPECT_EQ(AnswerOf(outbox, 902)->status, 504U);
    EXPECT_EQ(AnswerOf(outbox, 902)->body.at("error").at("code").as_string(), "timeout");
    test.control.Lead(2);
  }
  test.log->holdBack = false;
  test.log->Commit();
  test.control.Tick();
  EXPECT_EQ(test.Post(body).status, 200U) << "the first call was committed";
}

// Guards against the confirmation of an outdated catalogue: the leader is partitioned from the
// other control processes without noticing, a new leader commits a change, and the old leader
// confirms the old version. This happens if a leader answers from its own state without a quorum.
TEST(ControlCatalogue, ALeaderWithoutQuorumConfirmsNothing)
{
  OneControl test;
  ASSERT_EQ(test.Post(Change("a", ModelWrite("one", "v1", "0"))).status, 200U);
  wire::ConfigQueryT query;
  query.nonce = 5;
  query.haveVersion = 0;
  SECTION("with a quorum the query is answered")
  {
    const auto answers =
      Sent<wire::ConfigStateT>(test.control.Tick({ From("entry-1", wire::ConfigQueryT(query)) }));
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].second.nonce, 5U);
    EXPECT_EQ(answers[0].second.items.size(), 1U);
  }
  SECTION("while partitioned, it answers neither processes nor operators")
  {
    test.control.cutOff = true;
    test.control.now += milliseconds(50);
    auto outbox = test.control.Tick(
      { From("entry-1", wire::ConfigQueryT(query)), Called(77, "GET", "/admin/v1/catalogue") });
    for (ControlOutput& output : test.control.Run(seconds(10))) {
      outbox.push_back(std::move(output));
    }
    EXPECT_TRUE(Sent<wire::ConfigStateT>(outbox).empty());
    EXPECT_EQ(AnswerOf(outbox, 77)->status, 503U);
  }
  SECTION("a follower answers nothing")
  {
    ControlNode follower("control-2", test.log, MakeControlSettings("control-2"));
    follower.leaderHint = ProcessId("control-1");
    EXPECT_TRUE(
      Sent<wire::ConfigStateT>(follower.Tick({ From("entry-1", wire::ConfigQueryT(query)) }))
        .empty());
  }
}

TEST(ControlCatalogue, StatusTellsWhenAChangeIsInForceEverywhere)
{
  OneControl test;
  test.control.Tick({ Up("entry-1", "entry"), Up("entry-2", "entry") });
  auto outbox = test.control.Tick(
    { Called(9, "POST", "/admin/v1/catalogue", Change("a", ModelWrite("one", "v1", "0"))) });
  const auto pushed = Sent<wire::ConfigStateT>(test.control.Run(milliseconds(100)));
  SECTION("a new version is pushed to every entry, without confirming anything")
  {
    ASSERT_EQ(pushed.size(), 2U);
    EXPECT_EQ(pushed[0].second.nonce, 0U);
  }
  wire::InForceT inForce;
  inForce.version = pushed.at(0).second.version;
  const auto change = [&] {
    return test.Call("GET", "/admin/v1/status").body.at("changes").as_array().at(0);
  };
  SECTION("while one process lags, it is named")
  {
    test.control.Tick({ From("entry-1", wire::InForceT(inForce)) });
    test.control.Run(seconds(1));
    EXPECT_TRUE(change().at("inForceEverywhereAtMs").is_null());
    EXPECT_EQ(Text(change().at("lagging")), R"(["entry-2"])");
  }
  SECTION("with the last report it is in force everywhere")
  {
    test.control.Tick({ From("entry-2", wire::InForceT(inForce)) });
    test.control.Run(seconds(1));
    EXPECT_TRUE(change().at("inForceEverywhereAtMs").is_int64());
  }
}

} // namespace
} // namespace gooseberrysail::test
