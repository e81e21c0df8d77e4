#include "gooseberrysail/serving/route_index.hpp"
#include "platform/control_adapter.hpp"
#include "platform/gateway_adapter.hpp"
#include "platform/operator_config.hpp"
#include "support/control_cluster.hpp"
#include "support/section.hpp"

#include <gmock/gmock.h>

namespace gooseberrysail::test {
namespace {

using ::testing::HasSubstr;

constexpr unsigned kOk = 200;
constexpr unsigned kInvalid = 400;

boost::json::object Route(const std::string& name, const std::string& host)
{
  return { { "name", name },      { "host", host },
           { "kind", "safe" },    { "pathPrefix", "/lookup/" },
           { "timeoutMs", 3000 }, { "service", "registry" },
           { "public", true } };
}

std::string ConfigOf(std::uint64_t version, const boost::json::array& routes)
{
  return boost::json::serialize(boost::json::object{
    { "version", version }, { "routes", routes }, { "services", { { { "name", "registry" } } } } });
}

std::string Config(std::uint64_t version, const std::vector<std::string>& hosts)
{
  boost::json::array routes;
  for (const std::string& host : hosts) {
    routes.push_back(Route("r" + std::to_string(routes.size()), host));
  }
  return ConfigOf(version, routes);
}

/// \brief One control process, called by operators.
struct Operators
{
  Operators()
  {
    control.outside = platform::MakeOutsideApi("127.0.0.1:7340");
    control.Restart();
    control.Lead(1);
  }

  Answer Call(const std::string& method, const std::string& body = "")
  {
    ++exchange;
    control.Tick({ Called(exchange, method, "/api/config", body) });
    control.Run(seconds(1));
    const std::optional<Answer> answer = AnswerOf(control.seen, exchange);
    return answer.value_or(Answer());
  }

  unsigned Put(const std::string& config) { return Call("PUT", config).status; }

