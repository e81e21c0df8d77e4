#include "gooseberrysail/gateway/feed_client.hpp"
#include "support/feed_world.hpp"
#include "support/section.hpp"

#include <deque>
#include <gmock/gmock.h>
#include <map>
#include <random>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;
using ::testing::ElementsAre;
using ::testing::IsEmpty;
using tests::FeedWorld;

ServedTarget Head(const std::string& name, std::uint32_t slots = 28)
{
  return { InstanceId(name), "assist", name + ":80", FailureDomainId("a"), slots, false, "large" };
}

/// \brief A FeedClient with the dispatcher that it updates.
class Client
{
public:
  explicit Client(std::vector<std::string> controls = { "control-1" })
    : m_feed(Controls(controls),
             FailureDomainId("a"),
             [](std::string_view) -> Result<ServingDocument> { return ServingDocument{}; })
    , m_dispatcher({}, {}, FailureDomainId("a"), [] { return 0; })
  {
  }

  void Receive(TimePoint now,
               const wire::ServingStateT& state,
               const std::string& peer = "control-1")
  {
    m_feed.OnState(now, ProcessId(peer), state, m_dispatcher, m_outbox);
  }

  /// The queries that are due, by receiver.
  std::map<std::string, wire::ServingQueryT> Ask(TimePoint now)
  {
    m_outbox.clear();
    m_feed.Tick(now, m_dispatcher, m_outbox);
    std::map<std::string, wire::ServingQueryT> queries;
    for (const GatewayOutput& output : m_outbox) {
      const auto& frame = std::get<FrameOut>(output);
      queries[frame.peer.Get()] = *frame.envelope->body.AsServingQuery();
    }
    return queries;
  }

  void LosePeer(const std::string& peer) { m_feed.OnPeerDown(ProcessId(peer)); }
  void AddPeer() { m_feed.OnPeerUp(); }

  [[nodiscard]] std::vector<std::string> Names() const
  {
    std::vector<std::string> names;
    for (const auto& [instance, target] : Targets()) {
      names.push_back(instance.Get());
    }
    return names;
  }

  [[nodiscard]] std::map<InstanceId, ServedTarget> Targets() const
  {
    std::map<InstanceId, ServedTarget> targets;
    for (const auto& [instance, row] : m_dispatcher.Selector().Rows()) {
      targets.emplace(instance, row.target);
    }
    return targets;
  }

private:
  static std::vector<EntrySettings::Control> Controls(const std::vector<std::string>& names)
  {
    std::vector<EntrySettings::Control> controls;
    for (const std::string& name : names) {
      controls.push_back({ ProcessId(name), name + ":7100" });
    }
    return controls;
  }

  FeedClient m_feed;
  Dispatcher m_dispatcher;
  std::vector<GatewayOutput> m_outbox;
};

wire::ServingStateT State(std::uint64_t term,
                          std::uint64_t base,
                          std::uint64_t sequence,
                          const std::vector<ServedTarget>& targets,
                          std::vector<std::string> gone = {})
{
  wire::ServingStateT state;
  state.leader = true;
  state.term = term;
  state.wholeTargets = base == 0;
  state.targetsBase = base;
  state.targetsSequence = sequence;
  for (const ServedTarget& target : targets) {
    state.targets.push_back(std::make_unique<wire::ServingTargetT>(ToWire(TimePoint(1h), target)));
  }
  state.goneTargets = std::move(gone);
  return state;
}

TEST(FeedClient, AppliesChanges)
{
  Client client;
  const TimePoint now{ 1h };
  client.Receive(now, State(3, 0, 4, { Head("h1"), Head("h2") }));
  ASSERT_THAT(client.Names(), ElementsAre("h1", "h2"));
  client.Receive(now, State(3, 4, 5, { Head("h3") }, { "h1" }));
  EXPECT_THAT(client.Names(), ElementsAre("h2", "h3"));
  SECTION("a change that repeats known changes and adds more")
  {
    client.Receive(now, State(3, 4, 6, { Head("h3", 34), Head("h4") }, { "h1" }));
    EXPECT_THAT(client.Names(), ElementsAre("h2", "h3", "h4"));
    EXPECT_EQ(client.Targets().at(InstanceId("h3")).slots, 34U);
  }
  SECTION("but no older state")
  {
    client.Receive(now, State(3, 0, 4, { Head("h1") }));
    client.Receive(now, State(2, 0, 9, { Head("h9") }));
    EXPECT_THAT(client.Names(), ElementsAre("h2", "h3", "h4"));
  }
  SECTION("and the whole list of a new leader, whose sequence starts again")
  {
    client.Receive(now, State(4, 0, 1, { Head("h5") }), "control-2");
    EXPECT_THAT(client.Names(), ElementsAre("h5"));
  }
}

