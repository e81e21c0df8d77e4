#include "gooseberrysail/cli/cli.hpp"

#include "cli/command_line.hpp"
#include "cli/commands.hpp"

namespace gooseberrysail {

ExitCode RunCli(std::span<const std::string> arguments, CliEnvironment& environment)
{
  const Result<impl::CommandLine> line = impl::ParseCommandLine(arguments);
  if (!line) {
    environment.err << "gooseberrysail: " << line.error().description
                    << "\ntry 'gooseberrysail help'\n";
    return ExitCode::kUsage;
  }
  if (line.value().help) {
    environment.out << impl::HelpText(line.value().command);
    return arguments.empty() ? ExitCode::kUsage : ExitCode::kDone;
  }
  impl::CommandContext context{ line.value(), environment };
  return line.value().command->run(context);
}

} // namespace gooseberrysail
