#pragma once

#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/serving/target_table.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace gooseberrysail {

/// \brief Which targets are there and which groups they are in, by their own answers.
/// \remarks What targets say of themselves is passed on, held up and overtaken: a leader's latest
/// word of a target may be older than the group that it is in; and a restart leaves an address to
/// another identity, whose first words may arrive before the former one's last. An answer comes
/// from the target that is there when it is asked; only an answer to an order tells which one it
/// is.
class TargetVerifier
{
public:
  /// \brief An identity that is over, since another one answered at its address.
  struct Replacement
  {
    TargetIncarnation former;
    InstanceId present;
  };

  /// \brief A target without an answer is asked again after this. An answer takes some 10 ms, and a
  /// lost packet is sent again within 300 ms.
  static constexpr Duration kAskAgain = std::chrono::milliseconds(500);

  /// \brief A new leader knows nothing by answers to itself.
  void Clear();

  /// \brief Learns from the table which identities share an address.
  /// \returns What is over by the answers that came since the last call.
  std::vector<Replacement> Update(const TargetTable& targets);

  /// \brief Targets of contested addresses that should be asked now who they are, which counts as
  /// done.
  /// \param isEngine Others don't understand the question.
  [[nodiscard]] std::vector<InstanceId> TakeContested(
    TimePoint now,
    const TargetTable& targets,
    const std::function<bool(const TargetRow&)>& isEngine);

  /// \brief The same of those for which `isDoubtful` holds: which group they are in.
  [[nodiscard]] std::vector<InstanceId> TakeDoubtful(
    TimePoint now,
    const TargetTable& targets,
    const std::function<bool(const TargetRow&)>& isDoubtful);

  /// \brief The target itself, and no other at its address, answered a question of `askedAt`.
  void OnIdentified(TimePoint askedAt, const TargetIncarnation& life);

  /// \brief A report came from the target's address, asked for at `askedAt`.
  void OnReport(TimePoint askedAt, const TargetIncarnation& life, const TargetReport& report);

  /// \brief The target's own last answer names the same group as its last word.
  [[nodiscard]] bool Confirms(const TargetRow& row) const;

  /// \brief The target itself, asked at `since` or later, named another group or none.
  [[nodiscard]] bool DeniesGroup(const TargetRow& row,
                                 const GroupMembership& membership,
                                 TimePoint since) const;

  /// \brief Another target answered at its address: that life is over.
  void OnReplaced(const TargetIncarnation& life) { m_replaced.insert(life); }

  /// \brief Certainly over: another identity was there after the last word of this one.
  [[nodiscard]] bool IsReplaced(const TargetRow& row) const
  {
    return m_replaced.contains({ row.latest.instance, row.latest.born });
  }

  /// \brief Another identity names the same address, and it isn't known yet which one is there.
  [[nodiscard]] bool IsContested(const InstanceId& instance) const
  {
    return m_contested.contains(instance);
  }

private:
  struct Answer
  {
    Incarnation born;
    TimePoint askedAt{};
    std::optional<GroupMembership> membership; ///< Of reports only.
  };

  /// \brief One question to many targets: when each was asked, and its last answer.
  struct Question
  {
    std::map<InstanceId, TimePoint> askedAt;
    std::map<InstanceId, Answer> answers;

    /// \brief Null when this life of the target has not answered yet.
    [[nodiscard]] const Answer* FindAnswer(const TargetRow& row) const;
    [[nodiscard]] bool MayAsk(TimePoint now, const TargetRow& row) const;
    void Forget(const TargetTable& targets);
  };

  using Rows = std::vector<const TargetRow*>;

  void Forget(const TargetTable& targets);
  std::vector<InstanceId> Take(TimePoint now,
                               const TargetTable& targets,
                               Question& question,
                               const std::function<bool(const TargetRow&)>& mustAsk) const;
  [[nodiscard]] const TargetRow* FindPresent(const Rows& rows, const TargetRow& row) const;

  Question m_identities;
  Question m_reports;
  std::set<TargetIncarnation> m_replaced;
  std::set<InstanceId> m_contested;
};

} // namespace gooseberrysail
