#include "settings/setting_key.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace gooseberrysail::impl {

namespace {

constexpr std::int64_t kKibi = 1024;
constexpr std::int64_t kMebi = 1024 * kKibi;
constexpr std::int64_t kMega = 1000 * 1000;

EventLevel ParseLevel(std::string_view text)
{
  if (text == "debug") {
    return EventLevel::kDebug;
  }
  if (text == "warning") {
    return EventLevel::kWarning;
  }
  return text == "error" ? EventLevel::kError : EventLevel::kInfo;
}

ProcessRole ParseRole(std::string_view text)
{
  if (text == "control") {
    return ProcessRole::kControl;
  }
  return text == "agent" ? ProcessRole::kAgent : ProcessRole::kEntry;
}

/// \brief A key without unit and numeric range.
constexpr SettingKey TextKey(std::string_view key,
                             SettingType type,
                             std::string_view choices,
                             std::string_view defaultValue,
                             RoleSet roles,
                             RoleSet required,
                             std::string_view help,
                             void (*store)(ProcessSettings&, const SettingValue&))
{
  return { key, type, "", 0, 0, choices, defaultValue, roles, required, help, store };
}

/// \brief A key with a whole number, which always has a default.
constexpr SettingKey CountKey(std::string_view key,
                              std::string_view unit,
                              std::int64_t minimum,
                              std::int64_t maximum,
                              std::string_view defaultValue,
                              RoleSet roles,
                              std::string_view help,
                              void (*store)(ProcessSettings&, const SettingValue&))
{
  return { key,  SettingType::kCount, unit,  minimum, maximum,
           "",   defaultValue,        roles, kNoRole, help,
           store };
}

/// \brief A key with a decimal number, which always has a default.
constexpr SettingKey NumberKey(std::string_view key,
                               std::string_view unit,
                               std::int64_t minimum,
                               std::int64_t maximum,
                               std::string_view defaultValue,
                               RoleSet roles,
                               std::string_view help,
                               void (*store)(ProcessSettings&, const SettingValue&))
{
  return { key,  SettingType::kNumber, unit,  minimum, maximum,
           "",   defaultValue,         roles, kNoRole, help,
           store };
}

/// \brief `count` times `unit`, to the nearest nanosecond.
Duration Times(double count, Duration unit)
{
  return Duration(std::llround(count * static_cast<double>(unit.count())));
}

constexpr auto kKeys = std::to_array<SettingKey>({
  TextKey("process.role",
          SettingType::kChoice,
          "entry|control|agent",
          "",
          kEveryRole,
          kEveryRole,
          "Role of this process.",
          [](ProcessSettings& settings, const SettingValue& value) {
            settings.role = ParseRole(value.text);
          }),
  TextKey("process.name",
          SettingType::kName,
          "",
          "",
          kEveryRole,
          kEveryRole,
          "Name of this process; it must be unique in the cluster.",
          [](ProcessSettings& settings, const SettingValue& value) {
            settings.process = ProcessId(value.text);
          }),
  TextKey("process.failureDomain",
          SettingType::kName,
          "",
          "",
          kEveryRole,
          kEveryRole,
          "Failure domain of the VM.",
          [](ProcessSettings& settings, const SettingValue& value) {
            settings.failureDomain = FailureDomainId(value.text);
          }),
  NumberKey("process.stopTimeout",
            "seconds",
            1,
            3600,
            "13",
            kEntryRole | kControlRole,
            "How long a supervisor waits between SIGTERM and SIGKILL. Shortly before, requests in "
            "flight are ended.",
            [](ProcessSettings& settings, const SettingValue& value) {
              settings.stopTimeout = Times(value.decimal, std::chrono::seconds(1));
            }),
  TextKey(
    "process.listen",
    SettingType::kListenAddress,
    "",
    "",
    kEveryRole,
    kEveryRole,
    "Address at which the process accepts peers, and which it announces to them.",
    [](ProcessSettings& settings, const SettingValue& value) { settings.listen = value.text; }),
  TextKey(
    "process.announce",
    SettingType::kAddress,
    "",
    "",
    kEveryRole,
    kNoRole,
    "Address announced to peers if it differs from process.listen, such as behind a port "
    "forwarder.",
    [](ProcessSettings& settings, const SettingValue& value) { settings.announce = value.text; }),
  TextKey(
    "process.httpListen",
    SettingType::kListenAddress,
    "",
    "",
    kEveryRole,
    kEveryRole,
    "Address at which it serves HTTP: callers at an entry, operators at control, /metrics and "
    "/healthz in every role.",
    [](ProcessSettings& settings, const SettingValue& value) { settings.httpListen = value.text; }),
  TextKey("process.interface",
          SettingType::kChoice,
          "own|platform",
          "own",
          kEntryRole | kControlRole,
          kNoRole,
          "Interface used by callers, targets and operators: the one of this project, or the one "
          "implemented in platform/. Must be the same for every process.",
          [](ProcessSettings& settings, const SettingValue& value) {
            settings.externalInterface =
              value.text == "platform" ? ExternalInterface::kPlatform : ExternalInterface::kOwn;
          }),
  TextKey("process.readyListen",
          SettingType::kListenAddress,
          "",
          "",
          kEntryRole,
          kNoRole,
          "Address for readiness checks of a load balancer; for process.interface = platform.",
          [](ProcessSettings& settings, const SettingValue& value) {
            settings.readyListen = value.text;
          }),
  TextKey(
    "cluster.key",
    SettingType::kSecret,
    "",
    "",
    kEveryRole,
    kNoRole,
    "Key shared by all processes. Specify either this or cluster.keyFile.",
    [](ProcessSettings& settings, const SettingValue& value) { settings.clusterKey = value.text; }),
  TextKey("cluster.keyFile",
          SettingType::kPath,
          "",
          "",
          kEveryRole,
          kNoRole,
          "File with the shared key; leading and trailing white space is ignored.",
          [](ProcessSettings&, const SettingValue&) {}),
  TextKey("cluster.control",
          SettingType::kPeer,
          "",
          "",
          kEveryRole,
          kNoRole,
          "A control process; one line for each, the same lines for every process. Specify either "
          "these or cluster.seeds.",
          [](ProcessSettings& settings, const SettingValue& value) {
            settings.controls.push_back(SplitPeer(value.text));
          }),
  TextKey(
    "cluster.seeds",
    SettingType::kAddressList,
    "",
    "",
    kEveryRole,
    kNoRole,
    "Addresses at which control processes serve HTTP, the same initial list for every process. "
    "Each is named control-IP and accepts peers at cluster.seedPort.",
    [](ProcessSettings& settings, const SettingValue& value) {
      settings.seeds = SplitList(value.text);
    }),
  CountKey("cluster.seedPort",
           "as a port",
           1,
           65'535,
           "7340",
           kEveryRole,
           "Port at which control processes found by cluster.seeds accept peers.",
           [](ProcessSettings& settings, const SettingValue& value) {
             settings.seedPort = static_cast<std::uint16_t>(value.number);
           }),
  CountKey("peers.heartbeatInterval",
           "milliseconds",
           20,
           60'000,
           "1000",
           kEveryRole,
           "Time between two pings on a connection with a peer.",
           [](ProcessSettings& settings, const SettingValue& value) {
             settings.peers.heartbeatInterval = std::chrono::milliseconds(value.number);
           }),
  CountKey(
    "peers.silenceTimeout",
    "milliseconds",
    40,
    600'000,
    "3000",
    kEveryRole,
    "A connection without traffic for this long is replaced by a new one. At least twice the "
    "heartbeat interval.",
    [](ProcessSettings& settings, const SettingValue& value) {
      settings.peers.silenceTimeout = std::chrono::milliseconds(value.number);
    }),
  CountKey("limits.maxBodyBytes",
           "bytes",
           kKibi,
           8 * kMebi,
           "1048576",
           kEveryRole,
           "Maximum body size of an HTTP request; larger ones are rejected with status 413.",
           [](ProcessSettings& settings, const SettingValue& value) {
             settings.limits.maxBodyBytes = static_cast<std::size_t>(value.number);
           }),
  CountKey("limits.maxHeaderBytes",
           "bytes",
           kKibi,
           kMebi,
           "16384",
           kEveryRole,
           "Maximum header size of an HTTP request; larger ones are rejected with status 431.",
           [](ProcessSettings& settings, const SettingValue& value) {
             settings.limits.maxHeaderBytes = static_cast<std::size_t>(value.number);
           }),
  CountKey("limits.memory",
           "megabytes",
           64,
           1024 * 1024,
           "160",
           kEveryRole,
           "Memory that the process may use, at least ten times limits.maxBodyBytes. What callers "
           "send and what waits for them may take half of it, on all ports together. Beyond that, "
           "requests are answered with status 503 before they run, and answers that callers don't "
           "read are cut, the largest and oldest first.",
           [](ProcessSettings& settings, const SettingValue& value) {
             settings.limits.memoryBytes = static_cast<std::size_t>(value.number) * kMega;
           }),
  CountKey("limits.maxAnswerBytes",
           "bytes",
           kKibi,
           1024 * kMebi,
           "4194304",
           kEntryRole,
           "Largest body of a target that is buffered until its end; the call for a larger one is "
           "ended. Streams are forwarded event by event.",
           [](ProcessSettings& settings, const SettingValue& value) {
             settings.limits.maxAnswerBytes = static_cast<std::size_t>(value.number);
           }),
  CountKey("limits.maxEventBytes",
           "bytes",
           kKibi,
           1024 * kMebi,
           "1048576",
           kEntryRole,
           "Largest event of a target's stream; the call for a larger one is ended.",
           [](ProcessSettings& settings, const SettingValue& value) {
             settings.limits.maxEventBytes = static_cast<std::size_t>(value.number);
           }),
  CountKey(
    "limits.maxInFlight",
    "requests",
    1,
    100'000,
    "2000",
    kEntryRole,
    "Maximum number of requests in flight; further ones are rejected with a Retry-After header.",
    [](ProcessSettings& settings, const SettingValue& value) {
      settings.limits.maxInFlight = static_cast<std::size_t>(value.number);
    }),
  CountKey("limits.maxUnreadWait",
           "milliseconds",
           10,
           10'000,
           "100",
           kEntryRole,
           "New connections that wait longer than this to be read are closed unread, so that their "
           "callers can try another entry. A request on a connection that was open already is "
           "answered with status 503, after twice this time if it was read ahead.",
           [](ProcessSettings& settings, const SettingValue& value) {
             settings.limits.maxUnreadWait = std::chrono::milliseconds(value.number);
           }),
  CountKey(
    "limits.maxHeldOutputBytes",
    "bytes",
    64 * kKibi,
    1024 * kMebi,
    "16777216",
    kAgentRole,
    "Maximum size of answers kept until the entry acknowledges them, for all requests together.",
    [](ProcessSettings& settings, const SettingValue& value) {
      settings.limits.maxHeldOutputBytes = static_cast<std::size_t>(value.number);
    }),
  TextKey("control.dataFolder",
          SettingType::kPath,
          "",
          "",
          kControlRole,
          kControlRole,
          "Folder of the replicated log and its snapshots, on the disk of the VM.",
          [](ProcessSettings& settings, const SettingValue& value) {
            settings.control.dataFolder = value.text;
          }),
  TextKey("control.operatorTokenHash",
          SettingType::kHexHash,
          "",
          "",
          kControlRole,
          kControlRole,
          "SHA-256 of the operators' bearer token: `printf %s TOKEN | sha256sum`.",
          [](ProcessSettings& settings, const SettingValue& value) {
            settings.control.operatorTokenHash = value.text;
          }),
  CountKey("control.groupLease",
           "milliseconds",
           500,
           60'000,
           "4000",
           kControlRole,
           "Time for which a group may serve after the report for which control granted the lease. "
           "Must be the same for every control process.",
           [](ProcessSettings& settings, const SettingValue& value) {
             settings.control.groupLease = std::chrono::milliseconds(value.number);
           }),
  CountKey("control.electionTimeout",
           "milliseconds",
           100,
           60'000,
           "1000",
           kControlRole,
           "Time without a message from the leader before an election; each timeout is drawn at "
           "random between this and twice this. The leader sends heartbeats at a fifth of it.",
           [](ProcessSettings& settings, const SettingValue& value) {
             settings.control.electionTimeout = std::chrono::milliseconds(value.number);
           }),
  CountKey("control.toleratedLosses",
           "processes",
           0,
           4,
           "1",
           kControlRole,
           "With cluster.seeds: number of simultaneous failures of control processes to tolerate. "
           "Twice as many and one more are voters; further processes wait for a place.",
           [](ProcessSettings& settings, const SettingValue& value) {
             settings.control.toleratedLosses = static_cast<std::size_t>(value.number);
           }),
  NumberKey(
    "control.standstill",
    "milliseconds",
    100,
    600'000,
    "5000",
    kControlRole,
    "Time for which the head of a group with a missing member pauses before it declares itself "
    "broken; if a head cannot be reached, its members become free only after this time.",
    [](ProcessSettings& settings, const SettingValue& value) {
      settings.control.standstill = Times(value.decimal, std::chrono::milliseconds(1));
    }),
  NumberKey("control.targetHeartbeat",
            "milliseconds",
            50,
            60'000,
            "1200",
            kControlRole,
            "Time between two heartbeats of a target that announces itself.",
            [](ProcessSettings& settings, const SettingValue& value) {
              settings.control.targetHeartbeat = Times(value.decimal, std::chrono::milliseconds(1));
            }),
  NumberKey(
    "control.pauseTolerance",
    "milliseconds",
    500,
    10'000,
    "1200",
    kControlRole,
    "How long a target may be silent and then go on with its work. A target that answers no "
    "probes counts as lost after it; dead targets are replaced later by as much.",
    [](ProcessSettings& settings, const SettingValue& value) {
      settings.control.pauseTolerance = Times(value.decimal, std::chrono::milliseconds(1));
    }),
  TextKey("control.weighMoves",
          SettingType::kChoice,
          "true|false",
          "false",
          kControlRole,
          kNoRole,
          "Whether groups are ended for another model only if that gains more than it loses over "
          "the recent course of the load; otherwise the present load alone decides.",
          [](ProcessSettings& settings, const SettingValue& value) {
            settings.control.weighMoves = value.text == "true";
          }),
  TextKey("control.failureDomains",
          SettingType::kNameList,
          "",
          "",
          kControlRole,
          kNoRole,
          "The failure domains that operators may evacuate; without it, any name is accepted.",
          [](ProcessSettings& settings, const SettingValue& value) {
            for (const std::string& name : SplitList(value.text)) {
              settings.control.failureDomains.emplace_back(name);
            }
          }),
  TextKey(
    "control.mayFound",
    SettingType::kChoice,
    "true|false",
    "true",
    kControlRole,
    kNoRole,
    "Whether this start may found a new cluster if the disks of all seeds are empty. Set it to "
    "false after the first start of the cluster.",
    [](ProcessSettings& settings, const SettingValue& value) {
      settings.control.mayFound = value.text == "true";
    }),
  TextKey("retries.ratio",
          SettingType::kFraction,
          "",
          "0.2",
          kEntryRole,
          kNoRole,
          "Maximum retries of all entries together at one service, as a fraction of its requests.",
          [](ProcessSettings& settings, const SettingValue& value) {
            settings.retries.ratio = value.decimal;
          }),
  NumberKey("retries.slack",
            "attempts",
            0,
            1'000'000,
            "100",
            kEntryRole,
            "Retries allowed in each window in addition to the ratio.",
            [](ProcessSettings& settings, const SettingValue& value) {
              settings.retries.slack = value.decimal;
            }),
  NumberKey("retries.window",
            "seconds",
            1,
            3600,
            "10",
            kEntryRole,
            "Window over which retries are counted.",
            [](ProcessSettings& settings, const SettingValue& value) {
              settings.retries.window = Times(value.decimal, std::chrono::seconds(1));
            }),
  TextKey("admission.predictFirstEvent",
          SettingType::kChoice,
          "true|false",
          "false",
          kEntryRole,
          kNoRole,
          "Whether requests are sent to heads where their first event is predicted in time, by the "
          "figures of the service's engines. Otherwise heads are filled by the number of requests.",
          [](ProcessSettings& settings, const SettingValue& value) {
            settings.admission.predictFirstEvent = value.text == "true";
          }),
  TextKey(
    "admission.retryPlaces",
    SettingType::kChoice,
    "true|false",
    "false",
    kEntryRole,
    kNoRole,
    "Whether callers who are refused because all targets are full are told different times to "
    "come back, at the rate at which slots come free, and are preferred when they do. Otherwise "
    "all are told the same time.",
    [](ProcessSettings& settings, const SettingValue& value) {
      settings.admission.retryPlaces = value.text == "true";
    }),
  NumberKey("targets.drainTime",
            "milliseconds",
            0,
            3'600'000,
            "2000",
            kEntryRole,
            "How long a target that says in an answer that it leaves still gets requests when no "
            "other has capacity.",
            [](ProcessSettings& settings, const SettingValue& value) {
              settings.targetDrainTime = Times(value.decimal, std::chrono::milliseconds(1));
            }),
  TextKey("agent.vm",
          SettingType::kName,
          "",
          "",
          kAgentRole,
          kAgentRole,
          "Name of the target VM that the agent serves.",
          [](ProcessSettings& settings, const SettingValue& value) {
            settings.agent.vm = VmId(value.text);
          }),
  TextKey("agent.fabricDomain",
          SettingType::kName,
          "",
          "",
          kAgentRole,
          kNoRole,
          "Fabric domain of the target VM; required for engines.",
          [](ProcessSettings& settings, const SettingValue& value) {
            settings.agent.fabricDomain = FabricDomainId(value.text);
          }),
  CountKey("agent.accelerators",
           "accelerators",
           0,
           1024,
           "0",
           kAgentRole,
           "Number of accelerators of the target VM.",
           [](ProcessSettings& settings, const SettingValue& value) {
             settings.agent.accelerators = static_cast<std::uint32_t>(value.number);
           }),
  TextKey("agent.targetKind",
          SettingType::kChoice,
          "engine|service",
          "engine",
          kAgentRole,
          kNoRole,
          "Kind of the target: a model engine or a plain service.",
          [](ProcessSettings& settings, const SettingValue& value) {
            settings.agent.kind =
              value.text == "service" ? wire::TargetKind::Service : wire::TargetKind::Engine;
          }),
  TextKey("agent.service",
          SettingType::kName,
          "",
          "",
          kAgentRole,
          kNoRole,
          "For plain services: the catalogue entry that the target serves.",
          [](ProcessSettings& settings, const SettingValue& value) {
            settings.agent.service = EntryName(value.text);
          }),
  TextKey("agent.targetAddress",
          SettingType::kAddress,
          "",
          "",
          kAgentRole,
          kAgentRole,
          "Address at which the engine or service accepts HTTP requests.",
          [](ProcessSettings& settings, const SettingValue& value) {
            settings.agent.address = value.text;
          }),
  TextKey("observe.logLevel",
          SettingType::kChoice,
          "debug|info|warning|error",
          "info",
          kEveryRole,
          kNoRole,
          "Events below this level are not logged; the timeline records all levels.",
          [](ProcessSettings& settings, const SettingValue& value) {
            settings.observe.logLevel = ParseLevel(value.text);
          }),
  TextKey("observe.metricsListen",
          SettingType::kListenAddress,
          "",
          "",
          kEveryRole,
          kNoRole,
          "Address at which /metrics and /healthz are served. Default: process.httpListen.",
          [](ProcessSettings& settings, const SettingValue& value) {
            settings.observe.metricsListen = value.text;
          }),
  CountKey("observe.timelineEvents",
           "events",
           100,
           1'000'000,
           "5000",
           kEveryRole,
           "Number of events kept in the timeline; older ones are dropped and counted.",
           [](ProcessSettings& settings, const SettingValue& value) {
             settings.observe.timelineEvents = static_cast<std::size_t>(value.number);
           }),
});

} // namespace

std::span<const SettingKey> SettingKeys() noexcept
{
  return kKeys;
}

const SettingKey* FindSettingKey(std::string_view key) noexcept
{
  const auto* found = std::find_if(
    kKeys.begin(), kKeys.end(), [key](const SettingKey& row) { return row.key == key; });
  return found != kKeys.end() ? found : nullptr;
}

} // namespace gooseberrysail::impl
