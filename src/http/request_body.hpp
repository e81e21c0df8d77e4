#pragma once

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>

namespace gooseberrysail::impl {

/// \brief A body for a request parser, of which memory is taken as it arrives.
/// \remarks Beast's string_body reserves the announced length at once.
struct RequestBody
{
  using value_type = std::string; // NOLINT(readability-identifier-naming): Beast's names.

  class reader // NOLINT(readability-identifier-naming)
  {
  public:
    template<bool isRequest, class Fields>
    reader(boost::beast::http::header<isRequest, Fields>& /*head*/, std::string& body)
      : m_body(body)
    {
    }

    void init(const boost::optional<std::uint64_t>& length, // NOLINT(readability-identifier-naming)
              boost::beast::error_code& error)
    {
      error = {};
      if (length) {
        m_length = static_cast<std::size_t>(*length);
      }
    }

    template<class Buffers>
    std::size_t put(const Buffers& buffers, // NOLINT(readability-identifier-naming)
                    boost::beast::error_code& error)
    {
      error = {};
      const std::size_t size = boost::asio::buffer_size(buffers);
      const std::size_t needed = m_body.size() + size;
      if (needed > m_body.capacity()) {
        m_body.reserve(std::max(needed, std::min(2 * m_body.capacity(), m_length)));
      }
      for (const auto part : boost::beast::buffers_range_ref(buffers)) {
        m_body.append(static_cast<const char*>(part.data()), part.size());
      }
      return size;
    }

    void finish(boost::beast::error_code& error) // NOLINT(readability-identifier-naming)
    {
      error = {};
    }

  private:
    std::string& m_body;
    std::size_t m_length = std::numeric_limits<std::size_t>::max();
  };
};

} // namespace gooseberrysail::impl
