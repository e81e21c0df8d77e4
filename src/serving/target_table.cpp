#include "gooseberrysail/serving/target_table.hpp"

#include <algorithm>
#include <tuple>
#include <utility>
#include <xxhash.h>

namespace gooseberrysail {

namespace {

/// Fields whose changes must be passed on to others.
auto ReplicatedFields(const TargetAnnouncement& announcement)
{
  const GroupMembership& member = announcement.membership;
  return std::tie(announcement.born,
                  announcement.service,
                  announcement.address,
                  announcement.slots,
                  announcement.draining,
                  announcement.left,
                  announcement.stagedModels,
                  announcement.loadedModel,
                  member.group,
                  member.epoch,
                  member.rank,
                  member.state);
}

/// Heartbeats state the same end with different delays. An end that differs by less is no change.
constexpr Duration kColdVariation = std::chrono::milliseconds(200);

/// \returns Whether the target is cold for longer than was known. Nothing makes it warm earlier: a
/// heartbeat that was delayed may have been sent before it became cold.
bool UpdateCold(TargetRow& row)
{
  const TimePoint until = row.lastSeenAt + row.latest.coldLeft;
  const bool isLater =
    row.latest.coldLeft > Duration::zero() && until > row.coldUntil + kColdVariation;
  row.coldUntil = isLater ? until : row.coldUntil;
  return isLater;
}

void Append(std::string& text, const std::string& field)
{
  text += field;
  text += '\0';
}

void Append(std::string& text, const std::vector<std::string>& fields)
{
  for (const std::string& field : fields) {
    Append(text, field);
  }
  text += '\0';
}

void Append(std::string& text, std::uint64_t field)
{
  Append(text, std::to_string(field));
}

template<class TagT, class ValueT>
void Append(std::string& text, const impl::StrongId<TagT, ValueT>& id)
{
  Append(text, id.Get());
}

void Append(std::string& text, wire::MemberState state)
{
  Append(text, static_cast<std::uint64_t>(state));
}

/// Equal for two announcements whose replicated fields are equal.
std::uint64_t HashState(const TargetAnnouncement& announcement)
{
  std::string text;
  std::apply([&](const auto&... fields) { (Append(text, fields), ...); },
             ReplicatedFields(announcement));
  return XXH3_64bits(text.data(), text.size());
}

/// A target that joins a group unloads its former weights; one that has left its group keeps them.
void UpdateLastModel(TargetRow& row)
{
  const GroupMembership& membership = row.latest.membership;
  if (membership.group.empty()) {
    return;
  }
  const bool hasWeights = membership.state != wire::MemberState::Joining;
  row.lastModel = hasWeights ? row.latest.loadedModel : std::string();
}

} // namespace

bool Departure::Covers(const Departure& other) const noexcept
{
  if (target.born != other.target.born) {
    return target.born > other.target.born;
  }
  return left || (!other.left && sequence >= other.sequence);
}

TargetTable::Change TargetTable::Update(TimePoint now, TargetAnnouncement announcement)
{
  if (announcement.instance.Get().size() > kMaxInstanceBytes ||
      NameBytes(announcement) > kMaxNameBytes) {
    return Change::kTooLong;
  }
  if (!HasRoomFor(announcement.instance)) {
    return Change::kFull;
  }
  const auto [found, isNew] = m_rows.try_emplace(announcement.instance);
  TargetRow& row = found->second;
  // Heartbeats reach different control processes and may arrive out of order: an older state that
  // replaced a newer one would bring back a target that is leaving.
  // The sequence starts again with each incarnation, so that a heartbeat of the next incarnation
  // may have a lower number. After a departure of an unknown incarnation, a heartbeat can't be
  // attributed to the next one.
  const bool wasUnknown = row.latest.left && row.latest.born.IsNone();
  const bool isRestarted = !isNew && !wasUnknown && announcement.born > row.latest.born;
  const bool isLate = !isNew && std::tie(announcement.born, announcement.sequence) <=
                                  std::tie(row.latest.born, row.latest.sequence);
  if (isLate || (!isNew && !isRestarted && row.latest.left)) {
    return Change::kNone;
  }
  if (isRestarted) {
    // The weights of the former incarnation are no longer loaded.
    row.lastModel.clear();
    row.coldUntil = {};
  }
  if (isNew || isRestarted) {
    row.firstSeenAt = now;
  }
  const bool wasDraining = !isNew && !isRestarted && row.latest.draining;
  if (announcement.draining && !wasDraining) {
    row.drainingFrom = announcement.sequence;
  }
  const bool isSame = !isNew && ReplicatedFields(row.latest) == ReplicatedFields(announcement);
  row.latest = std::move(announcement);
  row.lastSeenAt = now;
  UpdateLastModel(row);
  const bool isColdLonger = UpdateCold(row);
  return isSame && !isColdLonger ? Change::kRefresh : Change::kState;
}

// A process may lack a state that another one has: its sender may have ended before it told all.
// The hash shows that, and the sender of the heartbeat is asked for the whole state.
TargetTable::Refresh TargetTable::Update(TimePoint now, const wire::TargetAliveT& alive)
{
  const auto found = m_rows.find(InstanceId(alive.instance));
  if (found == m_rows.end()) {
    return Refresh::kUnknownState;
  }
  TargetRow& row = found->second;
  const Incarnation born(alive.born);
  if (std::tie(born, alive.sequence) <= std::tie(row.latest.born, row.latest.sequence)) {
    return Refresh::kLate;
  }
  if (row.latest.left || HashState(row.latest) != alive.state) {
    return Refresh::kUnknownState;
  }
  row.latest.sequence = alive.sequence;
  row.lastSeenAt = now;
  return Refresh::kRefreshed;
}

TargetTable::Change TargetTable::MarkLeft(TimePoint now,
                                          const InstanceId& instance,
                                          Incarnation born)
{
  if (instance.Get().size() > kMaxInstanceBytes) {
    return Change::kTooLong;
  }
  if (!HasRoomFor(instance)) {
    return Change::kFull;
  }
  TargetRow& row = m_rows[instance];
  if (!born.IsNone() && born < row.latest.born) {
    return Change::kNone;
  }
  row.latest.instance = instance;
  row.latest.born = std::max(row.latest.born, born);
  if (row.latest.left) {
    return Change::kRefresh;
  }
  row.latest.left = true;
  row.lastSeenAt = now;
  return Change::kState;
}

TargetTable::Change TargetTable::Apply(TimePoint now, const Departure& departure)
{
  const auto& [instance, born] = departure.target;
  if (departure.left) {
    return MarkLeft(now, instance, born);
  }
  if (!HasRoomFor(instance)) {
    return Change::kFull;
  }
  const auto [found, isNew] = m_rows.try_emplace(instance);
  TargetRow& row = found->second;
  const bool isKnown =
    !isNew && std::tie(born, departure.sequence) <= std::tie(row.latest.born, row.latest.sequence);
  if (isKnown || (row.latest.left && born <= row.latest.born)) {
    return Change::kNone;
  }
  if (born > row.latest.born) {
    row = TargetRow{};
  }
  if (row.firstSeenAt == TimePoint{}) {
    row.firstSeenAt = now;
  }
  row.latest.instance = instance;
  row.latest.born = born;
  row.latest.sequence = departure.sequence;
  row.latest.draining = true;
  row.drainingFrom = departure.sequence;
  row.lastSeenAt = now;
  return Change::kState;
}

std::optional<Departure> TargetTable::DepartureOf(const InstanceId& instance) const
{
  const TargetRow* row = Find(instance);
  if (row == nullptr || (!row->latest.left && !row->latest.draining)) {
    return std::nullopt;
  }
  return Departure{ { instance, row->latest.born }, row->drainingFrom, row->latest.left };
}

void TargetTable::RemoveExpired(TimePoint now)
{
  std::erase_if(
    m_rows, [now](const auto& row) { return now - row.second.lastSeenAt > kDepartedRetention; });
}

// Known targets are never removed for others, so that strangers can't take the place of a replica.
bool TargetTable::HasRoomFor(const InstanceId& instance) const
{
  return !IsFull() || m_rows.contains(instance);
}

const TargetRow* TargetTable::Find(const InstanceId& instance) const
{
  const auto found = m_rows.find(instance);
  return found == m_rows.end() ? nullptr : &found->second;
}

std::size_t NameBytes(const TargetAnnouncement& announcement)
{
  std::size_t bytes = announcement.instance.Get().size() + announcement.service.size() +
                      announcement.address.size() + announcement.failureDomain.Get().size() +
                      announcement.fabricDomain.Get().size() + announcement.softwareVersion.size() +
                      announcement.loadedModel.size() + announcement.membership.group.size();
  for (const std::string& model : announcement.stagedModels) {
    bytes += sizeof(std::string) + model.size();
  }
  return bytes;
}

wire::TargetHeardT ToWire(const TargetAnnouncement& announcement)
{
  wire::TargetHeardT heard;
  heard.instance = announcement.instance.Get();
  heard.born = announcement.born.Get();
  heard.service = announcement.service;
  heard.address = announcement.address;
  heard.failureDomain = announcement.failureDomain.Get();
  heard.fabricDomain = announcement.fabricDomain.Get();
  heard.softwareVersion = announcement.softwareVersion;
  heard.slots = announcement.slots;
  heard.draining = announcement.draining;
  heard.left = announcement.left;
  heard.sequence = announcement.sequence;
  heard.staged = announcement.stagedModels;
  heard.loadedModel = announcement.loadedModel;
  heard.group = announcement.membership.group;
  heard.epoch = announcement.membership.epoch.Get();
  heard.rank = announcement.membership.rank;
  heard.memberState = announcement.membership.state;
  heard.coldLeftMillis = static_cast<std::uint32_t>(ToMillis(announcement.coldLeft));
  return heard;
}

wire::TargetAliveT ToAlive(const TargetAnnouncement& announcement)
{
  wire::TargetAliveT alive;
  alive.instance = announcement.instance.Get();
  alive.born = announcement.born.Get();
  alive.sequence = announcement.sequence;
  alive.state = HashState(announcement);
  return alive;
}

TargetAnnouncement FromWire(const wire::TargetHeardT& heard)
{
  TargetAnnouncement announcement;
  announcement.instance = InstanceId(heard.instance);
  announcement.born = Incarnation(heard.born);
  announcement.service = heard.service;
  announcement.address = heard.address;
  announcement.failureDomain = FailureDomainId(heard.failureDomain);
  announcement.fabricDomain = FabricDomainId(heard.fabricDomain);
  announcement.softwareVersion = heard.softwareVersion;
  announcement.slots = heard.slots;
  announcement.draining = heard.draining;
  announcement.left = heard.left;
  announcement.sequence = heard.sequence;
  announcement.stagedModels = heard.staged;
  announcement.loadedModel = heard.loadedModel;
  announcement.membership = { heard.group, Epoch(heard.epoch), heard.rank, heard.memberState };
  announcement.coldLeft = std::chrono::milliseconds(heard.coldLeftMillis);
  return announcement;
}

} // namespace gooseberrysail
