#pragma once

#include "gooseberrysail/catalogue/entry.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <random>
#include <vector>

namespace gooseberrysail::bench {

inline constexpr std::size_t kBlockBytes = 512;
inline constexpr std::size_t kWorkspaces = 10;

/// \brief One call of a caller, including its retries.
struct Call
{
  double arrival = 0;
  std::size_t workspace = 0;
  PriorityClass priorityClass = PriorityClass::kStandard;
  double deadline = 30; ///< Seconds for the whole answer, from the first sending.
  std::uint32_t tokens = 1;
  std::vector<std::uint64_t> hashes;
};

enum class Work
{
  kConversations,
  kUnrelatedPrompts, ///< No common prefixes, so that affinity has no benefit.
  kServiceCalls,     ///< Short calls of a plain service, without prompts.
};

/// \brief Generates conversations of ten workspaces, a few of them large. Each has shared
/// instructions and a document of its own, and each turn repeats all earlier ones.
inline std::vector<Call> MakeCalls(std::uint64_t seed, double perSecond, double seconds, Work work)
{
  struct Conversation
  {
    std::size_t workspace = 0;
    std::vector<std::uint64_t> hashes;
    std::uint32_t turns = 0;
  };
  std::mt19937_64 random(seed);
  const std::array<double, kWorkspaces> weights{ 30, 22, 14, 8, 7, 6, 5, 4, 3, 1 };
  std::discrete_distribution<std::size_t> pickWorkspace(weights.begin(), weights.end());
  std::exponential_distribution<double> gap(perSecond);
  std::uniform_real_distribution<double> unit(0, 1);
  const auto between = [&](std::size_t low, std::size_t high) {
    return std::uniform_int_distribution<std::size_t>(low, high)(random);
  };
  const auto extend = [&](std::vector<std::uint64_t>& hashes, std::size_t blocks) {
    for (std::size_t i = 0; i < blocks; ++i) {
      hashes.push_back(random());
    }
  };
  std::array<std::array<std::vector<std::uint64_t>, 2>, weights.size()> instructions;
  for (auto& ofWorkspace : instructions) {
    for (auto& hashes : ofWorkspace) {
      extend(hashes, between(4, 10));
    }
  }
  constexpr std::size_t kMaxOpen = 1500;
  constexpr std::uint32_t kMaxTurns = 8;
  std::vector<Conversation> open;
  std::vector<Call> calls;
  for (double at = gap(random); at < seconds; at += gap(random)) {
    std::size_t index = open.size();
    if (open.size() > 50 && unit(random) < 0.6) {
      index = between(0, open.size() - 1);
    } else {
      const std::size_t workspace = pickWorkspace(random);
      Conversation fresh{ workspace, instructions[workspace][between(0, 1)], 0 };
      extend(fresh.hashes, between(1, 6));
      open.push_back(std::move(fresh));
    }
    Conversation& conversation = open[index];
    extend(conversation.hashes, between(1, 3));
    Call call;
    call.arrival = at;
    call.workspace = conversation.workspace;
    const double kind = unit(random);
    call.priorityClass = kind < 0.3   ? PriorityClass::kInteractive
                         : kind < 0.9 ? PriorityClass::kStandard
                                      : PriorityClass::kBatch;
    call.tokens = static_cast<std::uint32_t>(
      std::clamp(std::lognormal_distribution<double>(4.7, 0.7)(random), 8.0, 800.0));
    call.hashes = conversation.hashes;
    if (work == Work::kUnrelatedPrompts) {
      std::ranges::generate(call.hashes, std::ref(random));
    }
    if (work == Work::kServiceCalls) {
      call.hashes.clear();
      call.tokens = static_cast<std::uint32_t>(between(2, 6));
    }
    calls.push_back(std::move(call));
    if (++conversation.turns >= kMaxTurns || open.size() > kMaxOpen) {
      open.erase(open.begin() + static_cast<std::ptrdiff_t>(index));
    }
  }
  return calls;
}

} // namespace gooseberrysail::bench