  std::shared_ptr<ScriptedLog> log = std::make_shared<ScriptedLog>();
  ControlNode control{ "control-1", log, MakeControlSettings("control-1") };
  std::uint64_t exchange = 0;
};

bool IsServed(const std::string& config, std::string_view host)
{
  const Result<ServingDocument> document = platform::ReadConfig(config);
  return document && RouteIndex(document.value()).Match(host, "/lookup/7") != nullptr;
}

// Guards against a route that is acknowledged and not served, as its host is stored as written and
// looked up in lower case and without its port.
TEST(RouteHosts, AnAcknowledgedSpellingIsServed)
{
  Operators operators;
  std::uint64_t version = 0;
  for (const char* host : { "depot.example",
                            "Depot.example",
                            "DEPOT.EXAMPLE",
                            "depot.example:8080",
                            "Depot.Example:80",
                            "depot.example.",
                            "depot.example.:8080",
                            "depot",
                            "dep%6ft.example",
                            "my_depot.example",
                            "xn--dpt-bma5b.example",
                            "10.0.0.9",
                            "10.0.0.9:8227",
                            "[::1]",
                            "[::1]:8227",
                            "[0:0:0:0:0:0:0:1]",
                            "[2001:DB8::A]",
                            "[::ffff:10.0.0.9]" }) {
    SECTION(host)
    {
      const std::string config = Config(++version, { host });
      EXPECT_EQ(operators.Put(config), kOk);
      EXPECT_TRUE(IsServed(config, host));
      SECTION("and read back as it was written")
      {
        EXPECT_EQ(operators.Call("GET").body, boost::json::parse(config).as_object());
      }
    }
  }
}

TEST(RouteHosts, AllSpellingsNameOneHost)
{
  for (const char* written : { "depot.example", "Depot.example:8080", "depot.example." }) {
    for (const char* asked : { "depot.example",
                               "DEPOT.example",
                               "depot.example:8227",
                               "depot.example.",
                               "depot.example.:80" }) {
      EXPECT_TRUE(IsServed(Config(1, { written }), asked)) << written << " " << asked;
    }
    EXPECT_FALSE(IsServed(Config(1, { written }), "other.example")) << written;
    EXPECT_FALSE(IsServed(Config(1, { written }), "depot.example.example")) << written;
    EXPECT_FALSE(IsServed(Config(1, { written }), "")) << written;
  }
  for (const char* asked : { "[::1]", "[::1]:8227", "[0:0::1]" }) {
    EXPECT_TRUE(IsServed(Config(1, { "[::1]" }), asked)) << asked;
    EXPECT_FALSE(IsServed(Config(1, { "[::2]" }), asked)) << asked;
  }
}

// Guards against a change that is acknowledged and can never be served.
TEST(RouteHosts, AHostThatCantBeReadIsRefused)
{
  Operators operators;
  std::uint64_t version = 0;
  for (const char* host : { "",
                            " depot.example",
                            "depot.example ",
                            "depot example",
                            "depot.example/lookup",
                            "http://depot.example",
                            "user@depot.example",
                            "depot.example:port",
                            "depot.example:99999",
                            "depot..example",
                            ".",
                            ":8080",
                            "*.example",
                            "::1",
                            "[::1",
                            "[::g]",
                            "d\xc3\xa9pot.example",
                            "depot.example\r\n" }) {
    SECTION(host)
    {
      const unsigned status = operators.Put(Config(++version, { host }));
      EXPECT_EQ(status, kInvalid);
      EXPECT_FALSE(operators.control.seen.empty());
    }
  }
}

// Guards against two routes with one host and prefix, of which only one is served.
TEST(RouteHosts, TwoSpellingsOfOneHostAreRefused)
{
  Operators operators;
  EXPECT_EQ(operators.Put(Config(1, { "depot.example", "Depot.example" })), kInvalid);
  EXPECT_THAT(
    std::string(
      operators.Call("PUT", Config(1, { "[::1]", "[0::1]:80" })).body.at("error").as_string()),
    HasSubstr("r1"));
  EXPECT_EQ(operators.Put(Config(1, { "depot.example", "depot2.example" })), kOk);
}

// Guards against a control process or an entry without a configuration, because the log has one
// that an earlier version accepted.
TEST(RouteHosts, AStoredDocumentWithTwoSpellingsIsLoaded)
{
  Operators operators;
  const std::string config = Config(5, { "Depot.example", "depot.example", "a b", "yard.example" });
  wire::PutDocumentT command;
  command.version = 5;
  command.text = config;
  operators.log->entries.push_back({ Term(1), EncodeCommand(std::move(command)) });
  operators.control.Restart();
  operators.control.Lead(2);
  SECTION("the spelling that was served is served, and the other routes")
  {
    const RouteIndex index(platform::ReadConfig(config).value());
    ASSERT_NE(index.Match("depot.example", "/lookup/7"), nullptr);
    EXPECT_EQ(index.Match("depot.example", "/lookup/7")->name, "r1");
    ASSERT_NE(index.Match("yard.example", "/lookup/7"), nullptr);
  }
  SECTION("it is read back, and acknowledged when it is sent again")
  {
    EXPECT_EQ(operators.Call("GET").body, boost::json::parse(config).as_object());
    EXPECT_EQ(operators.Put(config), kOk);
  }
  SECTION("a target of its service is accepted, one of another is not")
  {
    const auto announce = [&](const std::string& service) {
      ++operators.exchange;
      operators.control.Tick(
        { Called(operators.exchange,
                 "PUT",
                 "/api/instances/i-1",
                 R"({"service":")" + service +
                   R"(","address":"10.0.0.9:80","zone":"z","version":"v1","slots":3,)"
                   R"("state":"ready","coldLeftMs":0,"seq":1})") });
      return AnswerOf(operators.control.seen, operators.exchange)->status;
    };
    EXPECT_EQ(announce("other"), kInvalid);
    EXPECT_EQ(announce("registry"), kOk);
  }
  SECTION("the same content under a newer version is refused")
  {
    EXPECT_EQ(operators.Put(Config(6, { "Depot.example", "depot.example" })), kInvalid);
  }
}

std::string ConfigOfPrefixes(std::uint64_t version, const std::vector<std::string>& prefixes)
{
  boost::json::array routes;
  for (const std::string& prefix : prefixes) {
    boost::json::object route = Route("r" + std::to_string(routes.size()), "depot.example");
    route["pathPrefix"] = prefix;
    routes.push_back(route);
  }
  return ConfigOf(version, routes);
}

bool IsPathServed(const std::string& config, std::string_view path)
{
  const Result<ServingDocument> document = platform::ReadConfig(config);
  return document && RouteIndex(document.value()).Match("depot.example", path) != nullptr;
}

