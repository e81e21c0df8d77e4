#pragma once

#include "gooseberrysail/admission/admission.hpp"
#include "gooseberrysail/routing/router.hpp"
#include "linear_fit.hpp"
#include "routing/prefix_index.hpp"

#include <array>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <malloc.h>
#include <random>
#include <vector>

namespace gooseberrysail::bench {

/// \brief Measures the decision time and memory of one router by the number of known groups.
class CostBench
{
public:
  void Run()
  {
    std::printf("candidates of 32 per catalogue entry; prompts of 16 blocks, half of them known\n");
    std::printf(
      "%8s %10s %10s %10s %12s\n", "groups", "choose ns", "sent ns", "report ns", "bytes/group");
    std::vector<double> sizes;
    std::vector<double> times;
    for (const std::size_t groups : { 32, 128, 512, 1024, 1800, 3600 }) {
      const Cost cost = Measure(groups, kPerEntry);
      Print(groups, cost);
      sizes.push_back(static_cast<double>(groups));
      times.push_back(cost.choose);
    }
    Fit(sizes, times);
    std::printf("prefix index, whatever is known: %zu bytes\n",
                impl::PrefixIndex(RouterPolicy{}).Bytes());
    std::printf("all in one catalogue entry (more than control hands out)\n");
    Print(1800, Measure(1800, 1800));
    MeasureAdmission();
  }

private:
  static constexpr std::size_t kPerEntry = 32;
  static constexpr std::size_t kBlocks = 16;
  static constexpr std::size_t kRounds = 100000;

  struct Cost
  {
    double choose = 0;
    double sent = 0;
    double report = 0;
    double bytesPerGroup = 0;
  };

  static EntryName Entry(std::size_t index) { return EntryName("model-" + std::to_string(index)); }

  template<class Body>
  static double Nanoseconds(std::size_t rounds, const Body& body)
  {
    double best = 1e18;
    for (int repeat = 0; repeat < 5; ++repeat) {
      const auto begin = std::chrono::steady_clock::now();
      for (std::size_t i = 0; i < rounds; ++i) {
        body(i);
      }
      const std::chrono::duration<double, std::nano> spent =
        std::chrono::steady_clock::now() - begin;
      best = std::min(best, spent.count() / static_cast<double>(rounds));
    }
    return best;
  }

  static Cost Measure(std::size_t groups, std::size_t perEntry)
  {
    std::mt19937_64 random(5);
    Router router(FailureDomainId("domain-0"), [&random] { return random(); });
    const std::size_t before = mallinfo2().uordblks;
    for (std::size_t i = 0; i < groups; ++i) {
      RouteCandidate candidate;
      candidate.group = GroupId(i + 1);
      candidate.entry = Entry(i / perEntry);
      candidate.head = ProcessId("agent-" + std::to_string(i) + "-head");
      candidate.headVm = VmId("vm-" + std::to_string(i) + "-head");
      candidate.address = "10.20.30.40:7000";
      candidate.failureDomain = FailureDomainId("domain-" + std::to_string(i % 17));
      router.Upsert(candidate);
    }
    Cost cost;
    cost.bytesPerGroup =
      static_cast<double>(mallinfo2().uordblks - before) / static_cast<double>(groups);

    std::vector<std::array<std::uint64_t, kBlocks>> prompts(4096);
    for (auto& prompt : prompts) {
      for (std::size_t block = 0; block < kBlocks; ++block) {
        // Below, odd prompts get the first half of the one before.
        prompt[block] = random();
      }
    }
    for (std::size_t i = 1; i < prompts.size(); i += 2) {
      std::copy_n(prompts[i - 1].begin(), kBlocks / 2, prompts[i].begin());
    }
    const std::size_t entries = (groups + perEntry - 1) / perEntry;
    std::vector<EntryName> names;
    for (std::size_t i = 0; i < entries; ++i) {
      names.push_back(Entry(i));
    }
    TimePoint now{ std::chrono::hours(1) };
    const auto query = [&](std::size_t i) {
      RouteQuery one;
      one.entry = names[i % entries];
      one.prefixHashes = prompts[(i * 7) % prompts.size()];
      one.promptBytes = kBlocks * 512;
      return one;
    };
    std::vector<GroupId> chosen(kRounds);
    // 5,100 requests per second, so that the periodic refresh has a realistic share of the time.
    constexpr Duration kGap = std::chrono::microseconds(196);
    cost.choose = Nanoseconds(kRounds, [&](std::size_t i) {
      now += kGap;
      chosen[i] = *router.Choose(now, query(i));
    });
    cost.sent = Nanoseconds(kRounds, [&](std::size_t i) {
      router.OnSent(now, chosen[i], query(i));
      router.OnFinished(now, chosen[i], AttemptResult::kCompleted, std::chrono::seconds(1));
    });
    LoadObservation load;
    load.running = 3;
    cost.report = Nanoseconds(kRounds, [&](std::size_t i) {
      now += std::chrono::microseconds(1);
      router.OnLoad(now, GroupId(i % groups + 1), load);
    });
    // Again with the prompts in the index.
    cost.choose = std::max(cost.choose, Nanoseconds(kRounds, [&](std::size_t i) {
                             now += kGap;
                             chosen[i] = *router.Choose(now, query(i));
                           }));
    return cost;
  }

