#pragma once

#include "gooseberrysail/admission/admission.hpp"
#include "gooseberrysail/control/usage_shares.hpp"

#include <cstdio>
#include <random>
#include <vector>

namespace gooseberrysail::bench {

/// \brief Measures by how much several entries together miss one workspace's limits.
/// \remarks Control recomputes the shares every second from usage up to half a second old, and
/// the shares arrive 50 ms later. Demand is three times the limit and moves between the entries.
class LimitsBench
{
public:
  void Run()
  {
    std::printf("limit %.0f requests/s and %u at once; error of what all entries admitted\n",
                kRate,
                kConcurrent);
    std::printf("%-34s %9s %9s %9s %9s %11s\n",
                "case",
                "mean",
                "over 1s",
                "over 10s",
                "under 10s",
                "concurrent");
    for (const std::size_t entries : { 1, 3, 6, 12 }) {
      RunCase("steady demand", entries, Mode::kSteady);
      RunCase("demand moves every 8 s", entries, Mode::kMoving);
      RunCase("shares lapse, then demand moves", entries, Mode::kSharesExpire);
      RunCase("one entry cut off from control", entries, Mode::kOneDisconnected);
    }
  }

private:
  enum class Mode
  {
    kSteady,
    kMoving,
    kSharesExpire,
    kOneDisconnected,
  };
  static constexpr double kRate = 60;
  static constexpr std::uint32_t kConcurrent = 90;
  static constexpr double kServiceSeconds = 1.2; ///< Mean duration; 72 concurrent at the full rate.
  static constexpr int kSeconds = 120;
  static constexpr int kWarmUp = 20;
  static constexpr int kStepsPerSecond = 200;
  static constexpr int kExpireAt = 40;

  static WorkspaceId Workspace() { return WorkspaceId("hire"); }
  static EntryName Model() { return EntryName("model"); }

  struct Ending
  {
    int step = 0;
    std::size_t entry = 0;
  };

  static double Weight(Mode mode, int second, std::size_t entry, std::size_t entries)
  {
    const bool moves =
      mode == Mode::kMoving ||
      ((mode == Mode::kSharesExpire || mode == Mode::kOneDisconnected) && second >= kExpireAt);
    if (!moves || entries == 1) {
      return 1.0 / static_cast<double>(entries);
    }
    // One entry at a time has four fifths of the demand.
    const auto busiest = static_cast<std::size_t>(second / 8) % entries;
    return entry == busiest ? 0.8 : 0.2 / static_cast<double>(entries - 1);
  }

  static void RunCase(const char* name, std::size_t entries, Mode mode)
  {
    std::mt19937_64 random(77);
    std::uniform_real_distribution<double> unit(0, 1);
    std::exponential_distribution<double> service(1 / kServiceSeconds);
    std::vector<Admission> admissions(entries);
    WorkspaceSpec spec;
    spec.requestsPerSecond = kRate;
    spec.maxConcurrent = kConcurrent;
    for (Admission& admission : admissions) {
      admission.SetLimits(Workspace(), spec);
    }
    std::vector<double> perSecond(kSeconds);
    std::vector<Ending> running;
    std::vector<double> demands(entries, 0);
    std::size_t mostRunning = 0;
    for (int step = 0; step < kSeconds * kStepsPerSecond; ++step) {
      const int second = step / kStepsPerSecond;
      const int part = step % kStepsPerSecond;
      const TimePoint now{ std::chrono::hours(1) +
                           std::chrono::milliseconds(step * 1000 / kStepsPerSecond) };
      std::erase_if(running, [&](const Ending& ending) {
        if (ending.step > step) {
          return false;
        }
        admissions[ending.entry].OnFinished(now, Workspace(), Model(), std::chrono::seconds(1), 0);
        return true;
      });
      if (part == kStepsPerSecond / 2) {
        for (std::size_t i = 0; i < entries; ++i) {
          demands[i] = admissions[i].CurrentUsage(now).front().demandPerSecond;
        }
      }
      const bool expired = mode == Mode::kSharesExpire && second >= kExpireAt;
      if (part == kStepsPerSecond / 20 && second > 0 && !expired) {
        Divide(
          now, admissions, demands, mode == Mode::kOneDisconnected && second >= kExpireAt + 10);
      }
      for (std::size_t i = 0; i < entries; ++i) {
        const double offered = 3 * kRate * Weight(mode, second, i, entries) / kStepsPerSecond;
        if (unit(random) >= offered) {
          continue;
        }
        AdmissionQuery query;
        query.workspace = Workspace();
        query.entry = Model();
        query.deadline = std::chrono::seconds(30);
        if (admissions[i].Decide(now, query).Admitted()) {
          perSecond[static_cast<std::size_t>(second)] += 1;
          running.push_back({ step + static_cast<int>(service(random) * kStepsPerSecond), i });
        }
      }
      mostRunning = second >= kWarmUp ? std::max(mostRunning, running.size()) : 0;
    }
    Print(name, entries, perSecond, mostRunning);
  }

  /// Divides as control does: a tenth evenly, the rest by demand. The share of a disconnected entry
  /// stays reserved for a while. Then the others get it, although that entry continues to use it.
  static void Divide(TimePoint now,
                     std::vector<Admission>& admissions,
                     std::vector<double> demands,
                     bool firstIsExcluded)
  {
    constexpr double kEvenPart = 0.1;
    const std::size_t from = firstIsExcluded && admissions.size() > 1 ? 1 : 0;
    demands.erase(demands.begin(), demands.begin() + static_cast<std::ptrdiff_t>(from));
    for (double& demand : demands) {
      demand /= kRate;
    }
    std::vector<double> parts = DivideByDemand(1 - kEvenPart, demands);
    for (double& part : parts) {
      part += kEvenPart / static_cast<double>(parts.size());
    }
    const std::vector<std::uint32_t> counts = DivideWhole(kConcurrent, parts);
    for (std::size_t i = 0; i < parts.size(); ++i) {
      admissions[from + i].SetShare(now, Workspace(), kRate * parts[i], 0, counts[i]);
    }
  }

  static void Print(const char* name,
                    std::size_t entries,
                    const std::vector<double>& perSecond,
                    std::size_t mostRunning)
  {
    double sum = 0;
    double over1 = 0;
    double over10 = -1;
    double under10 = 1;
    int seconds = 0;
    for (std::size_t s = kWarmUp; s < perSecond.size(); ++s) {
      sum += perSecond[s];
      ++seconds;
      over1 = std::max(over1, perSecond[s] / kRate - 1);
      double ten = 0;
      for (std::size_t i = s - 9; i <= s; ++i) {
        ten += perSecond[i];
      }
      over10 = std::max(over10, ten / 10 / kRate - 1);
      under10 = std::min(under10, ten / 10 / kRate - 1);
    }
    const std::string title = std::string(name) + ", " + std::to_string(entries);
    std::printf("%-34s %+8.1f%% %+8.1f%% %+8.1f%% %+8.1f%% %6zu/%u\n",
                title.c_str(),
                100 * (sum / seconds / kRate - 1),
                100 * over1,
                100 * over10,
                100 * under10,
                mostRunning,
                kConcurrent);
  }
};

} // namespace gooseberrysail::bench
