#pragma once

#include "soak/ledger.hpp"

#include <atomic>
#include <thread>

namespace gooseberrysail::soak {

/// \brief Callers that keep their connections open until an entry closes them or is gone.
class Callers
{
public:
  Callers(std::vector<std::string> entries, std::size_t count, Ledger& ledger, std::uint64_t seed);
  ~Callers() { Stop(); }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  /// \brief Waits until each has its last answer.
  void Stop();

private:
  void Work(std::size_t number, std::uint64_t seed);

  std::vector<std::string> m_entries;
  Ledger& m_ledger;
  std::atomic<bool> m_stop = false;
  std::vector<std::thread> m_threads;
};

} // namespace gooseberrysail::soak
