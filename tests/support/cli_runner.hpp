#pragma once

#include "gooseberrysail/cli/cli.hpp"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace gooseberrysail::test {

/// \brief Runs the command-line tool with scripted answers, files and time.
class CliRunner
{
public:
  struct Call
  {
    std::string address;
    std::string method;
    std::string path;
    std::string body;
    std::string authorization;
  };

  struct Outcome
  {
    ExitCode code = ExitCode::kDone;
    std::string out;
    std::string err;
  };

  /// \brief Queues an answer for one call.
  void Answer(unsigned status, const std::string& body);
  /// \brief Queues an error for one call.
  void FailWith(Error error);

  Outcome Run(const std::vector<std::string>& arguments);

  std::map<std::string, std::string> files;
  std::map<std::string, std::string> variables{
    { "GOOSEBERRYSAIL_CONTROL", "control-1=10.0.0.1:7180,control-2=10.0.0.2:7180" },
    { "GOOSEBERRYSAIL_TOKEN", "secret" },
    { "USER", "ann" },
  };
  std::vector<Call> calls;

private:
  Result<HttpReply> Fetch(Call call);

  std::deque<Result<HttpReply>> m_answers;
  TimePoint m_now{};
  std::uint64_t m_random = 0;
};

/// \brief The error of a call that could not connect.
[[nodiscard]] Error ConnectionRefused();
/// \brief The error of a call that was sent and whose answer was lost.
[[nodiscard]] Error AnswerLost();

} // namespace gooseberrysail::test
