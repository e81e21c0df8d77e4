#pragma once

#include "gooseberrysail/http/http_client.hpp"
#include "net/deadline.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gooseberrysail::impl {

/// \brief Callbacks for the response parts or the failure of one call.
struct HttpCallHooks
{
  std::function<void(TargetAnswerIn)> onAnswer;
  std::function<void(TargetFailedIn)> onFailed;
  std::function<bool(ExchangeId caller)> isCallerConnected = {}; ///< May be empty.
};

/// \brief A connection that can be used for further calls.
struct KeptConnection
{
  boost::asio::ip::tcp::socket socket;
  std::vector<std::uint64_t> carried; ///< Hashes of the ids of the requests that it has carried.
};

/// \brief One HTTP request and its response, over one connection.
class HttpCall : public std::enable_shared_from_this<HttpCall>
{
public:
  HttpCall(boost::asio::io_context& io,
           const HttpClientSettings& settings,
           std::string address,
           TargetCallOut call,
           HttpCallHooks hooks);

  /// \brief Whether a late response to an earlier request could not be told from one to this call.
  [[nodiscard]] bool IsAmbiguousOn(const KeptConnection& connection) const;

  /// \brief Uses an idle connection instead of opening a new one.
  void Reuse(KeptConnection connection);

  /// \brief Makes the call; runs in a fiber of its own.
  /// \returns Whether the connection can be reused for another call.
  bool Run();

  /// \brief Closes the connection; the hooks are not called any more.
  void Cancel();

  /// \brief Fails the call as withdrawn unless its request has begun to be sent.
  void Withdraw();

  [[nodiscard]] const std::string& Address() const noexcept { return m_address; }
  [[nodiscard]] const ExchangeId& Exchange() const noexcept { return m_call.exchange; }
  /// \brief The connection, for further calls.
  [[nodiscard]] KeptConnection TakeConnection();

private:
  bool BeginSending();
  [[nodiscard]] bool IsWanted() const;
  bool Connect();
  bool SendRequest();
  bool ReadAnswer();
  bool Fail(ErrorCode code, std::string step, std::string description, bool neverSent);
  bool FailRead(const boost::system::error_code& error);
  /// \param answeredId The id of the request that the response names; "" for none.
  [[nodiscard]] bool IsIdentified(std::string_view answeredId) const;
  bool Deliver(TargetAnswerIn part);
  void ArmTimeout(Duration timeout);
  void ArmTotalTimeout();
  [[nodiscard]] bool IsTooLong(std::uint64_t bodyBytes) const
  {
    return m_call.maxAnswerBytes != 0 && bodyBytes > m_call.maxAnswerBytes;
  }
  bool FailTooLong();
  /// \brief Awaits an operation; once it has completed, the timeout has no effect.
  template<class Start>
  std::pair<boost::system::error_code, std::size_t> AwaitInTime(Start&& start);

  const HttpClientSettings& m_settings;
  std::string m_address;
  TargetCallOut m_call;
  HttpCallHooks m_hooks;
  boost::asio::ip::tcp::socket m_socket;
  std::string m_requestId;              ///< "" if the call bears none.
  std::vector<std::uint64_t> m_carried; ///< By the connection before this call.
  boost::beast::flat_buffer m_buffer;
  Deadline m_deadline;
  Deadline m_totalDeadline;
  bool m_reused = false;
  bool m_timedOut = false;
  bool m_isOverdue = false; ///< Timed out although bytes came.
  bool m_isReading = false; ///< Waits for bytes that have not been taken from the socket.
  bool m_cancelled = false;
  bool m_isSending = false;   ///< The target may have bytes of the request.
  bool m_isWithdrawn = false; ///< Ended before that by the caller of Withdraw.
};

} // namespace gooseberrysail::impl
