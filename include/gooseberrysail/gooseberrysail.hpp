#pragma once

/// \file Umbrella header for programs that run or drive the roles, such as the examples. The
/// project's own sources include the individual headers instead.
/// \code
/// #include "gooseberrysail/gooseberrysail.hpp"
///
/// gooseberrysail::EntryRole entry(settings, hooks);
/// entry.Tick(now, inbox, outbox);
/// \endcode

#include "gooseberrysail/admission/admission.hpp"
#include "gooseberrysail/catalogue/catalogue.hpp"
#include "gooseberrysail/consensus/raft_node.hpp"
#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/join.hpp"
#include "gooseberrysail/core/result.hpp"
#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/core/token.hpp"
#include "gooseberrysail/forward_declarations.hpp"
#include "gooseberrysail/http/http_client.hpp"
#include "gooseberrysail/http/http_server.hpp"
#include "gooseberrysail/net/fiber_runtime.hpp"
#include "gooseberrysail/net/peer_mesh.hpp"
#include "gooseberrysail/observe/event.hpp"
#include "gooseberrysail/placement/planner.hpp"
#include "gooseberrysail/roles/agent_role.hpp"
#include "gooseberrysail/roles/control_role.hpp"
#include "gooseberrysail/roles/entry_role.hpp"
#include "gooseberrysail/routing/router.hpp"
#include "gooseberrysail/settings/settings.hpp"
#include "gooseberrysail/shell/daemon.hpp"
#include "gooseberrysail/storage/control_store.hpp"
#include "gooseberrysail/wire/envelope.hpp"
