#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gooseberrysail::test {

using Headers = std::vector<std::pair<std::string, std::string>>;

struct HttpReply
{
  unsigned status = 0; ///< 0 if there is no response; see `failure`.
  Headers headers;
  std::string body;
  bool whole = false; ///< The complete body was received, by the framing of HTTP.
  bool framed = true; ///< It has a length or chunks, so that its end is certain.
  std::string failure;

  [[nodiscard]] std::string Header(std::string_view name) const;
};

struct HttpCall
{
  std::string address; ///< "ip:port"
  std::string method = "GET";
  std::string target = "/";
  Headers headers = {};
  std::string body = {};
  std::chrono::milliseconds timeout{ 30'000 };
  /// \brief Called with the whole body received so far, each time more arrives.
  std::function<void(const std::string& soFar)> onBody = {};
};

/// \brief Makes one blocking call on a new connection.
[[nodiscard]] HttpReply Call(const HttpCall& call);

} // namespace gooseberrysail::test
