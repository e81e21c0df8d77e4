#pragma once

#include "cluster.hpp"

#include <functional>

namespace review {

/// Announces a replica to control as PROTOCOL.md says: about every heartbeat interval, at another
/// process after a failure, with a count that increases.
class Heartbeat
{
public:
  /// \param fields The body of a heartbeat without `seq` and braces, at the time of each.
  Heartbeat(const Cluster& cluster,
            std::function<std::string()> id,
            std::function<std::string()> fields)
    : m_cluster(cluster)
    , m_id(std::move(id))
    , m_fields(std::move(fields))
    , m_thread([this] { Run(); })
  {
  }

  ~Heartbeat()
  {
    m_stop = true;
    m_thread.join();
  }

  /// The next heartbeat is sent at once.
  void Hurry() { m_hurry = true; }

private:
  void Run()
  {
    int next = 0;
    std::uint64_t sequence = 0;
    while (!m_stop) {
      const std::string body = "{" + m_fields() + ",\"seq\":" + std::to_string(++sequence) + "}";
      m_hurry = false;
      for (int tried = 0; tried < m_cluster.Controls() && !m_stop; ++tried) {
        const int status = Call(m_cluster.ControlHttp(next % m_cluster.Controls()),
                                "PUT /api/instances/" + m_id() + " HTTP/1.1",
                                { { "Content-Type", "application/json" } },
                                body,
                                1s)
                             .Status();
        if (status / 100 == 2) {
          break;
        }
        ++next;
      }
      const auto until = Clock::now() + Millis(m_cluster.Deployed().heartbeatMs);
      while (!m_stop && !m_hurry && Clock::now() < until) {
        std::this_thread::sleep_for(10ms);
      }
    }
  }

  const Cluster& m_cluster;
  std::function<std::string()> m_id;
  std::function<std::string()> m_fields;
  std::atomic<bool> m_stop = false;
  std::atomic<bool> m_hurry = false;
  std::thread m_thread;
};

/// Accepts connections and serves each in a thread of its own until it is destroyed.
class Listener
{
public:
  Listener(const std::string& ip, std::function<void(Connection&, const std::atomic<bool>&)> serve)
    : m_serve(std::move(serve))
  {
    m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in own = ToSockaddr({ ip, 0 });
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    if (::bind(m_descriptor, reinterpret_cast<const sockaddr*>(&own), sizeof own) != 0 ||
        ::listen(m_descriptor, 128) != 0 ||
        ::getsockname(m_descriptor, reinterpret_cast<sockaddr*>(&bound), &size) != 0) {
      throw CannotRun("a stand-in can't listen");
    }
    m_address = { ip, ntohs(bound.sin_port) };
    m_thread = std::thread([this] { Accept(); });
  }

  ~Listener()
  {
    m_stop = true;
    m_thread.join();
    for (std::thread& each : m_connections) {
      each.join();
    }
    ::close(m_descriptor);
  }

  [[nodiscard]] const Address& Own() const { return m_address; }

private:
  void Accept()
  {
    while (!m_stop) {
      pollfd state{ m_descriptor, POLLIN, 0 };
      if (::poll(&state, 1, 50) != 1) {
        continue;
      }
      const int descriptor = ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
      if (descriptor >= 0) {
        m_connections.emplace_back([this, descriptor] {
          Connection connection(descriptor);
          connection.Prepare();
          m_serve(connection, m_stop);
        });
      }
    }
  }

  std::function<void(Connection&, const std::atomic<bool>&)> m_serve;
  int m_descriptor = -1;
  Address m_address;
  std::atomic<bool> m_stop = false;
  std::vector<std::thread> m_connections;
  std::thread m_thread;
};

} // namespace review
