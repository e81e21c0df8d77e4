#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace gooseberrysail::test {

/// \brief A program started by a test; killed and reaped at the latest when this goes away.
class ChildProcess
{
public:
  /// \param outputPath Where its standard output and error go.
  ChildProcess(std::vector<std::string> command, std::string outputPath);
  ChildProcess(ChildProcess&& other) noexcept;
  ChildProcess& operator=(ChildProcess&&) = delete;
  ~ChildProcess();

  /// \brief Waits until a line holding `text` was printed.
  /// \returns That line; "" when the time ran out or the program ended first.
  [[nodiscard]] std::string WaitForLine(std::string_view text,
                                        std::chrono::milliseconds timeout) const;
  [[nodiscard]] std::string Output() const;

  void Signal(int signal) const;
  /// \returns The exit status as waitpid gives it; -1 when it still runs after `timeout`.
  [[nodiscard]] int WaitForExit(std::chrono::milliseconds timeout);
  /// \brief SIGKILL, then reaps.
  void Kill();
  [[nodiscard]] pid_t Pid() const noexcept { return m_pid; }
  [[nodiscard]] bool Running();

private:
  pid_t m_pid = -1;
  std::string m_outputPath;
  int m_status = -1;
};

/// \brief Waits until `condition` holds, looking every few milliseconds.
template<class Condition>
[[nodiscard]] bool WaitUntil(Condition condition, std::chrono::milliseconds timeout);

/// \brief A folder that goes away with this object.
class TemporaryFolder
{
public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  [[nodiscard]] const std::string& Path() const noexcept { return m_path; }

private:
  std::string m_path;
};

/// \brief An address on loopback that nothing listened on a moment ago, "ip:port".
[[nodiscard]] std::string FreeAddress();

namespace impl {
void PauseBetweenLooks();
} // namespace impl

template<class Condition>
bool WaitUntil(Condition condition, std::chrono::milliseconds timeout)
{
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    impl::PauseBetweenLooks();
  }
  return true;
}

} // namespace gooseberrysail::test
