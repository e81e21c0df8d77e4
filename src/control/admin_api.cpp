#include "gooseberrysail/control/admin_api.hpp"

#include "change_request.hpp"
#include "gooseberrysail/core/token.hpp"
#include "gooseberrysail/observe/event.hpp"

#include <algorithm>
#include <charconv>

namespace gooseberrysail {

namespace json = boost::json;

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kUnauthorized = 401;
constexpr unsigned kNotFound = 404;
constexpr unsigned kMethodNotAllowed = 405;
constexpr unsigned kConflict = 409;
constexpr unsigned kTooLarge = 413;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

constexpr Duration kReadTimeout = std::chrono::seconds(3);
constexpr Duration kWriteTimeout = std::chrono::seconds(5);
constexpr std::size_t kMaxBody = 2 * 1024 * 1024;
constexpr std::size_t kMaxWaiting = 1'000;
constexpr std::size_t kDefaultHistory = 50;

void Refuse(ControlContext& context,
            ExchangeId exchange,
            unsigned status,
            ErrorCode code,
            const std::string& step,
            const std::string& reason)
{
  context.outbox.emplace_back(ErrorAnswer(exchange, status, Error{ code, step, "", reason }));
}

void AnswerChange(ControlContext& context, ExchangeId exchange, const wire::ChangeRecordT& change)
{
  context.outbox.emplace_back(
    JsonAnswer(exchange, change.ok ? kOk : kConflict, ChangeView(change)));
}

void RefuseReusedId(ControlContext& context, ExchangeId exchange, const std::string& changeId)
{
  Refuse(context,
         exchange,
         kConflict,
         ErrorCode::kConflict,
         "change catalogue",
         "change id " + changeId + " was used before for another change");
}

} // namespace

bool AdminApi::Authorize(ControlContext& context, const HttpRequestIn& request) const
{
  const std::string_view token = BearerToken(FindHeader(request.headers, "Authorization"));
  if (!token.empty() && EqualInConstantTime(TokenHash(token), context.settings.operatorTokenHash)) {
    return true;
  }
  const std::string reason = token.empty() ? "no bearer token" : "wrong bearer token";
  context.outbox.emplace_back(
    MakeEvent(EventNumber::kAdminRefused, { { "caller", request.peer }, { "reason", reason } }));
  Refuse(
    context, request.exchange, kUnauthorized, ErrorCode::kDenied, "check operator token", reason);
  return false;
}

void AdminApi::RedirectToLeader(ControlContext& context, ExchangeId exchange)
{
  const ProcessId& hint = context.replication.leaderHint;
  const auto leader =
    std::find_if(context.settings.controls.begin(),
                 context.settings.controls.end(),
                 [&](const EntrySettings::Control& control) { return control.process == hint; });
  const bool known =
    !hint.IsNone() && hint != context.settings.process && leader != context.settings.controls.end();
  json::object error;
  error["code"] = ToString(ErrorCode::kUnavailable);
  error["step"] = "find control leader";
  error["reason"] = known ? "this control process does not lead; ask the leader"
                          : "no control process leads now; try again";
  json::object body{ { "error", std::move(error) } };
  if (known) {
    body["leader"] = { { "process", leader->process.Get() }, { "address", leader->address } };
  }
  HttpAnswerOut answer = JsonAnswer(exchange, known ? kMisdirected : kUnavailable, body);
  if (!known) {
    answer.headers.push_back(HttpHeader{ "Retry-After", "1" });
  }
  context.outbox.emplace_back(std::move(answer));
}

void AdminApi::OnRequest(ControlContext& context, const HttpRequestIn& request, const AdminSources&)
{
  const Result<AdminTarget> target = ParseAdminTarget(request.target);
  if (!target) {
    const unsigned status = target.error().code == ErrorCode::kNotFound ? kNotFound : kBadRequest;
    context.outbox.emplace_back(ErrorAnswer(request.exchange, status, target.error()));
    return;
  }
  if (!Authorize(context, request)) {
    return;
  }
  if (!context.ready || m_stopping) {
    RedirectToLeader(context, request.exchange);
    return;
  }
  const bool isCatalogue = target.value().path == std::vector<std::string>{ "catalogue" };
  if (request.method == "POST" && isCatalogue) {
    Write(context, request);
    return;
  }
  if (request.method != "GET") {
    Refuse(context,
           request.exchange,
           kMethodNotAllowed,
           ErrorCode::kInvalid,
           "read admin request",
           request.method + " is not possible here; the only write is POST /admin/v1/catalogue");
    return;
  }
  if (m_reads.size() >= kMaxWaiting) {
    Refuse(context,
           request.exchange,
           kUnavailable,
           ErrorCode::kUnavailable,
           "read admin request",
           "too many reads are waiting");
    return;
  }
  m_reads.push_back(WaitingRead{ request.exchange, target.value(), TakeTicket(context) });
}

