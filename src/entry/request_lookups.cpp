#include "gooseberrysail/entry/request_lookups.hpp"

#include "gooseberrysail/entry/caller_answer.hpp"

namespace gooseberrysail::impl {

namespace {

constexpr Duration kAnswerLimit = std::chrono::seconds(2);
constexpr Duration kRetryAfter = std::chrono::seconds(1);

HttpAnswerOut NotFoundAnswer(ExchangeId exchange, const RequestId& own, const RequestId& wanted)
{
  CallerError error;
  error.status = 404;
  error.type = "not_found";
  error.reason = reason::kNotFound;
  error.message = "No request " + wanted.Get() + " is known for this workspace.";
  return MakeErrorAnswer(exchange, error, own);
}

/// Another workspace's request looks like one that never was: its id tells nothing.
bool MaySee(const wire::RequestRecordT& record, const std::string& workspace)
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
  if (record != nullptr && MaySee(*record, workspace.Get())) {
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
  m_waiting[query.nonce] = Waiting{ exchange, own, wanted, context.now + kAnswerLimit };
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
  if (record != nullptr && MaySee(*record, query.workspace)) {
    answer.found = true;
    answer.record = std::make_unique<wire::RequestRecordT>(*record);
  }
  context.Send(from, {}, std::move(answer));
}

void RequestLookups::OnAnswer(EntryContext& context, const wire::RequestAnswerT& answer)
{
  const auto found = m_waiting.find(answer.nonce);
  if (found == m_waiting.end()) {
    return;
  }
  const Waiting waiting = found->second;
  m_waiting.erase(found);
  const bool fits = answer.found && answer.record && answer.record->request == waiting.wanted.Get();
  context.Answer(fits
                   ? MakeJsonAnswer(waiting.exchange, 200, RecordJson(*answer.record), waiting.own)
                   : NotFoundAnswer(waiting.exchange, waiting.own, waiting.wanted));
}

void RequestLookups::OnCallerGone(ExchangeId exchange)
{
  std::erase_if(m_waiting, [&](const auto& item) { return item.second.exchange == exchange; });
}

void RequestLookups::Tick(EntryContext& context)
{
  // Questions are asked in order and wait equally long: the first is the oldest.
  while (!m_waiting.empty() && context.now >= m_waiting.begin()->second.until) {
    const Waiting& waiting = m_waiting.begin()->second;
    CallerError error;
    error.status = 503;
    error.type = "unavailable";
    error.reason = "entry-unreachable";
    error.message = "The entry " + EntryOf(waiting.wanted).Get() + " can't be asked at the moment.";
    error.retryAfter = kRetryAfter;
    context.Answer(MakeErrorAnswer(waiting.exchange, error, waiting.own));
    m_waiting.erase(m_waiting.begin());
  }
}

} // namespace gooseberrysail::impl
