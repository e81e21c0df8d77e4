#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/serving/target_table.hpp"

#include <cstdint>
#include <string>
#include <wire_generated.h>

namespace gooseberrysail {

/// \brief A target as control describes it to entries.
struct ServedTarget
{
  InstanceId instance;
  std::string service;
  std::string address; ///< "ip:port".
  FailureDomainId failureDomain;
  std::uint32_t slots = 0;
  bool leaving = false;    ///< Accepts no new requests.
  std::string servedModel; ///< Model of the complete, open group it heads; "" for plain services.
  Incarnation born{};

  friend bool operator==(const ServedTarget&, const ServedTarget&) = default;
};

[[nodiscard]] wire::ServingTargetT ToWire(const ServedTarget& target);
[[nodiscard]] ServedTarget FromWire(const wire::ServingTargetT& target);

} // namespace gooseberrysail