// A change contains only the differences since the change before it. If an entry applied one after
// a lost change, it would keep using a removed head until that head changes again.
TEST(FeedClient, RequestsAMissedChangeAtOnce)
{
  Client client;
  const TimePoint now{ 1h };
  client.Receive(now, State(3, 0, 4, { Head("h1"), Head("h2") }));
  client.Ask(now);
  SECTION("of this leader")
  {
    client.Receive(now + 1ms, State(3, 5, 6, { Head("h3") }));
  }
  SECTION("of a new leader")
  {
    client.Receive(now + 1ms, State(4, 5, 6, { Head("h3") }), "control-1");
  }
  EXPECT_THAT(client.Names(), ElementsAre("h1", "h2"));
  const auto queries = client.Ask(now + 2ms);
  ASSERT_EQ(queries.count("control-1"), 1U);
  EXPECT_TRUE(queries.at("control-1").sendAgain);
  EXPECT_EQ(queries.at("control-1").haveTargets, 4U);
}

// Only the leader uses the observations. 52 entries that sent theirs of 65 heads to five processes
// twice a second caused more traffic than all changes.
TEST(FeedClient, SendsObservationsOnlyToTheLeader)
{
  Client client({ "control-1", "control-2" });
  const TimePoint now{ 1h };
  client.Ask(now);
  client.Receive(now, State(3, 0, 4, { Head("h1") }), "control-2");
  const auto toLeader = client.Ask(now + 1ms); // At once: it has no demand of this entry yet.
  ASSERT_EQ(toLeader.size(), 1U);
  EXPECT_EQ(toLeader.at("control-2").haveTargets, 4U);
  const auto queries = client.Ask(now + 6s);
  ASSERT_EQ(queries.size(), 2U);
  EXPECT_EQ(queries.at("control-1").haveTargets, 4U);
  EXPECT_THAT(queries.at("control-1").heads, IsEmpty());
}

// Guards against traffic that grows with entries x control processes: queries that nobody can
// answer.
TEST(FeedClient, QueriesAllProcessesOnlyWhileNoneIsKnownToLead)
{
  Client client({ "control-1", "control-2", "control-3" });
  TimePoint now{ 1h };
  const auto countQueries = [&](Duration duration) {
    std::size_t queries = 0;
    for (const TimePoint until = now + duration; now < until; now += 100ms) {
      queries += client.Ask(now).size();
    }
    return queries;
  };
  EXPECT_EQ(countQueries(2s), 12U) << "twice a second to each, as none has answered";
  client.Receive(now, State(3, 0, 4, { Head("h1") }), "control-2");
  EXPECT_LE(countQueries(10s), 20U + 3 * 2U) << "the others each five seconds";
  SECTION("the connection to the leader is lost")
  {
    client.LosePeer("control-2");
    EXPECT_GE(countQueries(1s), 6U);
  }
  SECTION("it answers that it doesn't lead any more")
  {
    client.Receive(now, wire::ServingStateT(), "control-2");
    EXPECT_EQ(client.Ask(now).size(), 3U);
    for (int answer = 0; answer < 100; ++answer) {
      client.Receive(now, wire::ServingStateT(), "control-2");
      EXPECT_THAT(client.Ask(now), IsEmpty()) << "further answers cause no queries";
    }
  }
  SECTION("a connection is made, perhaps to a new leader")
  {
    client.Ask(now);
    client.AddPeer();
    EXPECT_EQ(client.Ask(now).size(), 3U);
  }
}

/// \brief A leader, entries and the connections between them. Frames are delayed, and are lost when
/// their connection breaks.
class FeedSchedule
{
public:
  explicit FeedSchedule(std::uint64_t seed)
    : m_random(seed)
  {
    m_world.feed.SetTargetsComplete(true);
    m_world.replication.term = Term(1);
    for (std::size_t entry = 0; entry < kEntries; ++entry) {
      m_entries.emplace_back();
    }
  }

