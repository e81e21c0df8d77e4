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

/// \brief A parsed call of a model or of a plain service.
struct TargetCall
{
  wire::EntryKind kind = wire::EntryKind::Model;
  EntryName entry;
  std::string path; ///< Path at the target, with its query.
  bool stream = false;
  std::uint32_t expectedTokens = 0;
  std::vector<std::uint64_t> prefixHashes; ///< Hashes of the prompt's prefixes, shortest first.
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

/// \brief Parses a request by its method, its path and, for models, its JSON body.
/// \returns kNotFound for an unknown path, kConflict for a wrong method, kTooLarge above a limit,
/// kInvalid for a malformed body or header.
[[nodiscard]] Result<CallerCall> ParseCall(const HttpRequestIn& request);

/// \brief Options that a caller sets by headers of its request.
struct CallerOptions
{
  std::string idempotencyKey;       ///< "" when absent.
  std::optional<Duration> deadline; ///< `X-Deadline-Ms`: time allowed for the whole answer.
};

[[nodiscard]] Result<CallerOptions> ParseOptions(const HttpRequestIn& request);

/// \brief Whether a header isn't forwarded: it belongs to one connection, or is used by this system
/// itself.
[[nodiscard]] bool IsHopHeader(std::string_view name) noexcept;

/// \brief Hashes method, target and body, to detect different requests under one idempotency key.
[[nodiscard]] std::uint64_t HashRequest(const HttpRequestIn& request) noexcept;

} // namespace gooseberrysail
