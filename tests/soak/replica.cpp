#include "soak/replica.hpp"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>

namespace gooseberrysail::soak {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using namespace std::chrono_literals;

constexpr auto kHeartbeat = 400ms;
constexpr auto kModelHeartbeat = 100ms;
constexpr std::size_t kEvents = 10;
constexpr std::size_t kEventsOfLong = 29;
constexpr std::size_t kEventsOfLongest = 80;
constexpr std::size_t kEventsOfLasting = 116;
constexpr auto kTimeBetweenEvents = 25ms;
constexpr auto kTimeBetweenPooledEvents = 50ms;
constexpr const char* kEventStream = "text/event-stream";
constexpr const char* kNotExecuted = "X-Not-Executed";
constexpr auto kServiceTime = 10ms;
constexpr auto kTimeBetweenParts = 5ms;
constexpr std::size_t kPadding = 3000;

tcp::endpoint Loopback()
{
  return { boost::asio::ip::make_address("127.0.0.1"), 0 };
}

std::string EventFor(const std::string& id, std::size_t number)
{
  return "id: " + std::to_string(number) + "\ndata: answer to " + id + "\n\n";
}

std::size_t CountEvents(const std::string& id)
{
  if (id.ends_with(kLongStreamSuffix)) {
    return kEventsOfLong;
  }
  if (id.ends_with(kLastingStreamSuffix)) {
    return kEventsOfLasting;
  }
  return id.ends_with(kLongestStreamSuffix) ? kEventsOfLongest : kEvents;
}

/// The number of the first event that the caller has not received.
std::size_t FirstEvent(std::string_view lastEventId)
{
  std::size_t last = 0;
  std::from_chars(lastEventId.data(), lastEventId.data() + lastEventId.size(), last);
  return last + 1;
}

} // namespace

std::string EventsFor(const std::string& id)
{
  std::string events;
  for (std::size_t number = 1; number <= CountEvents(id); ++number) {
    events += EventFor(id, number);
  }
  return events;
}

std::string AnswerTo(const std::string& id)
{
  return "answer to " + id + " " + std::string(kPadding, 'x') + " end of " + id;
}

bool IsStream(const test::HttpReply& reply)
{
  return reply.Header("Content-Type") == kEventStream;
}

bool IsAnswerTo(const std::string& id, const test::HttpReply& reply)
{
  const std::string answer = IsStream(reply) ? EventsFor(id) : AnswerTo(id);
  const bool fits = reply.framed ? reply.body == answer : answer.starts_with(reply.body);
  return reply.whole && fits && reply.Header("X-Response-Seal").ends_with("." + id);
}

bool IsBeginOfAnswerTo(const std::string& id, const test::HttpReply& reply)
{
  const std::string answer = IsStream(reply) ? EventsFor(id) : AnswerTo(id);
  return !reply.whole && answer.starts_with(reply.body) &&
         reply.Header("X-Response-Seal").ends_with("." + id);
}

Replica::Replica(std::string name,
                 std::vector<std::string> controls,
                 Ledger& ledger,
                 std::uint64_t seed,
                 const std::string& model)
  : Replica(std::move(name),
            std::move(controls),
            ledger,
            seed,
            model.empty() ? "desk" : "hall",
            model.empty() ? nullptr
                          : std::make_unique<GroupMember>(std::vector<std::string>{ model },
                                                          std::make_shared<GroupBoard>()))
{
}

Replica::Replica(std::string name,
                 std::vector<std::string> controls,
                 Ledger& ledger,
                 std::uint64_t seed,
                 std::string service,
                 std::unique_ptr<GroupMember> member)
  : m_name(std::move(name))
  , m_service(std::move(service))
  , m_member(std::move(member))
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
  if (m_member) {
    m_member->Restart();
  }
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
    http::request_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    boost::system::error_code error;
    http::read(socket, buffer, parser, error);
    if (error) {
      break;
    }
    const Request request = parser.release();
    const bool isForThis = std::string(request["X-Expect-Instance"]) == Instance();
    if (isForThis && !m_crashBody.empty() && request.body() == m_crashBody) {
      Crash();
      break;
    }
    const bool isOfControl = m_member && request.target().starts_with("/api/");
    if (!(isOfControl ? AnswerControl(socket, request) : Answer(socket, request))) {
      break;
    }
  }
  boost::system::error_code ignored;
  socket.shutdown(tcp::socket::shutdown_both, ignored);
}

bool Replica::AnswerControl(Socket& socket, const Request& request)
{
  Response answer;
  if (std::string(request["X-Expect-Instance"]) != Instance()) {
    answer.result(http::status::misdirected_request);
  } else if (request.target() == "/api/order") {
    answer.result(m_member->OnOrder(request.body(), Instance()));
  } else if (const ReportFault fault = m_reportFault; fault != ReportFault::kNone) {
    ++m_faultyReports;
    SendFaultyReport(socket, fault);
    return false;
  } else {
    answer.set(http::field::content_type, "application/json");
    answer.body() = R"({"busy":false,"pace":1.0,"seq":1,"queued":0,"running":0,"kvUsed":0,)"
                    R"("kvTotal":100000,"handles":0,)" +
                    m_member->ReportFields() + "}";
  }
  answer.prepare_payload();
  m_silence.Wait();
  boost::system::error_code error;
  http::write(socket, answer, error);
  return !error;
}

