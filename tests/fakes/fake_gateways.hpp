#pragma once

#include "gooseberrysail/roles/gateway_role.hpp"
#include "support/feed_world.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace gooseberrysail::fakes {

/// \brief What a caller sends.
struct CallerRequest
{
  std::string path = "/stream/1"; ///< "/stream/..." for heads, "/safe/..." for plain targets.
  std::string body;
  std::string key = "secret";
  std::vector<std::string> parts = {}; ///< Of its prompt, that others may share.
};

/// \brief How the crash of a target shows at the entries whose requests it has.
enum class CrashSign
{
  kClosed,     ///< Their connections close before an answer.
  kEndOfCause, ///< As kClosed, but the answer to kCrashBody ends, without framing, after an event.
  kEndOfAll,   ///< All answers end in this way.
};

/// \brief Entries, the serving feed of a leader, and targets under scripted time.
/// \remarks A target begins to run a request kQueueTime after its arrival and takes kRunTime; a
/// head sends an event each kEventInterval. While it runs one with kCrashBody or a deadly part it
/// ends, and returns under another identity after kReturnTime.
class FakeGateways
{
public:
  FakeGateways(std::size_t entries, std::size_t targets, std::uint64_t seed);
  ~FakeGateways();
  FakeGateways(const FakeGateways&) = delete;
  FakeGateways& operator=(const FakeGateways&) = delete;

  /// \brief Sends a request under a new request id.
  void Ask(std::size_t entry, const CallerRequest& request);

  /// \brief Advances time in steps of kStep.
  void Run(Duration duration);

  /// \brief Ends a target's process; its connections close.
  void Crash(const std::string& target);
  /// \brief Sets whether each target ends that runs a request with this part in its prompt.
  void SetDeadly(const std::string& part, bool isDeadly);
  /// \brief Sets how all later crashes show.
  void SetCrashSign(CrashSign sign) { m_crashSign = sign; }
  /// \brief Sets how long control's list still has a target that crashed.
  void SetListLag(Duration lag) { m_listLag = lag; }
  /// \brief Closes the connections to a target, which goes on.
  void CloseConnections(const std::string& target);
  /// \brief Sets the limit of requests a second that a target names in its answers.
  void SetLimit(const std::string& target, std::optional<double> limit);
  /// \brief Lets control say that the target is cold from now on and takes this many requests.
  void SetCold(const std::string& target, Duration coldFor, double perSecond);
  /// \brief Sets whether control says that the target gets no requests.
  void SetClosed(const std::string& target, bool isClosed);
  /// \brief Lets a target reject each request and ask for this backoff; none: it runs them.
  void SetBackoff(const std::string& target, std::optional<Duration> backoff);
  /// \brief Lets a target say in all its answers that it leaves.
  void SetLeaving(const std::string& target);
  /// \brief Whether control's list has a target.
  void SetListed(const std::string& target, bool isListed);
  /// \brief Sets how long it takes to connect to a target.
  void SetDialTime(const std::string& target, Duration dialTime);
  /// \brief Starts a new leader without state.
  void ChangeLeader();
  /// \brief Starts an entry anew without state.
  void RestartEntry(std::size_t entry);
  /// \brief Whether frames between the entry and control are lost.
  void SetCut(std::size_t entry, bool isCut);

  [[nodiscard]] std::size_t Draw(std::size_t count) { return m_random() % count; }
  [[nodiscard]] std::size_t CountEntries() const { return m_entries.size(); }
  /// \brief The running targets of `prefix`: "head" or "plain".
  [[nodiscard]] std::vector<std::string> ListRunning(const std::string& prefix) const;
  /// \brief Times at which a target ended while it ran kCrashBody or a deadly part.
  [[nodiscard]] const std::vector<TimePoint>& Crashes() const { return m_crashes; }
  /// \brief Arrivals of kCrashBody and of deadly parts at running targets since `time`.
  [[nodiscard]] std::size_t CountArrivalsSince(TimePoint time) const;
  /// \brief The requests that a target got since `from`.
  [[nodiscard]] std::size_t CountArrivals(const std::string& target, TimePoint from) const;
  /// \brief The most requests that a target got in any `window` since `from`, from entries that had
  /// answers with its limit kToldTime before.
  [[nodiscard]] std::size_t MostFromToldEntries(const std::string& target,
                                                TimePoint from,
                                                Duration window) const;
  /// \brief The most arrivals at a target within any such window from `from` to `until`.
  [[nodiscard]] std::size_t MostArrivals(const std::string& target,
                                         TimePoint from,
                                         TimePoint until,
                                         Duration window) const;
  /// \brief The most requests that a target got from one entry between kToldTime after it asked
  /// that entry for a backoff and its end.
  [[nodiscard]] std::size_t MostDuringBackoff(const std::string& target) const;
  /// \brief The requests that a target got from entries more than `drainTime` after it had told
  /// them that it leaves.
  [[nodiscard]] std::size_t CountAfterLeaving(const std::string& target, Duration drainTime) const;
  /// \brief How often an entry began to reject the repeats of a request.
  [[nodiscard]] std::size_t CountQuarantined() const { return m_quarantined; }
  /// \brief Statuses of the final answers to requests with this body, with their number.
  [[nodiscard]] std::map<unsigned, std::size_t> Answers(const std::string& body) const;

