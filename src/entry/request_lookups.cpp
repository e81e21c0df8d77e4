#include "gooseberrysail/entry/request_lookups.hpp"

#include "gooseberrysail/entry/caller_answer.hpp"

namespace gooseberrysail::impl {

namespace {

constexpr Duration kAnswerTimeout = std::chrono::seconds(2);
constexpr Duration kRetryAfter = std::chrono::seconds(1);

HttpAnswerOut NotFoundAnswer(ExchangeId exchange, const RequestId& own, const RequestId& wanted)
{
  CallerError error;
  error.status = 404;
  error.outcome = Outcome::kUnknown;
  error.type = "not_found";
  error.reason = reason::kNotFound;
  error.message = "No request " + wanted.Get() + " is known for this workspace.";
  return MakeErrorAnswer(exchange, error, own);
}

/// A request of another workspace is reported like an unknown one, so that ids reveal nothing.
bool IsVisibleTo(const wire::RequestRecordT& record, const std::string& workspace)
{
  return workspace.empty() || record.workspace == workspace;
}

} // namespace

void RequestLookups::Answer(EntryContext& context,
                            ExchangeId exchange,
                            const RequestId& own,
                            const RequestId& wanted,
                            const WorkspaceId& workspace)
{
  const wire::RequestRecordT* record = context.records.Find(wanted.Get());
  if (record != nullptr && IsVisibleTo(*record, workspace.Get())) {
    context.Answer(MakeJsonAnswer(exchange, 200, RecordJson(*record), own));
    return;
  }
  const ProcessId holder = EntryOf(wanted);
  if (holder.IsNone() || holder == context.settings.process) {
    context.Answer(NotFoundAnswer(exchange, own, wanted));
    return;
  }
  wire::RequestQueryT query;
  query.nonce = ++m_lastNonce;
  query.request = wanted.Get();
  query.workspace = workspace.Get();
  m_pending[query.nonce] = PendingLookup{ exchange, own, wanted, context.now + kAnswerTimeout };
  if (const Peer* peer = context.peers.Find(holder)) {
    context.Send(holder, peer->address, std::move(query));
  } else {
    context.SendToControl(std::move(query));
  }
}

void RequestLookups::OnQuery(EntryContext& context,
                             const ProcessId& from,
                             const wire::RequestQueryT& query)
{
  wire::RequestAnswerT answer;
  answer.nonce = query.nonce;
  const wire::RequestRecordT* record = context.records.Find(query.request);
  if (record != nullptr && IsVisibleTo(*record, query.workspace)) {
    answer.found = true;
    answer.record = std::make_unique<wire::RequestRecordT>(*record);
  }
  context.Send(from, {}, std::move(answer));
}

void RequestLookups::OnAnswer(EntryContext& context, const wire::RequestAnswerT& answer)
{
  const auto found = m_pending.find(answer.nonce);
  if (found == m_pending.end()) {
    return;
  }
  const PendingLookup pending = found->second;
  m_pending.erase(found);
  const bool matches =
    answer.found && answer.record && answer.record->request == pending.wanted.Get();
  context.Answer(matches
                   ? MakeJsonAnswer(pending.exchange, 200, RecordJson(*answer.record), pending.own)
                   : NotFoundAnswer(pending.exchange, pending.own, pending.wanted));
}

void RequestLookups::OnCallerGone(ExchangeId exchange)
{
  std::erase_if(m_pending, [&](const auto& item) { return item.second.exchange == exchange; });
}

void RequestLookups::Tick(EntryContext& context)
{
  // All lookups have the same timeout and ascending nonces, so the first one expires first.
  while (!m_pending.empty() && context.now >= m_pending.begin()->second.expiresAt) {
    EndFirst(context);
  }
}

void RequestLookups::EndAll(EntryContext& context)
{
  while (!m_pending.empty()) {
    EndFirst(context);
  }
}

void RequestLookups::EndFirst(EntryContext& context)
{
  const PendingLookup& pending = m_pending.begin()->second;
  CallerError error;
  error.status = 503;
  error.outcome = Outcome::kUnknown;
  error.type = "unavailable";
  error.reason = "entry-unreachable";
  error.message = "The entry " + EntryOf(pending.wanted).Get() + " can't be asked at the moment.";
  error.retryAfter = kRetryAfter;
  context.Answer(MakeErrorAnswer(pending.exchange, error, pending.own));
  m_pending.erase(m_pending.begin());
}

} // namespace gooseberrysail::impl
