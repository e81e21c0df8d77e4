#include "fakes/fake_control.hpp"

#include <boost/json/parse.hpp>

namespace gooseberrysail::test {

namespace {

constexpr int kFirstVersion = 100;

HttpServerHooks HooksFor(std::function<void(HttpRequestIn)> onRequest)
{
  HttpServerHooks hooks;
  hooks.onRequest = std::move(onRequest);
  hooks.onCallerGone = [](const HttpCallerGone&) {};
  return hooks;
}

} // namespace

FakeControl::FakeControl(IoRuntime& runtime)
  : m_server(runtime,
             HttpServerSettings{ .listenAddress = "127.0.0.1:0" },
             HooksFor([this](const HttpRequestIn& request) { OnRequest(request); }))
{
}

void FakeControl::OnRequest(const HttpRequestIn& request)
{
  HttpAnswerOut answer;
  answer.exchange = request.exchange;
  answer.end = true;
  if (request.method != "POST") {
    answer.status = 200;
    answer.bytes = R"({"version":0,"entries":[],"changes":[]})";
    m_server.Send(std::move(answer));
    return;
  }
  const std::string id(boost::json::parse(request.body).at("changeId").as_string());
  postedChangeIds.push_back(id);
  const int next = kFirstVersion + static_cast<int>(versionsByChangeId.size());
  const int version = versionsByChangeId.emplace(id, next).first->second;
  if (answersToLose > 0) {
    --answersToLose;
    answer.abort = true;
  } else {
    answer.status = 200;
    answer.bytes = R"({"changeId":")" + id + R"(","ok":true,"version":)" + std::to_string(version) +
                   R"(,"entries":[]})";
  }
  m_server.Send(std::move(answer));
}

} // namespace gooseberrysail::test
