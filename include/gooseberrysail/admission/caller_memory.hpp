#pragma once

#include "gooseberrysail/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>

namespace gooseberrysail {

/// \brief Counters since the start of the process.
struct CallerMemoryCounters
{
  std::uint64_t shedRequests = 0;    ///< Given up before they had arrived completely.
  std::uint64_t refusedRequests = 0; ///< Refused when they had arrived.
  std::uint64_t shedAnswers = 0;     ///< Cut, or replaced by a failure.
};

/// \brief The bytes that a process holds for its callers, on all of their connections together.
/// \code
/// CallerMemory memory(64 * 1024 * 1024);
/// const CallerMemory::Id connection = memory.Add([&] { /* gives up its request or answer */ });
/// memory.SetArriving(connection, now, buffer.capacity() + body.capacity());
/// if (memory.Hold(connection, body.size())) { /* passes the request on */ }
/// memory.SetAnswer(connection, now, queuedBytes);
/// memory.EndRequest(connection);
/// memory.Remove(connection);
/// \endcode
class CallerMemory
{
public:
  using Id = std::uint64_t;

  /// What a connection needs besides the bytes of its request and its answer.
  static constexpr std::size_t kConnectionBytes = std::size_t{ 16 } * 1024;

  explicit CallerMemory(std::size_t limit) noexcept
    : m_limit(limit)
  {
  }

  /// \brief Whether there is room for one more connection beside `waiting` ones that aren't added.
  [[nodiscard]] bool HasRoomForConnection(std::size_t waiting) const noexcept;

  /// \brief Adds a connection.
  /// \param shed Called when it must give up its request or its answer; all that it holds counts as
  /// given up from then on. It may be called within SetArriving and SetAnswer, also of others.
  [[nodiscard]] Id Add(std::function<void()> shed);

  void Remove(Id id);

  /// \brief States the bytes of a request that has not arrived completely.
  void SetArriving(Id id, TimePoint now, std::size_t bytes);

  /// \brief Replaces the bytes of the arriving request by those of its body, which are held until
  /// EndRequest.
  /// \returns False if the request must be refused; then it holds nothing.
  [[nodiscard]] bool Hold(Id id, std::size_t bodyBytes);

  /// \brief States the bytes that wait for the caller, and what was read ahead behind its request.
  void SetAnswer(Id id, TimePoint now, std::size_t bytes);

  /// \brief The request and its answer hold nothing more.
  void EndRequest(Id id);

  [[nodiscard]] std::size_t Limit() const noexcept { return m_limit; }
  [[nodiscard]] std::size_t UsedBytes() const noexcept;
  [[nodiscard]] const CallerMemoryCounters& Counters() const noexcept { return m_counters; }

private:
  /// \brief Bytes of one connection that it can give up.
  struct Share
  {
    std::size_t bytes = 0;
    TimePoint since{}; ///< When they became more than none.
  };

  struct Connection
  {
    std::function<void()> shed;
    Share arriving;
    Share answer;
    std::size_t held = 0;
    bool isShed = false; ///< Until EndRequest.
  };

  void Release(Connection& connection);
  void ShedWhileOverLimit();
  [[nodiscard]] Connection* FindVictim();
  [[nodiscard]] std::size_t ConnectionBytes() const noexcept;

  std::size_t m_limit;
  std::size_t m_arriving = 0; ///< These three are totals over all connections.
  std::size_t m_answers = 0;
  std::size_t m_held = 0;
  Id m_last = 0;
  std::unordered_map<Id, Connection> m_connections;
  CallerMemoryCounters m_counters;
};

} // namespace gooseberrysail
