#include "soak/soak.hpp"

#include <boost/program_options.hpp>
#include <csignal>
#include <fstream>
#include <iostream>

namespace {

using gooseberrysail::soak::RunSoak;
using gooseberrysail::soak::SoakReport;
using gooseberrysail::soak::SoakSettings;
namespace options = boost::program_options;

constexpr int kSignalExitBase = 128; ///< Plus the signal's number, as shells report it.

volatile std::sig_atomic_t g_signal = 0;
volatile std::sig_atomic_t g_sender = 0;

// Records the signal and its sender for the final message. Runs ended by an unhandled signal left
// no trace of which one it was or who had sent it.
void RecordSignal(int signal, siginfo_t* info, void*)
{
  g_signal = signal;
  g_sender = info->si_pid;
}

void InstallSignalHandlers()
{
  struct sigaction action = {};
  action.sa_sigaction = RecordSignal;
  action.sa_flags = SA_SIGINFO | SA_RESTART;
  for (const int signal : { SIGHUP, SIGINT, SIGTERM }) {
    sigaction(signal, &action, nullptr);
  }
}

/// \returns Whether the run had no violations.
bool RunSeed(const SoakSettings& settings, const std::string& logs)
{
  std::cout << "seed " << settings.seed << " starts" << std::endl;
  const SoakReport report = RunSoak(settings);
  std::cout << "seed " << settings.seed << ": " << report.faults.size() << " faults, asked "
            << report.totals.asked << ", answered " << report.totals.answered << " ("
            << report.totals.longStreams << " long streams), refused " << report.totals.refused
            << ", unclear " << report.totals.unclear << ", control held "
            << (report.controlBytes / 1000 / 1000) << " MB, violations " << report.violations.size()
            << std::endl;
  for (const std::string& violation : report.violations) {
    std::cout << "  " << violation << "\n";
  }
  if (!report.violations.empty()) {
    const std::string path = logs + "/seed-" + std::to_string(settings.seed) + ".log";
    std::ofstream file(path);
    for (const std::string& fault : report.faults) {
      file << fault << "\n";
    }
    file << report.outputs;
    std::cout << "  faults and logs: " << path << std::endl;
  }
  return report.violations.empty();
}

} // namespace

int main(int argc, char** argv)
{
  SoakSettings settings;
  std::uint64_t seeds = 1;
  std::uint64_t seconds = 10;
  std::string logs = ".";
  options::options_description known("soak: runs real processes under seeded faults");
  auto add = known.add_options();
  add("help", "print this help");
  add("daemon", options::value(&settings.daemon)->required(), "path of the daemon's executable");
  add("seed", options::value(&settings.seed), "the first seed (1)");
  add("seeds", options::value(&seeds), "number of seeds, run one after another (1)");
  add("seconds", options::value(&seconds), "duration of the faults for each seed (10)");
  add("entries", options::value(&settings.entries), "number of entry processes (2)");
  add("replicas", options::value(&settings.replicas), "number of replicas (3)");
  add("members", options::value(&settings.members), "number of replicas in larger groups (12)");
  add("pool-callers", options::value(&settings.poolCallers), "number of their callers (6)");
  add("callers", options::value(&settings.callers), "number of concurrent callers (8)");
  add("logs", options::value(&logs), "folder for the logs of failed seeds (.)");
  options::variables_map given;
  try {
    options::store(options::parse_command_line(argc, argv, known), given);
    if (given.count("help") != 0) {
      std::cout << known;
      return 0;
    }
    options::notify(given);
  } catch (const options::error& error) {
    std::cerr << "soak: " << error.what() << "\n" << known;
    return 2;
  }
  settings.length = std::chrono::seconds(seconds);
  settings.shouldStop = [] { return g_signal != 0; };
  InstallSignalHandlers();
  bool kept = true;
  for (std::uint64_t count = 0; count < seeds; ++count, ++settings.seed) {
    kept = RunSeed(settings, logs) && kept;
    if (g_signal != 0) {
      std::cerr << "soak: ended by signal " << g_signal << " of process " << g_sender << " in seed "
                << settings.seed << std::endl;
      return kSignalExitBase + g_signal;
    }
  }
  return kept ? 0 : 1;
}
