#pragma once

#include "gooseberrysail/admission/urgency.hpp"
#include "gooseberrysail/serving/document.hpp"

#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace gooseberrysail {

/// \brief Looks up the route and the workspace of a request in a serving document.
class RouteIndex
{
public:
  explicit RouteIndex(ServingDocument document);

  /// \brief The route of `host` with the longest matching path prefix; null when there is none.
  /// \param host Value of the Host header; see ReadHostName().
  /// \param target Path and query.
  [[nodiscard]] const HttpRoute* Match(std::string_view host, std::string_view target) const;

  /// \brief The workspace that has this key; null when there is none.
  [[nodiscard]] const ServingWorkspace* FindByKey(std::string_view key) const;

  [[nodiscard]] const ServiceDefinition* FindService(std::string_view name) const;

  /// \brief Whether requests to the service differ in their urgency.
  [[nodiscard]] bool HasUrgencies(std::string_view service) const
  {
    return m_urgencies.contains(service) && m_urgencies.find(service)->second.size() > 1;
  }

  [[nodiscard]] const ServingDocument& Document() const noexcept { return m_document; }

private:
  struct TextHash
  {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const noexcept
    {
      return std::hash<std::string_view>{}(text);
    }
  };
  template<class Value>
  using TextMap = std::unordered_map<std::string, Value, TextHash, std::equal_to<>>;

  void AddRoute(std::size_t row);

  ServingDocument m_document;
  TextMap<TextMap<std::size_t>> m_routes; ///< Index of the route by host, then by path prefix.
  TextMap<std::size_t> m_keys;
  TextMap<std::size_t> m_services;
  TextMap<std::set<Urgency>> m_urgencies; ///< By service.
};

} // namespace gooseberrysail
