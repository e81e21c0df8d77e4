#pragma once

#include "placement/fleet.hpp"

#include <string>
#include <unordered_map>
#include <vector>

namespace gooseberrysail::impl {

/// \brief Chooses spares that should load weights in advance, so that a repair needs no load.
class Preloads
{
public:
  /// \brief Records whether requests were carried out.
  void Observe(const Fleet& fleet);

  /// \brief Updates the requests; one stays until its VM holds the weights or is no longer a spare.
  /// \param loadsLeft What groups leave of the weight store's budget for loads.
  void Choose(const Fleet& fleet, std::uint32_t loadsLeft);

  [[nodiscard]] const std::vector<PreloadRequest>& Requests() const noexcept { return m_requests; }
  /// \brief Whether a request was ever carried out. If so, the next spare will soon hold weights
  /// after one has been used.
  [[nodiscard]] bool AreGranted() const noexcept { return m_areGranted; }

private:
  std::vector<PreloadRequest> m_requests;
  bool m_areGranted = false;
};

} // namespace gooseberrysail::impl
