#pragma once

#include "gooseberrysail/control/context.hpp"
#include "gooseberrysail/placement/model_work.hpp"
#include "gooseberrysail/serving/served_target.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace gooseberrysail {

/// \brief Keeps entries supplied with the serving document and the targets; leader only.
class ServingFeed
{
public:
  void OnLeaderStart();
  void OnQuery(ControlContext& context, const ProcessId& entry, const wire::ServingQueryT& query);
  void OnPeerDown(const ProcessId& entry);

  /// \brief Notes the targets as entries should see them; a difference makes a new sequence.
  void SetTargets(std::vector<ServedTarget> targets);

  /// \brief Whether all targets have been heard. Before, only entries that know none are told: from
  /// the others a part would take targets that serve.
  void SetWhole(bool isWhole) { m_isWhole = isWhole; }

  /// \brief Sends each entry what it lacks.
  void Tick(ControlContext& context);

  /// \brief Heads that some entry saw answer within kAnsweredLately.
  [[nodiscard]] std::set<InstanceId> AnsweringHeads(TimePoint now) const;

  /// \brief Heads that some entry saw fail and none saw answer lately.
  [[nodiscard]] std::set<InstanceId> FailingHeads(TimePoint now) const;

  /// \brief What callers ask of each model, all entries together.
  [[nodiscard]] std::map<std::string, ModelDemand> Demand() const;

  /// \brief Whether any entry has had requests.
  [[nodiscard]] bool HasTraffic() const noexcept { return m_hasTraffic; }

  /// \brief A head with work in flight answers at least once within this, if it works at all.
  static constexpr Duration kAnsweredLately = std::chrono::milliseconds(1500);

private:
  /// \brief One entry's requests for one model: a mean that forgets.
  struct ModelRate
  {
    ModelDemand counted; ///< Since the entry started, at `at`.
    ModelDemand perSecond;
    TimePoint at{};
  };

  struct Entry
  {
    std::uint64_t document = 0; ///< Has, or has been sent.
    std::uint64_t targets = 0;
    bool knowsTargets = false; ///< Of any leader.
    TimePoint heardAt{};
    std::map<InstanceId, TimePoint> answeredAt;
    std::map<InstanceId, TimePoint> failedAt;
    std::map<std::string, ModelRate> rates; ///< By model.
  };

  static void NoteDemand(TimePoint now, Entry& entry, const wire::ModelDemandT& demand);
  void Supply(ControlContext& context, const ProcessId& process, Entry& entry);

  std::map<ProcessId, Entry> m_entries;
  std::vector<ServedTarget> m_targets;
  std::uint64_t m_sequence = 0; ///< Of m_targets; 0: none known yet.
  bool m_hasTraffic = false;
  bool m_isWhole = false;
};

/// \brief What a process that does not lead tells an entry: where control processes are.
[[nodiscard]] wire::ServingStateT MakeControlList(const ControlContext& context);

} // namespace gooseberrysail
