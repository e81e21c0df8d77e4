#include "gooseberrysail/serving/served_target.hpp"

namespace gooseberrysail {

wire::ServingTargetT ToWire(const ServedTarget& target)
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
  return message;
}

ServedTarget FromWire(const wire::ServingTargetT& message)
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
  return target;
}

} // namespace gooseberrysail
