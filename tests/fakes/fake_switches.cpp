#include "fakes/fake_switches.hpp"

#include <array>
#include <boost/json.hpp>
#include <string>
#include <utility>

namespace gooseberrysail::fakes {

namespace {

struct Flag
{
  std::string_view name;
  bool Switches::*field;
};

struct Number
{
  std::string_view name;
  std::uint32_t Switches::*field;
};

constexpr std::array kFlags{ Flag{ "ignoreFencing", &Switches::ignoreFencing },
                             Flag{ "hang", &Switches::hang },
                             Flag{ "unhealthy", &Switches::unhealthy },
                             Flag{ "silentHealth", &Switches::silentHealth } };
constexpr std::array kNumbers{ Number{ "tokenDelayMs", &Switches::tokenDelayMs },
                               Number{ "answerDelayMs", &Switches::answerDelayMs },
                               Number{ "loadDelayMs", &Switches::loadDelayMs },
                               Number{ "cutAfterTokens", &Switches::cutAfterTokens },
                               Number{ "dieAfterTokens", &Switches::dieAfterTokens },
                               Number{ "responseBytes", &Switches::responseBytes },
                               Number{ "cacheDelayMs", &Switches::cacheDelayMs },
                               Number{ "cacheGapEvery", &Switches::cacheGapEvery } };

bool Set(Switches& switches, std::string_view name, const boost::json::value& value)
{
  for (const Flag& flag : kFlags) {
    if (flag.name == name && value.is_bool()) {
      switches.*flag.field = value.get_bool();
      return true;
    }
  }
  for (const Number& number : kNumbers) {
    boost::system::error_code failed;
    const auto read = value.is_number() ? value.to_number<std::uint32_t>(failed) : 0;
    if (number.name == name && value.is_number() && !failed) {
      switches.*number.field = read;
      return true;
    }
  }
  return false;
}

} // namespace

Result<Switches> ApplySwitches(const Switches& current, std::string_view json)
{
  boost::system::error_code failed;
  const auto parsed =
    boost::json::parse(boost::json::string_view(json.data(), json.size()), failed);
  if (failed || !parsed.is_object()) {
    return Error{ ErrorCode::kInvalid, "read switches", "", "not a JSON object" };
  }
  Switches switches = current;
  for (const auto& [name, value] : parsed.get_object()) {
    if (!Set(switches, std::string_view(name.data(), name.size()), value)) {
      return Error{ ErrorCode::kInvalid,
                    "read switches",
                    "",
                    "no switch `" + std::string(name) + "` of this type" };
    }
  }
  return switches;
}

} // namespace gooseberrysail::fakes
