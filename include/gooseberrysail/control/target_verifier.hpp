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
/// from the target that is there when it is asked.
class TargetVerifier
{
public:
  /// \brief An identity that is over, since another one answered at its address.
  struct Replacement
  {
    TargetLife former;
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

  /// \brief Targets that should be asked now, which counts as done: those of a contested address,
  /// and those for which `isDoubtful` holds.
  [[nodiscard]] std::vector<InstanceId> TakeDue(
    TimePoint now,
    const TargetTable& targets,
    const std::function<bool(const TargetRow&)>& isDoubtful);

  /// \brief The target itself answered a question of `askedAt`.
  void OnAnswer(TimePoint askedAt, const TargetLife& life, const TargetReport& report);

  /// \brief The target's own last answer names the same group as its last word.
  [[nodiscard]] bool Confirms(const TargetRow& row) const;

  /// \brief The target itself, asked at `since` or later, named another group or none.
  [[nodiscard]] bool DeniesGroup(const TargetRow& row,
                                 const GroupMembership& membership,
                                 TimePoint since) const;

  /// \brief Another target answered at its address: that life is over.
  void OnReplaced(const TargetLife& life) { m_replaced.insert(life); }

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
    std::optional<GroupMembership> membership;
  };

  using Rows = std::vector<const TargetRow*>;

  void Forget(const TargetTable& targets);
  /// \brief Null when this life of the target has not answered yet.
  [[nodiscard]] const Answer* FindAnswer(const TargetRow& row) const;
  [[nodiscard]] bool MayAsk(TimePoint now, const TargetRow& row) const;
  [[nodiscard]] const TargetRow* FindPresent(const Rows& rows, const TargetRow& row) const;

  std::map<InstanceId, TimePoint> m_askedAt;
  std::map<InstanceId, Answer> m_answers;
  std::set<TargetLife> m_replaced;
  std::set<InstanceId> m_contested;
};

} // namespace gooseberrysail
