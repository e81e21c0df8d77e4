#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace gooseberrysail {

namespace impl {

/// \brief A value of type `Value` that can't be mixed up with one of another `Tag`.
template<class Tag, class Value>
class StrongId
{
public:
  StrongId() = default;
  explicit StrongId(Value value)
    : m_value(std::move(value))
  {
  }

  [[nodiscard]] const Value& Get() const noexcept { return m_value; }
  [[nodiscard]] bool IsNone() const noexcept { return m_value == Value{}; }

  friend auto operator<=>(const StrongId&, const StrongId&) = default;
  friend std::ostream& operator<<(std::ostream& out, const StrongId& id)
  {
    return out << id.m_value;
  }

private:
  Value m_value{};
};

} // namespace impl

/// \brief A running daemon by its configured name, such as `entry-1`. Names outlive restarts.
using ProcessId = impl::StrongId<struct ProcessTag, std::string>;
/// \brief A target VM by its configured name.
using VmId = impl::StrongId<struct VmTag, std::string>;
/// \brief Machines that fail together, such as `half-way-tree`.
using FailureDomainId = impl::StrongId<struct FailureDomainTag, std::string>;
/// \brief Machines joined by one fast fabric; a group never spans two.
using FabricDomainId = impl::StrongId<struct FabricDomainTag, std::string>;
/// \brief The name of a catalogue entry.
using EntryName = impl::StrongId<struct EntryNameTag, std::string>;
/// \brief A customer's workspace by its catalogue name.
using WorkspaceId = impl::StrongId<struct WorkspaceTag, std::string>;
/// \brief `<entry process>.<incarnation>.<sequence>`: names the entry that can tell its outcome.
using RequestId = impl::StrongId<struct RequestTag, std::string>;

/// \brief One group: the log index at which it was formed.
using GroupId = impl::StrongId<struct GroupTag, std::uint64_t>;
/// \brief Orders assignments and fences old ones; only rises.
using Epoch = impl::StrongId<struct EpochTag, std::uint64_t>;
/// \brief Tells apart the lives of a process with one name.
using Incarnation = impl::StrongId<struct IncarnationTag, std::uint64_t>;
/// \brief Position in the replicated log; also the version of the configuration.
using LogIndex = impl::StrongId<struct LogIndexTag, std::uint64_t>;
/// \brief Election term.
using Term = impl::StrongId<struct TermTag, std::uint64_t>;

/// \brief Builds the id of the `sequence`-th request of one entry's life.
[[nodiscard]] RequestId MakeRequestId(const ProcessId& entry,
                                      Incarnation incarnation,
                                      std::uint64_t sequence);

/// \brief The entry process named in a request id; none when the id is malformed.
[[nodiscard]] ProcessId EntryOf(const RequestId& request);

} // namespace gooseberrysail

template<class Tag, class Value>
struct std::hash<gooseberrysail::impl::StrongId<Tag, Value>>
{
  std::size_t operator()(const gooseberrysail::impl::StrongId<Tag, Value>& id) const noexcept
  {
    return std::hash<Value>{}(id.Get());
  }
};
