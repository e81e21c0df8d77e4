#include "support/cli_runner.hpp"

#include <sstream>

namespace gooseberrysail::test {

namespace {

constexpr WallMillis kNoon = 1'796'212'800'000; // 2026-12-02T12:00:00Z

} // namespace

Error ConnectionRefused()
{
  return { ErrorCode::kUnavailable, "connect to target", "10.0.0.1:7180", "Connection refused" };
}

Error AnswerLost()
{
  return { ErrorCode::kUnavailable, "read answer", "10.0.0.1:7180", "End of file" };
}

void CliRunner::Answer(unsigned status, const std::string& body)
{
  m_answers.emplace_back(HttpReply{ status, {}, body });
}

void CliRunner::FailWith(Error error)
{
  m_answers.emplace_back(std::move(error));
}

Result<HttpReply> CliRunner::Fetch(Call call)
{
  calls.push_back(std::move(call));
  if (m_answers.empty()) {
    return ConnectionRefused();
  }
  Result<HttpReply> answer = std::move(m_answers.front());
  m_answers.pop_front();
  return answer;
}

CliRunner::Outcome CliRunner::Run(const std::vector<std::string>& arguments)
{
  std::ostringstream out;
  std::ostringstream err;
  CliEnvironment environment{
    .out = out,
    .err = err,
    .readFile = [this](const std::string& path) -> Result<std::string> {
      const auto found = files.find(path);
      if (found == files.end()) {
        return Error{ ErrorCode::kIo, "open file", path, "No such file or directory" };
      }
      return found->second;
    },
    .writeFile = [this](const std::string& path, const std::string& text) -> Result<void> {
      files[path] = text;
      return outcome::success();
    },
    .variable =
      [this](const char* name) {
        const auto found = variables.find(name);
        return found != variables.end() ? found->second : std::string();
      },
    .random = [this] { return ++m_random; },
    .wallMillis = [] { return kNoon; },
    .control = { .fetch = [this](std::string_view address,
                                 std::string_view method,
                                 std::string_view path,
                                 const std::vector<HttpHeader>& headers,
                                 const std::string& body,
                                 Duration) -> Result<HttpReply> {
                  return Fetch({ std::string(address),
                                 std::string(method),
                                 std::string(path),
                                 body,
                                 headers.front().value });
                },
                 .sleep = [this](Duration pause) { m_now += pause; },
                 .now = [this] { return m_now; } },
  };
  const ExitCode code = RunCli(arguments, environment);
  return { code, out.str(), err.str() };
}

} // namespace gooseberrysail::test
