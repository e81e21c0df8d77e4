#pragma once

#include "soak/group_member.hpp"
#include "soak/ledger.hpp"
#include "soak/silence.hpp"
#include "support/http_call.hpp"
#include "support/relay_thread.hpp"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <list>
#include <memory>
#include <random>
#include <thread>

namespace gooseberrysail::soak {

/// \brief How a replica answers control's questions for its report.
enum class ReportFault : std::uint8_t
{
  kNone,
  kEndlessChunks, ///< Chunks without end, until the connection is closed.
  kEndlessBody,   ///< The same, of a body of an announced length.
  kSlow,          ///< One byte each 100 ms.
};

/// \brief A replica of a plain service, or of a model, that announces itself to control, behind a
/// relay.
/// \remarks Implements the documented protocol of the platform: refuses requests that expect
/// another instance, returns the id of the request, and seals its answers.
class Replica
{
public:
  /// \param model The model whose requests it streams; "" for a plain service.
  Replica(std::string name,
          std::vector<std::string> controls,
          Ledger& ledger,
          std::uint64_t seed,
          const std::string& model = {});
  /// \brief A replica of a service with models, in groups of their sizes.
  Replica(std::string name,
          std::vector<std::string> controls,
          Ledger& ledger,
          std::uint64_t seed,
          std::string service,
          std::unique_ptr<GroupMember> member);
  ~Replica();
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  /// \brief Closes all connections and continues as a new instance at the same address.
  void Restart();
  /// \brief Sets the share of requests that run and get no answer, 0 to 1.
  void SetAnswerLossRate(double rate) { m_answerLossRate = rate; }
  /// \brief Sets the share of answers that are truncated, 0 to 1.
  void SetAnswerTruncationRate(double rate) { m_answerTruncationRate = rate; }
  /// \brief Sets the share of requests that it runs and answers with a status that promises the
  /// contrary, 0 to 1. The answers bear id and seal, and don't state that the request did not run.
  void SetUnstatedRefusals(double rate, unsigned status)
  {
    m_unstatedRefusalStatus = status;
    m_unstatedRefusalRate = rate;
  }
  /// \brief Sets the share of successful answers that state that the request did not run, 0 to 1.
  void SetContradictionRate(double rate) { m_contradictionRate = rate; }
  /// \brief Sets the share of rejections that state twice that the request did not run, 0 to 1.
  void SetRepeatedStatementRate(double rate) { m_repeatedStatementRate = rate; }
  /// \brief Lets its answers have neither length nor chunks, and end with their connections.
  void SetUnframed() { m_isUnframed = true; }
  /// \brief Lets a replica of a plain service stream its answers, as one of a model does.
  void SetStreaming() { m_isStreaming = true; }
  /// \brief Sets the body of its answers to requests for a path, which are no streams.
  void SetAnswer(std::string path, std::string body)
  {
    m_answeredPath = std::move(path);
    m_answer = std::move(body);
  }
  /// \brief Sets the body of requests that crash the replica when it runs them.
  void SetCrashBody(std::string body) { m_crashBody = std::move(body); }
  /// \brief Sets the requests a second that its answers name as its limit; "" for none.
  void SetLimit(std::string limit) { m_limit = std::move(limit); }
  /// \brief Sets the seconds for which it asks its callers to back off while it rejects all
  /// requests;
  /// "" while it runs them.
  void SetRetryAfter(std::string seconds);
  /// \brief Sets the number of requests that it announces to run at a time.
  void SetSlots(std::size_t slots) { m_slots = slots; }
  void SetReportFault(ReportFault fault) { m_reportFault = fault; }
  /// \brief How many questions it has begun to answer by a fault.
  [[nodiscard]] std::uint64_t FaultyReports() const { return m_faultyReports; }
  /// \brief Lets its announcements say that it drains.
  void SetDraining(bool isDraining) { m_isDraining = isDraining; }
  /// \brief Whether its group's head takes work or has some.
  [[nodiscard]] bool IsNeeded() { return m_member && m_member->IsNeeded(); }
  /// \brief Lets all its answers say that it leaves.
  void SetLeaving() { m_isLeaving = true; }
  /// \brief How many requests it has rejected.
  [[nodiscard]] std::uint64_t Rejections() const { return m_rejections; }
  /// \brief How many requests it has run.
  [[nodiscard]] std::uint64_t Runs() const { return m_runs; }
  /// \brief How many requests it has run and answered with a promise or a statement that they did
  /// not run.
  [[nodiscard]] std::uint64_t UntrueAnswers() const { return m_untrueAnswers; }
  /// \brief How often it has crashed.
  [[nodiscard]] std::uint64_t Crashes() const { return m_crashes; }
  [[nodiscard]] test::RelayThread& Relay() { return *m_relay; }
  [[nodiscard]] const std::string& Name() const { return m_name; }
  /// \brief Sends no bytes to its callers for a time, and then continues on all connections. It
  /// accepts connections and runs requests meanwhile.
  void FallSilentFor(std::chrono::milliseconds duration) { m_silence.BeginFor(duration); }

private:
  using Socket = boost::asio::ip::tcp::socket;
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Response = boost::beast::http::response<boost::beast::http::string_body>;

