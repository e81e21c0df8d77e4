#include "gooseberrysail/entry/caller_stream.hpp"

#include "gooseberrysail/entry/caller_api.hpp"

#include <algorithm>
#include <charconv>

namespace gooseberrysail::impl {

namespace {

constexpr std::size_t kHoldBackBytes = 16 * 1024;
constexpr std::size_t kMaxCapturedBytes = 256 * 1024;
constexpr std::string_view kEventStream = "text/event-stream";
constexpr std::string_view kEventLine = "data:";
constexpr std::string_view kTokenCount = "\"completion_tokens\":";

bool IsShort(const std::vector<std::unique_ptr<wire::HeaderT>>& headers)
{
  for (const auto& header : headers) {
    if (FindHeader({ { header->name, header->value } }, "Content-Length").empty()) {
      continue;
    }
    std::size_t length = 0;
    const std::string& text = header->value;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), length);
    return read.ec == std::errc() && length <= kHoldBackBytes;
  }
  return false;
}

void TakeHead(Request& request, const wire::OutputT& output)
{
  CallerSide& caller = request.caller;
  caller.status = output.status;
  caller.headers = AnswerHeaders(output.headers, request.id);
  caller.eventStream = FindHeader(caller.headers, "Content-Type").starts_with(kEventStream);
  caller.holdBack = !caller.eventStream && IsShort(output.headers);
  if (request.captured) {
    request.captured->status = output.status;
    request.captured->headers = caller.headers;
    request.captured->headers.pop_back(); // X-Request-Id: a replay bears its own.
  }
}

void Capture(Request& request, std::string_view bytes)
{
  if (!request.captured || request.captured->tooLarge) {
    return;
  }
  if (request.captured->body.size() + bytes.size() > kMaxCapturedBytes) {
    request.captured->tooLarge = true;
    request.captured->body = std::string();
    return;
  }
  request.captured->body.append(bytes);
}

/// One event of a stream is about one token; a whole answer states its count.
void CountTokens(Request& request, std::string_view bytes)
{
  if (request.caller.eventStream) {
    for (auto at = bytes.find(kEventLine); at != std::string_view::npos;
         at = bytes.find(kEventLine, at + kEventLine.size())) {
      ++request.tokens;
    }
    return;
  }
  const auto at = bytes.find(kTokenCount);
  if (at != std::string_view::npos) {
    bytes.remove_prefix(at + kTokenCount.size());
    bytes.remove_prefix(std::min(bytes.find_first_not_of(' '), bytes.size()));
    std::from_chars(bytes.data(), bytes.data() + bytes.size(), request.tokens);
  }
}

HttpAnswerOut NextPart(CallerSide& caller)
{
  HttpAnswerOut part;
  part.exchange = caller.exchange;
  if (!caller.headSent) {
    part.status = caller.status;
    part.headers = std::move(caller.headers);
    caller.headSent = true;
  }
  return part;
}

} // namespace

void ForwardOutput(EntryContext& context,
                   Request& request,
                   const FittedOutput& fitted,
                   const wire::OutputT& output)
{
  if (fitted.head) {
    TakeHead(request, output);
  }
  Capture(request, fitted.bytes);
  CountTokens(request, fitted.bytes);
  CallerSide& caller = request.caller;
  const bool wholeEnd = fitted.end && output.cutReason.empty();
  if (!caller.waiting) {
    return;
  }
  if (caller.holdBack && !wholeEnd) {
    caller.held.append(fitted.bytes);
    return;
  }
  const bool cutEnd = fitted.end && !wholeEnd;
  if (cutEnd && (!caller.headSent || fitted.bytes.empty())) {
    // While nothing was sent, the caller can still get a clear error in place of half an answer.
    return;
  }
  HttpAnswerOut part = NextPart(caller);
  part.bytes = std::move(caller.held);
  part.bytes.append(fitted.bytes);
  part.end = wholeEnd;
  context.Answer(std::move(part));
  if (wholeEnd) {
    context.requests.ForgetCaller(request);
  }
}

void TellError(EntryContext& context, Request& request, const CallerError& error)
{
  CallerSide& caller = request.caller;
  if (!caller.waiting) {
    return;
  }
  if (!caller.headSent) {
    context.Answer(MakeErrorAnswer(caller.exchange, error, request.id));
    context.requests.ForgetCaller(request);
    return;
  }
  if (caller.eventStream) {
    HttpAnswerOut last = NextPart(caller);
    last.bytes = CutStreamEvent(error, request.id);
    context.Answer(std::move(last));
  }
  HttpAnswerOut aborted = NextPart(caller);
  aborted.abort = true;
  context.Answer(std::move(aborted));
  context.requests.ForgetCaller(request);
}

} // namespace gooseberrysail::impl
