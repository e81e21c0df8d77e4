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

/// \brief A client for the control processes of the command line or the environment.
[[nodiscard]] Result<ControlClient> MakeControlClient(const CommandContext& context);

/// \brief Makes one reading call; prints the reason when it fails.
/// \returns The answer's object, or the exit code.
using ReadResult = outcome::basic_result<boost::json::value, ExitCode, outcome::policy::terminate>;
[[nodiscard]] ReadResult ReadAdmin(CommandContext& context, const std::string& path);

/// \brief Prints `gooseberrysail: ...` and gives the code back.
ExitCode Fail(CommandContext& context, ExitCode code, const std::string& message);

/// \brief The exit code for an answer of the admin API that is no success.
[[nodiscard]] ExitCode ExitCodeOf(unsigned status) noexcept;

/// \brief The exit code for a call that got no final answer.
[[nodiscard]] ExitCode ExitCodeOf(const Error& error) noexcept;

/// \brief The reason in an error answer of the admin API.
[[nodiscard]] std::string ReasonOf(const AdminReply& reply);

/// \brief A path segment or query value with reserved characters escaped.
[[nodiscard]] std::string EncodeUrlPart(std::string_view text);

/// \brief Prints one line of JSON.
void PrintJson(CommandContext& context, const boost::json::value& value);

} // namespace gooseberrysail::impl
