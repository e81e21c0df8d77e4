#include "gooseberrysail/serving/served_target.hpp"

#include <algorithm>

namespace gooseberrysail {

wire::ServingTargetT ToWire(TimePoint now, const ServedTarget& target)
{
  wire::ServingTargetT message;
  message.instance = target.instance.Get();
  message.service = target.service;
  message.address = target.address;
  message.failureDomain = target.failureDomain.Get();
  message.slots = target.slots;
  message.leaving = target.leaving;
  message.servedModel = target.servedModel;
  message.born = target.born.Get();
  message.coldLeftMillis =
    static_cast<std::uint32_t>(std::max<std::int64_t>(ToMillis(target.coldUntil - now), 0));
  message.coldPerSecond = static_cast<float>(target.coldPerSecond);
  return message;
}

ServedTarget FromWire(TimePoint now, const wire::ServingTargetT& message)
{
  ServedTarget target;
  target.instance = InstanceId(message.instance);
  target.service = message.service;
  target.address = message.address;
  target.failureDomain = FailureDomainId(message.failureDomain);
  target.slots = message.slots;
  target.leaving = message.leaving;
  target.servedModel = message.servedModel;
  target.born = Incarnation(message.born);
  if (message.coldLeftMillis != 0) {
    target.coldUntil = now + std::chrono::milliseconds(message.coldLeftMillis);
    target.coldPerSecond = message.coldPerSecond;
  }
  return target;
}

} // namespace gooseberrysail
