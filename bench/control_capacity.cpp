// Measures the cost of a control leader at several sizes: processor time (including the decoding
// and encoding of frames) and bytes of messages, and memory of its state. Sockets, fsync and
// replication are not included. Prints each figure by size with a linear fit and its largest
// residual.

#include "gooseberrysail/core/token.hpp"
#include "gooseberrysail/roles/control_role.hpp"
#include "gooseberrysail/wire/envelope.hpp"
#include "linear_fit.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <malloc.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gooseberrysail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMembers = 4;
constexpr std::size_t kFullVms = 7'200;
constexpr std::size_t kFullEntries = 390;
constexpr int kRounds = 20;

double CpuSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

double HeapBytes()
{
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

struct Frame
{
  ProcessId peer;
  std::vector<std::uint8_t> bytes;
};

/// \brief A leader whose log commits at once, driven by encoded frames.
class Leader
{
public:
  Leader()
  {
    ControlSettings settings;
    settings.process = ProcessId("control-1");
    settings.incarnation = Incarnation(1);
    settings.operatorTokenHash = TokenHash("token");
    ControlHooks hooks;
    hooks.role.random = [] { return std::uint64_t{ 4 }; };
    hooks.role.wallMillis = [this] { return ToMillis(m_now.time_since_epoch()); };
    hooks.propose = [this](std::vector<std::uint8_t> command) {
      m_proposed.push_back(std::move(command));
      return true;
    };
    hooks.plan = [this](TimePoint, const PlannerInput& input) {
      return plan ? plan(input) : std::vector<PlannerAction>();
    };
    m_role = std::make_unique<ControlRole>(std::move(settings), std::move(hooks));
  }

  void FeedAll(const std::vector<Frame>& frames)
  {
    for (const Frame& frame : frames) {
      Feed(frame);
    }
  }

  void PostChange(const std::string& id, const std::string& version)
  {
    HttpRequestIn request;
    request.exchange = ExchangeId(1);
    request.method = "POST";
    request.target = "/admin/v1/catalogue";
    request.headers = { { "Authorization", "Bearer token" } };
    request.body = R"({"changeId":")" + id + R"(","operator":"bench","writes":[{"entry":{"kind":)" +
                   R"("model","name":"hire-assist","owner":"hire-desk","spec":{"version":")" +
                   version + R"(","replicas":1800}}}]})";
    m_inbox.emplace_back(std::move(request));
    Tick();
    Run(ControlRole::kTickInterval);
  }

  void Feed(const Frame& frame)
  {
    const auto& [peer, bytes] = frame;
    auto envelope = DecodeEnvelope(bytes, peer.Get());
    if (!envelope) {
      std::fprintf(stderr, "bench: bad frame\n");
      std::exit(1);
    }
    bytesIn += bytes.size();
    m_inbox.emplace_back(FrameIn{ peer, Incarnation(1), std::move(envelope.value()) });
  }

  void Up(const ProcessId& peer, const std::string& role)
  {
    m_inbox.emplace_back(PeerUp{ peer, role, Incarnation(1), peer.Get() + ":7100" });
  }

  void Tick()
  {
    Apply();
    ReplicationStatus status;
    status.leader = true;
    status.term = Term(1);
    status.committed = LogIndex(m_index);
    status.applied = LogIndex(m_index);
    status.quorumHeardAt = m_now;
    m_outbox.clear();
    m_role->Tick(m_now, status, m_inbox, m_outbox);
    m_inbox.clear();
    Encode();
    Apply();
  }

  void Run(Duration duration)
  {
    for (const TimePoint end = m_now + duration; m_now < end;) {
      m_now += ControlRole::kTickInterval;
      Tick();
    }
  }

  [[nodiscard]] std::size_t SnapshotBytes() const { return m_role->TakeSnapshot().size(); }

  std::function<std::vector<PlannerAction>(const PlannerInput&)> plan;
  std::size_t bytesIn = 0;
  std::size_t bytesOut = 0;
  std::size_t framesOut = 0;
  std::size_t commandBytes = 0;
  std::size_t commands = 0;
  std::function<void(const FrameOut&)> onFrame;

