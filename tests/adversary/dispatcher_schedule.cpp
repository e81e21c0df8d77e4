#include "adversary/dispatcher_schedule.hpp"

#include "adversary/oracle.hpp"
#include "gooseberrysail/gateway/dispatcher.hpp"
#include "platform/gateway_adapter.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <optional>
#include <rapidcheck/seq/Operations.h>
#include <rapidcheck/shrink/Shrink.h>
#include <rapidcheck/shrinkable/Create.h>
#include <rapidcheck/shrinkable/Operations.h>

namespace gooseberrysail::adversary {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t kMaxRequests = 6;
constexpr Duration kRouteTimeout = 2s;
constexpr Duration kDrainStep = 100ms;
constexpr Duration kSlowOpening = 30ms;
constexpr Duration kBetweenPieces = 15ms;
constexpr unsigned kFirstFailure = 400;
constexpr std::array kPolicies{ RepeatPolicy::kIdempotent,
                                RepeatPolicy::kAtMostOnce,
                                RepeatPolicy::kEventStream,
                                RepeatPolicy::kResumableStream };
constexpr std::array kTargetNames{ "t1", "t2", "t3" };

std::shared_ptr<const RouteIndex> MakeIndex(RepeatPolicy repeat, std::uint32_t maxAttempts)
{
  HttpRoute route;
  route.name = "route";
  route.host = "hire.example";
  route.pathPrefix = "/";
  route.repeat = repeat;
  route.timeout = kRouteTimeout;
  route.objective = 300ms;
  route.maxAttempts = maxAttempts;
  route.shares = { { "assist", 1 } };
  ServingDocument document;
  document.version = 1;
  document.routes = { route };
  document.services.resize(1);
  document.services[0].name = "assist";
  if (IsStream(repeat)) {
    document.services[0].engine.emplace();
  }
  return std::make_shared<const RouteIndex>(document);
}

std::shared_ptr<const RouteIndex> IndexFor(std::size_t policy, std::uint32_t maxAttempts)
{
  static std::map<std::pair<std::size_t, std::uint32_t>, std::shared_ptr<const RouteIndex>> known;
  auto& index = known[{ policy, maxAttempts }];
  if (!index) {
    index = MakeIndex(kPolicies.at(policy), maxAttempts);
  }
  return index;
}

int NumberIn(std::string_view text)
{
  int number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

class Schedule
{
public:
  Schedule(Choices& choices, Trace trace)
    : m_choices(choices)
    , m_trace(trace)
    , m_policy(static_cast<std::size_t>(choices.Draw(Element::kRepeat)))
    , m_maxAttempts(static_cast<std::uint32_t>(choices.Draw(Element::kMaxAttempts)))
    , m_dispatcher(platform::MakeGatewayApi(),
                   { .ratio = 1, .slack = 1000 },
                   FailureDomainId("a"),
                   [this] { return m_random++; })
  {
    m_snapshot.index = IndexFor(m_policy, m_maxAttempts);
    ListAll();
    m_dispatcher.Selector().Replace(m_now, m_targets);
  }

  Outcome Play()
  {
    const std::uint32_t requests = 1 + m_choices.Below(kMaxRequests);
    for (std::uint32_t asked = 0; asked < requests; ++asked) {
      ChangeList();
      Ask("r" + std::to_string(asked));
      Advance(1ms * m_choices.Draw(Element::kClock));
    }
    // Until the last deadline has passed, and one tick more.
    for (Duration rest{}; rest <= kRouteTimeout + kDrainStep; rest += kDrainStep) {
      Advance(kDrainStep);
    }
    Outcome outcome;
    outcome.violations = m_oracle.Violations();
    outcome.trace = std::move(m_lines);
    return outcome;
  }

private:
  /// \brief What a target does with one call.
  struct Conduct
  {
    int status = 0;
    int statement = 0;
    int answeredId = 0;
    bool hasSeal = true;
    bool isUntilClose = false;
    int pieces = 0;
    int end = 0;
    int delay = 0;
    int connection = 0;
    int retryAfter = 0;
    int limit = 0;
    bool isLeaving = false;
    bool hasSecondCopy = false;
    bool runs = false;
  };

  /// \brief Something that is due: the call begins to be read, or a part of its answer comes.
  struct Due
  {
    enum class Kind : std::uint8_t
    {
      kReceive,
      kPart,
      kClose,
      kNeverSent,
    };
    Kind kind{};
    ExchangeId exchange;
    TargetAnswerIn part;
  };

  struct Call
  {
    std::string id;
    std::string target;
    std::optional<Duration> timeLeft;
    TimePoint sentAt{};
    int resumeAfter = 0;
    Conduct conduct;
    bool isReceived = false;
  };

  void Note(const std::string& line)
  {
    if (m_trace == Trace::kWritten) {
      m_lines.push_back(std::to_string(ToMillis(m_now - kStart)) + " ms: " + line);
    }
  }

  void ListAll()
  {
    m_targets.clear();
    for (std::size_t number = 0; number < kTargetNames.size(); ++number) {
      ServedTarget target;
      target.instance = InstanceId(kTargetNames.at(number));
      target.service = "assist";
      target.address = kTargetNames.at(number);
      target.failureDomain = FailureDomainId("a");
      target.slots = 4;
      target.servedModel = IsStream(kPolicies.at(m_policy)) ? "large" : "";
      target.born = Incarnation(m_lives.at(number));
      m_targets.push_back(target);
    }
  }

  void ChangeList()
  {
    const int change = m_choices.Draw(Element::kList);
    if (change == kUnchanged) {
      return;
    }
    const std::size_t number = m_choices.Below(kTargetNames.size());
    if (change == kRestarted) {
      ++m_lives.at(number);
      EndCallsTo(kTargetNames.at(number));
    }
    ListAll();
    if (change == kGone) {
      m_targets.erase(m_targets.begin() + static_cast<std::ptrdiff_t>(number));
    }
    Note("the list changes: " + std::to_string(change) + " of " + kTargetNames.at(number));
    m_dispatcher.OnTargets(m_now, m_targets, m_outbox);
    HandleOutputs();
  }

  /// The process ends without a word; what it had is silent from now on.
  void EndCallsTo(const std::string& target)
  {
    std::erase_if(m_due, [&](const auto& due) {
      const auto call = m_calls.find(due.second.exchange);
      return call != m_calls.end() && call->second.target == target;
    });
    m_oracle.OnTargetEnded(target);
  }

  void Ask(const std::string& id)
  {
    HttpRequestIn request;
    request.receivedAt = m_now;
    request.exchange = ExchangeId(++m_asked);
    request.method = "POST";
    request.target = "/x";
    request.headers = { { "Host", "hire.example" },
                        { "X-Request-Id", id },
                        { "X-Model", "large" } };
    const int deadline = m_choices.Draw(Element::kDeadline);
    if (deadline != 0) {
      request.headers.push_back({ "X-Request-Deadline", std::to_string(deadline) });
    }
    request.body = m_choices.Draw(Element::kRequestBody) == 0 ? id : "the same";
    const int patience = m_choices.Draw(Element::kPatience);
    const RepeatPolicy repeat = kPolicies.at(m_policy);
    const Duration wait =
      deadline == 0 ? kRouteTimeout : std::min(kRouteTimeout, Duration(1ms * deadline));
    m_oracle.OnAsk(id, { MayRunAgain(repeat), IsStream(repeat), m_maxAttempts, m_now + wait });
    m_callers.emplace(request.exchange, id);
    if (patience != 0) {
      m_leaving.emplace(m_now + 1ms * patience, request.exchange);
    }
    Note(id + " is asked, deadline " + std::to_string(deadline) + ", patience " +
         std::to_string(patience));
    m_dispatcher.OnRequest(m_now, std::move(request), m_snapshot, m_outbox);
    HandleOutputs();
  }

  void Advance(Duration step)
  {
    m_now += step;
    // Input that came while the process stood still is handled before the tick.
    while (!m_due.empty() && m_due.begin()->first <= m_now) {
      Due due = std::move(m_due.begin()->second);
      m_due.erase(m_due.begin());
      Happen(std::move(due));
    }
    while (!m_leaving.empty() && m_leaving.begin()->first <= m_now) {
      const ExchangeId exchange = m_leaving.begin()->second;
      m_leaving.erase(m_leaving.begin());
      Note(m_callers.at(exchange) + "'s caller leaves");
      m_oracle.OnCallerLeft(m_now, m_callers.at(exchange));
      m_dispatcher.OnCallerGone(m_now, exchange, m_outbox);
      HandleOutputs();
    }
    m_dispatcher.Tick(m_now, m_outbox);
    HandleOutputs();
    m_oracle.OnTime(m_now);
  }

  void HandleOutputs()
  {
    while (!m_outbox.empty()) {
      for (const GatewayOutput& output : std::exchange(m_outbox, {})) {
        if (const auto* call = std::get_if<TargetCallOut>(&output)) {
          Send(*call);
        } else if (const auto* cancel = std::get_if<TargetCancelOut>(&output)) {
          Forget(cancel->exchange);
        } else if (const auto* withdraw = std::get_if<TargetWithdrawOut>(&output)) {
          Withdraw(withdraw->exchange);
        } else if (const auto* answer = std::get_if<HttpAnswerOut>(&output)) {
          const std::string& id = m_callers.at(answer->exchange);
          Note(id + "'s caller gets " +
               (answer->status ? "status " + std::to_string(*answer->status) : "more") +
               (answer->end ? ", the end" : "") + (answer->abort ? ", cut" : ""));
          m_oracle.OnCallerPart(id, *answer);
        }
      }
    }
  }

  Conduct DrawConduct()
  {
    Conduct conduct;
    conduct.connection = m_choices.Draw(Element::kConnection);
    conduct.end = m_choices.Draw(Element::kEnd);
    conduct.delay = m_choices.Draw(Element::kDelay);
    conduct.status = m_choices.Draw(Element::kStatus);
    if (conduct.status != kPlainStatus) {
      conduct.statement = m_choices.Draw(Element::kStatement);
      conduct.retryAfter = m_choices.Draw(Element::kRetryAfter);
    }
    conduct.answeredId = m_choices.Draw(Element::kAnsweredId);
    conduct.hasSeal = m_choices.Draw(Element::kSeal) == 1;
    conduct.isUntilClose = m_choices.Draw(Element::kFraming) == 1;
    conduct.pieces = m_choices.Draw(Element::kPieces);
    conduct.limit = m_choices.Draw(Element::kLimit);
    conduct.isLeaving = m_choices.Draw(Element::kLeaving) == 1;
    conduct.hasSecondCopy = m_choices.Draw(Element::kSecondCopy) == 1;
    const bool isStated = conduct.statement == kStated || conduct.statement == kStatedTwice;
    const bool isRefused = isStated && conduct.status >= int(kFirstFailure);
    conduct.runs = conduct.end == kClosedAfterRun || (!isRefused && conduct.end != kClosedUnrun);
    return conduct;
  }

  void Send(const TargetCallOut& sent)
  {
    Call call;
    call.id = FindHeader(sent.headers, "X-Request-Id");
    call.target = sent.address;
    call.resumeAfter = NumberIn(FindHeader(sent.headers, "Last-Event-Id"));
    call.sentAt = m_now;
    if (const std::string_view left = FindHeader(sent.headers, "X-Request-Deadline");
        !left.empty()) {
      call.timeLeft = 1ms * NumberIn(left);
    }
    call.conduct = DrawConduct();
    Note(call.id + " is sent to " + call.target + " as call " +
         std::to_string(sent.exchange.Get()));
    Due due;
    due.exchange = sent.exchange;
    due.kind = call.conduct.connection == kRefused ? Due::Kind::kNeverSent : Due::Kind::kReceive;
    const Duration opening = call.conduct.connection == kOpen ? 0ms : kSlowOpening;
    m_calls.emplace(sent.exchange, std::move(call));
    m_due.emplace(m_now + opening, std::move(due));
  }

  void Withdraw(ExchangeId exchange)
  {
    const auto call = m_calls.find(exchange);
    if (call == m_calls.end() || call->second.isReceived) {
      return;
    }
    Note(call->second.id + " is withdrawn from " + call->second.target);
    Forget(exchange);
    TargetFailedIn failed;
    failed.exchange = exchange;
    failed.error = Error{ ErrorCode::kUnavailable, "send call", "", "withdrawn" };
    failed.neverSent = true;
    failed.isWithdrawn = true;
    m_dispatcher.OnFailed(m_now, failed, m_outbox);
  }

  void Forget(ExchangeId exchange)
  {
    m_calls.erase(exchange);
    std::erase_if(m_due, [&](const auto& due) { return due.second.exchange == exchange; });
  }

  void Happen(Due due)
  {
    const auto found = m_calls.find(due.exchange);
    if (found == m_calls.end()) {
      return;
    }
    switch (due.kind) {
      case Due::Kind::kReceive:
        Receive(due.exchange, found->second);
        return;
      case Due::Kind::kPart:
        Note(found->second.target + " answers " + found->second.id +
             (due.part.status ? " with status " + std::to_string(*due.part.status) : "") +
             (due.part.end ? ", the end" : ""));
        due.part.exchange = due.exchange;
        if (due.part.end) {
          m_calls.erase(found);
        }
        m_dispatcher.OnAnswer(m_now, due.part, m_outbox);
        break;
      case Due::Kind::kClose:
      case Due::Kind::kNeverSent:
        Note(found->second.target + " closes the connection of " + found->second.id);
        m_calls.erase(found);
        TargetFailedIn failed;
        failed.exchange = due.exchange;
        failed.error = Error{ ErrorCode::kUnavailable, "read answer", "", "closed" };
        failed.neverSent = due.kind == Due::Kind::kNeverSent;
        m_dispatcher.OnFailed(m_now, failed, m_outbox);
        break;
    }
    HandleOutputs();
  }

  void Receive(ExchangeId exchange, Call& call)
  {
    call.isReceived = true;
    const Conduct& conduct = call.conduct;
    m_oracle.OnReceived(call.sentAt, call.id, call.target, call.timeLeft);
    if (conduct.runs) {
      Note(call.target + " runs " + call.id);
      m_oracle.OnRun(m_now, call.id, call.target);
    }
    const TimePoint at = m_now + 1ms * conduct.delay;
    if (conduct.end == kSilent) {
      return;
    }
    if (conduct.end == kClosedAfterRun || conduct.end == kClosedUnrun) {
      m_due.emplace(at, Due{ Due::Kind::kClose, exchange, {} });
      return;
    }
    const auto late = m_secondCopies.find(call.target);
    if (late != m_secondCopies.end()) {
      // The connection carries an answer to an earlier request first, and is closed then.
      m_due.emplace(at, Due{ Due::Kind::kPart, exchange, late->second });
      m_secondCopies.erase(late);
      return;
    }
    Answer(exchange, call, at);
  }

  void Answer(ExchangeId exchange, const Call& call, TimePoint at)
  {
    const Conduct& conduct = call.conduct;
    const std::vector<TargetAnswerIn> parts = MakeParts(exchange, call);
    const bool isWhole = conduct.end == kWhole;
    const std::size_t sent = isWhole ? parts.size() : std::max<std::size_t>(parts.size() - 1, 1);
    for (std::size_t number = 0; number < sent; ++number) {
      Due due{ Due::Kind::kPart, exchange, parts[number] };
      due.part.end = isWhole && number + 1 == parts.size();
      m_due.emplace(at + number * kBetweenPieces, std::move(due));
    }
    if (!isWhole) {
      m_due.emplace(at + sent * kBetweenPieces, Due{ Due::Kind::kClose, exchange, {} });
    } else if (conduct.hasSecondCopy && parts.size() == 1) {
      m_secondCopies[call.target] = parts.front();
    }
  }

  std::vector<TargetAnswerIn> MakeParts(ExchangeId exchange, const Call& call)
  {
    const Conduct& conduct = call.conduct;
    const auto status = static_cast<unsigned>(conduct.status);
    const bool isStream = IsStream(kPolicies.at(m_policy)) && status / 100 == 2;
    const bool hasNoBody = status == 204 || status == 304;
    const std::string seal = conduct.hasSeal ? "s" + std::to_string(exchange.Get()) : "";
    std::string body = isStream ? EventsAfter(call.id, call.resumeAfter)
                                : "answer of " + std::to_string(exchange.Get()) + " to " + call.id;
    body = hasNoBody ? "" : body;
    m_oracle.OnMade(call.id, { call.target, status, seal, body });
    TargetAnswerIn head;
    head.status = status;
    head.framing =
      conduct.isUntilClose && !hasNoBody ? AnswerFraming::kUntilClose : AnswerFraming::kDelimited;
    AddHeaders(call, seal, head);
    std::vector<TargetAnswerIn> parts{ std::move(head) };
    if (conduct.pieces == kOnePiece) {
      parts.front().bytes = body;
      parts.front().end = true;
      return parts;
    }
    const std::size_t piece = conduct.pieces == kHeadApart ? body.size() : body.size() / 3 + 1;
    for (std::size_t from = 0; from < body.size() || from == 0;
         from += std::max<std::size_t>(piece, 1)) {
      parts.emplace_back().bytes = body.substr(from, piece);
    }
    return parts;
  }

  void AddHeaders(const Call& call, const std::string& seal, TargetAnswerIn& head) const
  {
    const Conduct& conduct = call.conduct;
    const auto add = [&](const char* name, const std::string& value) {
      head.headers.push_back({ name, value });
    };
    if (conduct.answeredId != kNoId) {
      add("X-Request-Id", conduct.answeredId == kOwnId ? call.id : "another");
    }
    if (!seal.empty()) {
      add("X-Response-Seal", seal);
    }
    constexpr const char* kNotExecuted = "X-Not-Executed";
    const int statement = conduct.statement;
    if (statement == kStated || statement == kStatedTwice || statement == kStatedAndDenied) {
      add(kNotExecuted, "1");
    }
    if (statement == kStatedTwice) {
      add(kNotExecuted, "1");
    }
    if (statement == kDeniedStatement || statement == kStatedAndDenied) {
      add(kNotExecuted, "0");
    }
    if (statement == kEmptyStatement) {
      add(kNotExecuted, "");
    }
    if (conduct.retryAfter != 0) {
      add("Retry-After", conduct.retryAfter < 0 ? "soon" : SecondsOf(conduct.retryAfter));
    }
    if (conduct.limit != 0) {
      add("Server-Limit", conduct.limit < 0 ? "few" : std::to_string(conduct.limit));
    }
    if (conduct.isLeaving) {
      add("Server-Leaving", "1");
    }
  }

  static std::string SecondsOf(int millis)
  {
    return std::to_string(millis / 1000) + "." + std::to_string(1000 + millis % 1000).substr(1);
  }

  static constexpr TimePoint kStart{ 1h };
  static constexpr int kPlainStatus = 200;

  Choices& m_choices;
  Trace m_trace;
  std::size_t m_policy;
  std::uint32_t m_maxAttempts;
  TimePoint m_now = kStart;
  std::uint64_t m_random = 0;
  ServingSnapshot m_snapshot;
  Dispatcher m_dispatcher;
  Oracle m_oracle;
  std::array<std::uint64_t, kTargetNames.size()> m_lives{};
  std::vector<ServedTarget> m_targets;
  std::vector<GatewayOutput> m_outbox;
  std::map<ExchangeId, std::string> m_callers;
  std::map<ExchangeId, Call> m_calls;
  std::multimap<TimePoint, Due> m_due;
  std::multimap<TimePoint, ExchangeId> m_leaving;
  std::map<std::string, TargetAnswerIn> m_secondCopies; ///< By target.
  std::vector<std::string> m_lines;
  std::uint64_t m_asked = 0;
};

} // namespace

Outcome PlayDispatcher(Choices& choices, Trace trace)
{
  return Schedule(choices, trace).Play();
}

std::vector<std::uint32_t> Shorten(const std::vector<std::uint32_t>& recorded)
{
  using Numbers = std::vector<std::uint32_t>;
  const auto shrinkNumbers = [](const Numbers& numbers) {
    return rc::seq::concat(rc::shrink::removeChunks(numbers),
                           rc::shrink::eachElement(numbers, [](std::uint32_t number) {
                             return rc::shrink::towards(number, std::uint32_t{ 0 });
                           }));
  };
  const auto breaks = [](const Numbers& numbers) {
    Choices choices(numbers);
    return !PlayDispatcher(choices).violations.empty();
  };
  return rc::shrinkable::findLocalMin(rc::shrinkable::shrinkRecur(recorded, shrinkNumbers), breaks)
    .first;
}

} // namespace gooseberrysail::adversary
