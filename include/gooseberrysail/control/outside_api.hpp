#pragma once

#include "gooseberrysail/control/engine_groups.hpp"
#include "gooseberrysail/roles/inputs.hpp"
#include "gooseberrysail/serving/document.hpp"
#include "gooseberrysail/serving/target_table.hpp"

#include <functional>
#include <optional>
#include <string>
#include <variant>

/// \file How targets and operators outside the system talk to control: typed calls and answers, and
/// the hooks that translate them from and to HTTP.

namespace gooseberrysail {

/// \brief An operator replaces the serving document.
struct PutDocumentCall
{
  std::string text;
};

/// \brief An operator reads the newest serving document back.
struct GetDocumentCall
{};

/// \brief A target's heartbeat.
struct AnnounceCall
{
  TargetAnnouncement announcement;
};

/// \brief A target goes away for good.
struct LeaveCall
{
  InstanceId instance;
};

/// \brief A call to this interface that can't be understood.
struct MalformedCall
{
  std::string caller; ///< Whom it names; "" for none.
  std::string reason;
};

using OutsideCall =
  std::variant<PutDocumentCall, GetDocumentCall, AnnounceCall, LeaveCall, MalformedCall>;

enum class OutsideStatus
{
  kDone,
  kInvalid,     ///< Never acceptable.
  kConflict,    ///< Another document has this version.
  kUnavailable, ///< Not known, or not now; ask again, also another process.
  kElsewhere,   ///< The leader answers this.
};

struct OutsideAnswer
{
  OutsideStatus status = OutsideStatus::kDone;
  std::string text;          ///< kDone of a read: the document.
  std::string reason;        ///< Otherwise: for people.
  std::string leaderAddress; ///< kElsewhere: the leader's peer address, "ip:port".
};

/// \brief Translates between HTTP and the types above; all set, or none.
struct OutsideApi
{
  /// \returns None for a request that belongs to another interface of the process.
  std::function<std::optional<OutsideCall>(const HttpRequestIn&)> decode;
  std::function<HttpAnswerOut(ExchangeId, const OutsideAnswer&)> encode;
  std::function<TargetCallOut(ExchangeId, const GroupOrder&)> encodeOrder;
  std::function<OrderOutcome(unsigned status)> decodeOrderStatus;
  /// \brief A target's answer to a probe; empty where it can't be read.
  std::function<TargetReport(std::string_view body)> decodeReport;
  DocumentReader readDocument;

  [[nodiscard]] bool IsSet() const noexcept { return static_cast<bool>(decode); }
};

} // namespace gooseberrysail
