#pragma once

#include "gooseberrysail/control/engine_groups.hpp"
#include "gooseberrysail/roles/inputs.hpp"
#include "gooseberrysail/serving/document.hpp"
#include "gooseberrysail/serving/target_table.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

/// \file The API of control for targets and operators outside the system: typed calls and answers,
/// and the hooks that translate them from and to HTTP.

namespace gooseberrysail {

/// \brief An operator replaces the serving document.
struct PutDocumentCall
{
  std::string text;
};

/// \brief An operator reads the newest serving document.
struct GetDocumentCall
{};

/// \brief A target's heartbeat.
struct AnnounceCall
{
  TargetAnnouncement announcement;
};

/// \brief A target leaves permanently.
struct LeaveCall
{
  InstanceId instance;
};

/// \brief An operator orders that the targets of a failure domain get no more requests, or
/// withdraws that order.
struct EvacuateCall
{
  FailureDomainId failureDomain;
  bool isWithdrawal = false;
};

/// \brief A call to this API that can't be parsed.
struct MalformedCall
{
  std::string caller; ///< The caller that it names; "" for none.
  std::string reason;
};

using OutsideCall = std::
  variant<PutDocumentCall, GetDocumentCall, AnnounceCall, LeaveCall, EvacuateCall, MalformedCall>;

enum class OutsideStatus
{
  kDone,
  kInvalid,     ///< Invalid; a retry fails too.
  kConflict,    ///< Another document has this version.
  kUnavailable, ///< Not carried out, as it is not possible now; retry with any process.
  kNotLeader,   ///< Only the leader answers this call.
  kUnconfirmed, ///< May be carried out, or have been; retry with any process.
};

struct OutsideAnswer
{
  OutsideStatus status = OutsideStatus::kDone;
  std::string text;          ///< The document, for a read with kDone.
  std::string reason;        ///< Readable reason of any other status.
  std::string leaderAddress; ///< The leader's peer address, "ip:port", for kNotLeader.
  std::string callTarget;    ///< The target of the call's HTTP request, for kNotLeader.
};

/// \brief Compares the content of two texts of documents.
using DocumentComparer = std::function<bool(std::string_view left, std::string_view right)>;

/// \brief Hooks that translate between HTTP and the types above; either all are set or none.
struct OutsideApi
{
  /// \returns None for a request that belongs to another interface of the process.
  std::function<std::optional<OutsideCall>(const HttpRequestIn&)> decode;
  std::function<HttpAnswerOut(ExchangeId, const OutsideAnswer&)> encode;
  std::function<TargetCallOut(ExchangeId, const GroupOrder&)> encodeOrder;
  std::function<OrderOutcome(unsigned status)> decodeOrderStatus;
  /// \brief Parses a target's answer to a probe; empty where it can't be parsed.
  std::function<TargetReport(std::string_view body)> decodeReport;
  DocumentReader readDocument;
  /// \brief Whether two texts encode the same document; unset where only equal texts do.
  DocumentComparer isSameDocument;

  [[nodiscard]] bool IsSet() const noexcept { return static_cast<bool>(decode); }
};

} // namespace gooseberrysail
