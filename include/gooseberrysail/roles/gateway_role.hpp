#pragma once

#include "gooseberrysail/gateway/gateway_api.hpp"
#include "gooseberrysail/gateway/retry_allowance.hpp"
#include "gooseberrysail/roles/entry_role.hpp"
#include "gooseberrysail/roles/inputs.hpp"

#include <memory>
#include <span>
#include <vector>

namespace gooseberrysail {

struct GatewaySettings
{
  FailureDomainId failureDomain;
  std::vector<EntrySettings::Control> controls;
  RetrySettings retries;
};

/// \brief An entry's decisions for routes of the serving document: straight from callers to targets
/// and heads of groups. No I/O inside.
class GatewayRole
{
public:
  GatewayRole(GatewaySettings settings, const RoleHooks& hooks, const GatewayApi& api);
  ~GatewayRole();
  GatewayRole(const GatewayRole&) = delete;
  GatewayRole& operator=(const GatewayRole&) = delete;

  /// \brief Takes in what arrived and appends what must go out.
  /// \param now BootClock time; never goes back.
  /// \remarks Call it at once when something arrives and at least every kTickInterval.
  void Tick(TimePoint now, std::span<const GatewayInput> inbox, std::vector<GatewayOutput>& outbox);

  /// \brief Further control processes to ask, from changed settings.
  void AddControls(std::vector<EntrySettings::Control> controls);

  /// \brief Whether a balancer should send callers here.
  [[nodiscard]] bool IsReady() const noexcept;

  static constexpr Duration kTickInterval = std::chrono::milliseconds(50);

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace gooseberrysail
