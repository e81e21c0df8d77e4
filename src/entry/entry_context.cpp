#include "gooseberrysail/entry/entry_context.hpp"

namespace gooseberrysail::impl {

EntryContext::EntryContext(EntrySettings entrySettings, RoleHooks roleHooks)
  : settings(std::move(entrySettings))
  , hooks(std::move(roleHooks))
  , config(settings.controls)
  , router(settings.failureDomain, hooks.random)
  , records(settings.maxRecords, settings.recordRetention)
{
}

RequestId EntryContext::NextRequestId()
{
  return MakeRequestId(settings.process, settings.incarnation, ++m_lastSequence);
}

} // namespace gooseberrysail::impl