void Replica::SendFaultyReport(Socket& socket, ReportFault fault)
{
  constexpr std::size_t kChunk = std::size_t{ 64 } * 1024;
  const std::string framing = fault == ReportFault::kEndlessChunks
                                ? "Transfer-Encoding: chunked"
                                : "Content-Length: 1000000000000";
  std::string bytes =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + framing + "\r\n\r\n";
  boost::system::error_code error;
  while (!error && !m_stop && m_reportFault == fault) {
    boost::asio::write(socket, boost::asio::buffer(bytes), error);
    if (fault == ReportFault::kEndlessChunks) {
      bytes = "10000\r\n" + std::string(kChunk, ' ') + "\r\n";
    } else if (fault == ReportFault::kEndlessBody) {
      bytes.assign(kChunk, ' ');
    } else {
      bytes = " ";
      std::this_thread::sleep_for(100ms);
    }
  }
}

Replica::Response Replica::Check(const Request& request)
{
  Response answer;
  answer.set("X-Request-Id", request["X-Request-Id"]);
  if (std::string(request["X-Expect-Instance"]) != Instance() ||
      (m_member && !m_member->IsOpen())) {
    answer.result(http::status::misdirected_request);
    return answer;
  }
  if (m_isLeaving) {
    answer.set("Server-Leaving", "1");
  }
  if (const std::string retryAfter = RetryAfter(); !retryAfter.empty()) {
    ++m_rejections;
    answer.result(http::status::service_unavailable);
    answer.set("Retry-After", retryAfter);
  }
  return answer;
}

bool Replica::Answer(Socket& socket, const Request& request)
{
  Response answer = Check(request);
  if (answer.result() != http::status::ok) {
    return Reject(socket, std::move(answer));
  }
  if (!m_member) {
    return Execute(socket, request, std::move(answer));
  }
  const std::optional<GroupBoard::Group> group = m_member->BeginWork(request["X-Model"]);
  if (!group) {
    answer.result(http::status::misdirected_request);
    return Reject(socket, std::move(answer));
  }
  const bool isWhole = Execute(socket, request, std::move(answer));
  m_member->EndWork(*group);
  return isWhole;
}

bool Replica::Execute(Socket& socket, const Request& request, Response answer)
{
  const std::string id(request["X-Request-Id"]);
  const std::string instance = Instance();
  m_ledger.OnRun(id, instance);
  ++m_runs;
  if (request.count(http::field::authorization) != 0) {
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
  if (DrawWithProbability(m_unstatedRefusalRate)) {
    ++m_untrueAnswers;
    answer.result(m_unstatedRefusalStatus);
    answer.prepare_payload();
    return SendInParts(socket, answer, false);
  }
  if (DrawWithProbability(m_contradictionRate)) {
    ++m_untrueAnswers;
    answer.set(kNotExecuted, "1");
  }
  const bool isTruncated = DrawWithProbability(m_answerTruncationRate);
  bool isSent = false;
  if (m_member || m_isStreaming) {
    isSent = SendEvents(socket, answer, id, FirstEvent(request["Last-Event-Id"]), isTruncated);
  } else {
    answer.body() = request.target() == m_answeredPath ? m_answer : AnswerTo(id);
    if (m_isUnframed) {
      answer.keep_alive(false);
    } else {
      answer.prepare_payload();
    }
    isSent = SendInParts(socket, answer, isTruncated);
  }
  if (isTruncated) {
    m_ledger.OnReplicaBrokeOff(id);
  }
  return isSent && !m_isUnframed;
}

bool Replica::Reject(Socket& socket, Response response)
{
  response.set(kNotExecuted, "1");
  if (DrawWithProbability(m_repeatedStatementRate)) {
    response.insert(kNotExecuted, "1");
  }
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

bool Replica::SendEvent(Socket& socket, const std::string& event)
{
  boost::system::error_code error;
  if (!m_isUnframed) {
    boost::asio::write(socket, http::make_chunk(boost::asio::buffer(event)), error);
    return !error;
  }
  const boost::asio::const_buffer bytes = boost::asio::buffer(event);
  boost::asio::write(socket, boost::asio::buffer(bytes, bytes.size() / 2), error);
  std::this_thread::sleep_for(kTimeBetweenParts);
  boost::asio::write(socket, bytes + bytes.size() / 2, error);
  return !error;
}

bool Replica::SendEvents(Socket& socket,
                         const Response& response,
                         const std::string& id,
                         std::size_t first,
                         bool isTruncated)
{
  http::response<http::empty_body> head(response.base());
  head.set(http::field::content_type, kEventStream);
  head.chunked(!m_isUnframed);
  head.keep_alive(!m_isUnframed);
  http::response_serializer<http::empty_body> serializer(head);
  boost::system::error_code error;
  m_silence.Wait();
  http::write_header(socket, serializer, error);
  const std::size_t last = isTruncated ? (first + CountEvents(id)) / 2 : CountEvents(id);
  const auto interval = CountEvents(id) == kEvents ? kTimeBetweenEvents : kTimeBetweenPooledEvents;
  bool isSent = !error;
  for (std::size_t number = first; number <= last && isSent; ++number) {
    std::this_thread::sleep_for(interval);
    m_silence.Wait();
    isSent = SendEvent(socket, EventFor(id, number));
  }
  if (isSent && !isTruncated && !m_isUnframed) {
    boost::asio::write(socket, http::make_chunk_last(), error);
  }
  return isSent && !error && !isTruncated;
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
      call.body = R"({"service":")" + m_service + R"(","address":")" + m_relay->Address() +
                  R"(","zone":"a","version":"v1","slots":)" + std::to_string(m_slots) +
                  R"(,"state":")" + (m_isDraining ? "draining" : "ready") + R"(","seq":)" +
                  std::to_string(sequence) + (m_member ? "," + m_member->ReportFields() : "") + "}";
      call.timeout = 500ms;
      if (test::Call(call).status == 200) {
        break;
      }
      ++next;
    }
    std::this_thread::sleep_for(m_member ? kModelHeartbeat : kHeartbeat);
  }
}

} // namespace gooseberrysail::soak
