#pragma once

#include "gooseberrysail/serving/document.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace gooseberrysail {

/// \brief Finds the route and the workspace of a request in one document.
class RouteIndex
{
public:
  explicit RouteIndex(ServingDocument document);

  /// \brief The route of `host` with the longest prefix of the path; null when there is none.
  /// \param host As in the Host header; a port and the case of letters do not count.
  /// \param target Path and query.
  [[nodiscard]] const HttpRoute* Match(std::string_view host, std::string_view target) const;

  /// \brief Whose key this is; null when nobody's.
  [[nodiscard]] const ServingWorkspace* FindByKey(std::string_view key) const;

  [[nodiscard]] const ServiceDefinition* FindService(std::string_view name) const;

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

  ServingDocument m_document;
  TextMap<TextMap<std::size_t>> m_routes; ///< Host, then prefix: the route's place.
  TextMap<std::size_t> m_keys;
  TextMap<std::size_t> m_services;
};

} // namespace gooseberrysail
