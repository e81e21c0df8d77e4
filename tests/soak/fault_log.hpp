#pragma once

#include <chrono>
#include <cstddef>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrysail::soak {

using Clock = std::chrono::steady_clock;

/// \brief Records which faults were injected, when, and whom they disturbed.
/// \remarks Thread-safe.
class FaultLog
{
public:
  using FaultId = std::size_t;

  /// \brief Records a fault that disturbs nobody for the ledger's purposes, such as a changed
  /// configuration or a silent replica.
  void Add(std::string what);
  /// \brief Records the begin of a fault that disturbs the connections of a process.
  /// \param subject The name of an entry or a replica.
  FaultId Begin(std::string subject, std::string what);
  /// \brief Ends a fault that has not ended yet.
  void End(FaultId fault);
  /// \brief Ends all faults of a process that have not ended yet.
  void EndAll(std::string_view subject);

  /// \brief Whether a process was disturbed at some time between the two.
  [[nodiscard]] bool WasDisturbed(std::string_view subject,
                                  Clock::time_point from,
                                  Clock::time_point to) const;
  /// \brief The faults that lasted or came between the two times.
  [[nodiscard]] std::vector<std::string> Between(Clock::time_point from,
                                                 Clock::time_point to) const;
  /// \brief All faults in the order of their injection.
  [[nodiscard]] std::vector<std::string> Lines() const;
  /// \brief A time as milliseconds since the log was created, for messages.
  [[nodiscard]] std::string Format(Clock::time_point time) const;

private:
  struct Fault
  {
    std::string subject; ///< "" if it disturbs nobody.
    std::string what;
    Clock::time_point begin;
    std::optional<Clock::time_point> end; ///< None while it lasts.

    [[nodiscard]] bool Overlaps(Clock::time_point from, Clock::time_point to) const
    {
      return begin <= to && (!end || *end >= from);
    }
  };

  [[nodiscard]] std::string Line(const Fault& fault) const;

  const Clock::time_point m_start = Clock::now();
  mutable std::mutex m_mutex;
  std::vector<Fault> m_faults; ///< By id.
};

} // namespace gooseberrysail::soak