  /// \brief Requests whose body begins so that got the whole answer of a target.
  [[nodiscard]] std::size_t CountServed(std::string_view bodyPrefix) const;
  /// \brief The parts of prompts that any entry held back, by their fingerprints.
  [[nodiscard]] const std::set<std::string>& HeldParts() const { return m_heldParts; }
  /// \brief The name of a part in HeldParts.
  [[nodiscard]] static std::string NameOf(const std::string& part);

  static constexpr const char* kCrashBody = "crashes each target that runs it";
  static constexpr Duration kStep = std::chrono::milliseconds(5);
  static constexpr Duration kQueueTime = std::chrono::milliseconds(150);
  static constexpr Duration kTimeToCrash = std::chrono::milliseconds(50);
  static constexpr Duration kEventInterval = std::chrono::milliseconds(50);
  static constexpr Duration kRunTime = std::chrono::milliseconds(400);
  static constexpr Duration kReturnTime = std::chrono::seconds(3);
  static constexpr Duration kToldTime = std::chrono::milliseconds(500);

  TimePoint now{ std::chrono::hours(1) };

private:
  struct Entry;
  struct Call
  {
    std::size_t entry = 0;
    std::uint64_t life = 0; ///< Of the entry.
    ExchangeId exchange;
    std::string requestId;
    std::string body;
    std::vector<std::string> parts;
  };
  struct Arrival
  {
    TimePoint at;
    std::size_t entry = 0;
    std::uint64_t life = 0; ///< Of the entry.
  };
  struct Backoff
  {
    Arrival turnedAway;
    TimePoint until;
  };
  struct Target
  {
    ServedTarget self;
    bool isRunning = true;
    bool isListed = true;
    TimePoint crashedAt{}; ///< Where it no longer runs.
    std::optional<Duration> backoff;
    Duration dialTime{};
    std::vector<Backoff> backoffs; ///< That it asked for.
    bool isLeaving = false;
    std::map<std::pair<std::size_t, std::uint64_t>, TimePoint> toldLeavingAt; ///< By entry, life.
    std::map<std::uint64_t, Call> calls; ///< Waiting or running, by number.
    std::optional<double> limit;
    std::vector<Arrival> arrivals;
    std::map<std::size_t, TimePoint> toldAt; ///< First answer with the limit, by entry.
  };

  void AddTarget(const std::string& name);
  void StartEntry(Entry& entry);
  void Handle(std::size_t entry, GatewayOutput output);
  void Dial(const Call& call, const std::string& target);
  void Arrive(const Call& call, const std::string& target);
  void TurnAway(const Call& call, Target& target);
  void BeginToRun(const std::string& target, std::uint64_t number);
  void SendFirstEvent(const std::string& target, std::uint64_t number);
  void SendEvent(const std::string& target,
                 std::uint64_t number,
                 const std::string& data,
                 bool isLast);
  void Finish(const std::string& target, std::uint64_t number);
  [[nodiscard]] bool IsDeadly(const Call& call) const;
  void CountEvent(const EventOut& event);
  void CountAnswer(Entry& entry, const HttpAnswerOut& answer);
  /// \brief Ends the answers of a target that crashes as m_crashSign says.
  void EndAnswers(const std::string& target);
  void Fail(const Call& call, bool neverSent);
  void Deliver(const Call& call, GatewayInput input);
  void Schedule(Duration delay, std::function<void()> action);
  void Step();
  void UpdateTargets();

  std::mt19937_64 m_random;
  tests::FeedWorld m_world;
  std::vector<std::unique_ptr<Entry>> m_entries;
  std::map<std::string, Target> m_targets;
  std::multimap<TimePoint, std::function<void()>> m_scheduled;
  std::vector<TimePoint> m_crashes;
  std::vector<TimePoint> m_crashArrivals;
  std::map<std::string, std::map<unsigned, std::size_t>> m_answers; ///< By body.
  std::map<std::string, std::size_t> m_served;                      ///< By body.
  std::set<std::string> m_deadly;                                   ///< Parts.
  std::set<std::string> m_heldParts;
  std::size_t m_quarantined = 0;
  std::uint64_t m_lastNumber = 0;
  std::uint64_t m_documentVersion = 1;
  CrashSign m_crashSign = CrashSign::kClosed;
  Duration m_listLag{};
};

} // namespace gooseberrysail::fakes