void AdminApi::Write(ControlContext& context, const HttpRequestIn& request)
{
  if (request.body.size() > kMaxBody) {
    Refuse(context,
           request.exchange,
           kTooLarge,
           ErrorCode::kTooLarge,
           "read catalogue change",
           "a change may have " + std::to_string(kMaxBody) + " bytes");
    return;
  }
  Result<wire::ChangeCatalogueT> change = impl::ParseChange(request.body);
  if (!change) {
    context.outbox.emplace_back(ErrorAnswer(request.exchange, kBadRequest, change.error()));
    return;
  }
  const std::string digest = DigestOf(change.value());
  const wire::ChangeRecordT* known =
    context.state.GetCatalogue().FindChange(change.value().changeId);
  if (known != nullptr) {
    if (known->digest == digest) {
      AnswerChange(context, request.exchange, *known);
    } else {
      RefuseReusedId(context, request.exchange, change.value().changeId);
    }
    return;
  }
  change.value().atMillis = context.wallMillis;
  WaitingWrite waiting{ change.value().changeId, digest, context.now };
  const bool accepted =
    m_writes.size() < kMaxWaiting && context.proposer.Propose(std::move(change.value()));
  if (!accepted) {
    Refuse(
      context,
      request.exchange,
      kUnavailable,
      ErrorCode::kUnavailable,
      "change catalogue",
      "this call was not taken; an earlier call with the same change id may still take effect");
    return;
  }
  m_writes.emplace(request.exchange, std::move(waiting));
}

void AdminApi::Read(ControlContext& context, const WaitingRead& read, const AdminSources& sources)
{
  const std::vector<std::string>& path = read.target.path;
  const std::string topic = path.empty() ? std::string() : path.front();
  const auto answer = [&](const json::object& body) {
    context.outbox.emplace_back(JsonAnswer(read.exchange, kOk, body));
  };
  if (path.size() == 1 && topic == "catalogue") {
    answer(CatalogueView(context));
  } else if (path.size() == 3 && topic == "catalogue" && FindKind(path[1])) {
    const wire::CatalogueItemT* item =
      context.state.GetCatalogue().Find(*FindKind(path[1]), path[2]);
    if (item != nullptr) {
      answer(ItemToJson(*item));
    } else {
      Refuse(context,
             read.exchange,
             kNotFound,
             ErrorCode::kNotFound,
             "read catalogue",
             "no " + path[1] + " is named " + path[2]);
    }
  } else if (path.size() == 1 && topic == "history") {
    std::size_t limit = kDefaultHistory;
    const auto given = read.target.parameters.find("limit");
    if (given != read.target.parameters.end()) {
      const std::string& text = given->second;
      std::from_chars(text.data(), text.data() + text.size(), limit);
    }
    answer(HistoryView(context, std::min(limit, CatalogueTable::kMaxChanges)));
  } else if (path.size() == 1 && topic == "status") {
    answer(StatusView(context, sources));
  } else if (path.size() == 1 && topic == "groups") {
    answer(GroupsView(context, sources));
  } else if (path.size() == 1 && topic == "targets") {
    answer(TargetsView(context, sources));
  } else if (path.size() == 2 && topic == "requests") {
    m_queries.LookUpRequest(context, read.exchange, path[1]);
  } else if (path.size() == 1 && topic == "timeline") {
    m_queries.CollectTimeline(context, read.exchange, read.target);
  } else {
    Refuse(context,
           read.exchange,
           kNotFound,
           ErrorCode::kNotFound,
           "read admin request",
           "no such path; there are catalogue, catalogue/{kind}/{name}, history, status, groups, "
           "targets, requests/{id} and timeline");
  }
}

void AdminApi::AnswerReads(ControlContext& context, const AdminSources& sources)
{
  while (!m_reads.empty() && IsConfirmed(context, m_reads.front().ticket)) {
    const WaitingRead read = std::move(m_reads.front());
    m_reads.pop_front();
    Read(context, read, sources);
  }
  while (!m_reads.empty() && context.now - m_reads.front().ticket.asked >= kReadTimeout) {
    Refuse(context,
           m_reads.front().exchange,
           kUnavailable,
           ErrorCode::kUnavailable,
           "confirm leadership",
           "no quorum of control processes confirmed this one in time");
    m_reads.pop_front();
  }
}

void AdminApi::AnswerWrites(ControlContext& context)
{
  std::erase_if(m_writes, [&](const auto& item) {
    const auto& [exchange, write] = item;
    const wire::ChangeRecordT* change = context.state.GetCatalogue().FindChange(write.changeId);
    if (change != nullptr) {
      if (change->digest == write.digest) {
        AnswerChange(context, exchange, *change);
      } else {
        RefuseReusedId(context, exchange, write.changeId);
      }
      return true;
    }
    if (context.now - write.since < kWriteTimeout) {
      return false;
    }
    Refuse(context,
           exchange,
           kGatewayTimeout,
           ErrorCode::kTimeout,
           "commit catalogue change",
           "whether the change takes effect is not known; send it again with the same change id");
    return true;
  });
}

void AdminApi::Tick(ControlContext& context, const AdminSources& sources)
{
  AnswerReads(context, sources);
  AnswerWrites(context);
  m_queries.Tick(context);
}

void AdminApi::OnCallerGone(ExchangeId exchange)
{
  std::erase_if(m_reads, [&](const WaitingRead& read) { return read.exchange == exchange; });
  m_writes.erase(exchange);
  m_queries.OnCallerGone(exchange);
}

void AdminApi::OnLeadershipLost(ControlContext& context)
{
  for (const WaitingRead& read : m_reads) {
    RedirectToLeader(context, read.exchange);
  }
  m_reads.clear();
  // The answers of the other processes are ignored from now on.
  for (const ExchangeId exchange : m_queries.TakeOpenCalls()) {
    RedirectToLeader(context, exchange);
  }
  for (const auto& [exchange, write] : m_writes) {
    Refuse(context,
           exchange,
           kGatewayTimeout,
           ErrorCode::kTimeout,
           "commit catalogue change",
           "this control process lost its lead; whether the change takes effect is not known; send "
           "it again with the same change id");
  }
  m_writes.clear();
}

} // namespace gooseberrysail