  static void Print(std::size_t groups, const Cost& cost)
  {
    std::printf("%8zu %10.0f %10.0f %10.0f %12.0f\n",
                groups,
                cost.choose,
                cost.sent,
                cost.report,
                cost.bytesPerGroup);
  }

  static void Fit(const std::vector<double>& x, const std::vector<double>& y)
  {
    std::vector<FitPoint> points;
    for (std::size_t i = 0; i < x.size(); ++i) {
      points.push_back({ x[i], y[i] });
    }
    const LinearFit fit = FitLine(points);
    double squares = 0;
    for (const FitPoint& point : points) {
      squares += std::pow(fit.Residual(point), 2);
    }
    std::printf("choose: %.0f ns + %.3f ns per known group, residual %.0f ns (root mean square)\n",
                fit.offset,
                fit.slope,
                std::sqrt(squares / static_cast<double>(x.size())));
  }

  static void MeasureAdmission()
  {
    std::printf("%10s %10s %14s\n", "workspaces", "decide ns", "bytes/workspace");
    for (const std::size_t count : { 10, 100, 1000, 5000 }) {
      Admission admission;
      const std::size_t before = mallinfo2().uordblks;
      std::vector<AdmissionQuery> queries;
      for (std::size_t i = 0; i < count; ++i) {
        AdmissionQuery query;
        query.workspace = WorkspaceId("workspace-" + std::to_string(i));
        query.entry = EntryName("model-0");
        query.deadline = std::chrono::seconds(30);
        queries.push_back(query);
        WorkspaceSpec spec;
        spec.requestsPerSecond = 1e6;
        spec.tokensPerSecond = 1e9;
        spec.maxConcurrent = 1000;
        admission.SetLimits(query.workspace, spec);
      }
      const std::size_t after = mallinfo2().uordblks;
      admission.SetCapacity(EntryName("model-0"), 1000);
      TimePoint now{ std::chrono::hours(1) };
      const double decide = Nanoseconds(kRounds, [&](std::size_t i) {
        now += std::chrono::microseconds(196);
        const AdmissionQuery& query = queries[(i * 7) % count];
        if (admission.Decide(now, query).Admitted()) {
          admission.OnFinished(now, query.workspace, query.entry, std::chrono::seconds(1), 100);
        }
      });
      std::printf("%10zu %10.0f %14.0f\n",
                  count,
                  decide,
                  static_cast<double>(after - before) / static_cast<double>(count));
    }
  }
};

} // namespace gooseberrysail::bench
