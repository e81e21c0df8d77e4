#pragma once

#include "gooseberrysail/roles/inputs.hpp"

#include <string>
#include <string_view>

namespace gooseberrysail::test {

/// \brief Records the inputs and outputs of a role under scripted time, one line each.
/// \code
/// GoldenSession session(agent.Now());
/// agent.onOutput = [&](TimePoint now, const AgentOutput& output) { session.RecordOutput(now,
/// output); }; session.AddComment("vm-3 dies"); session.Compare(GOOSEBERRYSAIL_SOURCE_DIR
/// "/tests/golden/agent_member_death.session"); \endcode
class GoldenSession
{
public:
  explicit GoldenSession(TimePoint start)
    : m_start(start)
  {
  }

  void AddComment(std::string_view what);
  void RecordInput(TimePoint now, const AgentInput& input);
  void RecordOutput(TimePoint now, const AgentOutput& output);

  /// \brief The same for a session of several processes: each line names its process.
  void RecordInput(TimePoint now, std::string_view process, const AgentInput& input);
  void RecordOutput(TimePoint now, std::string_view process, const AgentOutput& output);
  void RecordInput(TimePoint now, std::string_view process, const EntryInput& input);
  void RecordOutput(TimePoint now, std::string_view process, const EntryOutput& output);

  /// \brief Fails the test if the session differs from the golden file.
  /// \remarks With GOOSEBERRYSAIL_WRITE_GOLDEN set, writes the file instead and fails.
  void Compare(const std::string& path) const;
  [[nodiscard]] const std::string& Text() const noexcept { return m_text; }

private:
  void Line(TimePoint now, std::string_view direction, const std::string& text);

  TimePoint m_start;
  std::string m_text;
};

} // namespace gooseberrysail::test
