#include "gooseberrysail/admission/caller_memory.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrysail {

namespace {

/// While its call is made, a body is held twice: for a repetition, and by the call.
constexpr std::size_t kCopiesOfBody = 2;
/// Connections leave this part of the limit to requests and answers.
constexpr std::size_t kReservedFraction = 4;
/// A request may use this part of what is left.
constexpr std::size_t kRequestFraction = 2;
/// Among those that hold at least this part of what the largest holds, the oldest is given up.
constexpr std::size_t kVictimFraction = 2;

template<class Share>
void Replace(Share& share, std::size_t& total, TimePoint now, std::size_t bytes)
{
  if (share.bytes == 0) {
    share.since = now;
  }
  total += bytes;
  total -= std::exchange(share.bytes, bytes);
}

} // namespace

bool CallerMemory::HasRoomForConnection(std::size_t waiting) const noexcept
{
  return (m_connections.size() + waiting + 1) * kConnectionBytes <=
         m_limit - m_limit / kReservedFraction;
}

CallerMemory::Id CallerMemory::Add(std::function<void()> shed)
{
  const Id id = ++m_last;
  m_connections[id].shed = std::move(shed);
  return id;
}

void CallerMemory::Remove(Id id)
{
  EndRequest(id);
  m_connections.erase(id);
}

std::size_t CallerMemory::ConnectionBytes() const noexcept
{
  return m_connections.size() * kConnectionBytes;
}

std::size_t CallerMemory::UsedBytes() const noexcept
{
  return m_arriving + m_answers + m_held + ConnectionBytes();
}

void CallerMemory::Release(Connection& connection)
{
  m_arriving -= std::exchange(connection.arriving.bytes, 0);
  m_answers -= std::exchange(connection.answer.bytes, 0);
  m_held -= std::exchange(connection.held, 0);
}

void CallerMemory::SetArriving(Id id, TimePoint now, std::size_t bytes)
{
  Connection& connection = m_connections.at(id);
  if (!connection.isShed) {
    Replace(connection.arriving, m_arriving, now, bytes);
    ShedWhileOverLimit();
  }
}

// A part of what is left, in place of a fixed one: large requests leave room for small ones, and
// one of the largest size passes while little else is held. Requests that still arrive don't count,
// since they can be given up.
bool CallerMemory::Hold(Id id, std::size_t bodyBytes)
{
  Connection& connection = m_connections.at(id);
  if (connection.isShed) {
    return false;
  }
  Release(connection);
  const std::size_t bytes = kCopiesOfBody * bodyBytes;
  const std::size_t used = m_answers + m_held + ConnectionBytes();
  if (bytes > (m_limit - std::min(m_limit, used)) / kRequestFraction) {
    ++m_counters.refusedRequests;
    return false;
  }
  connection.held = bytes;
  m_held += bytes;
  ShedWhileOverLimit();
  return true;
}

void CallerMemory::SetAnswer(Id id, TimePoint now, std::size_t bytes)
{
  Connection& connection = m_connections.at(id);
  if (!connection.isShed) {
    Replace(connection.answer, m_answers, now, bytes);
    ShedWhileOverLimit();
  }
}

void CallerMemory::EndRequest(Id id)
{
  Connection& connection = m_connections.at(id);
  Release(connection);
  connection.isShed = false;
}

// Large holders go before small ones, so that ordinary requests are not the ones to suffer. Among
// large ones, a caller who makes progress holds its bytes for a short time only.
CallerMemory::Connection* CallerMemory::FindVictim()
{
  std::size_t largest = 0;
  for (const auto& [id, connection] : m_connections) {
    largest = std::max({ largest, connection.arriving.bytes, connection.answer.bytes });
  }
  Connection* victim = nullptr;
  TimePoint oldest = TimePoint::max();
  for (auto& [id, connection] : m_connections) {
    for (const Share& share : { connection.arriving, connection.answer }) {
      const bool isLarge = share.bytes != 0 && share.bytes >= largest / kVictimFraction;
      if (isLarge && share.since < oldest) {
        oldest = share.since;
        victim = &connection;
      }
    }
  }
  return victim;
}

void CallerMemory::ShedWhileOverLimit()
{
  while (UsedBytes() > m_limit) {
    Connection* const victim = FindVictim();
    if (victim == nullptr) {
      return;
    }
    ++(victim->answer.bytes != 0 ? m_counters.shedAnswers : m_counters.shedRequests);
    Release(*victim);
    victim->isShed = true;
    victim->shed();
  }
}

} // namespace gooseberrysail
