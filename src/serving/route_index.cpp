#include "gooseberrysail/serving/route_index.hpp"

#include "gooseberrysail/serving/host_name.hpp"
#include "gooseberrysail/serving/url_path.hpp"

namespace gooseberrysail {

RouteIndex::RouteIndex(ServingDocument document)
  : m_document(std::move(document))
{
  for (std::size_t row = 0; row < m_document.routes.size(); ++row) {
    AddRoute(row);
  }
  for (std::size_t row = 0; row < m_document.workspaces.size(); ++row) {
    for (const std::string& key : m_document.workspaces[row].keys) {
      if (!key.empty()) { // A request without a key has the empty one.
        m_keys.emplace(key, row);
      }
    }
  }
  for (std::size_t row = 0; row < m_document.services.size(); ++row) {
    m_services.emplace(m_document.services[row].name, row);
  }
  for (const HttpRoute& route : m_document.routes) {
    for (const RouteShare& share : route.shares) {
      std::set<Urgency>& urgencies = m_urgencies[share.service];
      urgencies.insert(route.priority);
      for (const ServingWorkspace& workspace : m_document.workspaces) {
        urgencies.insert(UrgencyOf(workspace.priority, route.priority));
      }
    }
  }
}

// Documents of earlier versions may have hosts and prefixes that can't be read, and several
// spellings of one. Then the normal spelling counts, which was the one that matched.
void RouteIndex::AddRoute(std::size_t row)
{
  const HttpRoute& route = m_document.routes[row];
  const std::optional<std::string> host = ReadHostName(route.host);
  if (!host) {
    return;
  }
  const std::string prefix = ReadUrlPath(route.pathPrefix).value_or(route.pathPrefix);
  const auto [found, isNew] = m_routes[*host].emplace(prefix, row);
  if (!isNew && *host == route.host && prefix == route.pathPrefix) {
    found->second = row;
  }
}

const HttpRoute* RouteIndex::Match(std::string_view host, std::string_view target) const
{
  const std::optional<std::string> name = ReadHostName(host);
  const auto routes = name ? m_routes.find(*name) : m_routes.end();
  if (routes == m_routes.end()) {
    return nullptr;
  }
  // Prefixes end with a slash, so that each slash of the path ends one candidate; longest first.
  std::string_view path = target.substr(0, target.find('?'));
  std::optional<std::string> normalPath;
  if (path.find('%') != std::string_view::npos) {
    normalPath = ReadUrlPath(path);
    path = normalPath ? std::string_view(*normalPath) : path;
  }
  while (!path.empty()) {
    const std::size_t slash = path.rfind('/');
    if (slash == std::string_view::npos) {
      return nullptr;
    }
    path = path.substr(0, slash + 1);
    if (const auto found = routes->second.find(path); found != routes->second.end()) {
      return &m_document.routes[found->second];
    }
    path.remove_suffix(1);
  }
  return nullptr;
}

const ServingWorkspace* RouteIndex::FindByKey(std::string_view key) const
{
  const auto found = m_keys.find(key);
  return found == m_keys.end() ? nullptr : &m_document.workspaces[found->second];
}

const ServiceDefinition* RouteIndex::FindService(std::string_view name) const
{
  const auto found = m_services.find(name);
  return found == m_services.end() ? nullptr : &m_document.services[found->second];
}

} // namespace gooseberrysail
