#include "gooseberrysail/entry/caller_answer.hpp"

#include "gooseberrysail/entry/caller_api.hpp"

#include <algorithm>
#include <boost/json.hpp>

namespace gooseberrysail {

namespace {

std::string RetryAfterSeconds(Duration wait)
{
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(wait).count();
  return std::to_string(std::max<std::int64_t>(1, seconds));
}

boost::json::object AttemptJson(const wire::RequestAttemptT& attempt)
{
  boost::json::object json;
  json["attempt"] = attempt.attempt;
  json["group"] = attempt.group;
  json["epoch"] = attempt.epoch;
  json["vm"] = attempt.vm;
  json["result"] = attempt.result;
  json["startedMillis"] = attempt.startedMillis;
  json["endedMillis"] = attempt.endedMillis;
  return json;
}

} // namespace

std::string ErrorBody(const CallerError& error, const RequestId& request)
{
  boost::json::object detail;
  detail["message"] = error.message;
  detail["type"] = error.type;
  detail["outcome"] = ToString(error.outcome);
  detail["reason"] = error.reason;
  detail["requestId"] = request.Get();
  if (!error.holder.IsNone()) {
    detail["holder"] = error.holder.Get();
  }
  boost::json::object body;
  body["error"] = std::move(detail);
  return boost::json::serialize(body);
}

HttpAnswerOut MakeErrorAnswer(ExchangeId exchange,
                              const CallerError& error,
                              const RequestId& request)
{
  HttpAnswerOut answer = MakeJsonAnswer(exchange, error.status, ErrorBody(error, request), request);
  if (error.retryAfter) {
    answer.headers.push_back({ "Retry-After", RetryAfterSeconds(*error.retryAfter) });
  }
  return answer;
}

HttpAnswerOut MakeJsonAnswer(ExchangeId exchange,
                             unsigned status,
                             std::string body,
                             const RequestId& request)
{
  HttpAnswerOut answer;
  answer.exchange = exchange;
  answer.status = status;
  answer.headers.push_back({ "Content-Type", "application/json" });
  if (!request.IsNone()) {
    answer.headers.push_back({ "X-Request-Id", request.Get() });
  }
  answer.bytes = std::move(body);
  answer.end = true;
  return answer;
}

std::string StreamErrorEvent(const CallerError& error, const RequestId& request)
{
  return "\n\nevent: error\ndata: " + ErrorBody(error, request) + "\n\n";
}

std::vector<HttpHeader> AnswerHeaders(const std::vector<std::unique_ptr<wire::HeaderT>>& headers,
                                      const RequestId& request)
{
  std::vector<HttpHeader> result;
  result.reserve(headers.size() + 1);
  for (const auto& header : headers) {
    if (!IsHopHeader(header->name)) {
      result.push_back({ header->name, header->value });
    }
  }
  result.push_back({ "X-Request-Id", request.Get() });
  return result;
}

std::string RecordJson(const wire::RequestRecordT& record)
{
  boost::json::object json;
  json["request"] = record.request;
  json["workspace"] = record.workspace;
  json["entry"] = record.entry;
  json["process"] = record.process;
  json["outcome"] = record.outcome;
  json["reason"] = record.reason;
  json["receivedMillis"] = record.receivedMillis;
  json["endedMillis"] = record.endedMillis;
  json["status"] = record.status;
  json["bytes"] = record.bytes;
  boost::json::array attempts;
  for (const auto& attempt : record.attempts) {
    attempts.push_back(AttemptJson(*attempt));
  }
  json["attempts"] = std::move(attempts);
  return boost::json::serialize(json);
}

} // namespace gooseberrysail
