#pragma once

#include "gooseberrysail/gateway/dispatcher.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace gooseberrysail::tests {

/// \brief A request of a caller, and what became of it.
struct CallerRecord
{
  std::string route = "/a/"; ///< "/a/" or "/b/".
  std::string key = "k0";    ///< Of workspace 0; "k1" of workspace 1, and so on.
  std::uint32_t promptTokens = 0;
  std::uint32_t outputTokens = 0;
  TimePoint at{}; ///< Of its first attempt.
  std::uint32_t attempts = 0;
  bool hasWaited = false; ///< It came back when it had been told to.
  TimePoint firstEventAt{};
  bool isServed = false;
  bool hasFailed = false; ///< The latest attempt was answered with an error other than a refusal.

  [[nodiscard]] bool IsInTime(Duration objective) const
  {
    return isServed && firstEventAt - at <= objective;
  }
};

/// \brief Entries that serve one model under load, and its heads, in virtual time.
/// \remarks A head works in passes: each reads up to kTokensPerPass tokens of the prompts in their
/// order and, if any request writes, ends with an event of each. A caller who is refused comes back
/// once, at another entry, when it was told to, but after a third of its time left at the latest.
class LoadedEntries
{
public:
  struct Options
  {
    std::size_t entries = 1;
    std::vector<double> headPaces = { 1.0 }; ///< Factor on its times, by head.
    std::uint32_t priorityOfA = 1;           ///< Of the route "/a/".
    std::uint32_t priorityOfB = 1;
    std::size_t workspaces = 1;
    std::uint32_t callerRepeats = 0; ///< Attempts that a refused caller makes at once besides.
    std::function<void(Dispatcher&)> setUp = [](Dispatcher&) {};
  };

  explicit LoadedEntries(Options options);
  ~LoadedEntries();
  LoadedEntries(const LoadedEntries&) = delete;
  LoadedEntries& operator=(const LoadedEntries&) = delete;

  /// \brief Sends a request at a random entry. The record is valid until the end of the test.
  const CallerRecord& Ask(CallerRecord request);

  /// \brief Sends requests like this one at random times, `perSecond` on average.
  void AskSteadily(const CallerRecord& request, double perSecond, Duration duration);

  /// \brief Advances time.
  void Run(Duration duration);

  /// \brief Requests a second that the heads serve of these, with all slots in use.
  [[nodiscard]] static double CapacityOf(double promptTokens, double outputTokens, double heads);

  [[nodiscard]] const std::deque<CallerRecord>& Records() const { return m_records; }
  [[nodiscard]] Dispatcher& Entry(std::size_t index);

  static constexpr Duration kObjective = std::chrono::milliseconds(400);
  static constexpr Duration kTimeout = std::chrono::seconds(8);
  static constexpr std::uint32_t kSlots = 48;
  static constexpr double kTokensPerSecond = 56'100;
  static constexpr std::uint32_t kTokensPerPass = 2048;
  static constexpr std::uint32_t kTokensPerEvent = 5;
  static constexpr Duration kStepTime = std::chrono::microseconds(6450);
  static constexpr Duration kStepTimePerRequest = std::chrono::microseconds(95);

  TimePoint now{ std::chrono::hours(1) };

private:
  struct Node;
  struct Head;
  struct Call;

  void Send(CallerRecord& record, Duration timeLeft);
  void Process(std::size_t entry);
  void OnAnswer(std::size_t entry, const HttpAnswerOut& answer);
  void OnRefused(CallerRecord& record, const HttpAnswerOut& answer);
  void Arrive(std::size_t entry, const TargetCallOut& call);
  void BeginPass(Head& head);
  void EndPass(Head& head);
  void Deliver(std::size_t entry, TargetAnswerIn part);
  void At(TimePoint time, std::function<void()> action);

  Options m_options;
  std::mt19937_64 m_random{ 1 };
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::map<std::string, std::unique_ptr<Head>> m_heads; ///< By address.
  std::multimap<TimePoint, std::function<void()>> m_actions;
  std::deque<CallerRecord> m_records;
  ServingSnapshot m_snapshot;
  std::uint64_t m_lastExchange = 0;
};

} // namespace gooseberrysail::tests
