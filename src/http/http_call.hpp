#pragma once

#include "gooseberrysail/http/http_client.hpp"
#include "net/deadline.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace gooseberrysail::impl {

/// \brief Callbacks for the response parts or the failure of one call.
struct HttpCallHooks
{
  std::function<void(TargetAnswerIn)> onAnswer;
  std::function<void(TargetFailedIn)> onFailed;
  std::function<bool(ExchangeId caller)> isCallerConnected = {}; ///< May be empty.
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

  /// \brief Uses an idle connection instead of opening a new one.
  void Reuse(boost::asio::ip::tcp::socket socket);

  /// \brief Makes the call; runs in a fiber of its own.
  /// \returns Whether the connection can be reused for another call.
  bool Run();

  /// \brief Closes the connection; the hooks are not called any more.
  void Cancel();

  /// \brief Fails the call as withdrawn unless its request has begun to be sent.
  void Withdraw();

  [[nodiscard]] const std::string& Address() const noexcept { return m_address; }
  [[nodiscard]] const ExchangeId& Exchange() const noexcept { return m_call.exchange; }
  [[nodiscard]] boost::asio::ip::tcp::socket TakeSocket() noexcept { return std::move(m_socket); }

private:
  bool BeginSending();
  [[nodiscard]] bool IsWanted() const;
  bool Connect();
  bool SendRequest();
  bool ReadAnswer();
  bool Fail(ErrorCode code, std::string step, std::string description, bool neverSent);
  bool FailRead(const boost::system::error_code& error);
  bool Deliver(TargetAnswerIn part);
  void ArmTimeout(Duration timeout);
  /// \brief Awaits an operation; once it has completed, the timeout has no effect.
  template<class Start>
  std::pair<boost::system::error_code, std::size_t> AwaitInTime(Start&& start);

  const HttpClientSettings& m_settings;
  std::string m_address;
  TargetCallOut m_call;
  HttpCallHooks m_hooks;
  boost::asio::ip::tcp::socket m_socket;
  boost::beast::flat_buffer m_buffer;
  Deadline m_deadline;
  bool m_reused = false;
  bool m_timedOut = false;
  bool m_cancelled = false;
  bool m_isSending = false;   ///< The target may have bytes of the request.
  bool m_isWithdrawn = false; ///< Ended before that by the caller of Withdraw.
};

} // namespace gooseberrysail::impl
