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

constexpr int kEndedBySignal = 128; ///< As shells report it: this and the signal's number.

volatile std::sig_atomic_t g_signal = 0;
volatile std::sig_atomic_t g_sender = 0;

// Three runs once ended at one moment without a word, and nobody could say which signal it was, or
// whose.
void NoteSignal(int signal, siginfo_t* info, void*)
{
  g_signal = signal;
  g_sender = info->si_pid;
}

void NoteEndingSignals()
{
  struct sigaction action = {};
  action.sa_sigaction = NoteSignal;
  action.sa_flags = SA_SIGINFO | SA_RESTART;
  for (const int signal : { SIGHUP, SIGINT, SIGTERM }) {
    sigaction(signal, &action, nullptr);
  }
}

/// \returns Whether the seed kept every promise.
bool Play(const SoakSettings& settings, const std::string& logs)
{
  std::cout << "seed " << settings.seed << " starts" << std::endl;
  const SoakReport report = RunSoak(settings);
  std::cout << "seed " << settings.seed << ": " << report.faults.size() << " faults, asked "
            << report.totals.asked << ", answered " << report.totals.answered << ", refused "
            << report.totals.refused << ", unclear " << report.totals.unclear << ", violations "
            << report.violations.size() << std::endl;
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
  options::options_description known("soak: real processes under seeded faults");
  auto add = known.add_options();
  add("help", "this text");
  add("daemon", options::value(&settings.daemon)->required(), "path of the daemon");
  add("seed", options::value(&settings.seed), "the first seed (1)");
  add("seeds", options::value(&seeds), "how many seeds, one after the other (1)");
  add("seconds", options::value(&seconds), "how long faults go on, each seed (10)");
  add("entries", options::value(&settings.entries), "entry processes (2)");
  add("replicas", options::value(&settings.replicas), "replicas (3)");
  add("callers", options::value(&settings.callers), "callers (8)");
  add("logs", options::value(&logs), "folder for the logs of a seed that failed (.)");
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
  NoteEndingSignals();
  bool kept = true;
  for (std::uint64_t count = 0; count < seeds; ++count, ++settings.seed) {
    kept = Play(settings, logs) && kept;
    if (g_signal != 0) {
      std::cerr << "soak: ended by signal " << g_signal << " of process " << g_sender << " in seed "
                << settings.seed << std::endl;
      return kEndedBySignal + g_signal;
    }
  }
  return kept ? 0 : 1;
}
