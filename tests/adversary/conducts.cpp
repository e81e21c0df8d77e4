#include "adversary/conducts.hpp"

#include <algorithm>
#include <array>

namespace gooseberrysail::adversary {

namespace {

using enum Element;

constexpr auto kRows = std::to_array<Row>({
  { kStatus, 200, 24, "target", "a success" },
  { kStatus, 201, 1, "target", "another success" },
  { kStatus, 204, 1, "target", "a success without a body" },
  { kStatus, 302, 1, "target", "a redirection" },
  { kStatus, 304, 1, "target", "a redirection without a body" },
  { kStatus, 400, 1, "target", "a refusal of the request as such" },
  { kStatus, 404, 1, "target", "a failure of the caller" },
  { kStatus, 408, 1, "target", "a status that promises: not run" },
  { kStatus, 409, 1, "target", "a conflict" },
  { kStatus, 421, 1, "target", "a status that promises, of another process at the address" },
  { kStatus, 425, 1, "target", "a status that asks for a repeat without a promise" },
  { kStatus, 429, 1, "target", "a status that promises: not run" },
  { kStatus, 500, 2, "target", "a failure while it ran" },
  { kStatus, 502, 1, "target", "a failure behind it" },
  { kStatus, 503, 3, "target", "a status that promises: not run" },
  { kStatus, 504, 1, "target", "its deadline passed while it ran" },
  { kStatus, 599, 1, "target", "a status that nobody has defined" },

  { kStatement, kNoStatement, 6, "target", "states nothing about whether it ran" },
  { kStatement, kStated, 4, "target", "states that it did not run the request" },
  { kStatement, kEmptyStatement, 1, "target", "the header of the statement without a value" },
  { kStatement, kDeniedStatement, 1, "target", "the header with the value 0" },
  { kStatement, kStatedTwice, 1, "target", "the statement twice" },
  { kStatement, kStatedAndDenied, 1, "target", "the statement and its denial" },

  { kAnsweredId, kOwnId, 20, "target", "the id of the request" },
  { kAnsweredId, kNoId, 1, "target", "no id" },
  { kAnsweredId, kOtherId, 1, "target", "the id of another request" },

  { kSeal, 1, 9, "target", "its seal" },
  { kSeal, 0, 1, "target", "no seal" },

  { kFraming, 0, 4, "target", "an answer with a length or chunks" },
  { kFraming, 1, 1, "target", "an answer that ends with its connection" },

  { kPieces, kOnePiece, 3, "target", "the answer comes at once" },
  { kPieces, kHeadApart, 1, "target", "the head comes before the body" },
  { kPieces, kBodyInPieces, 1, "target", "the body comes in pieces, not at the ends of events" },

  { kEnd, kWhole, 16, "target", "the whole answer" },
  { kEnd, kCutInBody, 2, "target", "the connection is reset within the answer" },
  { kEnd, kClosedAfterRun, 1, "target", "the connection ends before the answer, it ran" },
  { kEnd, kClosedUnrun, 1, "target", "the connection ends before the answer, it did not run" },
  { kEnd, kSilent, 1, "target", "nothing ever comes" },

  { kDelay, 5, 6, "target", "answers at once" },
  { kDelay, 40, 3, "target", "takes its time" },
  { kDelay, 900, 1, "target", "stands still for longer than others are patient" },

  { kConnection, kOpen, 12, "target", "accepts at once" },
  { kConnection, kSlowToOpen, 1, "target", "accepts late" },
  { kConnection, kRefused, 1, "target", "refuses the connection" },

  { kRetryAfter, 0, 8, "target", "names no time for the next request" },
  { kRetryAfter, 50, 1, "target", "wants no requests for a moment" },
  { kRetryAfter, 3000, 1, "target", "wants no requests for longer than callers wait" },
  { kRetryAfter, -1, 1, "target", "names a time that is no number" },

  { kLimit, 0, 12, "target", "names no limit" },
  { kLimit, 5, 1, "target", "names a number of requests a second" },
  { kLimit, -1, 1, "target", "names a limit that is no number" },

  { kLeaving, 0, 16, "target", "says nothing about leaving" },
  { kLeaving, 1, 1, "target", "says that it leaves" },

  { kSecondCopy, 0, 12, "target", "each answer once" },
  { kSecondCopy, 1, 1, "target", "a second copy as the answer to the next request" },

  { kRepeat, 0, 1, "operator", "a route whose requests may run again" },
  { kRepeat, 1, 2, "operator", "a route whose requests may run once" },
  { kRepeat, 2, 1, "operator", "a route of streams" },
  { kRepeat, 3, 2, "operator", "a route of streams that can be resumed" },

  { kMaxAttempts, 1, 1, "operator", "one attempt" },
  { kMaxAttempts, 2, 1, "operator", "two attempts" },
  { kMaxAttempts, 3, 1, "operator", "three attempts" },

  { kDeadline, 0, 3, "caller", "no deadline of its own" },
  { kDeadline, 60, 1, "caller", "a short deadline" },
  { kDeadline, 1500, 3, "caller", "a deadline" },
  { kDeadline, 60000, 1, "caller", "a deadline beyond the route's" },

  { kPatience, 0, 12, "caller", "waits until its deadline" },
  { kPatience, 1, 1, "caller", "leaves at once" },
  { kPatience, 30, 1, "caller", "leaves while its request is served" },

  { kRequestBody, 0, 4, "caller", "a body of its own" },
  { kRequestBody, 1, 1, "caller", "the body of an earlier request" },

  { kList, kUnchanged, 16, "control", "nothing new" },
  { kList, kRestarted, 1, "control", "a new process at a target" },
  { kList, kGone, 1, "control", "a target is gone" },
  { kList, kBack, 1, "control", "all targets are there" },

  { kClock, 10, 8, "machine", "on time" },
  { kClock, 0, 1, "machine", "several things at one time" },
  { kClock, 700, 1, "machine", "the process stood still" },
});

} // namespace

std::span<const Row> AllRows() noexcept
{
  return kRows;
}

std::span<const Row> RowsOf(Element element) noexcept
{
  const auto rows = std::ranges::equal_range(kRows, element, {}, &Row::element);
  return { rows.begin(), rows.end() };
}

} // namespace gooseberrysail::adversary
