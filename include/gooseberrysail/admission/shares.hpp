#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace gooseberrysail {

/// \brief Part of a limit that is split evenly whatever the demand, so that an entry whose demand
/// rises between two divisions is not without any.
inline constexpr double kEvenPart = 0.2;

/// \brief Divides a workspace's limit between entries by their demand; the sum is the limit.
/// \param limit The whole limit, per second.
/// \param demands What each entry was offered, per second.
/// \code
/// DivideShares(30, std::array{ 5.0, 5.0, 50.0 }); // about 4, 4 and 22
/// \endcode
[[nodiscard]] std::vector<double> DivideShares(double limit, std::span<const double> demands);

/// \brief The same for a count that can't be split, such as concurrent requests.
[[nodiscard]] std::vector<std::uint32_t> DivideCount(std::uint32_t limit,
                                                     std::span<const double> demands);

} // namespace gooseberrysail
