#pragma once

#include "gooseberrysail/core/time.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace gooseberrysail::bench {

/// \brief Parameters of the model of one group's engine.
struct EngineSpec
{
  std::size_t slots = 32;
  std::size_t queue = 32;
  std::size_t cacheBlocks = 800;
  double stepSeconds = 0.010;      ///< Of an iteration, without sequences.
  double sequenceSeconds = 0.0006; ///< Added for each sequence in the batch.
  double blockSeconds = 0.0064;    ///< Prefill of one block of 128 tokens.
};

/// \brief An LRU cache of prompt blocks, which records additions and removals.
class PrefixCache
{
public:
  explicit PrefixCache(std::size_t capacity)
    : m_capacity(capacity)
  {
  }

  /// \returns How many leading blocks were cached.
  std::size_t Use(std::span<const std::uint64_t> hashes)
  {
    std::size_t known = 0;
    while (known < hashes.size() && m_places.contains(hashes[known])) {
      ++known;
    }
    // Deepest first, so that the shallow blocks, which more prompts share, are evicted last.
    for (std::size_t i = hashes.size(); i > 0; --i) {
      Touch(hashes[i - 1]);
    }
    while (m_order.size() > m_capacity) {
      removed.push_back(m_order.back());
      m_places.erase(m_order.back());
      m_order.pop_back();
    }
    return known;
  }

  std::vector<std::uint64_t> added;
  std::vector<std::uint64_t> removed;

private:
  void Touch(std::uint64_t hash)
  {
    const auto found = m_places.find(hash);
    if (found != m_places.end()) {
      m_order.splice(m_order.begin(), m_order, found->second);
      return;
    }
    m_order.push_front(hash);
    m_places[hash] = m_order.begin();
    added.push_back(hash);
  }

  std::size_t m_capacity;
  std::list<std::uint64_t> m_order;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_places;
};

/// \brief One request inside an engine.
struct Sequence
{
  std::size_t request = 0;
  std::uint32_t attempt = 0;
  std::uint32_t tokensLeft = 0;
  int priority = 0;
  std::span<const std::uint64_t> hashes;
  bool prefilled = false;
  double work = 0;
};

/// \brief Continuous batching: each iteration prefills new sequences and gives each one a token.
class Engine
{
public:
  explicit Engine(const EngineSpec& spec)
    : m_spec(spec)
    , cache(spec.cacheBlocks)
  {
  }

  [[nodiscard]] bool Accept(const Sequence& sequence)
  {
    if (m_queue.size() >= m_spec.queue) {
      return false;
    }
    const auto place =
      std::ranges::upper_bound(m_queue, sequence.priority, {}, &Sequence::priority);
    m_queue.insert(place, sequence);
    return true;
  }

  struct StepResult
  {
    double seconds = 0;
    std::vector<Sequence> first;    ///< Received their first token.
    std::vector<Sequence> finished; ///< Received their last token.
  };

  /// \brief Runs one iteration; its results are available `seconds` later.
  StepResult Step()
  {
    StepResult result;
    result.seconds = m_spec.stepSeconds;
    while (m_running.size() < m_spec.slots && !m_queue.empty()) {
      m_running.push_back(m_queue.front());
      m_queue.pop_front();
    }
    result.seconds += m_spec.sequenceSeconds * static_cast<double>(m_running.size());
    const double shared =
      result.seconds / static_cast<double>(std::max<std::size_t>(m_running.size(), 1));
    for (Sequence& sequence : m_running) {
      sequence.work += shared * slowdown;
      if (!sequence.prefilled) {
        const std::size_t known = cache.Use(sequence.hashes);
        blocksHit += known;
        blocksAll += sequence.hashes.size();
        const double prefill =
          m_spec.blockSeconds * static_cast<double>(sequence.hashes.size() - known);
        result.seconds += prefill;
        sequence.work += prefill * slowdown;
        sequence.prefilled = true;
        result.first.push_back(sequence);
      }
      --sequence.tokensLeft;
      if (sequence.tokensLeft == 0) {
        result.finished.push_back(sequence);
      }
    }
    std::erase_if(m_running, [](const Sequence& sequence) { return sequence.tokensLeft == 0; });
    result.seconds *= slowdown;
    return result;
  }

  /// \returns The work spent on the request.
  double Cancel(std::size_t request, std::uint32_t attempt)
  {
    double work = 0;
    const auto same = [&](const Sequence& sequence) {
      const bool hit = sequence.request == request && sequence.attempt == attempt;
      work += hit ? sequence.work : 0;
      return hit;
    };
    std::erase_if(m_running, same);
    std::erase_if(m_queue, same);
    return work;
  }

  /// \returns The work spent on the running sequences.
  double Clear()
  {
    double work = 0;
    for (const Sequence& sequence : m_running) {
      work += sequence.work;
    }
    m_running.clear();
    m_queue.clear();
    cache = PrefixCache(m_spec.cacheBlocks);
    return work;
  }

  [[nodiscard]] bool Idle() const { return m_running.empty() && m_queue.empty(); }
  [[nodiscard]] std::size_t Running() const { return m_running.size(); }
  [[nodiscard]] std::size_t Queued() const { return m_queue.size(); }

private:
  EngineSpec m_spec;
  std::vector<Sequence> m_running;
  std::deque<Sequence> m_queue;

public:
  PrefixCache cache;
  double slowdown = 1;
  bool stepping = false;
  bool present = true;      ///< Listed at the entries.
  bool unreachable = false; ///< Requests sent to it get no answer.
  std::uint64_t eventSequence = 0;
  std::uint64_t blocksHit = 0;
  std::uint64_t blocksAll = 0;
};

} // namespace gooseberrysail::bench
