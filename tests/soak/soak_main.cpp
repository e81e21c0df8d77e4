#include "soak/soak.hpp"

#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>

namespace {

using gooseberrysail::soak::RunSoak;
using gooseberrysail::soak::SoakReport;
using gooseberrysail::soak::SoakSettings;
namespace options = boost::program_options;

/// \returns Whether the seed kept every promise.
bool Play(const SoakSettings& settings, const std::string& logs)
{
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
  bool kept = true;
  for (std::uint64_t count = 0; count < seeds; ++count, ++settings.seed) {
    kept = Play(settings, logs) && kept;
  }
  return kept ? 0 : 1;
}
