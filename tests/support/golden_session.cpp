#include "support/golden_session.hpp"

#include "gooseberrysail/observe/event_catalog.hpp"
#include "gooseberrysail/wire/envelope.hpp"

#include <cstdlib>
#include <fstream>
#include <gtest/gtest.h>
#include <iomanip>
#include <sstream>

namespace gooseberrysail::test {

namespace {

template<class Bytes>
std::string Quoted(const Bytes& bytes)
{
  std::string text = "\"";
  for (const auto byte : bytes) {
    if (byte == '\n') {
      text += "\\n"; // Each input or output takes one line.
    } else {
      text += static_cast<char>(byte);
    }
  }
  return text + "\"";
}

class Fields
{
public:
  template<class Value>
  Fields& operator()(const char* name, const Value& value)
  {
    m_out << ' ' << name << '=' << std::boolalpha << value;
    return *this;
  }
  [[nodiscard]] std::string Text() const { return m_out.str(); }

private:
  std::ostringstream m_out;
};

std::string RequestFields(const wire::BodyUnion& body)
{
  Fields fields;
  if (const auto* start = body.AsStart()) {
    fields("request", start->request)("attempt",
                                      start->attempt)("group", start->group)("epoch", start->epoch);
  } else if (const auto* refused = body.AsRefused()) {
    fields("request", refused->request)("attempt", refused->attempt)(
      "reason", Quoted(refused->reason))("retryAfterMillis", refused->retryAfterMillis);
  } else if (const auto* output = body.AsOutput()) {
    fields("request", output->request)("offset", output->offset)("status", output->status)(
      "bytes", Quoted(output->bytes))("end", output->end)("cut", Quoted(output->cutReason));
  } else if (const auto* ack = body.AsAck()) {
    fields("request", ack->request)("offset", ack->offset)("done", ack->done);
  } else if (const auto* seal = body.AsSeal()) {
    fields("request", seal->request)("attempt", seal->attempt);
  } else if (const auto* sealed = body.AsSealReply()) {
    fields("request", sealed->request)("result", wire::EnumNameSealResult(sealed->result));
  } else if (const auto* load = body.AsLoadReport()) {
    fields("group", load->group)("running", load->running)("queued", load->queued)(
      "open", load->open)("leaving", load->leaving);
  }
  return fields.Text();
}

std::string RecoveryFields(const wire::BodyUnion& body)
{
  Fields fields;
  if (const auto* resume = body.AsResume()) {
    fields("request", resume->request)("attempt", resume->attempt)("offset", resume->offset);
  } else if (const auto* cancel = body.AsCancel()) {
    fields("request", cancel->request)("reason", Quoted(cancel->reason));
  } else if (const auto* unknown = body.AsUnknownRequest()) {
    fields("request", unknown->request)("attempt", unknown->attempt)("agentIncarnation",
                                                                     unknown->agentIncarnation);
  } else if (const auto* claim = body.AsClaimRequest()) {
    fields("request", claim->request)("key", claim->key);
  } else if (const auto* reply = body.AsClaimReply()) {
    fields("request", reply->request)("state", wire::EnumNameClaimState(reply->state))(
      "holder", reply->holder)("outcome", Quoted(reply->outcome));
  } else if (const auto* outcome = body.AsClaimOutcome()) {
    fields("request", outcome->request)("ran", outcome->ran)("outcome", outcome->outcome)(
      "reason", Quoted(outcome->reason))("status", outcome->status);
  } else if (const auto* ack = body.AsClaimOutcomeAck()) {
    fields("request", ack->request);
  } else if (const auto* routes = body.AsRoutesUpdate()) {
    fields("sequence", routes->sequence)("routes", routes->routes.size());
  }
  return fields.Text();
}

std::string GroupFields(const wire::BodyUnion& body)
{
  Fields fields;
  if (const auto* assign = body.AsAssign()) {
    fields("group", assign->group)("epoch", assign->epoch)("entry", assign->entry)(
      "head", assign->head)("members", assign->members.size());
  } else if (const auto* reply = body.AsAssignReply()) {
    fields("epoch", reply->epoch)("accepted", reply->accepted)("heldEpoch", reply->heldEpoch);
  } else if (const auto* release = body.AsRelease()) {
    fields("epoch", release->epoch)("graceMillis", release->graceMillis);
  } else if (const auto* released = body.AsReleased()) {
    fields("vm", released->vm)("epoch", released->epoch);
  } else if (const auto* report = body.AsGroupReport()) {
    fields("nonce", report->nonce)("epoch", report->epoch)("ready", report->ready)(
      "weightsLoaded", report->weightsLoaded)("running", report->running);
    for (const std::string& vm : report->missing) {
      fields("missing", vm);
    }
  } else if (const auto* grant = body.AsLeaseGrant()) {
    fields("nonce", grant->nonce)("granted", grant->granted)("leaseMillis", grant->leaseMillis);
  } else if (const auto* announce = body.AsAnnounce()) {
    fields("vm", announce->vm)("epoch", announce->epoch)("loadedModel", announce->loadedModel)(
      "leaving", announce->leaving);
  } else if (const auto* request = body.AsBeatRequest()) {
    fields("nonce", request->nonce)("epoch", request->epoch);
  } else if (const auto* beat = body.AsBeatReply()) {
    fields("nonce", beat->nonce)("vm", beat->vm)("engineAlive", beat->engineAlive)(
      "weightsLoaded", beat->weightsLoaded);
  } else if (const auto* query = body.AsConfigQuery()) {
    fields("nonce", query->nonce)("haveVersion", query->haveVersion);
  } else if (const auto* state = body.AsConfigState()) {
    fields("nonce", state->nonce)("version", state->version)("items", state->items.size());
  } else if (const auto* inForce = body.AsInForce()) {
    fields("version", inForce->version);
  }
  return fields.Text();
}

std::string Describe(const ProcessId& peer, const wire::EnvelopeT& envelope)
{
  return peer.Get() + ' ' + BodyName(envelope) + RequestFields(envelope.body) +
         RecoveryFields(envelope.body) + GroupFields(envelope.body);
}

struct Describer
{
  std::string operator()(const PeerUp& up) const
  {
    return "up " + up.peer.Get() + " incarnation=" + std::to_string(up.incarnation.Get());
  }
  std::string operator()(const PeerDown& down) const
  {
    return "down " + down.peer.Get() + " reason=" + Quoted(down.reason);
  }
  std::string operator()(const FrameIn& frame) const
  {
    return Describe(frame.peer, *frame.envelope);
  }
  std::string operator()(const FrameOut& frame) const
  {
    return Describe(frame.peer, *frame.envelope);
  }
  std::string operator()(const TargetAnswerIn& answer) const
  {
    Fields fields;
    fields("exchange", answer.exchange)("status", answer.status.value_or(0))(
      "bytes", Quoted(answer.bytes))("end", answer.end);
    return "target answer" + fields.Text();
  }
  std::string operator()(const TargetFailedIn& failure) const
  {
    Fields fields;
    fields("exchange", failure.exchange)("neverSent", failure.neverSent);
    return "target failed" + fields.Text();
  }
  std::string operator()(const StopRequested&) const { return "stop requested"; }
  std::string operator()(const TargetCallOut& call) const
  {
    Fields fields;
    fields("exchange", call.exchange)("call", call.method + ' ' + call.path)("body",
                                                                             Quoted(call.body));
    return "target" + fields.Text();
  }
  std::string operator()(const TargetCancelOut& cancel) const
  {
    return "target cancel exchange=" + std::to_string(cancel.exchange.Get());
  }
  std::string operator()(const EventOut& event) const
  {
    const EventInfo* info = FindEvent(event.number);
    std::string text = "event " + std::to_string(event.number) + ' ' + std::string(info->name);
    for (const auto& [name, value] : event.fields) {
      text += ' ' + name + '=' + Quoted(value);
    }
    return text;
  }
  std::string operator()(const StoppedOut&) const { return "stopped"; }
  std::string operator()(const HttpRequestIn& http) const
  {
    std::string text = "caller " + std::to_string(http.exchange.Get()) + ' ' + http.method + ' ' +
                       http.target + HeaderText(http.headers);
    return text + " body=" + Quoted(http.body);
  }
  std::string operator()(const HttpCallerGone& gone) const
  {
    return "caller " + std::to_string(gone.exchange.Get()) + " gone";
  }
  std::string operator()(const HttpAnswerOut& answer) const
  {
    Fields fields;
    if (answer.status) {
      fields("status", *answer.status);
    }
    return "caller " + std::to_string(answer.exchange.Get()) + fields.Text() +
           HeaderText(answer.headers) + " bytes=" + Quoted(answer.bytes) +
           (answer.end ? " end" : "") + (answer.abort ? " abort" : "");
  }

private:
  static std::string HeaderText(const std::vector<HttpHeader>& headers)
  {
    std::string text;
    for (const HttpHeader& header : headers) {
      text += ' ' + header.name + ':' + Quoted(header.value);
    }
    return text;
  }
};

} // namespace

void GoldenSession::Line(TimePoint now, std::string_view direction, const std::string& text)
{
  std::ostringstream line;
  line << std::setw(7) << ToMillis(now - m_start) << "ms " << direction << ' ' << text << '\n';
  m_text += line.str();
}

void GoldenSession::AddComment(std::string_view what)
{
  m_text += "# ";
  m_text += what;
  m_text += '\n';
}

void GoldenSession::RecordInput(TimePoint now, const AgentInput& input)
{
  Line(now, "<", std::visit(Describer{}, input));
}

void GoldenSession::RecordOutput(TimePoint now, const AgentOutput& output)
{
  Line(now, ">", std::visit(Describer{}, output));
}

void GoldenSession::RecordInput(TimePoint now, std::string_view process, const AgentInput& input)
{
  Line(now, std::string(process) + " <", std::visit(Describer{}, input));
}

void GoldenSession::RecordOutput(TimePoint now, std::string_view process, const AgentOutput& output)
{
  Line(now, std::string(process) + " >", std::visit(Describer{}, output));
}

void GoldenSession::RecordInput(TimePoint now, std::string_view process, const EntryInput& input)
{
  Line(now, std::string(process) + " <", std::visit(Describer{}, input));
}

void GoldenSession::RecordOutput(TimePoint now, std::string_view process, const EntryOutput& output)
{
  Line(now, std::string(process) + " >", std::visit(Describer{}, output));
}

void GoldenSession::Compare(const std::string& path) const
{
  if (std::getenv("GOOSEBERRYSAIL_WRITE_GOLDEN") != nullptr) {
    std::ofstream(path, std::ios::binary) << m_text;
    ADD_FAILURE() << "written, not compared: " << path;
    return;
  }
  std::ifstream file(path, std::ios::binary);
  ASSERT_TRUE(file.is_open()) << path;
  std::ostringstream expected;
  expected << file.rdbuf();
  std::istringstream expectedLines(expected.str());
  std::istringstream actualLines(m_text);
  std::string expectedLine;
  std::string actualLine;
  for (std::size_t number = 1; std::getline(expectedLines, expectedLine); ++number) {
    std::getline(actualLines, actualLine);
    ASSERT_EQ(actualLine, expectedLine) << path << ':' << number;
  }
  EXPECT_EQ(m_text, expected.str()) << "the session continues after the end of " << path;
}

} // namespace gooseberrysail::test