private:
  void Apply()
  {
    for (std::size_t next = 0; next < m_proposed.size(); ++next) {
      commandBytes += m_proposed[next].size();
      ++commands;
      m_role->Apply(LogIndex(++m_index), Term(1), m_proposed[next]);
    }
    m_proposed.clear();
  }

  void Encode()
  {
    for (const ControlOutput& output : m_outbox) {
      if (const auto* frame = std::get_if<FrameOut>(&output)) {
        bytesOut += EncodeEnvelope(*frame->envelope).size();
        ++framesOut;
        if (onFrame) {
          onFrame(*frame);
        }
      }
    }
  }

  std::unique_ptr<ControlRole> m_role;
  std::vector<ControlInput> m_inbox;
  std::vector<ControlOutput> m_outbox;
  std::vector<std::vector<std::uint8_t>> m_proposed;
  std::uint64_t m_index = 0;
  TimePoint m_now{ seconds(100) };
};

template<class MessageT>
std::vector<std::uint8_t> Bytes(MessageT message)
{
  return EncodeEnvelope(*MakeEnvelope(std::move(message)));
}

std::string VmName(std::size_t index)
{
  return "vm-" + std::to_string(index);
}

Frame AnnounceOf(std::size_t index, std::uint64_t group)
{
  wire::AnnounceT announce;
  announce.vm = VmName(index);
  announce.address = "10.0.0.1:7100";
  announce.failureDomain = "domain-" + std::to_string(index / kMembers % 17);
  announce.fabricDomain = "fabric-" + std::to_string(index / 64);
  announce.accelerators = 2;
  announce.loadedModel = "hire-assist@2026-11";
  announce.group = group;
  announce.epoch = group;
  return { ProcessId("agent-" + announce.vm), Bytes(std::move(announce)) };
}

Frame ReportOf(std::uint64_t group, const std::string& head, bool ready)
{
  wire::GroupReportT report;
  report.nonce = 1;
  report.group = group;
  report.epoch = group;
  report.vm = head;
  report.ready = ready;
  report.weightsLoaded = true;
  if (!ready) {
    report.missing.push_back("vm-x");
  }
  return { ProcessId("agent-" + head), Bytes(std::move(report)) };
}

/// \brief A measured figure at several sizes.
struct Figure
{
  std::string name;
  std::string per;
  std::vector<double> x;
  std::vector<double> y;
};

void Print(const Figure& figure)
{
  std::vector<bench::FitPoint> points;
  for (std::size_t index = 0; index < figure.x.size(); ++index) {
    points.push_back({ figure.x[index], figure.y[index] });
  }
  const bench::LinearFit fit = bench::FitLine(points);
  std::printf("%-40s", figure.name.c_str());
  for (const bench::FitPoint& point : points) {
    std::printf(" %10.4g", point.y);
  }
  const double worst = bench::LargestResidual(fit, points) / std::abs(figure.y.back());
  std::printf("  = %.4g + %.4g x %s (residual %.1f%% of the largest)\n",
              fit.offset,
              fit.slope,
              figure.per.c_str(),
              worst * 100);
}

