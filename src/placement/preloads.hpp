#pragma once

#include "placement/fleet.hpp"

#include <string>
#include <unordered_map>
#include <vector>

namespace gooseberrysail::impl {

/// \brief Chooses spares that should load weights ahead of need, so that a repair need not.
class Preloads
{
public:
  /// \brief Notes which wishes came true.
  void Observe(const Fleet& fleet);

  /// \brief Chooses anew; a wish stays until its VM holds the weights or is no longer a spare.
  /// \param loadsLeft Loads that groups leave of the weight store's budget.
  void Choose(const Fleet& fleet, std::uint32_t loadsLeft);

  [[nodiscard]] const std::vector<PreloadWish>& Wishes() const noexcept { return m_wishes; }
  /// \brief Whether wishes were ever granted: then a spare that was used is soon as good again.
  [[nodiscard]] bool AreGranted() const noexcept { return m_areGranted; }

private:
  std::vector<PreloadWish> m_wishes;
  bool m_areGranted = false;
};

} // namespace gooseberrysail::impl