// Guards against a prefix that is acknowledged and not served, as a request may write the same
// segments with other percent-encodings.
TEST(RoutePrefixes, AllEncodingsNameOnePath)
{
  Operators operators;
  std::uint64_t version = 0;
  const std::vector<std::vector<std::string>> samePaths{
    { "/caf%C3%A9/", "/caf%c3%a9/" },
    { "/depot/", "/%64epot/", "/dep%6Ft/" },
    { "/a%20b/", "/a%20%62/" },
    { "/a%2Fb/", "/a%2fb/" },
    { "/a%25b/" },
  };
  for (const std::vector<std::string>& spellings : samePaths) {
    for (const std::string& written : spellings) {
      const std::string config = ConfigOfPrefixes(++version, { written });
      EXPECT_EQ(operators.Put(config), kOk) << written;
      for (const std::string& asked : spellings) {
        EXPECT_TRUE(IsPathServed(config, asked + "7?x=%zz")) << written << " " << asked;
      }
    }
    if (spellings.size() > 1) {
      EXPECT_EQ(operators.Put(ConfigOfPrefixes(++version, { spellings[0], spellings[1] })),
                kInvalid);
    }
  }
  EXPECT_FALSE(IsPathServed(ConfigOfPrefixes(1, { "/a/b/" }), "/a%2Fb/7"));
  EXPECT_FALSE(IsPathServed(ConfigOfPrefixes(1, { "/a/" }), "/%zz/a/7"));
}

// Guards against a change that is acknowledged and can never be served.
TEST(RoutePrefixes, APrefixThatNoRequestCanHaveIsRefused)
{
  Operators operators;
  std::uint64_t version = 0;
  for (const char* prefix :
       { "/a b/", "/a?b/", "/a#b/", "/a%zz/", "/a%2/", "/caf\xc3\xa9/", "/a\n/" }) {
    EXPECT_EQ(operators.Put(ConfigOfPrefixes(++version, { prefix })), kInvalid) << prefix;
  }
}

std::string ConfigOfKeys(std::uint64_t version, const boost::json::array& keys)
{
  return boost::json::serialize(
    boost::json::object{ { "version", version },
                         { "routes", { Route("r0", "depot.example") } },
                         { "services", { { { "name", "registry" } } } },
                         { "tenants", { { { "name", "parish" }, { "apiKeys", keys } } } } });
}

/// \brief The workspace of a request with these credentials; "" for none.
std::string WorkspaceOf(const std::string& config, const std::string& authorization)
{
  HttpRequestIn request;
  request.headers = { { "X-Request-Id", "r1" } };
  if (!authorization.empty()) {
    request.headers.push_back({ "Authorization", authorization });
  }
  const RouteIndex index(platform::ReadConfig(config).value());
  const std::string key = platform::MakeGatewayApi().decodeCall(request).value().key;
  const ServingWorkspace* workspace = index.FindByKey(key);
  return workspace == nullptr ? "" : workspace->name;
}

// Guards against a key that is acknowledged and refused, as its request writes the scheme of the
// credentials in another case or with more spaces.
TEST(RouteKeys, AreFoundHoweverTheSchemeIsWritten)
{
  const std::string config = ConfigOfKeys(1, { "Key-1" });
  for (const char* value : { "Bearer Key-1", "bearer Key-1", "BEARER Key-1", "Bearer  Key-1" }) {
    EXPECT_EQ(WorkspaceOf(config, value), "parish") << value;
  }
  for (const char* value : { "", "Bearer", "Bearer ", "Bearer key-1", "Basic Key-1", "Key-1" }) {
    EXPECT_EQ(WorkspaceOf(config, value), "") << value;
  }
}

// Guards against a workspace that every request without a key belongs to, and against keys that
// are acknowledged and can't be sent.
TEST(RouteKeys, AKeyThatNoRequestCanHaveIsRefused)
{
  Operators operators;
  std::uint64_t version = 0;
  for (const boost::json::string& key : { boost::json::string(""),
                                          boost::json::string(" k"),
                                          boost::json::string("k "),
                                          boost::json::string("a\nb"),
                                          boost::json::string("a\0b", 3) }) {
    EXPECT_EQ(operators.Put(ConfigOfKeys(++version, { key })), kInvalid) << key;
  }
  SECTION("in a stored document an empty key is nobody's")
  {
    EXPECT_EQ(WorkspaceOf(ConfigOfKeys(1, { "" }), ""), "");
  }
}

} // namespace
} // namespace gooseberrysail::test
