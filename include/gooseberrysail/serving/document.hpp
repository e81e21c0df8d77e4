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

/// \file The serving document: everything that operators say about HTTP routes, services, models
/// and workspaces, replaced as a whole by a document of a higher version.

namespace gooseberrysail {

/// \brief What a failed attempt allows.
enum class RepeatPolicy : std::uint8_t
{
  kIdempotent,      ///< May run more than once.
  kAtMostOnce,      ///< Sent again only when it certainly did not run.
  kEventStream,     ///< As kAtMostOnce; answered by a stream of events.
  kResumableStream, ///< A stream that another target may go on with after the last event.
};

[[nodiscard]] constexpr bool IsStream(RepeatPolicy policy) noexcept
{
  return policy == RepeatPolicy::kEventStream || policy == RepeatPolicy::kResumableStream;
}

/// \brief Whether a request that may have run may be sent again.
[[nodiscard]] constexpr bool MayRunAgain(RepeatPolicy policy) noexcept
{
  return policy == RepeatPolicy::kIdempotent || policy == RepeatPolicy::kResumableStream;
}

/// \brief One service of a route and its part of the route's requests.
struct RouteShare
{
  std::string service;
  std::uint32_t weight = 1;
};

struct HttpRoute
{
  std::string name;
  std::string host;       ///< Lower case, without port.
  std::string pathPrefix; ///< Begins and ends with '/'.
  RepeatPolicy repeat = RepeatPolicy::kAtMostOnce;
  Duration timeout{};   ///< Longest time until the final answer.
  Duration objective{}; ///< Time to the (first part of the) answer that callers count as on time.
  Duration longestPause{};    ///< Streams: between two events; 0: none stated.
  std::uint32_t priority = 0; ///< 0 is the most urgent.
  std::uint32_t maxAttempts = 1;
  bool isPublic = false;          ///< Needs no key.
  std::vector<RouteShare> shares; ///< At least one of positive weight.
};

/// \brief A model that groups of targets serve.
struct GroupModel
{
  std::string name;
  std::uint32_t size = 1; ///< Targets in a group.
  double share = 0;       ///< Its part of the service's work at the start, 0 to 1.
  double pace = 1;        ///< Factor on the engine's times.
  Duration loadTime{};    ///< Weights from the store.
  Duration warmTime{};    ///< Weights that the host holds already.
};

/// \brief How a service's engines work.
struct EngineSpec
{
  std::uint32_t slots = 1; ///< Requests that one group runs at once.
  std::uint64_t cacheTokens = 0;
  Duration stepTime{};
  Duration stepTimePerRequest{};
  std::uint32_t tokensPerEvent = 1; ///< Steps that a group makes between two events of a stream.
  double promptTokensPerSecond = 0;
  double loadsPerSecond = 1; ///< Loads from the weight store that may begin, all targets together.
  std::uint32_t loadsAtOnce = 1; ///< More than these at a time slow one another down.
  double usualOutputTokens = 0;  ///< Of a request, all kinds together; 0 when not known.
  Duration openTime{};           ///< From the order to open a group until it serves.
  Duration reportLag{};          ///< How old a target's answer about itself may be.
  std::vector<GroupModel> models;
};

struct ServiceDefinition
{
  std::string name;
  std::string healthPath;
  std::uint32_t maxConnections = 0;
  std::optional<EngineSpec> engine; ///< None for a plain service.
};

/// \brief A customer and the keys by which its callers are known.
struct ServingWorkspace
{
  std::string name;
  std::vector<std::string> keys;
  std::optional<std::uint32_t> priority; ///< Goes before the route's.
};

/// \brief Bounds on what callers may send.
struct CallerLimits
{
  std::uint32_t maxHeaderBytes = 16 * 1024;
  std::uint64_t maxBodyBytes = 4 * 1024 * 1024;
  Duration headerTimeout = std::chrono::seconds(3);
  Duration idleTimeout = std::chrono::seconds(15);
};

struct ServingDocument
{
  std::uint64_t version = 0;
  std::vector<HttpRoute> routes;
  std::vector<ServiceDefinition> services;
  std::vector<ServingWorkspace> workspaces;
  bool needsKeys = false; ///< Callers of routes that are not public must show a workspace's key.
  CallerLimits limits;
};

/// \brief Null when the document has no such service with engines.
[[nodiscard]] const EngineSpec* FindEngine(const ServingDocument& document,
                                           std::string_view service);

/// \brief Reads and validates a document's text.
using DocumentReader = std::function<Result<ServingDocument>(std::string_view text)>;

/// \brief Checks what must hold between the parts of a document.
/// \returns kInvalid, naming the offending part: no version, an unknown service, two routes with
/// one host and prefix, weights that add up to 0, a timeout of 0, a key of two workspaces.
[[nodiscard]] Result<void> ValidateDocument(const ServingDocument& document);

} // namespace gooseberrysail
