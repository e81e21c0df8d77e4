#pragma once

#include <cstdint>
#include <span>

/// \file What the protocol allows the peers of a dispatcher to do, as a table from which schedules
/// are drawn. docs/design/adversary.md describes it.

namespace gooseberrysail::adversary {

/// \brief A part of a peer's conduct; each has several rows, of which a schedule draws one.
enum class Element : std::uint8_t
{
  kStatus,
  kStatement,
  kAnsweredId,
  kSeal,
  kFraming,
  kPieces,
  kEnd,
  kDelay,
  kConnection,
  kRetryAfter,
  kLimit,
  kLeaving,
  kSecondCopy,
  kRepeat,
  kMaxAttempts,
  kDeadline,
  kPatience,
  kRequestBody,
  kList,
  kClock,
};

// Values of the rows whose meaning is no number by itself.
enum Statement : int
{
  kNoStatement,
  kStated,
  kEmptyStatement,
  kDeniedStatement,
  kStatedTwice,
  kStatedAndDenied,
};
enum AnsweredId : int
{
  kOwnId,
  kNoId,
  kOtherId,
};
enum Pieces : int
{
  kOnePiece,
  kHeadApart,
  kBodyInPieces,
};
enum End : int
{
  kWhole,
  kCutInBody,
  kClosedAfterRun,
  kClosedUnrun,
  kSilent,
};
enum Connection : int
{
  kOpen,
  kSlowToOpen,
  kRefused,
};
enum List : int
{
  kUnchanged,
  kRestarted,
  kGone,
  kBack,
};

/// \brief One thing that a peer may do.
struct Row
{
  Element element{};
  int value = 0;       ///< A status, a number of milliseconds, or one of the values above.
  unsigned weight = 1; ///< How often it is drawn, compared with the element's other rows.
  const char* peer = "";
  const char* conduct = "";
};

/// \brief All rows, those of one element together.
[[nodiscard]] std::span<const Row> AllRows() noexcept;

/// \brief The rows of one element.
[[nodiscard]] std::span<const Row> RowsOf(Element element) noexcept;

} // namespace gooseberrysail::adversary