class Bench
{
public:
  void Measure(std::size_t vms)
  {
    const std::size_t groups = vms / kMembers;
    const std::size_t entries = std::max<std::size_t>(1, vms * kFullEntries / kFullVms);
    Leader leader;
    leader.Tick();
    leader.Tick();

    const double heapEmpty = HeapBytes();
    ConnectAgents(leader, vms);
    Add("heap of VMs, bytes", "VM", vms, HeapBytes() - heapEmpty);
    Add("log of UpsertVm, bytes", "VM", vms, static_cast<double>(leader.commandBytes));

    leader.PostChange("setup", "v1");
    const std::size_t logBefore = leader.commandBytes;
    const double heapVms = HeapBytes();
    const std::vector<std::uint64_t> ids = FormGroups(leader, groups);
    Add("heap of groups, bytes", "group", groups, HeapBytes() - heapVms);
    Add("log of FormGroup, bytes",
        "group",
        groups,
        static_cast<double>(leader.commandBytes - logBefore));

    std::vector<Frame> reports;
    std::vector<Frame> announces;
    std::vector<Frame> queries;
    for (std::size_t index = 0; index < groups; ++index) {
      reports.push_back(ReportOf(ids[index], VmName(index * kMembers), true));
    }
    for (std::size_t index = 0; index < vms; ++index) {
      announces.push_back(AnnounceOf(index, ids[index / kMembers]));
    }
    for (std::size_t index = 0; index < entries; ++index) {
      wire::ConfigQueryT query;
      query.nonce = 1;
      query.haveVersion = 1'000'000'000; // Nothing newer, which is the usual case.
      queries.push_back({ EntryId(index), Bytes(std::move(query)) });
    }
    leader.FeedAll(reports);
    std::vector<Frame> inForce;
    for (const Frame& announce : announces) {
      wire::InForceT report;
      report.version = 1'000'000'000;
      inForce.push_back({ announce.peer, Bytes(std::move(report)) });
    }
    leader.FeedAll(inForce);
    leader.Run(milliseconds(500));
    const double heapGroups = HeapBytes();
    ConnectEntries(leader, entries);
    Add("heap of entries, bytes", "entry", entries, HeapBytes() - heapGroups);

    MeasureFrames("announces of all VMs", "VM", vms, leader, announces);
    MeasureFrames("reports and leases of all groups", "group", groups, leader, reports);
    MeasureFrames("confirmations of all entries", "entry", entries, leader, queries);
    leader.FeedAll(reports);
    const double idleStart = CpuSeconds();
    leader.Run(seconds(2));
    Add("CPU of idle ticks, ms a second", "VM", vms, (CpuSeconds() - idleStart) * 1e3 / 2);
    MeasureClaims(leader, vms);
    leader.FeedAll(reports);
    MeasureChanges(leader, vms + entries);
    leader.FeedAll(reports);
    MeasureGroupLoss(leader, ids, entries);
    MeasureSnapshot(leader, vms);
  }

  void PrintAll(const std::vector<std::size_t>& sizes) const
  {
    std::printf("%-40s", "VMs");
    for (const std::size_t size : sizes) {
      std::printf(" %10zu", size);
    }
    std::printf("\n");
    for (const Figure& figure : m_figures) {
      Print(figure);
    }
  }

private:
  void Add(const std::string& name, const std::string& per, std::size_t x, double y)
  {
    auto found = std::find_if(m_figures.begin(), m_figures.end(), [&](const Figure& figure) {
      return figure.name == name;
    });
    if (found == m_figures.end()) {
      m_figures.push_back(Figure{ name, per, {}, {} });
      found = m_figures.end() - 1;
    }
    found->x.push_back(static_cast<double>(x));
    found->y.push_back(y);
  }

  static ProcessId EntryId(std::size_t index)
  {
    return ProcessId("entry-" + std::to_string(index));
  }

  static void ConnectAgents(Leader& leader, std::size_t vms)
  {
    for (std::size_t index = 0; index < vms; ++index) {
      const Frame frame = AnnounceOf(index, 0);
      leader.Up(frame.peer, "agent");
      leader.Feed(frame);
    }
    leader.Tick();
    leader.Tick();
  }

