#include "gooseberrysail/serving/document.hpp"

#include "gooseberrysail/serving/host_name.hpp"
#include "gooseberrysail/serving/url_path.hpp"

#include <algorithm>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace gooseberrysail {

namespace {

Error Invalid(std::string description)
{
  return Error{ ErrorCode::kInvalid, "validate serving document", "", std::move(description) };
}

bool IsPrefix(const std::string& path)
{
  return !path.empty() && path.front() == '/' && path.back() == '/';
}

Result<void> CheckServices(const ServingDocument& document)
{
  std::unordered_set<std::string_view> names;
  for (const ServiceDefinition& service : document.services) {
    if (service.name.empty() || !names.insert(service.name).second) {
      return Invalid("service '" + service.name + "' has no name or stands twice");
    }
  }
  return outcome::success();
}

Result<void> CheckShares(const HttpRoute& route,
                         const std::unordered_set<std::string_view>& services)
{
  std::uint64_t total = 0;
  for (const RouteShare& share : route.shares) {
    if (!services.contains(share.service)) {
      return Invalid("route '" + route.name + "' names the unknown service '" + share.service +
                     "'");
    }
    total += share.weight;
  }
  if (total == 0) {
    return Invalid("route '" + route.name + "': its weights add up to 0");
  }
  return outcome::success();
}

Result<void> CheckRoutes(const ServingDocument& document)
{
  std::unordered_set<std::string_view> services;
  for (const ServiceDefinition& service : document.services) {
    services.insert(service.name);
  }
  std::set<std::pair<std::string_view, std::string_view>> hostPrefixes;
  for (const HttpRoute& route : document.routes) {
    if (route.host.empty() || !IsPrefix(route.pathPrefix)) {
      return Invalid("route '" + route.name + "' has no host, or a prefix without its slashes");
    }
    if (!hostPrefixes.emplace(route.host, route.pathPrefix).second) {
      return Invalid("route '" + route.name + "' has the host and prefix of another route");
    }
    if (route.timeout <= Duration::zero()) {
      return Invalid("route '" + route.name + "' has no positive timeout");
    }
    BOOST_OUTCOME_TRY(CheckShares(route, services));
  }
  return outcome::success();
}

Result<void> CheckPlaces(const ServingDocument& document)
{
  std::set<std::pair<std::string, std::string>> places;
  for (const HttpRoute& route : document.routes) {
    std::optional<std::string> host = ReadHostName(route.host);
    if (!host) {
      return Invalid("route '" + route.name + "': its host '" + route.host +
                     "' is no host name or address");
    }
    std::optional<std::string> prefix = ReadUrlPath(route.pathPrefix);
    if (!prefix) {
      return Invalid("route '" + route.name + "': its prefix '" + route.pathPrefix +
                     "' can't be the path of a request");
    }
    if (!places.emplace(std::move(*host), std::move(*prefix)).second) {
      return Invalid("route '" + route.name +
                     "' has the host and prefix of another route, spelled differently");
    }
  }
  return outcome::success();
}

/// Whether the credentials of a request can consist of the key.
bool IsSendable(std::string_view key)
{
  const auto isControl = [](unsigned char letter) { return letter < ' ' || letter == 0x7f; };
  return !key.empty() && key.front() != ' ' && key.back() != ' ' &&
         std::ranges::none_of(key, isControl);
}

Result<void> CheckKeys(const ServingDocument& document)
{
  for (const ServingWorkspace& workspace : document.workspaces) {
    if (!std::ranges::all_of(workspace.keys, IsSendable)) {
      return Invalid("workspace '" + workspace.name + "' has a key that no request can have");
    }
  }
  return outcome::success();
}

Result<void> CheckWorkspaces(const ServingDocument& document)
{
  std::unordered_map<std::string_view, std::string_view> owners;
  for (const ServingWorkspace& workspace : document.workspaces) {
    for (const std::string& key : workspace.keys) {
      const auto [owner, isNew] = owners.emplace(key, workspace.name);
      if (!isNew && owner->second != workspace.name) {
        return Invalid("workspaces '" + std::string(owner->second) + "' and '" + workspace.name +
                       "' share a key");
      }
    }
  }
  return outcome::success();
}

} // namespace

const EngineSpec* FindEngine(const ServingDocument& document, std::string_view service)
{
  const auto found = std::ranges::find_if(
    document.services, [&](const auto& each) { return each.name == service && each.engine; });
  return found == document.services.end() ? nullptr : &*found->engine;
}

Result<void> ValidateDocument(const ServingDocument& document)
{
  if (document.version == 0) {
    return Invalid("the version is missing or 0");
  }
  BOOST_OUTCOME_TRY(CheckServices(document));
  BOOST_OUTCOME_TRY(CheckRoutes(document));
  return CheckWorkspaces(document);
}

Result<void> ValidateNewDocument(const ServingDocument& document)
{
  BOOST_OUTCOME_TRY(CheckPlaces(document));
  return CheckKeys(document);
}

} // namespace gooseberrysail
