#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/roles/inputs.hpp"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace gooseberrysail {

/// \brief What an entry knows of itself and its surroundings from its settings.
struct EntrySettings
{
  ProcessId process;
  Incarnation incarnation;
  std::string address; ///< Where it listens for peers, "ip:port".
  FailureDomainId failureDomain;
  struct Control
  {
    ProcessId process;
    std::string address;
  };
  std::vector<Control> controls; ///< Every configured control process.
  std::size_t maxInFlight = 2000;
  std::size_t maxRecords = 20000; ///< Finished requests it can still tell about.
  Duration recordsFor = std::chrono::hours(1);
};

/// \brief What a role may not reach for by itself.
struct RoleHooks
{
  std::function<std::uint64_t()> random;  ///< Uniform 64-bit numbers.
  std::function<WallMillis()> wallMillis; ///< For records people read.
};

/// \brief The entry's decisions: admission, routing, attempts, outcomes. No I/O inside.
class EntryRole
{
public:
  EntryRole(EntrySettings settings, RoleHooks hooks);
  ~EntryRole();
  EntryRole(const EntryRole&) = delete;
  EntryRole& operator=(const EntryRole&) = delete;

  /// \brief Takes in what arrived and appends what must go out.
  /// \param now BootClock time; never goes back.
  /// \remarks Call it at once when something arrives and at least every kTickInterval.
  void Tick(TimePoint now, std::span<const EntryInput> inbox, std::vector<EntryOutput>& outbox);

  static constexpr Duration kTickInterval = std::chrono::milliseconds(50);

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace gooseberrysail
