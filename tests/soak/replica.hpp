#pragma once

#include "soak/ledger.hpp"
#include "support/relay_thread.hpp"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <list>
#include <memory>
#include <random>
#include <thread>

namespace gooseberrysail::soak {

/// \brief A replica of a plain service that announces itself to control, behind a relay.
/// \remarks Speaks the platform's protocol as its pages tell it: refuses what names another life of
/// it, echoes the request's id, seals its answers.
class Replica
{
public:
  Replica(std::string name, std::vector<std::string> controls, Ledger& ledger, std::uint64_t seed);
  ~Replica();
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  /// \brief Another life at the same address: open connections break, the id is new.
  void Restart();
  /// \brief Part of the requests that run and whose answer is lost, 0 to 1.
  void LoseAnswers(double part) { m_losesAnswers = part; }
  /// \brief Part of the answers that end in the middle, 0 to 1.
  void BreakAnswers(double part) { m_breaksAnswers = part; }
  [[nodiscard]] test::RelayThread& Relay() { return *m_relay; }

private:
  using Socket = boost::asio::ip::tcp::socket;

  struct Connection
  {
    std::shared_ptr<Socket> socket;
    std::thread thread;
  };

  void Accept();
  void Serve(Socket& socket);
  /// \returns False when the connection must end.
  bool Answer(Socket& socket, const std::string& id, bool isOther, bool hasKey);
  void Announce();
  [[nodiscard]] std::string Instance() const;
  [[nodiscard]] bool Draw(double part);
  void CloseConnections();

  std::string m_name;
  std::vector<std::string> m_controls;
  Ledger& m_ledger;
  boost::asio::io_context m_io;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::unique_ptr<test::RelayThread> m_relay;
  std::atomic<std::uint64_t> m_life = 1;
  std::atomic<double> m_losesAnswers = 0;
  std::atomic<double> m_breaksAnswers = 0;
  std::atomic<bool> m_stop = false;
  std::mutex m_mutex; ///< Guards what follows.
  std::mt19937_64 m_random;
  std::list<Connection> m_connections;
  std::thread m_acceptThread;
  std::thread m_announceThread;
};

/// \brief The whole answer to a request, which callers compare.
[[nodiscard]] std::string AnswerTo(const std::string& id);

} // namespace gooseberrysail::soak
