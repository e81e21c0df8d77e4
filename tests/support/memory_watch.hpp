#pragma once

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace gooseberrysail::test {

/// \brief What a process needs of its machine.
struct MemoryUse
{
  std::size_t residentBytes = 0;
  std::size_t socketBytes = 0; ///< In the kernel: not read, or not taken by the peer.
  std::size_t descriptors = 0;

  [[nodiscard]] std::size_t Bytes() const { return residentBytes + socketBytes; }
};

/// \brief Measures a running process and the sockets of its servers.
/// \param addresses Addresses at which it listens, "ip:port".
[[nodiscard]] inline MemoryUse MeasureMemory(pid_t process,
                                             const std::vector<std::string>& addresses)
{
  const std::string folder = "/proc/" + std::to_string(process);
  MemoryUse use;
  std::ifstream status(folder + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:")) {
      use.residentBytes = std::stoul(line.substr(6)) * 1024;
    }
  }
  std::error_code ignored;
  for (auto entry = std::filesystem::directory_iterator(folder + "/fd", ignored);
       entry != std::filesystem::directory_iterator();
       entry.increment(ignored)) {
    ++use.descriptors;
  }
  std::set<unsigned> ports;
  for (const std::string& address : addresses) {
    ports.insert(static_cast<unsigned>(std::stoul(address.substr(address.rfind(':') + 1))));
  }
  // Columns: number, local address, peer's address, state, bytes to send and to be read.
  std::ifstream sockets("/proc/net/tcp");
  for (std::string line; std::getline(sockets, line);) {
    std::istringstream columns(line);
    std::string number;
    std::string local;
    std::string peer;
    std::string state;
    std::string queues;
    columns >> number >> local >> peer >> state >> queues;
    constexpr const char* kListening = "0A";
    const auto colon = local.find(':');
    if (colon == std::string::npos || state == kListening || queues.size() != 17 ||
        !ports.contains(static_cast<unsigned>(std::stoul(local.substr(colon + 1), nullptr, 16)))) {
      continue;
    }
    use.socketBytes +=
      std::stoul(queues.substr(0, 8), nullptr, 16) + std::stoul(queues.substr(9), nullptr, 16);
  }
  return use;
}

/// \brief Measures a process again and again, in a thread of its own.
class MemoryWatch
{
public:
  MemoryWatch(pid_t process, std::vector<std::string> addresses)
    : m_thread([this, process, watched = std::move(addresses)] {
      while (!m_stop) {
        const MemoryUse use = MeasureMemory(process, watched);
        m_most.residentBytes = std::max(m_most.residentBytes, use.residentBytes);
        m_most.socketBytes = std::max(m_most.socketBytes, use.socketBytes);
        m_most.descriptors = std::max(m_most.descriptors, use.descriptors);
        m_mostBytes = std::max(m_mostBytes, use.Bytes());
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
      }
    })
  {
  }

  MemoryWatch(const MemoryWatch&) = delete;
  MemoryWatch& operator=(const MemoryWatch&) = delete;

  ~MemoryWatch() { Stop(); }

  void Stop()
  {
    m_stop = true;
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }

  /// \brief The largest figures, each by itself; once it was stopped.
  [[nodiscard]] const MemoryUse& Most() const { return m_most; }
  /// \brief The largest sum of resident memory and bytes in sockets; once it was stopped.
  [[nodiscard]] std::size_t MostBytes() const { return m_mostBytes; }

private:
  std::atomic<bool> m_stop = false;
  MemoryUse m_most;
  std::size_t m_mostBytes = 0;
  std::thread m_thread;
};

} // namespace gooseberrysail::test
