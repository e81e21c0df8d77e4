#pragma once

#include "gooseberrysail/core/time.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrysail {

/// \brief How long the latest answers of each route took.
class AnswerTimes
{
public:
  void Add(const std::string& route, Duration time);

  /// \brief The time in which a share of the latest answers of a route was complete.
  /// \param share From 0 to 1; 1 for the longest time.
  /// \returns None for a route without an answer.
  [[nodiscard]] std::optional<Duration> Within(const std::string& route, double share) const;

  /// \brief Forgets the routes for which the predicate is false.
  void KeepOnly(const std::function<bool(const std::string& route)>& isKept);

  [[nodiscard]] std::size_t CountRoutes() const noexcept { return m_routes.size(); }

  static constexpr std::size_t kAnswers = 64; ///< Remembered for each route.

private:
  struct Route
  {
    std::vector<Duration> times;
    std::size_t next = 0; ///< The oldest, once there are kAnswers of them.
  };

  std::map<std::string, Route> m_routes;
};

} // namespace gooseberrysail
