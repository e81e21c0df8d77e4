#include "fakes/fake_target.hpp"

#include <boost/program_options.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <unistd.h>

namespace {

namespace options = boost::program_options;

constexpr int kBadUsage = 2;
constexpr int kSelfKilled = 9;

options::options_description Description()
{
  options::options_description description("fake_target: a fake model engine and plain service");
  description.add_options()("help", "print this help")(
    "listen",
    options::value<std::string>()->default_value("127.0.0.1:0"),
    "ip:port; port 0: any free port")(
    "model", options::value<std::string>()->default_value(""), "model loaded at the start")(
    "version", options::value<std::string>()->default_value(""), "version of that model")(
    "switches",
    options::value<std::string>()->default_value("{}"),
    R"(JSON as for POST /switch, such as {"tokenDelayMs":20})");
  return description;
}

int Serve(const options::variables_map& values)
{
  using namespace gooseberrysail;
  const auto switches = fakes::ApplySwitches({}, values["switches"].as<std::string>());
  if (!switches) {
    std::cerr << switches.error() << '\n';
    return kBadUsage;
  }
  IoRuntime runtime;
  fakes::FakeTarget target(
    runtime,
    fakes::FakeTarget::Settings{ .listenAddress = values["listen"].as<std::string>(),
                                 .model = values["model"].as<std::string>(),
                                 .version = values["version"].as<std::string>(),
                                 .switches = switches.value(),
                                 .die = [] { _exit(kSelfKilled); } });
  const auto started = target.Start();
  if (!started) {
    std::cerr << started.error() << '\n';
    return EXIT_FAILURE;
  }
  std::cout << "listening on " << target.ListenAddress() << std::endl;
  runtime.OnSignals({ SIGTERM, SIGINT }, [&runtime](int) { runtime.Stop(); });
  runtime.Run();
  target.Close();
  return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, Description()), values);
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << "fake_target: " << error.what() << '\n' << Description();
    return kBadUsage;
  }
  if (values.count("help") > 0) {
    std::cout << Description();
    return EXIT_SUCCESS;
  }
  return Serve(values);
}