  static std::vector<std::uint64_t> FormGroups(Leader& leader, std::size_t groups)
  {
    leader.plan = [groups](const PlannerInput& input) {
      std::vector<PlannerAction> actions;
      if (!input.groups.empty()) {
        return actions;
      }
      for (std::size_t group = 0; group < groups; ++group) {
        FormGroupAction form{ EntryName("hire-assist"), "v1", {} };
        for (std::size_t member = 0; member < kMembers; ++member) {
          form.members.emplace_back(VmName(group * kMembers + member));
        }
        actions.emplace_back(std::move(form));
      }
      return actions;
    };
    std::map<std::string, std::uint64_t> groupOfHead;
    std::vector<Frame> replies;
    leader.onFrame = [&](const FrameOut& frame) {
      if (const auto* assign = frame.envelope->body.AsAssign()) {
        groupOfHead[assign->head] = assign->group;
        wire::AssignReplyT reply;
        reply.vm = frame.peer.Get().substr(std::string("agent-").size());
        reply.group = assign->group;
        reply.epoch = assign->epoch;
        reply.accepted = true;
        replies.push_back({ frame.peer, Bytes(std::move(reply)) });
      }
    };
    leader.Run(milliseconds(1200));
    leader.FeedAll(replies);
    leader.Run(milliseconds(200));
    leader.onFrame = nullptr;
    leader.plan = nullptr;
    if (groupOfHead.size() != groups) {
      std::fprintf(stderr, "bench: %zu of %zu groups formed\n", groupOfHead.size(), groups);
      std::exit(1);
    }
    std::vector<std::uint64_t> ids;
    for (std::size_t group = 0; group < groups; ++group) {
      ids.push_back(groupOfHead.at(VmName(group * kMembers)));
    }
    return ids;
  }

  void ConnectEntries(Leader& leader, std::size_t entries)
  {
    for (std::size_t index = 0; index < entries; ++index) {
      wire::InForceT inForce;
      inForce.version = 1'000'000'000; // All committed versions are in force.
      inForce.failureDomain = "domain-" + std::to_string(index % 17);
      leader.Up(EntryId(index), "entry");
      leader.Feed({ EntryId(index), Bytes(std::move(inForce)) });
    }
    const std::size_t before = leader.bytesOut;
    const double start = CpuSeconds();
    leader.Run(milliseconds(200));
    Add("routes to all entries at once, CPU ms", "entry", entries, (CpuSeconds() - start) * 1e3);
    Add("routes to all entries at once, bytes",
        "entry",
        entries,
        static_cast<double>(leader.bytesOut - before));
  }

  /// \brief Measures processor time (median of the rounds) and bytes (mean) of frames and replies.
  void MeasureFrames(const std::string& name,
                     const std::string& per,
                     std::size_t x,
                     Leader& leader,
                     const std::vector<Frame>& frames)
  {
    std::vector<double> times;
    const std::size_t in = leader.bytesIn;
    const std::size_t out = leader.bytesOut;
    for (int round = 0; round < kRounds; ++round) {
      const double start = CpuSeconds();
      leader.FeedAll(frames);
      leader.Run(ControlRole::kTickInterval);
      times.push_back((CpuSeconds() - start) * 1e3);
    }
    std::sort(times.begin(), times.end());
    Add(name + ", CPU ms", per, x, times[times.size() / 2]);
    Add(name + ", bytes in", per, x, static_cast<double>(leader.bytesIn - in) / kRounds);
    Add(name + ", bytes out", per, x, static_cast<double>(leader.bytesOut - out) / kRounds);
  }

