#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace gooseberrysail::test {

/// \brief A program started by a test; killed and reaped by the destructor if it still runs.
class ChildProcess
{
public:
  /// \param outputPath File to which its standard output and error are appended.
  ChildProcess(std::vector<std::string> command, std::string outputPath);
  ChildProcess(ChildProcess&& other) noexcept;
  ChildProcess& operator=(ChildProcess&&) = delete;
  ~ChildProcess();

  /// \brief Waits until a line that contains `text` was printed.
  /// \returns That line; "" on timeout.
  [[nodiscard]] std::string WaitForLine(std::string_view text,
                                        std::chrono::milliseconds timeout) const;
  [[nodiscard]] std::string Output() const;

  void Signal(int signal) const;
  /// \returns The exit status as of waitpid; -1 if the program still runs after `timeout`.
  [[nodiscard]] int WaitForExit(std::chrono::milliseconds timeout);
  /// \brief Sends SIGKILL and reaps the process.
  void Kill();
  [[nodiscard]] pid_t Pid() const noexcept { return m_pid; }
  [[nodiscard]] bool Running();

private:
  pid_t m_pid = -1;
  std::string m_outputPath;
  int m_status = -1;
};

/// \brief Waits until `condition` is true; polls it every few milliseconds.
/// \returns False on timeout.
template<class Condition>
[[nodiscard]] bool WaitUntil(Condition condition, std::chrono::milliseconds timeout);

/// \brief A temporary folder that is deleted with this object.
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

/// \brief A loopback address with a port that was free when it was looked up, "ip:port".
[[nodiscard]] std::string FreeAddress();

namespace impl {
void PauseBetweenPolls();
} // namespace impl

template<class Condition>
bool WaitUntil(Condition condition, std::chrono::milliseconds timeout)
{
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    impl::PauseBetweenPolls();
  }
  return true;
}

} // namespace gooseberrysail::test
