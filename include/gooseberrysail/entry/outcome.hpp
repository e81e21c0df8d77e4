#pragma once

#include <string_view>

namespace gooseberrysail {

/// \brief The known result of a request.
enum class Outcome
{
  kRunning,   ///< Not finished yet.
  kCompleted, ///< The target's complete answer arrived, with a status that doesn't mean `kNotRun`.
  kNotRun,    ///< Certain never to have run and never to run.
  kCut,       ///< It ran or may have run, and its answer is incomplete.
  kUnknown,   ///< Nothing is known here of the request that was asked about.
};

/// \brief The name used in answers and records: `running`, `completed`, `not-run`, `cut`,
/// `unknown`.
[[nodiscard]] std::string_view ToString(Outcome outcome) noexcept;

/// \brief Reasons given with an outcome; docs/operators/requests.md explains each.
namespace reason {
inline constexpr std::string_view kBadRequest = "bad-request";
inline constexpr std::string_view kUnauthorized = "unauthorized";
inline constexpr std::string_view kForbidden = "forbidden";
inline constexpr std::string_view kNotFound = "not-found";
inline constexpr std::string_view kTooLarge = "too-large";
inline constexpr std::string_view kShuttingDown = "shutting-down";
inline constexpr std::string_view kUnconfirmed = "configuration-unconfirmed";
inline constexpr std::string_view kWorkspaceRate = "workspace-rate";
inline constexpr std::string_view kWorkspaceConcurrency = "workspace-concurrency";
inline constexpr std::string_view kOverload = "overload";
inline constexpr std::string_view kNoGroup = "no-group-open";
inline constexpr std::string_view kSealed = "sealed-before-start";
inline constexpr std::string_view kDeadline = "deadline-passed";
inline constexpr std::string_view kCallerGone = "caller-gone";
inline constexpr std::string_view kAgentUnreachable = "agent-unreachable";
inline constexpr std::string_view kAgentRestarted = "agent-restarted";
inline constexpr std::string_view kAnswerLost = "answer-lost-at-agent";
inline constexpr std::string_view kNoClaim = "claim-not-granted-in-time";
inline constexpr std::string_view kClaimRunning = "same-key-running";
inline constexpr std::string_view kClaimUnknown = "same-key-unknown";
inline constexpr std::string_view kClaimAnswerGone = "same-key-answer-gone";
inline constexpr std::string_view kKeyReused = "same-key-other-request";
} // namespace reason

} // namespace gooseberrysail
