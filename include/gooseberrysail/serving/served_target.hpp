#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/serving/target_table.hpp"

#include <cstdint>
#include <string>
#include <wire_generated.h>

namespace gooseberrysail {

/// \brief A target as entries use it.
struct ServedTarget
{
  InstanceId instance;
  std::string service;
  std::string address; ///< "ip:port".
  FailureDomainId failureDomain;
  std::uint32_t slots = 0;
  bool leaving = false;    ///< Takes no new work.
  std::string servedModel; ///< Heads of a complete, open group: its model; "" for plain services.
  Incarnation born{};

  friend bool operator==(const ServedTarget&, const ServedTarget&) = default;
};

[[nodiscard]] wire::ServingTargetT ToWire(const ServedTarget& target);
[[nodiscard]] ServedTarget FromWire(const wire::ServingTargetT& target);

} // namespace gooseberrysail
