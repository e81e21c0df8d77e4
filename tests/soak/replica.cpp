#include "soak/replica.hpp"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace gooseberrysail::soak {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using namespace std::chrono_literals;

constexpr auto kHeartbeat = 400ms;
constexpr auto kServiceTime = 10ms;
constexpr auto kTimeBetweenParts = 5ms;
constexpr std::size_t kPadding = 3000;

tcp::endpoint Loopback()
{
  return { boost::asio::ip::make_address("127.0.0.1"), 0 };
}

} // namespace

std::string AnswerTo(const std::string& id)
{
  return "answer to " + id + " " + std::string(kPadding, 'x') + " end of " + id;
}

bool IsAnswerTo(const std::string& id, const test::HttpReply& reply)
{
  const std::string answer = AnswerTo(id);
  const bool fits = reply.framed ? reply.body == answer : answer.starts_with(reply.body);
  return reply.whole && fits && reply.Header("X-Response-Seal").ends_with("." + id);
}

Replica::Replica(std::string name,
                 std::vector<std::string> controls,
                 Ledger& ledger,
                 std::uint64_t seed)
  : m_name(std::move(name))
  , m_controls(std::move(controls))
  , m_ledger(ledger)
  , m_acceptor(m_io, Loopback())
  , m_random(seed)
{
  const std::string own = "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  m_relay = std::make_unique<test::RelayThread>(own);
  m_acceptThread = std::thread([this] { Accept(); });
  m_announceThread = std::thread([this] { Announce(); });
}

Replica::~Replica()
{
  m_stop = true;
  m_silence.End();
  // Closing the socket doesn't interrupt a blocked accept; a connection does.
  Socket wake(m_io);
  boost::system::error_code ignored;
  wake.connect(m_acceptor.local_endpoint(), ignored);
  m_acceptThread.join();
  m_announceThread.join();
  CloseConnections();
}

void Replica::Restart()
{
  ++m_generation;
  m_silence.End();
  CloseConnections();
}

void Replica::CloseConnections()
{
  std::list<Connection> closing;
  {
    const std::scoped_lock lock(m_mutex);
    closing.swap(m_connections);
  }
  for (Connection& connection : closing) {
    boost::system::error_code ignored;
    connection.socket->shutdown(tcp::socket::shutdown_both, ignored);
    connection.thread.join();
  }
}

void Replica::Crash()
{
  ++m_crashes;
  ++m_generation;
  m_silence.End();
  const std::scoped_lock lock(m_mutex);
  for (Connection& connection : m_connections) {
    boost::system::error_code ignored;
    connection.socket->shutdown(tcp::socket::shutdown_both, ignored);
  }
}

std::string Replica::Instance() const
{
  return m_name + "-" + std::to_string(m_generation);
}

bool Replica::DrawWithProbability(double probability)
{
  const std::scoped_lock lock(m_mutex);
  return std::uniform_real_distribution<>(0, 1)(m_random) < probability;
}

void Replica::Accept()
{
  while (!m_stop) {
    auto socket = std::make_shared<Socket>(m_io);
    boost::system::error_code error;
    m_acceptor.accept(*socket, error);
    if (error || m_stop) {
      continue;
    }
    const std::scoped_lock lock(m_mutex);
    m_connections.push_back({ socket, std::thread([this, socket] { Serve(*socket); }) });
  }
}

void Replica::Serve(Socket& socket)
{
  const std::uint64_t generation = m_generation;
  boost::beast::flat_buffer buffer;
  while (!m_stop && m_generation == generation) {
    http::request<http::string_body> request;
    boost::system::error_code error;
    http::read(socket, buffer, request, error);
    if (error) {
      break;
    }
    const std::string id(request["X-Request-Id"]);
    const bool isForOtherInstance = std::string(request["X-Expect-Instance"]) != Instance();
    const bool hasKey = request.count(http::field::authorization) != 0;
    if (!isForOtherInstance && !m_crashBody.empty() && request.body() == m_crashBody) {
      Crash();
      break;
    }
    if (!Answer(socket, id, isForOtherInstance, hasKey)) {
      break;
    }
  }
  boost::system::error_code ignored;
  socket.shutdown(tcp::socket::shutdown_both, ignored);
}

