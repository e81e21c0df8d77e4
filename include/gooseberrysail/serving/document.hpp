#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/result.hpp"
#include "gooseberrysail/core/time.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file The serving document: the operators' configuration of HTTP routes, services, models and
/// workspaces. A document is replaced as a whole by one of a higher version.

namespace gooseberrysail {

/// \brief Whether a request may be sent again after a failed attempt.
enum class RepeatPolicy : std::uint8_t
{
  kIdempotent,      ///< May be executed more than once.
  kAtMostOnce,      ///< Sent again only if it certainly was not executed.
  kEventStream,     ///< As kAtMostOnce; the answer is a stream of events.
  kResumableStream, ///< A stream that another target can resume after the last event.
};

[[nodiscard]] constexpr bool IsStream(RepeatPolicy policy) noexcept
{
  return policy == RepeatPolicy::kEventStream || policy == RepeatPolicy::kResumableStream;
}

/// \brief Whether a request that may already have been executed may be sent again.
[[nodiscard]] constexpr bool MayRunAgain(RepeatPolicy policy) noexcept
{
  return policy == RepeatPolicy::kIdempotent || policy == RepeatPolicy::kResumableStream;
}

/// \brief One service of a route and the weight of its share of the route's requests.
struct RouteShare
{
  std::string service;
  std::uint32_t weight = 1;
};

struct HttpRoute
{
  std::string name;
  std::string host;       ///< As written; see ReadHostName().
  std::string pathPrefix; ///< As written; begins and ends with '/'. See ReadUrlPath().
  RepeatPolicy repeat = RepeatPolicy::kAtMostOnce;
  Duration timeout{};         ///< Maximum time until the answer is complete.
  Duration objective{};       ///< Time to the first part of the answer that counts as on time.
  Duration longestPause{};    ///< Streams: longest time between two events; 0: not set.
  std::uint32_t priority = 0; ///< 0 is the most urgent.
  std::uint32_t maxAttempts = 1;
  bool isPublic = false;          ///< Needs no key.
  std::vector<RouteShare> shares; ///< At least one has a positive weight.
};

/// \brief A model served by groups of targets.
struct GroupModel
{
  std::string name;
  std::uint32_t size = 1; ///< Number of targets in a group.
  double share = 0;       ///< Initial share of the service's work, 0 to 1.
  double pace = 1;        ///< Factor on the engine's step times.
  Duration loadTime{};    ///< To load weights from the store.
  Duration warmTime{};    ///< To load weights that the host already holds.
};

/// \brief Parameters of a service's engines.
struct EngineSpec
{
  std::uint32_t slots = 1; ///< Requests that one group runs at once.
  std::uint64_t cacheTokens = 0;
  Duration stepTime{};
  Duration stepTimePerRequest{};
  std::uint32_t tokensPerEvent = 1; ///< Engine steps between two events of a stream.
  double promptTokensPerSecond = 0;
  std::uint32_t promptTokensPerPass = 0; ///< Read at most between two events; 0: no limit.
  double loadsPerSecond = 1;     ///< Start rate of loads from the weight store, over all targets.
  std::uint32_t loadsAtOnce = 1; ///< More concurrent loads than this slow each other down.
  double usualOutputTokens = 0;  ///< Per request, over all kinds of requests; 0: unknown.
  Duration openTime{};           ///< From the order that opens a group until it serves.
  Duration reportLag{};          ///< Maximum age of the data in a target's report.
  std::vector<GroupModel> models;
};

struct ServiceDefinition
{
  std::string name;
  std::string healthPath;
  std::uint32_t maxConnections = 0;
  std::optional<EngineSpec> engine; ///< None for a plain service.
  Duration coldStart{};             ///< How long a target is cold after it starts or is evacuated.
  double coldPerSecond = 0; ///< Requests a second that a cold target takes; 0 for any number.
};

/// \brief A customer and the API keys of its callers.
struct ServingWorkspace
{
  std::string name;
  std::vector<std::string> keys;
  std::optional<std::uint32_t> priority; ///< Overrides the route's priority.
};

/// \brief Limits on requests of callers; zero for those that the document doesn't state.
struct CallerLimits
{
  std::uint32_t maxHeaderBytes = 0;
  std::uint64_t maxBodyBytes = 0;
  Duration headerTimeout{};
  Duration idleTimeout{};
};

struct ServingDocument
{
  std::uint64_t version = 0;
  std::vector<HttpRoute> routes;
  std::vector<ServiceDefinition> services;
  std::vector<ServingWorkspace> workspaces;
  bool needsKeys = false; ///< Requests to routes that aren't public need a workspace's key.
  CallerLimits limits;
};

/// \brief Engine parameters of a service; null if there is no such service or it has no engines.
[[nodiscard]] const EngineSpec* FindEngine(const ServingDocument& document,
                                           std::string_view service);

/// \brief Parses and validates the text of a document.
using DocumentReader = std::function<Result<ServingDocument>(std::string_view text)>;

/// \brief Checks the consistency of a document.
/// \returns kInvalid, naming the offending part: no version, an unknown service, two routes with
/// one host and prefix, weights that add up to 0, a timeout of 0, a key of two workspaces.
[[nodiscard]] Result<void> ValidateDocument(const ServingDocument& document);

/// \brief Checks what a new document must fulfil besides. A stored one may have been accepted by an
/// earlier version without it.
/// \returns kInvalid, naming the offending part: a host, a prefix or a key that no request can
/// have, two routes with two spellings of one host and prefix.
[[nodiscard]] Result<void> ValidateNewDocument(const ServingDocument& document);

} // namespace gooseberrysail
