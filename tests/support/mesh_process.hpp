#pragma once

#include "gooseberrysail/net/peer_mesh.hpp"
#include "gooseberrysail/observe/event_catalog.hpp"
#include "gooseberrysail/shell/clock.hpp"
#include "gooseberrysail/wire/envelope.hpp"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace gooseberrysail::tests {

/// \brief Ample for loopback on a busy machine; only reached when a test fails.
inline constexpr Duration kTestTimeout = std::chrono::seconds(20);

/// \brief Checks `condition` after each notification of `changed`, until it holds or the timeout
/// expires.
inline bool WaitUntil(Signal& changed, const std::function<bool()>& condition)
{
  const TimePoint until = BootNow() + kTestTimeout;
  while (!condition()) {
    const TimePoint now = BootNow();
    if (now >= until) {
      return false;
    }
    changed.WaitFor(until - now);
  }
  return true;
}

/// \brief The mesh of one process, with a record of its hook calls.
class MeshProcess
{
public:
  explicit MeshProcess(IoRuntime& runtime,
                       const std::string& processName,
                       const std::function<void(PeerMeshSettings&)>& adjust = {})
    : mesh(runtime, MakeSettings(processName, adjust), MakeHooks())
  {
    started = mesh.Start().has_value();
  }

  /// \brief Sends a numbered frame: an InForce whose version is the number.
  void SendNumber(const MeshProcess& to, std::uint64_t number, const std::string& address)
  {
    wire::InForceT message;
    message.version = number;
    mesh.Send(FrameOut{ to.name, address, MakeEnvelope(std::move(message)) });
  }

  bool WaitFor(const std::function<bool()>& condition) { return WaitUntil(changed, condition); }

  bool WaitForTransition(const std::string& transition, std::size_t times = 1)
  {
    return WaitFor([&] { return TransitionCount(transition) >= times; });
  }

  /// \brief How often the transition (`up NAME` or `down NAME`) occurred.
  [[nodiscard]] std::size_t TransitionCount(const std::string& transition) const
  {
    return static_cast<std::size_t>(std::count(transitions.begin(), transitions.end(), transition));
  }

  [[nodiscard]] std::vector<EventOut> Events(EventNumber number) const
  {
    std::vector<EventOut> found;
    std::copy_if(
      events.begin(), events.end(), std::back_inserter(found), [&](const EventOut& event) {
        return event.number == static_cast<std::uint32_t>(number);
      });
    return found;
  }

  ProcessId name;
  bool started = false;
  std::vector<std::string> transitions;
  std::vector<std::uint64_t> numbers; ///< Of the received frames, in order; 0 for other types.
  std::vector<PeerDown> downs;
  std::vector<PeerUp> ups;
  std::vector<EventOut> events;
  Signal changed;
  PeerMesh mesh;

private:
  PeerMeshSettings MakeSettings(const std::string& processName,
                                const std::function<void(PeerMeshSettings&)>& adjust)
  {
    name = ProcessId(processName);
    PeerMeshSettings settings;
    settings.process = name;
    settings.role = "agent";
    settings.incarnation = Incarnation(1);
    settings.listenAddress = "127.0.0.1:0";
    settings.clusterKey = "a key of the tests";
    if (adjust) {
      adjust(settings);
    }
    return settings;
  }

  PeerMeshHooks MakeHooks()
  {
    PeerMeshHooks hooks;
    hooks.onUp = [this](PeerUp up) {
      transitions.push_back("up " + up.peer.Get());
      ups.push_back(std::move(up));
      changed.Notify();
    };
    hooks.onDown = [this](PeerDown down) {
      transitions.push_back("down " + down.peer.Get());
      downs.push_back(std::move(down));
      changed.Notify();
    };
    hooks.onFrame = [this](FrameIn frame) {
      numbers.push_back(frame.envelope->body.type == wire::Body::InForce
                          ? frame.envelope->body.AsInForce()->version
                          : 0);
      changed.Notify();
    };
    hooks.onEvent = [this](EventOut event) {
      events.push_back(std::move(event));
      changed.Notify();
    };
    return hooks;
  }
};

/// \brief The value of a field of an event; "" if absent.
inline std::string Field(const EventOut& event, const std::string& name)
{
  for (const auto& [key, value] : event.fields) {
    if (key == name) {
      return value;
    }
  }
  return "";
}

} // namespace gooseberrysail::tests
