#include "gooseberrysail/serving/served_target.hpp"

namespace gooseberrysail {

wire::ServingTargetT ToWire(const ServedTarget& target)
{
  wire::ServingTargetT wired;
  wired.instance = target.instance.Get();
  wired.service = target.service;
  wired.address = target.address;
  wired.failureDomain = target.failureDomain.Get();
  wired.slots = target.slots;
  wired.leaving = target.leaving;
  wired.servedModel = target.servedModel;
  wired.born = target.born.Get();
  return wired;
}

ServedTarget FromWire(const wire::ServingTargetT& wired)
{
  ServedTarget target;
  target.instance = InstanceId(wired.instance);
  target.service = wired.service;
  target.address = wired.address;
  target.failureDomain = FailureDomainId(wired.failureDomain);
  target.slots = wired.slots;
  target.leaving = wired.leaving;
  target.servedModel = wired.servedModel;
  target.born = Incarnation(wired.born);
  return target;
}

} // namespace gooseberrysail
