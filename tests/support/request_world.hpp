#pragma once

#include "gooseberrysail/roles/entry_role.hpp"
#include "support/agent_harness.hpp"
#include "support/golden_session.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gooseberrysail::test {

/// \brief Entries and one agent, the systems of the daemon, joined under scripted time. Control and
/// the target are played; each frame can be held back, dropped or turned round on its way.
/// \code
/// RequestWorld world;
/// const std::uint64_t chat = world.Chat("entry-1", true);
/// world.Target().AnswerCall("entry-1.1.1", "hello", true);
/// world.Settle();
/// EXPECT_EQ(world.BodyOf("entry-1", chat), "hello");
/// \endcode
class RequestWorld
{
public:
  struct Shape
  {
    wire::TargetKind kind = wire::TargetKind::Engine;
    std::vector<std::string> entries = { "entry-1" };
  };
  RequestWorld();
  explicit RequestWorld(Shape shape);

  void Story(std::string_view what) { m_session.AddComment(what); }
  void Compare(const std::string& path) const;

  void Advance(Duration duration);
  /// \brief Time passes until every frame under way has arrived and was answered.
  void Settle() { Advance(std::chrono::milliseconds(100)); }

  std::uint64_t Chat(const std::string& entry, bool stream);
  std::uint64_t Book(const std::string& entry, const std::string& key);
  std::uint64_t Get(const std::string& entry, const std::string& target);
  [[nodiscard]] const std::string& BodyOf(const std::string& entry, std::uint64_t exchange);
  [[nodiscard]] unsigned StatusOf(const std::string& entry, std::uint64_t exchange);

  /// \brief Frames between this entry and the agent vanish, as on a connection that somebody in
  /// between has forgotten; neither end sees it.
  void Swallow(const std::string& entry, bool swallow) { m_entries.at(entry).swallow = swallow; }
  /// \brief Both ends notice by missing heartbeats, and a new connection stands.
  void Reconnect(const std::string& entry);
  /// \brief kill -9 and a new life with an empty memory.
  void RestartEntry(const std::string& entry);
  void RestartAgent();

  /// \brief What happens to frames from the agent to entries before they are handed over; the
  /// default leaves them in order.
  std::function<void(std::vector<FrameIn>&)> shuffle;
  /// \brief Keeps frames from entries to the agent; Release hands them over late.
  bool holdStarts = false;
  void ReleaseHeld();

  [[nodiscard]] AgentHarness& Target() { return *m_agent; }
  /// \brief Calls that reached the target, over all lives of the agent.
  [[nodiscard]] std::size_t Runs() const;

private:
  struct CallerView
  {
    unsigned status = 0;
    std::string body;
  };
  struct EntryProcess
  {
    std::unique_ptr<EntryRole> role;
    std::uint64_t incarnation = 0;
    std::uint64_t lastExchange = 0;
    bool swallow = false;
    std::vector<EntryInput> inbox;
    std::vector<FrameIn> fromAgent;
    std::map<std::uint64_t, CallerView> callers;
  };
  struct Claim
  {
    std::string holder;
    std::uint64_t bodyHash = 0;
    bool finished = false;
    wire::ClaimOutcomeT outcome;
  };

  void StartEntry(const std::string& name);
  void StartAgent();
  void ConnectAgent(const std::string& name, EntryProcess& entry);
  void TickEntry(const std::string& name, EntryProcess& entry);
  void TakeFromEntry(const std::string& name, EntryProcess& entry, const EntryOutput& output);
  void TakeFromAgent(const AgentOutput& output);
  void PlayControl(const std::string& name, EntryProcess& entry, const wire::BodyUnion& body);
  [[nodiscard]] wire::ClaimReplyT AnswerClaim(const wire::ClaimRequestT& request);
  void FinishClaim(const wire::ClaimOutcomeT& outcome);
  [[nodiscard]] bool IsAlive(const std::string& holder) const;
  std::uint64_t Call(const std::string& entry, HttpRequestIn http);
  template<class MessageT>
  void FromControl(EntryProcess& entry, MessageT message);

  Shape m_shape;
  std::uint64_t m_agentIncarnation = 10;
  std::unique_ptr<AgentHarness> m_agent;
  std::size_t m_formerRuns = 0;
  TimePoint m_now{ std::chrono::hours(100) };
  GoldenSession m_session;
  bool m_recording = false;
  std::map<std::string, EntryProcess> m_entries;
  std::vector<FrameIn> m_held;
  std::map<std::string, Claim> m_claims;
};

} // namespace gooseberrysail::test
