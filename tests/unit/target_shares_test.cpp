#include "gooseberrysail/gateway/target_selector.hpp"
#include "support/section.hpp"

#include <gmock/gmock.h>
#include <map>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t kSlots = 28;

ServedTarget Head(const std::string& name, const std::string& domain)
{
  return {
    InstanceId(name), "assist", name + ":80", FailureDomainId(domain), kSlots, false, "large"
  };
}

/// \brief One of fifty entries, which may use three slots at each of two heads.
class ShareWorld
{
public:
  ShareWorld()
  {
    board.Replace(TimePoint{}, Heads());
    board.SetEntries(50);
    constexpr double kThreeSlots = 3.0 / kSlots;
    board.SetShares({ { InstanceId("h1"), kThreeSlots }, { InstanceId("h2"), kThreeSlots } });
  }

  static std::vector<ServedTarget> Heads()
  {
    return { Head("h1", "a"), Head("h2", "a"), Head("h3", "b"), Head("h4", "b") };
  }

  /// Sends requests until no head takes one.
  /// \returns The number sent to each head.
  std::map<std::string, int> Fill()
  {
    std::map<std::string, int> sent;
    const std::set<InstanceId> none;
    while (const ServedTarget* head = board.Choose(now, { "assist", "large", none })) {
      ++sent[head->instance.Get()];
      board.OnSent(now, { head->instance, head->born });
    }
    return sent;
  }

  std::uint64_t randomCalls = 0;
  TargetSelector board{ FailureDomainId("a"), [this] { return randomCalls++; } };
  TimePoint now{ 1h };
};

// Without shares, fifty entries overfill some heads while others are idle.
TEST(TargetShares, AnEntryFillsItsOwnSlotsAndBorrowsFew)
{
  ShareWorld world;
  const auto sent = world.Fill();
  EXPECT_EQ(sent.at("h1"), 3);
  EXPECT_EQ(sent.at("h2"), 3);
  const int borrowed =
    (sent.contains("h3") ? sent.at("h3") : 0) + (sent.contains("h4") ? sent.at("h4") : 0);
  EXPECT_GE(borrowed, 1);
  EXPECT_LE(borrowed, 2);
  const std::set<InstanceId> none;
  EXPECT_EQ(world.board.ReasonForNoTarget(world.now, { "assist", "large", none }),
            NoTargetReason::kFull);
}

// When all heads of an entry's share were removed while control is unreachable, the entry must not
// be limited to borrowed slots at the other heads, or it would refuse all callers.
TEST(TargetShares, WithoutAnyHeadOfItsShareAnEntryUsesAllHeads)
{
  ShareWorld world;
  world.board.Replace(TimePoint{}, std::vector<ServedTarget>{ Head("h3", "b"), Head("h4", "b") });
  const auto sent = world.Fill();
  EXPECT_GE(sent.at("h3"), 2);
  EXPECT_GE(sent.at("h4"), 2);
}

// When an entry lost most heads of its share while control is unreachable, a borrowing limit
// relative to its remaining slots left it with nine slots for three times as many callers.
TEST(TargetShares, AnEntryThatLostMostOfItsShareBorrowsWhatIsMissing)
{
  ShareWorld world;
  std::vector<ServedTarget> heads = { Head("h1", "a") };
  for (int number = 10; number < 40; ++number) {
    heads.push_back(Head("h" + std::to_string(number), "b"));
  }
  world.board.Replace(TimePoint{}, heads);
  int sent = 0;
  for (const auto& [head, count] : world.Fill()) {
    sent += count;
  }
  // 31 heads x 28 slots / 50 entries.
  EXPECT_GE(sent, 17);
}

// Ten entries see a newly opened head without load at the same time. If each uses all its slots
// there at once, the head reads about thirty prompts one after the other, and callers wait for five
// seconds (first event p50 441 ms instead of 309 ms, 39 of 86 late).
TEST(TargetShares, ANewlyOpenedHeadIsFilledGradually)
{
  ShareWorld world;
  const std::set<InstanceId> none;
  const auto choose = [&] {
    const ServedTarget* head = world.board.Choose(world.now, { "assist", "large", none });
    const std::string name = head->instance.Get();
    world.board.OnSent(world.now, { head->instance, head->born });
    return name;
  };
  world.board.Change(world.now, std::vector<ServedTarget>{ Head("h5", "a") }, {});
  const double fraction = 3.0 / kSlots;
  world.board.SetShares({ { InstanceId("h1"), fraction },
                          { InstanceId("h2"), fraction },
                          { InstanceId("h5"), fraction } });
  std::set<std::string> first = { choose(), choose() };
  EXPECT_EQ(first.count("h5"), 0U);
  SECTION("and has its full part after the slow start")
  {
    world.now += 3s;
    EXPECT_EQ(choose(), "h5");
  }
}

TEST(TargetShares, ANewlyOpenedHeadIsUsedWhenNoOtherHasCapacity)
{
  ShareWorld world;
  world.board.Change(world.now, std::vector<ServedTarget>{ Head("h5", "a") }, {});
  const double fraction = 3.0 / kSlots;
  world.board.SetShares({ { InstanceId("h1"), fraction }, { InstanceId("h5"), fraction } });
  EXPECT_EQ(world.Fill().at("h5"), 3);
}

} // namespace
} // namespace gooseberrysail