bool Replica::Answer(Socket& socket, const std::string& id, bool isForOtherInstance, bool hasKey)
{
  Response answer;
  answer.set("X-Request-Id", id);
  if (isForOtherInstance) {
    answer.result(http::status::misdirected_request);
    return Reject(socket, std::move(answer));
  }
  if (m_isLeaving) {
    answer.set("Server-Leaving", "1");
  }
  if (const std::string retryAfter = RetryAfter(); !retryAfter.empty()) {
    ++m_rejections;
    answer.result(http::status::service_unavailable);
    answer.set("Retry-After", retryAfter);
    return Reject(socket, std::move(answer));
  }
  const std::string instance = Instance();
  m_ledger.OnRun(id, instance);
  ++m_runs;
  if (hasKey) {
    m_ledger.OnLeak(id, "the API key of its caller");
  }
  std::this_thread::sleep_for(kServiceTime);
  if (DrawWithProbability(m_answerLossRate)) {
    m_ledger.OnReplicaBrokeOff(id);
    return false;
  }
  answer.set("X-Response-Seal", instance + "." + id);
  if (!m_limit.empty()) {
    answer.set("Server-Limit", m_limit);
  }
  answer.body() = AnswerTo(id);
  if (m_isUnframed) {
    answer.keep_alive(false);
  } else {
    answer.prepare_payload();
  }
  const bool isTruncated = DrawWithProbability(m_answerTruncationRate);
  const bool isSent = SendInParts(socket, answer, isTruncated);
  if (isTruncated) {
    m_ledger.OnReplicaBrokeOff(id);
  }
  return isSent && !m_isUnframed;
}

bool Replica::Reject(Socket& socket, Response response)
{
  response.set("X-Not-Executed", "1");
  response.prepare_payload();
  m_silence.Wait();
  boost::system::error_code error;
  http::write(socket, response, error);
  return !error;
}

bool Replica::SendInParts(Socket& socket, const Response& response, bool isTruncated)
{
  boost::beast::flat_buffer whole;
  boost::beast::ostream(whole) << response;
  const boost::asio::const_buffer bytes = whole.cdata();
  boost::system::error_code error;
  m_silence.Wait();
  boost::asio::write(socket, boost::asio::buffer(bytes, bytes.size() / 2), error);
  if (error || isTruncated) {
    return false;
  }
  std::this_thread::sleep_for(kTimeBetweenParts);
  m_silence.Wait();
  boost::asio::write(socket, bytes + bytes.size() / 2, error);
  return !error;
}

void Replica::SetRetryAfter(std::string seconds)
{
  const std::scoped_lock lock(m_mutex);
  m_retryAfter = std::move(seconds);
}

std::string Replica::RetryAfter()
{
  const std::scoped_lock lock(m_mutex);
  return m_retryAfter;
}

void Replica::Announce()
{
  std::uint64_t sequence = 0;
  std::size_t next = 0;
  while (!m_stop) {
    ++sequence;
    for (std::size_t tried = 0; tried < m_controls.size(); ++tried) {
      test::HttpCall call{ .address = m_controls[next % m_controls.size()], .method = "PUT" };
      call.target = "/api/instances/" + Instance();
      call.headers = { { "Content-Type", "application/json" } };
      call.body = R"({"service":"desk","address":")" + m_relay->Address() +
                  R"(","zone":"a","version":"v1","slots":6,"state":"ready","seq":)" +
                  std::to_string(sequence) + "}";
      call.timeout = 500ms;
      if (test::Call(call).status == 200) {
        break;
      }
      ++next;
    }
    std::this_thread::sleep_for(kHeartbeat);
  }
}

} // namespace gooseberrysail::soak
