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
  /// \brief Until then all entries together send it no more than coldPerSecond requests a second.
  TimePoint coldUntil{};
  double coldPerSecond = 0;

  friend bool operator==(const ServedTarget&, const ServedTarget&) = default;
};

/// \param now When the message is sent or received: it states times relative to that.
[[nodiscard]] wire::ServingTargetT ToWire(TimePoint now, const ServedTarget& target);
[[nodiscard]] ServedTarget FromWire(TimePoint now, const wire::ServingTargetT& target);

} // namespace gooseberrysail