  void Step()
  {
    m_world.now += std::chrono::milliseconds(Draw(30));
    switch (Draw(12)) {
      case 0:
        BreakConnection(m_entries[Draw(kEntries)]);
        break;
      case 1:
        Restart(m_entries[Draw(kEntries)]);
        break;
      case 2:
        ChangeLeader();
        break;
      default:
        ChangeTarget();
        break;
    }
    Run();
  }

  /// Runs without changes and with all connections up.
  void Settle()
  {
    constexpr int kSteps = 600; // About ten seconds, enough for a query and the retransmissions.
    for (int step = 0; step < kSteps; ++step) {
      m_world.now += 15ms;
      Run();
    }
  }

  void ExpectAllEqual()
  {
    for (const Entry& entry : m_entries) {
      EXPECT_EQ(entry.client.Targets(), m_targets);
    }
  }

private:
  static constexpr std::size_t kEntries = 3;

  struct Entry
  {
    Client client;
    std::deque<wire::ServingQueryT> toControl;
    std::deque<std::shared_ptr<wire::EnvelopeT>> toEntry;
  };

  std::size_t Draw(std::size_t count) { return m_random() % count; }

  std::string NameOf(const Entry& entry) const
  {
    return "entry-" + std::to_string(&entry - m_entries.data());
  }

  void BreakConnection(Entry& entry)
  {
    entry.toControl.clear();
    entry.toEntry.clear();
    m_world.feed.OnPeerDown(ProcessId(NameOf(entry)));
  }

  void Restart(Entry& entry)
  {
    BreakConnection(entry);
    entry.client = Client();
  }

  void ChangeLeader()
  {
    m_world.replication.term = Term(m_world.replication.term.Get() + 1);
    m_world.feed.OnLeaderStart();
  }

  void ChangeTarget()
  {
    const std::string name = "h" + std::to_string(Draw(12));
    const auto found = m_targets.find(InstanceId(name));
    if (found != m_targets.end() && Draw(2) == 0) {
      m_targets.erase(found);
    } else {
      ServedTarget target = Head(name, static_cast<std::uint32_t>(Draw(4)));
      target.leaving = Draw(4) == 0;
      m_targets.insert_or_assign(target.instance, target);
    }
  }

  void Run()
  {
    std::vector<ServedTarget> list;
    for (const auto& [instance, target] : m_targets) {
      list.push_back(target);
    }
    m_world.feed.SetTargets(list);
    for (Entry& entry : m_entries) {
      for (auto& [control, query] : entry.client.Ask(m_world.now)) {
        entry.toControl.push_back(std::move(query));
      }
      Deliver(entry.toControl,
              [&](wire::ServingQueryT& query) { m_world.Ask(NameOf(entry), std::move(query)); });
    }
    m_world.Tick();
    for (FrameOut& frame : m_world.TakeFrames()) {
      for (Entry& entry : m_entries) {
        if (frame.peer.Get() == NameOf(entry)) {
          entry.toEntry.push_back(frame.envelope);
        }
      }
    }
    for (Entry& entry : m_entries) {
      Deliver(entry.toEntry, [&](const std::shared_ptr<wire::EnvelopeT>& frame) {
        entry.client.Receive(m_world.now, *frame->body.AsServingState());
      });
    }
  }

  /// Delivers some of the pending frames, in order.
  template<class Frame, class Take>
  void Deliver(std::deque<Frame>& frames, const Take& take)
  {
    for (std::size_t count = Draw(4); count > 0 && !frames.empty(); --count) {
      Frame frame = std::move(frames.front());
      frames.pop_front();
      take(frame);
    }
  }

  std::mt19937_64 m_random;
  FeedWorld m_world;
  std::vector<Entry> m_entries;
  std::map<InstanceId, ServedTarget> m_targets;
};

// States may be late, lost with their connection, repeated or sent by a deposed leader. Once
// nothing changes any more, every entry must have the same targets as control.
TEST(FeedClient, EndsWithTheSameTargetsAsControl)
{
  constexpr std::uint64_t kSeeds = 60;
  constexpr int kSteps = 120;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FeedSchedule schedule(seed);
    for (int step = 0; step < kSteps; ++step) {
      schedule.Step();
    }
    schedule.Settle();
    schedule.ExpectAllEqual();
    ASSERT_FALSE(testing::Test::HasFailure()) << "seed " << seed;
  }
}

} // namespace
} // namespace gooseberrysail
