#pragma once

#include "gooseberrysail/cli/control_client.hpp"
#include "gooseberrysail/cli/exit_code.hpp"
#include "gooseberrysail/settings/settings.hpp"

#include <cstdint>
#include <functional>
#include <ostream>
#include <span>
#include <string>

namespace gooseberrysail {

/// \brief External dependencies of the command-line tool, replaceable in tests.
struct CliEnvironment
{
  std::ostream& out;
  std::ostream& err;
  FileReader readFile;
  std::function<Result<void>(const std::string& path, const std::string& text)> writeFile;
  std::function<std::string(const char* name)> variable; ///< Environment variable; "" when unset.
  std::function<std::uint64_t()> random;
  std::function<WallMillis()> wallMillis;
  ControlClientHooks control;
};

/// \brief Runs one command of `gooseberrysail`.
/// \param arguments Without the program's name.
[[nodiscard]] ExitCode RunCli(std::span<const std::string> arguments, CliEnvironment& environment);

} // namespace gooseberrysail
