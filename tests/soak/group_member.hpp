#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace gooseberrysail::soak {

/// \brief The state of a replica of a model whose groups have one member: it is in at most one
/// group, and serves while the group is open. \remarks Thread-safe.
class GroupMember
{
public:
  explicit GroupMember(std::string model)
    : m_model(std::move(model))
  {
  }

  /// \brief Carries out an order of control.
  /// \returns The status of its answer.
  unsigned OnOrder(std::string_view body);
  /// \brief The fields of reports and registrations, without braces.
  [[nodiscard]] std::string ReportFields();
  [[nodiscard]] bool IsOpen();
  /// \brief Leaves the group, as a new process.
  void Restart();

private:
  enum class State
  {
    kNone,
    kJoining,
    kReady,
    kOpening,
    kOpen,
  };

  unsigned Join(std::string group, std::uint64_t epoch);
  unsigned Open();
  /// \brief Enters the state that follows by the passage of time.
  void Advance();
  void Enter(State state);
  [[nodiscard]] const char* StateName() const;

  std::mutex m_mutex;
  std::string m_model;
  std::string m_group;
  std::uint64_t m_epoch = 0;
  std::uint64_t m_highestEpoch = 0;
  State m_state = State::kNone;
  std::chrono::steady_clock::time_point m_since; ///< When the state was entered.
};

} // namespace gooseberrysail::soak
