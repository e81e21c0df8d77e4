#pragma once

#include "cli/command_line.hpp"

#include <boost/json/value.hpp>
#include <string>
#include <string_view>

namespace gooseberrysail::impl {

ExitCode RunCatalogueApply(CommandContext& context);
ExitCode RunCatalogueDelete(CommandContext& context);
ExitCode RunCatalogueGet(CommandContext& context);
ExitCode RunCatalogueList(CommandContext& context);
ExitCode RunCatalogueHistory(CommandContext& context);
ExitCode RunStatus(CommandContext& context);
ExitCode RunGroups(CommandContext& context);
ExitCode RunTargets(CommandContext& context);
ExitCode RunRequestShow(CommandContext& context);
ExitCode RunTimeline(CommandContext& context);
ExitCode RunSettingsCheck(CommandContext& context);
ExitCode RunDocs(CommandContext& context);
ExitCode RunVersion(CommandContext& context);

/// \brief Creates a client for the control processes given by the options or the environment.
[[nodiscard]] Result<ControlClient> MakeControlClient(const CommandContext& context);

/// \brief Sends a GET request to the admin API; prints the reason if it fails.
/// \returns The body of the answer, or the exit code.
using ReadResult = outcome::basic_result<boost::json::value, ExitCode, outcome::policy::terminate>;
[[nodiscard]] ReadResult ReadAdmin(CommandContext& context, const std::string& path);

/// \brief Prints `gooseberrysail: <message>` to the error stream and returns `code`.
ExitCode Fail(CommandContext& context, ExitCode code, const std::string& message);

/// \brief The exit code for an HTTP status of the admin API.
[[nodiscard]] ExitCode ExitCodeOf(unsigned status) noexcept;

/// \brief The exit code for a call without a final answer.
[[nodiscard]] ExitCode ExitCodeOf(const Error& error) noexcept;

/// \brief A message with the reason from an error answer of the admin API.
[[nodiscard]] std::string ReasonOf(const AdminReply& reply);

/// \brief Percent-encodes a path segment or query value.
[[nodiscard]] std::string EncodeUrlPart(std::string_view text);

/// \brief Prints a value as one line of JSON.
void PrintJson(CommandContext& context, const boost::json::value& value);

} // namespace gooseberrysail::impl
