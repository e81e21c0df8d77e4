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

/// \file Settings of one daemon: an INI file, validated completely before the daemon starts.

namespace gooseberrysail {

/// \brief The role of a daemon.
enum class ProcessRole
{
  kEntry,
  kControl,
  kAgent,
};

[[nodiscard]] const char* ToString(ProcessRole role) noexcept;

/// \brief The interface used by callers, targets and operators.
enum class ExternalInterface
{
  kOwn,      ///< Interface of this project: catalogue, agents, chat completions.
  kPlatform, ///< Interface implemented in platform/: routes, targets that announce themselves.
};

/// \brief A process and the address at which it accepts peers.
struct PeerAddress
{
  ProcessId process;
  std::string address; ///< "ip:port".
};

/// \brief Connections between the processes of the cluster.
struct PeerSettings
{
  Duration heartbeatInterval{}; ///< Time between two pings on an idle connection.
  Duration silenceTimeout{};    ///< A connection without traffic for this long is considered dead.
};

/// \brief Resource limits of one process.
struct LimitSettings
{
  std::size_t maxBodyBytes = 0;
  std::size_t maxHeaderBytes = 0;
  std::size_t memoryBytes = 0;        ///< Of the whole process.
  std::size_t maxAnswerBytes = 0;     ///< Entry: see AnswerLimits.
  std::size_t maxEventBytes = 0;      ///< Entry: see AnswerLimits.
  std::size_t maxInFlight = 0;        ///< Entry: maximum number of requests in flight.
  Duration maxUnreadWait{};           ///< Entry: for a request that can't be read yet.
  std::size_t maxHeldOutputBytes = 0; ///< Agent: unacknowledged output of all requests together.
};

/// \brief Settings of an entry's decisions under load.
struct AdmissionSettings
{
  bool predictFirstEvent = false; ///< See Dispatcher::SetForecasts.
  bool retryPlaces = false;       ///< See Dispatcher::SetRetryPlaces.
};

/// \brief Settings of a control process.
struct ControlStoreSettings
{
  std::string dataFolder;
  std::string operatorTokenHash; ///< Hex SHA-256 of the operators' bearer token.
  Duration groupLease{};
  Duration electionTimeout{};      ///< Time without a message from the leader before an election.
  std::size_t toleratedLosses = 1; ///< With seeds: simultaneous process failures tolerated.
  bool mayFound = true;            ///< Whether this start may found a new cluster.
  std::vector<FailureDomainId> failureDomains; ///< See ControlSettings.
  Duration standstill{};                       ///< See EngineGroupsSettings.
  Duration targetHeartbeat{};                  ///< See EngineGroupsSettings.
  Duration pauseTolerance{};                   ///< See EngineGroupsSettings.
  bool weighMoves = false;                     ///< See EngineGroupsSettings.
};

/// \brief Settings of an agent: the target VM that it serves.
struct AgentTargetSettings
{
  VmId vm;
  FabricDomainId fabricDomain;
  std::uint32_t accelerators = 0;
  wire::TargetKind kind = wire::TargetKind::Engine;
  EntryName service;   ///< For plain services: the catalogue entry that the target serves.
  std::string address; ///< "ip:port" of the engine or service.
};

/// \brief Settings of an entry: limits on retries of all entries together at one service.
struct RetryLimits
{
  double ratio = 0; ///< As a fraction of the requests for the service.
  double slack = 0; ///< Retries allowed in each window in addition.
  Duration window{};
};

struct ObserveSettings
{
  std::string metricsListen; ///< "ip:port" of /metrics and /healthz; "" means httpListen.
  EventLevel logLevel = EventLevel::kInfo;
  std::size_t timelineEvents = 0; ///< Capacity of the ring buffer of the timeline.
};

/// \brief All settings of a daemon.
struct ProcessSettings
{
  std::string file; ///< Path of the settings file.
  ProcessRole role = ProcessRole::kEntry;
  ProcessId process;
  FailureDomainId failureDomain;
  std::string listen;      ///< Address at which it accepts peers, "ip:port".
  std::string announce;    ///< Address announced to peers; "" means `listen`.
  std::string httpListen;  ///< Callers (entry), operators (control), /metrics and /healthz (all).
  std::string readyListen; ///< Entry: readiness checks of a load balancer; "": disabled.
  ExternalInterface externalInterface = ExternalInterface::kOwn;
  std::string clusterKey; ///< Shared by all processes; authenticates peers.
  std::vector<PeerAddress> controls;
  std::vector<std::string> seeds; ///< "ip:port" at which control processes serve HTTP.
  std::uint16_t seedPort = 0;     ///< Port at which each of these accepts peers.
  PeerSettings peers;
  LimitSettings limits;
  RetryLimits retries;
  AdmissionSettings admission;
  Duration targetDrainTime{}; ///< Entry: use of a target from when it says that it leaves.
  Duration stopTimeout{};     ///< Entry, control: from SIGTERM to SIGKILL.
  ControlStoreSettings control;
  AgentTargetSettings agent;
  ObserveSettings observe;
};

/// \brief The name of the control process at this IP if control processes are found by seeds.
[[nodiscard]] ProcessId ControlNameAt(std::string_view ip);

/// \brief The peer address of a control process whose name comes from ControlNameAt; "" for any
/// other name.
[[nodiscard]] std::string ControlAddressOf(const ProcessId& process, std::uint16_t port);

/// \brief An error in a settings file.
struct SettingsFault
{
  std::string file;
  std::size_t line = 0; ///< 0 if the error concerns the whole file, such as a missing key.
  std::string key;      ///< "section.key"; "" if the line has no key.
  std::string description;
};

/// \brief Formats a fault as `file:line: key: description`.
[[nodiscard]] std::string ToString(const SettingsFault& fault);
std::ostream& operator<<(std::ostream& out, const SettingsFault& fault);

/// \brief The settings, or all errors in the file.
using SettingsResult =
  outcome::basic_result<ProcessSettings, std::vector<SettingsFault>, outcome::policy::terminate>;

/// \brief Reads a whole file: ReadWholeFile, or a map of texts in a test.
using FileReader = std::function<Result<std::string>(const std::string& path)>;

/// \brief Reads and validates the settings file at `path` and the key file that it names.
/// \remarks Relative paths in the file are resolved against the folder of the file.
/// \code
/// SettingsResult settings = LoadSettings("entry-1.ini", ReadWholeFile);
/// \endcode
[[nodiscard]] SettingsResult LoadSettings(const std::string& path, const FileReader& readFile);

/// \brief The text of docs/SETTINGS.md, generated from the table of keys that LoadSettings uses.
[[nodiscard]] std::string SettingsReference();

} // namespace gooseberrysail
