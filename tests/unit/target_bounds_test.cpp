#include "gooseberrysail/serving/target_table.hpp"
#include "platform/control_adapter.hpp"
#include "support/control_cluster.hpp"
#include "support/memory_watch.hpp"
#include "support/section.hpp"

#include <map>
#include <unistd.h>
#include <utility>

namespace gooseberrysail::test {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kInvalid = 400;
constexpr unsigned kUnavailable = 503;
constexpr std::uint64_t kKnownTargets = 4000;
constexpr std::uint64_t kStrangers = 20'000;
constexpr std::uint64_t kLongLists = 1000;
/// More than any design for the system has.
constexpr std::uint64_t kMostTargets = 10'000;

std::string PathOf(std::uint64_t target)
{
  return "/api/instances/i-" + std::to_string(target);
}

std::string Registration(std::uint64_t sequence, const std::string& staged)
{
  return R"({"service":"a","address":"10.0.0.9:80","zone":"z","version":"v1","slots":3,)"
         R"("state":"ready","coldLeftMs":0,"seq":)" +
         std::to_string(sequence) + R"(,"staged":[)" + staged + "]}";
}

/// Enough to commit the departures of all targets that were named in one tick.
constexpr int kTicksPerCalls = 40;

/// \brief A control process that accepts registrations, as the leader.
class Registrar
{
public:
  Registrar()
    : node("control-1", std::make_shared<ScriptedLog>(), MakeControlSettings("control-1"))
  {
    node.outside = platform::MakeOutsideApi("127.0.0.1:7340");
    node.Restart();
    node.Lead(1);
  }

  /// \brief Makes one call for each target in a range, all in one tick, and awaits the answers.
  /// \returns The answers, by status.
  std::map<unsigned, std::uint64_t> CallForEach(std::uint64_t first,
                                                std::uint64_t count,
                                                const std::string& method,
                                                const std::string& body)
  {
    std::vector<ControlInput> calls;
    for (std::uint64_t target = first; target < first + count; ++target) {
      calls.push_back(Called(++m_exchange, method, PathOf(target), body));
    }
    std::map<unsigned, std::uint64_t> answers;
    for (int tick = 0; tick < kTicksPerCalls; ++tick) {
      for (const ControlOutput& output : node.Tick(std::exchange(calls, {}))) {
        if (const auto* answer = std::get_if<HttpAnswerOut>(&output)) {
          ++answers[answer->status.value_or(0)];
        }
      }
    }
    return answers;
  }

  ControlNode node;

private:
  std::uint64_t m_exchange = 0;
};

// Guards against a control process without memory: one sender registers, or signs off, under a new
// name with each call, and each name takes a row for a minute.
TEST(TargetBounds, StrangersTakeABoundedNumberOfRows)
{
  const std::string body = Registration(1, "");
  for (const char* method : { "PUT", "DELETE" }) {
    Registrar control;
    EXPECT_EQ(control.CallForEach(0, kKnownTargets, "PUT", body)[kOk], kKnownTargets);
    std::map<unsigned, std::uint64_t> answers =
      control.CallForEach(kKnownTargets, kStrangers, method, body);
    EXPECT_LE(answers[kOk] + kKnownTargets, kMostTargets) << method;
    EXPECT_EQ(answers[kOk] + answers[kUnavailable], kStrangers) << method;
    SECTION("the targets that it knows are still heard")
    {
      EXPECT_EQ(control.CallForEach(0, kKnownTargets, "PUT", Registration(2, ""))[kOk],
                kKnownTargets);
      EXPECT_EQ(control.CallForEach(0, kKnownTargets, "DELETE", "")[kOk], kKnownTargets);
    }
    SECTION("a minute later others have room")
    {
      control.node.Run(TargetTable::kDepartedRetention + seconds(2));
      EXPECT_EQ(control.CallForEach(kKnownTargets, 1, "PUT", Registration(3, ""))[kOk], 1U);
    }
  }
}

// Guards against a control process without memory: a registration of 16 KB lists thousands of
// models without a name, each of which takes a string in the table.
TEST(TargetBounds, LongListsAreNotKept)
{
  std::string staged = R"("")";
  for (int entry = 1; entry < 5000; ++entry) {
    staged += R"(,"")";
  }
  Registrar control;
  [[maybe_unused]] const std::size_t before = MeasureMemory(getpid(), {}).residentBytes;
  std::map<unsigned, std::uint64_t> answers;
  for (std::uint64_t first = 0; first < kLongLists; first += 100) {
    for (const auto& [status, count] :
         control.CallForEach(first, 100, "PUT", Registration(1, staged))) {
      answers[status] += count;
    }
  }
  EXPECT_EQ(answers[kInvalid], kLongLists);
#ifndef __SANITIZE_ADDRESS__ // The sanitizer keeps memory that was freed.
  const std::size_t after = MeasureMemory(getpid(), {}).residentBytes;
  EXPECT_LE(after, before + std::size_t{ 32 } * 1024 * 1024);
#endif
  SECTION("the longest registration of a replica is accepted")
  {
    const std::string name(40, 'm');
    const std::string models = '"' + name + R"(",")" + name + '"';
    EXPECT_EQ(control.CallForEach(kLongLists, 1, "PUT", Registration(1, models))[kOk], 1U);
  }
}

} // namespace
} // namespace gooseberrysail::test
