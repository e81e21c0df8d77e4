#pragma once

#include "gooseberrysail/core/http_header.hpp"
#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/roles/inputs.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrysail::adversary {

/// \brief Judges the promises to callers by what callers and targets see on their sides alone.
class Oracle
{
public:
  /// \brief What a caller asks for.
  struct Ask
  {
    bool mayRunAgain = false;
    bool isStream = false;
    std::uint32_t maxAttempts = 1;
    TimePoint deadline{}; ///< The caller's own or the route's, whichever is earlier.
  };

  /// \brief An answer as a target made it; `body` is all of it, whether it was sent or not.
  struct MadeAnswer
  {
    std::string target;
    unsigned status = 0;
    std::string seal;
    std::string body;
  };

  void OnAsk(const std::string& id, const Ask& ask);
  void OnCallerLeft(TimePoint now, const std::string& id);
  /// \brief A part of an answer, as the caller's connection is told it.
  void OnCallerPart(const std::string& id, const HttpAnswerOut& part);
  /// \brief A target began to read a request, with this time left.
  void OnReceived(TimePoint now,
                  const std::string& id,
                  const std::string& target,
                  std::optional<Duration> timeLeft);
  void OnRun(TimePoint now, const std::string& id, const std::string& target);
  void OnMade(const std::string& id, MadeAnswer answer);
  /// \brief The process at this target has ended; it no longer counts against the attempts.
  void OnTargetEnded(const std::string& target);
  /// \brief All that was due at `now` has been done.
  void OnTime(TimePoint now);

  /// \brief The promises that were broken, each with its request. Call it at the end.
  [[nodiscard]] std::vector<std::string> Violations();

private:
  struct Record
  {
    Ask ask;
    std::vector<std::string> runs;
    std::vector<MadeAnswer> made;
    std::optional<TimePoint> leftAt;
    unsigned status = 0;
    std::string seal;
    std::string bytes;
    AnswerFraming framing = AnswerFraming::kDelimited;
    bool isEnded = false;
    bool isCut = false;
  };

  void Violate(const std::string& id, const char* promise);
  void JudgeAnswer(const std::string& id, const Record& record);

  std::map<std::string, Record> m_records;
  std::vector<std::string> m_violations;
};

/// \brief The events of a stream after the one with number `after`.
[[nodiscard]] std::string EventsAfter(const std::string& id, int after);

} // namespace gooseberrysail::adversary