  void MeasureClaims(Leader& leader, std::size_t count)
  {
    std::vector<Frame> requests;
    std::vector<Frame> outcomes;
    constexpr std::size_t kAnswerBytes = 500;
    for (std::size_t index = 0; index < count; ++index) {
      const std::string request = "entry-0.1." + std::to_string(index);
      wire::ClaimRequestT claim;
      claim.workspace = "kingston";
      claim.key = "booking-" + std::to_string(index);
      claim.request = request;
      wire::ClaimOutcomeT outcome;
      outcome.workspace = claim.workspace;
      outcome.key = claim.key;
      outcome.request = request;
      outcome.ran = true;
      outcome.outcome = "completed";
      outcome.body.assign(kAnswerBytes, 'x');
      requests.push_back({ EntryId(0), Bytes(std::move(claim)) });
      outcomes.push_back({ EntryId(0), Bytes(std::move(outcome)) });
    }
    const double heap = HeapBytes();
    const std::size_t log = leader.commandBytes;
    const double start = CpuSeconds();
    for (const std::vector<Frame>* frames : { &requests, &outcomes }) {
      for (std::size_t from = 0; from < count; from += kClaimsPerTick) {
        for (std::size_t index = from; index < std::min(count, from + kClaimsPerTick); ++index) {
          leader.Feed((*frames)[index]);
        }
        leader.Run(ControlRole::kTickInterval);
      }
    }
    Add("claims and outcomes, CPU ms", "claim", count, (CpuSeconds() - start) * 1e3);
    Add("claims and outcomes, log bytes",
        "claim",
        count,
        static_cast<double>(leader.commandBytes - log));
    Add("heap of finished claims, bytes", "claim", count, HeapBytes() - heap);
  }

  void MeasureChanges(Leader& leader, std::size_t processes)
  {
    constexpr int kChanges = 20;
    const std::size_t log = leader.commandBytes;
    const std::size_t out = leader.bytesOut;
    const double start = CpuSeconds();
    for (int change = 0; change < kChanges; ++change) {
      leader.PostChange("change-" + std::to_string(change), "v" + std::to_string(change));
    }
    Add("one change to all, CPU ms", "process", processes, (CpuSeconds() - start) * 1e3 / kChanges);
    Add("one change to all, bytes out",
        "process",
        processes,
        static_cast<double>(leader.bytesOut - out) / kChanges);
    Add("one change, log bytes",
        "process",
        processes,
        static_cast<double>(leader.commandBytes - log) / kChanges);
  }

  void MeasureGroupLoss(Leader& leader, const std::vector<std::uint64_t>& ids, std::size_t entries)
  {
    constexpr int kLosses = 10;
    double lost = 0;
    double back = 0;
    std::size_t bytes = 0;
    for (int round = 0; round < kLosses; ++round) {
      const std::size_t index = static_cast<std::size_t>(round) * ids.size() / kLosses;
      const std::string head = VmName(index * kMembers);
      leader.Run(milliseconds(200));
      const std::size_t out = leader.bytesOut;
      double start = CpuSeconds();
      leader.Feed(ReportOf(ids[index], head, false));
      leader.Run(milliseconds(100));
      lost += CpuSeconds() - start;
      start = CpuSeconds();
      leader.Feed(ReportOf(ids[index], head, true));
      leader.Run(milliseconds(100));
      back += CpuSeconds() - start;
      bytes += leader.bytesOut - out;
    }
    Add("a group lost, CPU ms", "entry", entries, lost * 1e3 / kLosses);
    Add("a group back, CPU ms", "entry", entries, back * 1e3 / kLosses);
    Add("a group lost and back, bytes out", "entry", entries, static_cast<double>(bytes) / kLosses);
  }

  void MeasureSnapshot(const Leader& leader, std::size_t vms)
  {
    const double start = CpuSeconds();
    const std::size_t bytes = leader.SnapshotBytes();
    Add("snapshot, CPU ms", "VM", vms, (CpuSeconds() - start) * 1e3);
    Add("snapshot, bytes", "VM", vms, static_cast<double>(bytes));
  }

  static constexpr std::size_t kClaimsPerTick = 100;
  std::vector<Figure> m_figures;
};

} // namespace
} // namespace gooseberrysail

int main()
{
  const std::vector<std::size_t> sizes{ 900, 1'800, 3'600, 7'200 };
  gooseberrysail::Bench bench;
  for (const std::size_t vms : sizes) {
    bench.Measure(vms);
  }
  bench.PrintAll(sizes);
  return 0;
}
