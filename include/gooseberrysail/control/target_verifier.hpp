#pragma once

#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/serving/target_table.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace gooseberrysail {

/// \brief Verifies by direct queries which targets exist and which groups they are in.
/// \remarks Announcements are relayed and can be delayed or reordered: the leader's latest report
/// of a target may be older than the target's current group. After a restart an address may belong
/// to another identity, whose first announcement may arrive before the former one's last. The
/// answer to a query comes from the target that is at the address when it is asked, but only the
/// answer to an order shows which identity that is.
class TargetVerifier
{
public:
  /// \brief A former identity of an address at which another one has answered.
  struct Replacement
  {
    TargetIncarnation former;
    InstanceId present;
  };

  /// \brief Minimum interval between two queries of a target. An answer takes some 10 ms, and a
  /// lost packet is retransmitted within 300 ms.
  static constexpr Duration kMinQueryInterval = std::chrono::milliseconds(500);

  /// \brief Discards all answers; for the start of a new leader.
  void Clear();

  /// \brief Finds the identities in the table that share an address.
  /// \returns The replacements shown by the answers since the last call.
  std::vector<Replacement> Update(const TargetTable& targets);

  /// \brief Returns the targets at contested addresses that are due for a query of their identity,
  /// and records them as queried now.
  /// \param isEngine Selects the targets that support the query.
  [[nodiscard]] std::vector<InstanceId> TakeContested(
    TimePoint now,
    const TargetTable& targets,
    const std::function<bool(const TargetRow&)>& isEngine);

  /// \brief Returns the targets matching `isUnconfirmed` that are due for a query of their group,
  /// and records them as queried now.
  [[nodiscard]] std::vector<InstanceId> TakeUnconfirmed(
    TimePoint now,
    const TargetTable& targets,
    const std::function<bool(const TargetRow&)>& isUnconfirmed);

  /// \brief The target itself, not another at its address, answered a query sent at `askedAt`.
  void OnIdentified(TimePoint askedAt, const TargetIncarnation& incarnation);

  /// \brief A report requested at `askedAt` came from the target's address.
  void OnReport(TimePoint askedAt,
                const TargetIncarnation& incarnation,
                const TargetReport& report);

  /// \brief The last answer from the target names the same group as its latest report in the table.
  [[nodiscard]] bool Confirms(const TargetRow& row) const;

  /// \brief The last answer from the target, queried at `since` or later, names another group or
  /// none.
  [[nodiscard]] bool DeniesGroup(const TargetRow& row,
                                 const GroupMembership& membership,
                                 TimePoint since) const;

  /// \brief Another target answered at the address: this incarnation has ended.
  void OnReplaced(const TargetIncarnation& incarnation) { m_replaced.insert(incarnation); }

  /// \brief The target's incarnation has certainly ended: another identity answered at its address
  /// after its last announcement.
  [[nodiscard]] bool IsReplaced(const TargetRow& row) const
  {
    return m_replaced.contains({ row.latest.instance, row.latest.born });
  }

  /// \brief Another identity announced the same address, and which one is current is not known yet.
  [[nodiscard]] bool IsContested(const InstanceId& instance) const
  {
    return m_contested.contains(instance);
  }

private:
  struct Answer
  {
    Incarnation born;
    TimePoint askedAt{};
    std::optional<GroupMembership> membership; ///< Set for reports only.
  };

  /// \brief One kind of query: when each target was last asked, and its last answer.
  struct QueryRecords
  {
    std::map<InstanceId, TimePoint> askedAt;
    std::map<InstanceId, Answer> answers;

    /// \brief Null when this incarnation of the target has not answered yet.
    [[nodiscard]] const Answer* FindAnswer(const TargetRow& row) const;
    [[nodiscard]] bool IsQueryDue(TimePoint now, const TargetRow& row) const;
    void Forget(const TargetTable& targets);
  };

  using Rows = std::vector<const TargetRow*>;

  void Forget(const TargetTable& targets);
  std::vector<InstanceId> TakeDue(TimePoint now,
                                  const TargetTable& targets,
                                  QueryRecords& queries,
                                  const std::function<bool(const TargetRow&)>& needsQuery) const;
  [[nodiscard]] const TargetRow* FindReplacement(const Rows& rows, const TargetRow& row) const;

  QueryRecords m_identityQueries;
  QueryRecords m_reportQueries;
  std::set<TargetIncarnation> m_replaced;
  std::set<InstanceId> m_contested;
};

} // namespace gooseberrysail
