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

/// \brief Settings of an entry process.
struct EntrySettings
{
  ProcessId process;
  Incarnation incarnation;
  std::string address; ///< Listen address for peers, "ip:port".
  FailureDomainId failureDomain;
  struct Control
  {
    ProcessId process;
    std::string address;
  };
  std::vector<Control> controls; ///< Every configured control process.
  std::size_t maxInFlight = 2000;
  std::size_t maxRecords = 20000; ///< Records of finished requests that are kept.
  Duration recordRetention = std::chrono::hours(1);
  Duration stopTimeout = std::chrono::seconds(13); ///< From SIGTERM to SIGKILL.
};

/// \brief Sources of randomness and wall-clock time, passed in so that a role is deterministic.
struct RoleHooks
{
  std::function<std::uint64_t()> random;  ///< Uniform 64-bit numbers.
  std::function<WallMillis()> wallMillis; ///< Wall-clock time, for records only.
};

/// \brief The logic of an entry: admission, routing, attempts and outcomes. Does no I/O.
class EntryRole
{
public:
  EntryRole(EntrySettings settings, RoleHooks hooks);
  ~EntryRole();
  EntryRole(const EntryRole&) = delete;
  EntryRole& operator=(const EntryRole&) = delete;

  /// \brief Handles the inputs and appends the outputs.
  /// \param now BootClock time; must not decrease.
  /// \remarks Call it as soon as an input arrives, and at least every kTickInterval.
  void Tick(TimePoint now, std::span<const EntryInput> inbox, std::vector<EntryOutput>& outbox);

  static constexpr Duration kTickInterval = std::chrono::milliseconds(50);

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace gooseberrysail
