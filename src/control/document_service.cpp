#include "gooseberrysail/control/document_service.hpp"

#include "control/outside_calls.hpp"
#include "gooseberrysail/observe/event.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrysail {

namespace {

using impl::kAnswerTimeout;
using impl::kMaxOpenCalls;
using impl::Unavailable;
using impl::Unconfirmed;

EventOut RefusedEvent(std::uint64_t version, const std::string& reason)
{
  return MakeEvent(EventNumber::kDocumentRefused,
                   { { "version", std::to_string(version) }, { "reason", reason } });
}

} // namespace

DocumentService::DocumentService(DocumentComparer isSameDocument)
  : m_isSameDocument(std::move(isSameDocument))
{
}

void DocumentService::OnPut(ControlContext& context,
                            ExchangeId exchange,
                            std::string text,
                            const DocumentReader& read,
                            const Respond& respond)
{
  const Result<ServingDocument> document = read(text);
  if (!document) {
    Refuse(context, exchange, document.error(), respond);
    return;
  }
  // The stored document may be one that an earlier version accepted, sent again.
  const StoredDocument& stored = context.state.GetDocument();
  const bool isStored = stored.version == document.value().version && IsSame(stored.text, text);
  if (const Result<void> valid = ValidateNewDocument(document.value()); !isStored && !valid) {
    Refuse(context, exchange, valid.error(), respond);
    return;
  }
  Put put{ exchange, document.value().version, std::move(text), context.now };
  if (TryAnswer(context, put, respond)) {
    return;
  }
  // An earlier call with the same document may have been accepted by this or another process.
  if (m_puts.size() >= kMaxOpenCalls) {
    respond(exchange, Unconfirmed("too many calls at once"));
    return;
  }
  wire::PutDocumentT command;
  command.version = put.version;
  command.text = put.text;
  if (!context.proposer.Propose(std::move(command))) {
    respond(exchange, Unconfirmed("the document could not be proposed"));
    return;
  }
  m_puts.push_back(std::move(put));
}

void DocumentService::Refuse(ControlContext& context,
                             ExchangeId exchange,
                             const Error& error,
                             const Respond& respond)
{
  context.outbox.emplace_back(RefusedEvent(0, error.description));
  respond(exchange, { OutsideStatus::kInvalid, {}, error.description, {}, {} });
}

// An applied document is committed: a majority has synced it to disk, so it survives every failure
// that the installation tolerates. The applied state alone is enough to acknowledge it.
bool DocumentService::TryAnswer(ControlContext& context,
                                const Put& put,
                                const Respond& respond) const
{
  const StoredDocument& stored = context.state.GetDocument();
  if (stored.version < put.version) {
    return false;
  }
  if (stored.version == put.version && !IsSame(stored.text, put.text)) {
    const std::string reason = "another document has this version";
    context.outbox.emplace_back(RefusedEvent(put.version, reason));
    respond(put.exchange, { OutsideStatus::kConflict, {}, reason, {}, {} });
    return true;
  }
  context.outbox.emplace_back(
    MakeEvent(EventNumber::kDocumentAcknowledged,
              { { "version", std::to_string(put.version) },
                { "stored", std::to_string(stored.version) },
                { "millis", std::to_string(ToMillis(context.now - put.since)) } }));
  respond(put.exchange, {});
  return true;
}

bool DocumentService::IsSame(std::string_view left, std::string_view right) const
{
  return left == right || (m_isSameDocument && m_isSameDocument(left, right));
}

// Reads have a limit of their own, so that many of them refuse no change.
void DocumentService::OnGet(const ControlContext& context,
                            ExchangeId exchange,
                            const Respond& respond)
{
  if (m_reads.size() >= kMaxOpenCalls) {
    respond(exchange, Unavailable("too many calls at once"));
    return;
  }
  m_reads.push_back({ exchange, TakeTicket(context) });
}

void DocumentService::OnCallerGone(ExchangeId exchange)
{
  std::erase_if(m_puts, [&](const Put& put) { return put.exchange == exchange; });
  std::erase_if(m_reads, [&](const Read& read) { return read.exchange == exchange; });
}

void DocumentService::Tick(ControlContext& context, const Respond& respond)
{
  std::erase_if(m_puts, [&](const Put& put) {
    if (TryAnswer(context, put, respond)) {
      return true;
    }
    const bool late = context.now - put.since > kAnswerTimeout;
    if (late) {
      respond(put.exchange, Unconfirmed("not committed in time; it may still be"));
    }
    return late;
  });
  std::erase_if(m_reads, [&](const Read& read) {
    const StoredDocument& stored = context.state.GetDocument();
    if (IsConfirmed(context, read.ticket)) {
      respond(read.exchange,
              stored.version == 0 ? Unavailable("no document yet")
                                  : OutsideAnswer{ OutsideStatus::kDone, stored.text, {}, {}, {} });
      return true;
    }
    const bool late = context.now - read.ticket.asked > kAnswerTimeout;
    if (late) {
      respond(read.exchange, Unavailable("no quorum confirmed this leader"));
    }
    return late;
  });
}

void DocumentService::OnLeadershipLost(const Respond& respond)
{
  for (const Put& put : m_puts) {
    respond(put.exchange, Unconfirmed("leadership was lost; the change may still be committed"));
  }
  for (const Read& read : m_reads) {
    respond(read.exchange, Unavailable("leadership was lost"));
  }
  m_puts.clear();
  m_reads.clear();
}

} // namespace gooseberrysail
