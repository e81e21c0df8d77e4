#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace gooseberrysail::soak {

/// \brief What callers asked and were told, and what replicas ran; checks the promises between
/// them. \remarks Safe to use from all threads.
class Ledger
{
public:
  /// \brief A caller is about to send a request. Call it before the first byte leaves.
  void OnAsked(const std::string& id, bool isRepeatable);

  /// \brief A replica began to work on a request.
  void OnRun(const std::string& id, const std::string& replica);

  /// \brief A replica was given what no caller may send on, such as a key.
  void OnLeak(const std::string& id, const std::string& what);

  /// \brief A caller has its final answer; status 0 for none.
  /// \param isOwn The body is the whole answer to this very request.
  void OnTold(const std::string& id, unsigned status, bool isOwn);

  /// \brief A violation found elsewhere.
  void OnViolation(const std::string& what);

  /// \brief Checks what can only be known in the end, and returns everything that was broken.
  [[nodiscard]] std::vector<std::string> Violations();

  struct Totals
  {
    std::uint64_t asked = 0;
    std::uint64_t answered = 0; ///< With success.
    std::uint64_t refused = 0;  ///< With a promise that it did not run.
    std::uint64_t unclear = 0;  ///< Anything else.
  };
  [[nodiscard]] Totals Count() const;

private:
  struct Row
  {
    bool isRepeatable = false;
    std::uint32_t runs = 0;
    std::string firstReplica;
    unsigned status = 0;
    bool isOwn = false;
    bool isTold = false;
  };

  mutable std::mutex m_mutex;
  std::map<std::string, Row> m_rows; ///< By the request's id.
  std::vector<std::string> m_violations;
};

/// \brief Whether a status promises that the request has not run and never will.
[[nodiscard]] bool IsPromise(unsigned status) noexcept;

} // namespace gooseberrysail::soak
