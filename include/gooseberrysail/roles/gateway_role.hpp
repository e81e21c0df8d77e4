#pragma once

#include "gooseberrysail/gateway/answer_limits.hpp"
#include "gooseberrysail/gateway/gateway_api.hpp"
#include "gooseberrysail/gateway/retry_allowance.hpp"
#include "gooseberrysail/roles/entry_role.hpp"
#include "gooseberrysail/roles/inputs.hpp"
#include "gooseberrysail/serving/document.hpp"

#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace gooseberrysail {

struct GatewaySettings
{
  FailureDomainId failureDomain;
  std::vector<EntrySettings::Control> controls;
  RetrySettings retries;
  AnswerLimits answerLimits;
  Duration targetDrainTime = std::chrono::seconds(2); ///< Use of a target that says it leaves.
  Duration stopTimeout = std::chrono::seconds(13);    ///< From SIGTERM to SIGKILL.
  bool predictFirstEvent = false;                     ///< See Dispatcher::SetForecasts.
  bool retryPlaces = false;                           ///< See Dispatcher::SetRetryPlaces.
};

/// \brief Decides how an entry forwards requests to targets and to the heads of groups, by the
/// routes of the serving document. Does no I/O.
class GatewayRole
{
public:
  GatewayRole(GatewaySettings settings, const RoleHooks& hooks, const GatewayApi& api);
  ~GatewayRole();
  GatewayRole(const GatewayRole&) = delete;
  GatewayRole& operator=(const GatewayRole&) = delete;

  /// \brief Processes the inputs and appends the outputs.
  /// \param now BootClock time; must not decrease.
  /// \remarks Must be called as soon as an input arrives, and at least every kTickInterval.
  void Tick(TimePoint now, std::span<const GatewayInput> inbox, std::vector<GatewayOutput>& outbox);

  /// \brief Adds control processes to query, from changed settings.
  void AddControls(std::vector<EntrySettings::Control> controls);

  /// \brief Whether a load balancer should send callers to this entry.
  [[nodiscard]] bool IsReady() const noexcept;

  /// \brief The limits on callers of the document in force; none while no document is known.
  [[nodiscard]] std::optional<CallerLimits> LimitsOnCallers() const;

  /// \brief See Dispatcher::SetHeldAnswerHook.
  void SetHeldAnswerHook(HeldAnswerHook hook);

  static constexpr Duration kTickInterval = std::chrono::milliseconds(50);

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace gooseberrysail
