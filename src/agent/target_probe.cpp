#include "gooseberrysail/agent/target_probe.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

namespace gooseberrysail {

namespace {

constexpr std::size_t kMaxStatusBytes = 64 * 1024;
/// Plain services may answer with any page, of which only the status code matters.
constexpr std::uint64_t kMaxProbeBytes = 4 * 1024 * 1024;
constexpr unsigned kHttpOk = 200;

std::string TextField(const boost::json::object& object, std::string_view name)
{
  const auto* field = object.if_contains(name);
  const auto* text = field != nullptr ? field->if_string() : nullptr;
  return text != nullptr ? std::string(text->begin(), text->end()) : std::string();
}

double NumberField(const boost::json::object& object, std::string_view name)
{
  const auto* field = object.if_contains(name);
  return field != nullptr && field->is_number() ? field->to_number<double>() : 0.0;
}

} // namespace

void TargetProbe::Tick(impl::AgentContext& context)
{
  const TimePoint now = context.Now();
  if (m_exchange || (m_lastProbeAt && now - *m_lastProbeAt < kInterval)) {
    return;
  }
  m_exchange = context.Call("GET", "/health", {}, "", kTimeout, kMaxProbeBytes);
  m_probeSentAt = now;
  m_lastProbeAt = now;
  m_predatesOrder = false;
  m_httpStatus = 0;
  m_body.clear();
}

bool TargetProbe::OnAnswer(const TargetAnswerIn& answer)
{
  if (!m_exchange || answer.exchange != *m_exchange) {
    return false;
  }
  if (answer.status) {
    m_httpStatus = *answer.status;
  }
  if (m_body.size() + answer.bytes.size() <= kMaxStatusBytes) {
    m_body += answer.bytes;
  }
  if (!answer.end) {
    return true;
  }
  m_exchange.reset();
  if (m_httpStatus == kHttpOk) {
    m_status.aliveAsOf = m_probeSentAt;
    if (!m_predatesOrder) {
      ParseStatus(m_body);
    }
  }
  return true;
}

bool TargetProbe::OnFailed(const TargetFailedIn& failure)
{
  if (!m_exchange || failure.exchange != *m_exchange) {
    return false;
  }
  m_exchange.reset();
  return true;
}

bool TargetProbe::Alive(TimePoint now) const noexcept
{
  return m_status.aliveAsOf && now - *m_status.aliveAsOf < kMaxAge;
}

void TargetProbe::OnOrderCompleted(std::string model, std::string version)
{
  m_status.model = std::move(model);
  m_status.version = std::move(version);
  m_status.loading = false;
  // The answer to a pending probe may predate the effect of the order.
  m_predatesOrder = true;
}

void TargetProbe::ParseStatus(const std::string& body)
{
  boost::system::error_code failed;
  const boost::json::value parsed = boost::json::parse(body, failed);
  const auto* object = failed ? nullptr : parsed.if_object();
  if (object == nullptr) {
    return; // Plain services may answer with any body; only the status code matters.
  }
  m_status.model = TextField(*object, "model");
  m_status.version = TextField(*object, "version");
  const auto* loading = object->if_contains("loading");
  m_status.loading = loading != nullptr && loading->is_bool() && loading->get_bool();
  m_status.kvUsedPermille =
    static_cast<std::uint32_t>(std::clamp(NumberField(*object, "kv_used_permille"), 0.0, 1000.0));
  m_status.tokensPerSecond = NumberField(*object, "tokens_per_second");
}

} // namespace gooseberrysail