  struct Connection
  {
    std::shared_ptr<Socket> socket;
    std::thread thread;
  };

  /// \brief Runs a request that it does not refuse.
  /// \returns False if the connection must be closed.
  bool Execute(Socket& socket, const Request& request, Response answer);
  void Accept();
  void Serve(Socket& socket);
  /// \returns False if the connection must be closed.
  bool Answer(Socket& socket, const Request& request);
  /// \brief Answers an order or a question of control.
  /// \returns False if the connection must be closed.
  bool AnswerControl(Socket& socket, const Request& request);
  /// \brief Sends the beginning of a report until the connection is closed or the fault ends.
  void SendFaultyReport(Socket& socket, ReportFault fault);
  /// \brief Why the request can't run, as a response; its status is 200 if it can.
  [[nodiscard]] Response Check(const Request& request);
  /// \brief Sends a response that says that the request did not run.
  /// \returns False if the connection must be closed.
  bool Reject(Socket& socket, Response response);
  /// \brief Sends a response in two parts, or only the first of them.
  /// \returns Whether all of it was sent.
  bool SendInParts(Socket& socket, const Response& response, bool isTruncated);
  /// \brief Sends an event as a chunk, or in two parts if its answers are unframed.
  /// \returns Whether all of it was sent.
  bool SendEvent(Socket& socket, const std::string& event);
  /// \brief Sends a response as a series of events, or only the first half of them.
  /// \param first The number of the first event.
  /// \returns Whether all of it was sent.
  bool SendEvents(Socket& socket,
                  const Response& response,
                  const std::string& id,
                  std::size_t first,
                  bool isTruncated);
  void Announce();
  [[nodiscard]] std::string Instance() const;
  [[nodiscard]] std::string RetryAfter();
  [[nodiscard]] bool DrawWithProbability(double probability);
  void CloseConnections();
  /// \brief Continues as a new instance; called by a thread that serves a connection.
  void Crash();

  std::string m_name;
  std::string m_service;
  std::unique_ptr<GroupMember> m_member; ///< Null for a plain service.
  std::vector<std::string> m_controls;
  Ledger& m_ledger;
  boost::asio::io_context m_io;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::unique_ptr<test::RelayThread> m_relay;
  std::atomic<std::uint64_t> m_generation = 1;
  std::atomic<double> m_answerLossRate = 0;
  std::atomic<double> m_answerTruncationRate = 0;
  std::atomic<double> m_unstatedRefusalRate = 0;
  std::atomic<unsigned> m_unstatedRefusalStatus = 503;
  std::atomic<double> m_contradictionRate = 0;
  std::atomic<double> m_repeatedStatementRate = 0;
  std::string m_crashBody;    ///< Set before the first request; "" for none.
  std::string m_limit;        ///< Likewise.
  std::string m_answeredPath; ///< Likewise.
  std::string m_answer;       ///< Likewise.
  std::string m_retryAfter;   ///< Guarded by m_mutex; "" for none.
  Silence m_silence;
  std::atomic<bool> m_isUnframed = false;
  std::atomic<bool> m_isStreaming = false;
  std::atomic<bool> m_isLeaving = false;
  std::atomic<bool> m_isDraining = false;
  std::atomic<std::size_t> m_slots = 6;
  std::atomic<ReportFault> m_reportFault = ReportFault::kNone;
  std::atomic<std::uint64_t> m_faultyReports = 0;
  std::atomic<std::uint64_t> m_rejections = 0;
  std::atomic<std::uint64_t> m_runs = 0;
  std::atomic<std::uint64_t> m_untrueAnswers = 0;
  std::atomic<std::uint64_t> m_crashes = 0;
  std::atomic<bool> m_stop = false;
  std::mutex m_mutex; ///< Guards m_random, m_retryAfter and m_connections.
  std::mt19937_64 m_random;
  std::list<Connection> m_connections;
  std::thread m_acceptThread;
  std::thread m_announceThread;
};

/// \brief Ends of the ids of requests whose streams have 29, 80 and 116 events, 50 ms apart.
inline constexpr const char* kLongStreamSuffix = "-long";
inline constexpr const char* kLongestStreamSuffix = "-longest";
inline constexpr const char* kLastingStreamSuffix = "-lasting";

/// \brief The complete answer of a model, a series of events.
[[nodiscard]] std::string EventsFor(const std::string& id);

/// \brief The complete answer to a request.
[[nodiscard]] std::string AnswerTo(const std::string& id);

/// \brief Whether a caller's reply is the answer to its request: all of it, unless the reply leaves
/// its end open.
[[nodiscard]] bool IsAnswerTo(const std::string& id, const test::HttpReply& reply);

/// \brief Whether a caller's reply is a part of the answer to its request, and visibly not all of
/// it.
[[nodiscard]] bool IsBeginOfAnswerTo(const std::string& id, const test::HttpReply& reply);

/// \brief Whether a reply is a series of events.
[[nodiscard]] bool IsStream(const test::HttpReply& reply);

} // namespace gooseberrysail::soak
