#pragma once

#include "soak/ledger.hpp"

#include <atomic>
#include <thread>

namespace gooseberrysail::soak {

/// \brief Sends requests from several threads and records their replies in the ledger.
/// \remarks Each thread reuses its connection until an entry closes it or ends.
class Callers
{
public:
  Callers(std::vector<std::string> entries, std::size_t count, Ledger& ledger, std::uint64_t seed);
  ~Callers() { Stop(); }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  /// \brief Stops sending and waits for the replies to the last requests.
  void Stop();

private:
  void SendRequests(std::size_t number, std::uint64_t seed);

  std::vector<std::string> m_entries;
  Ledger& m_ledger;
  std::atomic<bool> m_stop = false;
  std::vector<std::thread> m_threads;
};

} // namespace gooseberrysail::soak
