#include "adversary/oracle.hpp"

#include <algorithm>
#include <array>
#include <set>

namespace gooseberrysail::adversary {

namespace {

constexpr int kEvents = 3;
constexpr int kSuccess = 2;
constexpr int kPerClass = 100;
/// A wait is handed on in whole milliseconds.
constexpr Duration kDeadlineSlack = std::chrono::milliseconds(1);
/// Not the list of the code under test, which may be wrong.
constexpr std::array kPromisingStatuses{ 408U, 421U, 429U, 503U };

} // namespace

std::string EventsAfter(const std::string& id, int after)
{
  std::string events;
  for (int number = after + 1; number <= kEvents; ++number) {
    events += "id: " + std::to_string(number) + "\ndata: " + id + "\n\n";
  }
  return events;
}

void Oracle::Violate(const std::string& id, const char* promise)
{
  m_violations.push_back(id + ": " + promise);
}

void Oracle::OnAsk(const std::string& id, const Ask& ask)
{
  m_records[id].ask = ask;
}

void Oracle::OnCallerLeft(TimePoint now, const std::string& id)
{
  m_records.at(id).leftAt = now;
}

void Oracle::OnCallerPart(const std::string& id, const HttpAnswerOut& part)
{
  Record& record = m_records.at(id);
  if (record.leftAt) {
    return;
  }
  if (record.isEnded || record.isCut) {
    Violate(id, "an answer goes on after its end");
    return;
  }
  if (part.status) {
    if (record.status != 0) {
      Violate(id, "a second answer to one request");
    }
    record.status = *part.status;
    record.framing = part.framing;
    record.seal = FindHeader(part.headers, "X-Response-Seal");
  }
  record.bytes += part.bytes;
  record.isEnded = part.end;
  record.isCut = part.abort;
}

void Oracle::OnReceived(TimePoint now,
                        const std::string& id,
                        const std::string&,
                        std::optional<Duration> timeLeft)
{
  const auto found = m_records.find(id);
  if (found == m_records.end()) {
    Violate(id, "a target got a request that nobody sent");
    return;
  }
  const Record& record = found->second;
  if (record.leftAt && now > *record.leftAt) {
    Violate(id, "a target got a request whose caller had left");
  }
  if (!timeLeft || now + *timeLeft > record.ask.deadline + kDeadlineSlack) {
    Violate(id, "a target was handed more time than its caller has left");
  }
}

void Oracle::OnRun(TimePoint, const std::string& id, const std::string& target)
{
  Record& record = m_records[id];
  record.runs.push_back(target);
  if (!record.ask.mayRunAgain && record.runs.size() > 1) {
    Violate(id, "a request that may run once ran again");
  }
  if (record.runs.size() > record.ask.maxAttempts) {
    Violate(id, "more runs than the route has attempts");
  }
}

void Oracle::OnMade(const std::string& id, MadeAnswer answer)
{
  m_records[id].made.push_back(std::move(answer));
}

void Oracle::OnTargetEnded(const std::string& target)
{
  for (auto& [id, record] : m_records) {
    if (record.ask.mayRunAgain) {
      std::erase(record.runs, target);
    }
  }
}

void Oracle::OnTime(TimePoint now)
{
  for (const auto& [id, record] : m_records) {
    const bool isOwed = !record.leftAt && !record.isEnded && !record.isCut;
    if (isOwed && now >= record.ask.deadline) {
      Violate(id, "no final answer at its deadline");
    }
  }
}

void Oracle::JudgeAnswer(const std::string& id, const Record& record)
{
  const bool isSuccess = record.status / kPerClass == kSuccess;
  const auto fits = [&](const MadeAnswer& made) {
    const bool isWhole = record.bytes == made.body;
    const bool isPart = (record.isCut || record.leftAt) && made.body.starts_with(record.bytes);
    return made.status == record.status && made.seal == record.seal && (isWhole || isPart);
  };
  const bool isOfTarget = std::ranges::any_of(record.made, fits);
  if (record.ask.isStream && isSuccess) {
    const std::string whole = EventsAfter(id, 0);
    const bool isPart = (record.isCut || record.leftAt) && whole.starts_with(record.bytes);
    const bool hasSeal = std::ranges::any_of(
      record.made, [&](const MadeAnswer& made) { return made.seal == record.seal; });
    if ((record.bytes != whole && !isPart && !isOfTarget) || !hasSeal) {
      Violate(id, "a stream isn't the events of one request in order, whole or visibly cut");
    }
  } else if ((isSuccess || !record.seal.empty()) && !isOfTarget) {
    Violate(id, "an answer isn't a target's own answer to this request, unchanged");
  }
  if (isSuccess && record.seal.empty()) {
    Violate(id, "a success without a seal");
  }
}

std::vector<std::string> Oracle::Violations()
{
  for (const auto& [id, record] : m_records) {
    const bool isPromise =
      std::ranges::find(kPromisingStatuses, record.status) != kPromisingStatuses.end();
    if (isPromise && !record.runs.empty()) {
      Violate(id, "refused with a promise, and ran");
    }
    if (record.status != 0) {
      JudgeAnswer(id, record);
    }
  }
  return m_violations;
}

} // namespace gooseberrysail::adversary
