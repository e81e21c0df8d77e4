#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/result.hpp"
#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/observe/event_catalog.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>
#include <wire_generated.h>

/// \file Settings of one daemon: an INI file, checked as a whole before anything starts.

namespace gooseberrysail {

/// \brief What a daemon does.
enum class ProcessRole
{
  kEntry,
  kControl,
  kAgent,
};

[[nodiscard]] const char* ToString(ProcessRole role) noexcept;

/// \brief Which interface callers, targets and operators outside the system speak.
enum class OutsideInterface
{
  kOwn,      ///< This project's: catalogue, agents, chat completions.
  kPlatform, ///< The one that platform/ translates: routes, targets that announce themselves.
};

/// \brief A process and where it listens for peers.
struct PeerAddress
{
  ProcessId process;
  std::string address; ///< "ip:port".
};

/// \brief Connections between the system's own processes.
struct PeerSettings
{
  Duration heartbeatInterval{}; ///< Between two pings on an idle connection.
  Duration silenceTimeout{};    ///< Without a byte for this long, a connection counts as dead.
};

/// \brief Bounds on what one process takes on.
struct LimitSettings
{
  std::size_t maxBodyBytes = 0;
  std::size_t maxHeaderBytes = 0;
  std::size_t maxInFlight = 0;        ///< Entry: requests in flight.
  std::size_t maxHeldOutputBytes = 0; ///< Agent: unacknowledged answers, all requests together.
};

/// \brief Control only.
struct ControlStoreSettings
{
  std::string dataFolder;
  std::string operatorTokenHash; ///< Hex SHA-256 of the operators' bearer token.
  Duration groupLease{};
  Duration electionTimeout{};      ///< Silence of the leader before an election.
  std::size_t toleratedLosses = 1; ///< With seeds: processes that may be lost at once.
  bool mayFound = true;            ///< This start may found a cluster.
  Duration standstill{};           ///< See EngineGroupsSettings.
  Duration targetHeartbeat{};      ///< See EngineGroupsSettings.
};

/// \brief Agent only: the target VM it stands beside.
struct AgentTargetSettings
{
  VmId vm;
  FabricDomainId fabricDomain;
  std::uint32_t accelerators = 0;
  wire::TargetKind kind = wire::TargetKind::Engine;
  EntryName service;   ///< Plain services: the catalogue entry served.
  std::string address; ///< "ip:port" of the engine or service.
};

/// \brief Entry only: second attempts of all entries together at one service.
struct RetryLimits
{
  double ratio = 0;      ///< Of the requests for the service.
  std::size_t slack = 0; ///< Besides, in each window.
  Duration window{};
};

struct ObserveSettings
{
  std::string metricsListen; ///< "ip:port" of /metrics and /healthz; "": at httpListen.
  EventLevel logLevel = EventLevel::kInfo;
  std::size_t timelineEvents = 0; ///< Events kept in the ring of the time line.
};

/// \brief Everything a daemon learns from its settings file.
struct ProcessSettings
{
  std::string file; ///< Where they were read from.
  ProcessRole role = ProcessRole::kEntry;
  ProcessId process;
  FailureDomainId failureDomain;
  std::string listen;     ///< Where it listens for peers, "ip:port".
  std::string announce;   ///< The address told to peers; "": where it listens.
  std::string httpListen; ///< Callers at an entry, operators at control; /metrics, /healthz at all.
  std::string readyListen; ///< Entry: where a balancer asks for readiness; "": nowhere.
  OutsideInterface outside = OutsideInterface::kOwn;
  std::string clusterKey; ///< Shared by all processes; proves that a peer belongs to the cluster.
  std::vector<PeerAddress> controls;
  std::vector<std::string> seeds; ///< "ip:port" where some control processes serve HTTP.
  std::uint16_t seedPort = 0;     ///< Where each of these listens for peers.
  PeerSettings peers;
  LimitSettings limits;
  RetryLimits retries;
  ControlStoreSettings control;
  AgentTargetSettings agent;
  ObserveSettings observe;
};

/// \brief The name of the control process at this IP, where control processes are found by seeds.
[[nodiscard]] ProcessId ControlNameAt(std::string_view ip);

/// \brief Where the control process of a name that ControlNameAt made listens for peers; "" for
/// another name.
[[nodiscard]] std::string ControlAddressOf(const ProcessId& process, std::uint16_t port);

/// \brief One thing wrong with a settings file.
struct SettingsFault
{
  std::string file;
  std::size_t line = 0; ///< 0: about the file as a whole, such as a missing key.
  std::string key;      ///< "section.key"; "" when the line has none.
  std::string description;
};

/// \brief `file:line: key: description`.
[[nodiscard]] std::string ToString(const SettingsFault& fault);
std::ostream& operator<<(std::ostream& out, const SettingsFault& fault);

/// \brief The settings, or every fault of the file.
using SettingsResult =
  outcome::basic_result<ProcessSettings, std::vector<SettingsFault>, outcome::policy::terminate>;

/// \brief Reads a whole file; ReadWholeFile of the shell, or a map of texts in a test.
using FileReader = std::function<Result<std::string>(const std::string& path)>;

/// \brief Reads and checks the settings file at `path` and the key file it names.
/// \remarks Relative paths inside the file start at the file's own folder.
/// \code
/// SettingsResult settings = LoadSettings("entry-1.ini", ReadWholeFile);
/// \endcode
[[nodiscard]] SettingsResult LoadSettings(const std::string& path, const FileReader& readFile);

/// \brief docs/SETTINGS.md, from the table of keys that LoadSettings uses.
[[nodiscard]] std::string SettingsReference();

} // namespace gooseberrysail
