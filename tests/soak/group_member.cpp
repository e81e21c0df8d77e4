#include "soak/group_member.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

namespace gooseberrysail::soak {

namespace {

namespace json = boost::json;

/// How long it takes to join a group, and to open one.
constexpr std::chrono::milliseconds kTransitionTime{ 100 };
constexpr unsigned kDone = 200;
constexpr unsigned kBegun = 202;
constexpr unsigned kMalformed = 400;
constexpr unsigned kConflict = 409;
constexpr unsigned kOutdated = 412;

std::string TextOf(const json::object& order, std::string_view name)
{
  const json::value* value = order.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

} // namespace

unsigned GroupMember::OnOrder(std::string_view body)
{
  boost::system::error_code error;
  const json::value parsed = json::parse(body, error);
  if (error || !parsed.is_object()) {
    return kMalformed;
  }
  const json::object& order = parsed.get_object();
  const std::string kind = TextOf(order, "op");
  const std::string group = TextOf(order, "group");
  const json::value* epoch = order.if_contains("epoch");
  const std::uint64_t number = epoch != nullptr ? epoch->to_number<std::uint64_t>() : 0;
  const std::scoped_lock lock(m_mutex);
  Advance();
  if (kind == "stage") {
    return kDone;
  }
  if (kind == "join") {
    return Join(group, number);
  }
  const bool isOwn = m_state != State::kNone && group == m_group && number == m_epoch;
  if (kind == "leave") {
    if (isOwn) {
      Enter(State::kNone);
    }
    return kDone;
  }
  if (!isOwn || m_state == State::kJoining) {
    return kConflict;
  }
  if (kind == "open") {
    return Open();
  }
  if (kind == "close") {
    Enter(State::kReady);
    return kDone;
  }
  return kMalformed;
}

unsigned GroupMember::Join(std::string group, std::uint64_t epoch)
{
  if (epoch < m_highestEpoch) {
    return kOutdated;
  }
  if (m_state != State::kNone && group == m_group && epoch == m_epoch) {
    return kDone;
  }
  m_group = std::move(group);
  m_epoch = epoch;
  m_highestEpoch = epoch;
  Enter(State::kJoining);
  return kBegun;
}

unsigned GroupMember::Open()
{
  if (m_state != State::kReady) {
    return kDone;
  }
  Enter(State::kOpening);
  return kBegun;
}

void GroupMember::Enter(State state)
{
  m_state = state;
  m_since = std::chrono::steady_clock::now();
}

void GroupMember::Advance()
{
  if (std::chrono::steady_clock::now() - m_since < kTransitionTime) {
    return;
  }
  if (m_state == State::kJoining) {
    m_state = State::kReady;
  } else if (m_state == State::kOpening) {
    m_state = State::kOpen;
  }
}

bool GroupMember::IsOpen()
{
  const std::scoped_lock lock(m_mutex);
  Advance();
  return m_state == State::kOpen;
}

void GroupMember::Restart()
{
  const std::scoped_lock lock(m_mutex);
  m_state = State::kNone;
  m_highestEpoch = 0;
}

std::string GroupMember::ReportFields()
{
  const std::scoped_lock lock(m_mutex);
  Advance();
  std::string fields = R"("stage":"both","domain":"a","staged":[")" + m_model + R"("],"models":[)";
  if (m_state == State::kNone) {
    return fields + "]";
  }
  const bool isLoaded = m_state != State::kJoining;
  fields += isLoaded ? R"({"name":")" + m_model + R"(","version":1,"adapters":[]})" : "";
  return fields + R"(],"group":{"name":")" + m_group + R"(","epoch":)" + std::to_string(m_epoch) +
         R"(,"rank":0,"state":")" + StateName() + R"("})";
}

const char* GroupMember::StateName() const
{
  switch (m_state) {
    case State::kNone:
      return "none";
    case State::kJoining:
      return "joining";
    case State::kReady:
    case State::kOpening:
      return "ready";
    case State::kOpen:
      return "open";
  }
  return "";
}

} // namespace gooseberrysail::soak
