#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/result.hpp"
#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/roles/inputs.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>
#include <wire_generated.h>

namespace gooseberrysail {

inline constexpr std::size_t kMaxBodyBytes = 8 * 1024 * 1024;
inline constexpr std::size_t kMaxHeaders = 100;
inline constexpr std::size_t kMaxIdempotencyKeyBytes = 200;
inline constexpr std::uint32_t kDefaultExpectedTokens = 256;

/// \brief A call of a model or a plain service, as the caller meant it.
struct TargetCall
{
  wire::EntryKind kind = wire::EntryKind::Model;
  EntryName entry;
  std::string path; ///< At the target, with query.
  bool stream = false;
  std::uint32_t expectedTokens = 0;
  std::vector<std::uint64_t> prefixHashes; ///< Of each further prompt block, shortest first.
  std::size_t promptBytes = 0;
};

struct ListModelsCall
{};

/// \brief `GET /requests/{id}`.
struct RequestLookupCall
{
  RequestId request;
};

struct HealthCall
{};

struct ReadyCall
{};

using CallerCall =
  std::variant<TargetCall, ListModelsCall, RequestLookupCall, HealthCall, ReadyCall>;

/// \brief Reads what a caller wants from method, path and, for models, the JSON body.
/// \returns kNotFound for an unknown path, kConflict for a wrong method, kTooLarge over a limit,
/// kInvalid for a malformed body or header.
[[nodiscard]] Result<CallerCall> ParseCall(const HttpRequestIn& request);

/// \brief Headers that steer the system itself.
struct CallerOptions
{
  std::string idempotencyKey;       ///< "" when absent.
  std::optional<Duration> deadline; ///< `X-Deadline-Ms`: time left for the whole answer.
};

[[nodiscard]] Result<CallerOptions> ParseOptions(const HttpRequestIn& request);

/// \brief Whether a header concerns one connection only, or is ours, and isn't passed on.
[[nodiscard]] bool IsHopHeader(std::string_view name) noexcept;

/// \brief Tells apart different requests under one idempotency key.
[[nodiscard]] std::uint64_t HashRequest(const HttpRequestIn& request) noexcept;

} // namespace gooseberrysail
