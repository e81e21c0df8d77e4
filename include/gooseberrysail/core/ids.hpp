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

/// \brief A `Value` that can't be converted to a StrongId with another `Tag`.
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

/// \brief A daemon process by its configured name, such as `entry-1`. A restart keeps the name.
using ProcessId = impl::StrongId<struct ProcessTag, std::string>;
/// \brief A target VM by its configured name.
using VmId = impl::StrongId<struct VmTag, std::string>;
/// \brief A set of machines that may fail together, such as `half-way-tree`.
using FailureDomainId = impl::StrongId<struct FailureDomainTag, std::string>;
/// \brief A set of machines connected by one fast fabric; a group never spans two of them.
using FabricDomainId = impl::StrongId<struct FabricDomainTag, std::string>;
/// \brief The name of a catalogue entry.
using EntryName = impl::StrongId<struct EntryNameTag, std::string>;
/// \brief A customer's workspace by its catalogue name.
using WorkspaceId = impl::StrongId<struct WorkspaceTag, std::string>;
/// \brief `<entry process>.<incarnation>.<sequence>`; identifies the entry that knows the outcome.
using RequestId = impl::StrongId<struct RequestTag, std::string>;

/// \brief Identifies a group by the log index at which it was formed.
using GroupId = impl::StrongId<struct GroupTag, std::uint64_t>;
/// \brief Orders assignments and fences old ones; never decreases.
using Epoch = impl::StrongId<struct EpochTag, std::uint64_t>;
/// \brief Distinguishes successive runs of a process with the same name.
using Incarnation = impl::StrongId<struct IncarnationTag, std::uint64_t>;
/// \brief Position in the replicated log; also the version of the configuration.
using LogIndex = impl::StrongId<struct LogIndexTag, std::uint64_t>;
/// \brief Election term.
using Term = impl::StrongId<struct TermTag, std::uint64_t>;

/// \brief Builds the id of the `sequence`-th request of one incarnation of an entry.
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
