#include "gooseberrysail/gateway/dispatcher.hpp"
#include "support/plain_gateway_api.hpp"
#include "support/section.hpp"

#include <gmock/gmock.h>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;
using ::testing::HasSubstr;

constexpr TimePoint kNow{ 1h };

/// Requests that an entry sends to one target before it counts as full.
std::uint32_t CountSent(TargetSelector& selector, const TargetQuery& query)
{
  std::uint32_t sent = 0;
  while (const ServedTarget* target = selector.Choose(kNow, query)) {
    selector.OnSent(kNow, { target->instance, target->born }, query.tokens);
    ++sent;
  }
  return sent;
}

TargetSelector SelectorOf(const std::string& model, std::uint32_t entries)
{
  TargetSelector selector(FailureDomainId("a"), [] { return std::uint64_t{ 0 }; });
  selector.SetEntries(entries);
  selector.Replace(
    kNow,
    std::vector<ServedTarget>{
      { InstanceId("t"), "service", "t:80", FailureDomainId("a"), 48, false, model } });
  return selector;
}

// Guards against entries that together open more connections than a target takes.
TEST(ConfiguredLimits, EntriesDivideTheConnectionsOfATarget)
{
  const std::set<InstanceId> none;
  for (const std::uint32_t entries : { 1U, 14U, 200U }) {
    TargetSelector selector = SelectorOf("", entries);
    TargetQuery query{ "service", "", none };
    query.maxConnections = 28;
    const std::uint32_t sent = CountSent(selector, query);
    EXPECT_EQ(sent, std::max(28 / entries, 1U)) << entries << " entries";
    EXPECT_EQ(selector.ReasonForNoTarget(kNow, query), NoTargetReason::kFull);
  }
  SECTION("without a limit the slots decide")
  {
    TargetSelector selector = SelectorOf("", 1);
    EXPECT_EQ(CountSent(selector, { "service", "", none }), 48U);
  }
}

// Guards against requests that an engine interrupts because its memory is full.
TEST(ConfiguredLimits, RequestsFitIntoTheMemoryOfAGroup)
{
  const std::set<InstanceId> none;
  TargetSelector selector = SelectorOf("m", 1);
  TargetQuery query{ "service", "m", none };
  query.cacheTokens = 10'000;
  query.tokens = 1'500;
  EXPECT_EQ(CountSent(selector, query), 6U);
  SECTION("memory is free again when a request has ended")
  {
    selector.OnEnded({ InstanceId("t"), {} }, query.tokens);
    EXPECT_EQ(CountSent(selector, query), 1U);
  }
}

// Guards against a request that every group rejects as if it were full, and whose caller comes back
// in vain.
TEST(ConfiguredLimits, ARequestLargerThanAGroupIsRefusedAtOnce)
{
  Dispatcher dispatcher(
    tests::PlainApi(), {}, FailureDomainId("a"), [] { return std::uint64_t{ 0 }; });
  ServingDocument document;
  document.version = 1;
  HttpRoute route;
  route.host = "h";
  route.pathPrefix = "/a/";
  route.timeout = 3s;
  route.objective = 300ms;
  route.isPublic = true;
  route.shares = { { "service", 1 } };
  document.routes = { route };
  document.services.resize(1);
  document.services[0].name = "service";
  document.services[0].engine.emplace().cacheTokens = 1000;
  ServingSnapshot snapshot;
  snapshot.index = std::make_shared<const RouteIndex>(document);
  std::vector<GatewayOutput> outbox;
  dispatcher.OnTargets(
    kNow,
    std::vector<ServedTarget>{
      { InstanceId("h"), "service", "h:80", FailureDomainId("a"), 48, false, "m" } },
    outbox);
  const auto ask = [&](const std::string& promptTokens) {
    outbox.clear();
    HttpRequestIn request;
    request.exchange = ExchangeId(promptTokens.size());
    request.method = "POST";
    request.target = "/a/x";
    request.headers = {
      { "Host", "h" }, { "X-Request-Id", "r" }, { "Model", "m" }, { "Prompt", promptTokens }
    };
    dispatcher.OnRequest(kNow, std::move(request), snapshot, outbox);
  };
  ask("900"); // Its caller allows an output of 365 tokens.
  const auto refused = std::ranges::find_if(
    outbox, [](const auto& output) { return std::holds_alternative<HttpAnswerOut>(output); });
  ASSERT_NE(refused, outbox.end());
  const auto& answer = std::get<HttpAnswerOut>(*refused);
  EXPECT_EQ(answer.status, 503U);
  EXPECT_THAT(answer.bytes, HasSubstr("not-run"));
  EXPECT_EQ(FindHeader(answer.headers, "Retry-After"), "");
  SECTION("one that fits is sent")
  {
    ask("63");
    EXPECT_TRUE(std::ranges::any_of(
      outbox, [](const auto& output) { return std::holds_alternative<TargetCallOut>(output); }));
  }
}

} // namespace
} // namespace gooseberrysail
