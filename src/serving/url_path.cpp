#include "gooseberrysail/serving/url_path.hpp"

#include <boost/url/encode.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/rfc/pchars.hpp>
#include <boost/url/url_view.hpp>

namespace gooseberrysail {

namespace urls = boost::urls;

std::optional<std::string> ReadUrlPath(std::string_view path)
{
  const auto url = urls::parse_origin_form(urls::string_view(path.data(), path.size()));
  if (!url || url->has_query()) {
    return std::nullopt;
  }
  if (path.find('%') == std::string_view::npos) {
    return std::string(path);
  }
  std::string normal;
  for (const std::string& segment : url->segments()) {
    normal += '/';
    normal += urls::encode(segment, urls::pchars);
  }
  return normal;
}

} // namespace gooseberrysail
