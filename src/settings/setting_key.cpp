#include "settings/setting_key.hpp"

#include <algorithm>
#include <array>

namespace gooseberrysail::impl {

namespace {

constexpr std::int64_t kKibi = 1024;
constexpr std::int64_t kMebi = 1024 * kKibi;

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

/// \brief A row without unit and number range.
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

/// \brief A row of a whole number, which always has a default.
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

constexpr auto kKeys = std::to_array<SettingKey>({
  TextKey("process.role",
          SettingType::kChoice,
          "entry|control|agent",
          "",
          kEveryRole,
          kEveryRole,
          "What this process does.",
          [](ProcessSettings& settings, const SettingValue& value) {
            settings.role = ParseRole(value.text);
          }),
  TextKey("process.name",
          SettingType::kName,
          "",
          "",
          kEveryRole,
          kEveryRole,
          "The process's own name; no other process of the cluster may have it.",
          [](ProcessSettings& settings, const SettingValue& value) {
            settings.process = ProcessId(value.text);
          }),
  TextKey("process.failureDomain",
          SettingType::kName,
          "",
          "",
          kEveryRole,
          kEveryRole,
          "The failure domain of the VM.",
          [](ProcessSettings& settings, const SettingValue& value) {
            settings.failureDomain = FailureDomainId(value.text);
          }),
  TextKey(
    "process.listen",
    SettingType::kListenAddress,
    "",
    "",
    kEveryRole,
    kEveryRole,
    "Where the process listens for peers, and the address it tells them.",
    [](ProcessSettings& settings, const SettingValue& value) { settings.listen = value.text; }),
  TextKey(
    "process.announce",
    SettingType::kAddress,
    "",
    "",
    kEveryRole,
    kNoRole,
    "The address told to peers, where it is another than process.listen: behind a forwarder, say.",
    [](ProcessSettings& settings, const SettingValue& value) { settings.announce = value.text; }),
  TextKey(
    "process.httpListen",
    SettingType::kListenAddress,
    "",
    "",
    kEveryRole,
    kEveryRole,
    "Where it serves HTTP: callers at an entry, operators at control; /metrics and /healthz "
    "everywhere.",
    [](ProcessSettings& settings, const SettingValue& value) { settings.httpListen = value.text; }),
  TextKey("process.interface",
          SettingType::kChoice,
          "own|platform",
          "own",
          kEntryRole | kControlRole,
          kNoRole,
          "What callers, targets and operators outside speak: this project's own interface, or the "
          "one that platform/ translates. The same on every process.",
          [](ProcessSettings& settings, const SettingValue& value) {
            settings.outside =
              value.text == "platform" ? OutsideInterface::kPlatform : OutsideInterface::kOwn;
          }),
  TextKey("process.readyListen",
          SettingType::kListenAddress,
          "",
          "",
          kEntryRole,
          kNoRole,
          "Where a balancer asks whether to send callers here; with process.interface = platform.",
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
    "The key shared by all processes. Either this or cluster.keyFile.",
    [](ProcessSettings& settings, const SettingValue& value) { settings.clusterKey = value.text; }),
  TextKey("cluster.keyFile",
          SettingType::kPath,
          "",
          "",
          kEveryRole,
          kNoRole,
          "A file with the shared key; white space at its ends does not count.",
          [](ProcessSettings&, const SettingValue&) {}),
  TextKey("cluster.control",
          SettingType::kPeer,
          "",
          "",
          kEveryRole,
          kNoRole,
          "A control process; one line for each, the same lines on every process. Either these or "
          "cluster.seeds.",
          [](ProcessSettings& settings, const SettingValue& value) {
            settings.controls.push_back(SplitPeer(value.text));
          }),
  TextKey("cluster.seeds",
          SettingType::kAddressList,
          "",
          "",
          kEveryRole,
          kNoRole,
          "Where control processes serve HTTP, the same first list on every process. Each is named "
          "control-IP and listens for peers at cluster.seedPort.",
          [](ProcessSettings& settings, const SettingValue& value) {
            settings.seeds = SplitAddresses(value.text);
          }),
  CountKey("cluster.seedPort",
           "as a port",
           1,
           65'535,
           "7340",
           kEveryRole,
           "Where control processes found by cluster.seeds listen for peers.",
           [](ProcessSettings& settings, const SettingValue& value) {
             settings.seedPort = static_cast<std::uint16_t>(value.number);
           }),
  CountKey("peers.heartbeatInterval",
           "milliseconds",
           20,
           60'000,
           "1000",
           kEveryRole,
           "Between two pings on a connection with a peer.",
           [](ProcessSettings& settings, const SettingValue& value) {
             settings.peers.heartbeatInterval = std::chrono::milliseconds(value.number);
           }),
  CountKey("peers.silenceTimeout",
           "milliseconds",
           40,
           600'000,
           "3000",
           kEveryRole,
           "A connection without a byte for this long is replaced by a new one. At least twice the "
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
           "Largest body of an HTTP request; larger ones are answered with status 413.",
           [](ProcessSettings& settings, const SettingValue& value) {
             settings.limits.maxBodyBytes = static_cast<std::size_t>(value.number);
           }),
  CountKey("limits.maxHeaderBytes",
           "bytes",
           kKibi,
           kMebi,
           "16384",
           kEveryRole,
           "Largest header of an HTTP request; larger ones are answered with status 431.",
           [](ProcessSettings& settings, const SettingValue& value) {
             settings.limits.maxHeaderBytes = static_cast<std::size_t>(value.number);
           }),
  CountKey("limits.maxInFlight",
           "requests",
           1,
           100'000,
           "2000",
           kEntryRole,
           "Requests in flight at once; more are refused with a Retry-After.",
           [](ProcessSettings& settings, const SettingValue& value) {
             settings.limits.maxInFlight = static_cast<std::size_t>(value.number);
           }),
  CountKey("limits.maxHeldOutputBytes",
           "bytes",
           64 * kKibi,
           1024 * kMebi,
           "16777216",
           kAgentRole,
           "Answers kept until the entry acknowledged them, all requests together.",
           [](ProcessSettings& settings, const SettingValue& value) {
             settings.limits.maxHeldOutputBytes = static_cast<std::size_t>(value.number);
           }),
  TextKey("control.dataFolder",
          SettingType::kPath,
          "",
          "",
          kControlRole,
          kControlRole,
          "Folder of the replicated log and its snapshots, on the VM's disk.",
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
           "How long a group may serve after the report for which control granted the lease. The "
           "same on every control process.",
           [](ProcessSettings& settings, const SettingValue& value) {
             settings.control.groupLease = std::chrono::milliseconds(value.number);
           }),
  CountKey("control.electionTimeout",
           "milliseconds",
           100,
           60'000,
           "1000",
           kControlRole,
           "Silence of the leader before an election; drawn anew between this and twice this. A "
           "fifth of it passes between two heartbeats of the leader.",
           [](ProcessSettings& settings, const SettingValue& value) {
             settings.control.electionTimeout = std::chrono::milliseconds(value.number);
           }),
  CountKey("control.toleratedLosses",
           "processes",
           0,
           4,
           "1",
           kControlRole,
           "With cluster.seeds: control processes that may be lost at once; twice as many and one "
           "more vote, and further ones wait for a place.",
           [](ProcessSettings& settings, const SettingValue& value) {
             settings.control.toleratedLosses = static_cast<std::size_t>(value.number);
           }),
  CountKey(
    "control.standstill",
    "milliseconds",
    100,
    600'000,
    "5000",
    kControlRole,
    "How long the head of a group that lacks a member stands still before it declares itself "
    "broken; the members of a head that can't be asked are free only after that.",
    [](ProcessSettings& settings, const SettingValue& value) {
      settings.control.standstill = std::chrono::milliseconds(value.number);
    }),
  CountKey("control.targetHeartbeat",
           "milliseconds",
           50,
           60'000,
           "1200",
           kControlRole,
           "Between two heartbeats of a target that announces itself.",
           [](ProcessSettings& settings, const SettingValue& value) {
             settings.control.targetHeartbeat = std::chrono::milliseconds(value.number);
           }),
  TextKey("control.mayFound",
          SettingType::kChoice,
          "true|false",
          "true",
          kControlRole,
          kNoRole,
          "Whether this start may found a cluster when every seed's disk is empty; false once the "
          "whole was started.",
          [](ProcessSettings& settings, const SettingValue& value) {
            settings.control.mayFound = value.text == "true";
          }),
  TextKey("retries.ratio",
          SettingType::kFraction,
          "",
          "0.2",
          kEntryRole,
          kNoRole,
          "Second attempts of all entries together at one service, as a part of its requests.",
          [](ProcessSettings& settings, const SettingValue& value) {
            settings.retries.ratio = value.fraction;
          }),
  CountKey("retries.slack",
           "attempts",
           0,
           1'000'000,
           "100",
           kEntryRole,
           "Second attempts allowed besides, in each window.",
           [](ProcessSettings& settings, const SettingValue& value) {
             settings.retries.slack = static_cast<std::size_t>(value.number);
           }),
  CountKey("retries.window",
           "seconds",
           1,
           3600,
           "10",
           kEntryRole,
           "Over which second attempts are counted.",
           [](ProcessSettings& settings, const SettingValue& value) {
             settings.retries.window = std::chrono::seconds(value.number);
           }),
  TextKey("agent.vm",
          SettingType::kName,
          "",
          "",
          kAgentRole,
          kAgentRole,
          "Name of the target VM beside which the agent runs.",
          [](ProcessSettings& settings, const SettingValue& value) {
            settings.agent.vm = VmId(value.text);
          }),
  TextKey("agent.fabricDomain",
          SettingType::kName,
          "",
          "",
          kAgentRole,
          kNoRole,
          "Fabric domain of the target VM; engines need one.",
          [](ProcessSettings& settings, const SettingValue& value) {
            settings.agent.fabricDomain = FabricDomainId(value.text);
          }),
  CountKey("agent.accelerators",
           "accelerators",
           0,
           1024,
           "0",
           kAgentRole,
           "Accelerators of the target VM.",
           [](ProcessSettings& settings, const SettingValue& value) {
             settings.agent.accelerators = static_cast<std::uint32_t>(value.number);
           }),
  TextKey("agent.targetKind",
          SettingType::kChoice,
          "engine|service",
          "engine",
          kAgentRole,
          kNoRole,
          "A model engine, or a plain service.",
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
          "Plain services: the catalogue entry that the target serves.",
          [](ProcessSettings& settings, const SettingValue& value) {
            settings.agent.service = EntryName(value.text);
          }),
  TextKey("agent.targetAddress",
          SettingType::kAddress,
          "",
          "",
          kAgentRole,
          kAgentRole,
          "Where the engine or service listens for HTTP.",
          [](ProcessSettings& settings, const SettingValue& value) {
            settings.agent.address = value.text;
          }),
  TextKey("observe.logLevel",
          SettingType::kChoice,
          "debug|info|warning|error",
          "info",
          kEveryRole,
          kNoRole,
          "Events below this level are not logged; the time line keeps them all.",
          [](ProcessSettings& settings, const SettingValue& value) {
            settings.observe.logLevel = ParseLevel(value.text);
          }),
  TextKey("observe.metricsListen",
          SettingType::kListenAddress,
          "",
          "",
          kEveryRole,
          kNoRole,
          "Where /metrics and /healthz are served; without it, at process.httpListen.",
          [](ProcessSettings& settings, const SettingValue& value) {
            settings.observe.metricsListen = value.text;
          }),
  CountKey("observe.timelineEvents",
           "events",
           100,
           1'000'000,
           "5000",
           kEveryRole,
           "Newest events kept for the time line; older ones are dropped and counted.",
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
