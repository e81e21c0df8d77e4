#include "gooseberrysail/serving/document.hpp"
#include "gooseberrysail/serving/route_index.hpp"
#include "gooseberrysail/serving/target_table.hpp"
#include "support/section.hpp"

#include <gmock/gmock.h>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;
using ::testing::HasSubstr;

HttpRoute Route(const std::string& name, const std::string& prefix)
{
  HttpRoute route;
  route.name = name;
  route.host = "hire.example";
  route.pathPrefix = prefix;
  route.timeout = 3s;
  route.shares = { { "portal", 1 } };
  return route;
}

ServingDocument GoodDocument()
{
  ServingDocument document;
  document.version = 3;
  document.services.push_back({ "portal", "/health", 10, std::nullopt });
  document.routes = { Route("all", "/"),
                      Route("bookings", "/bookings/"),
                      Route("rollers", "/bookings/rollers/") };
  document.workspaces = { { "parish", { "key-1", "key-2" }, std::nullopt } };
  document.needsKeys = true;
  return document;
}

std::string FaultOf(const ServingDocument& document)
{
  const Result<void> checked = ValidateDocument(document);
  return checked ? "" : checked.error().description;
}

TEST(ServingDocument, IsRejectedIfAnyPartIsInvalid)
{
  ServingDocument document = GoodDocument();
  EXPECT_EQ(FaultOf(document), "");
  SECTION("no version")
  {
    document.version = 0;
    EXPECT_THAT(FaultOf(document), HasSubstr("version"));
  }
  SECTION("an unknown service")
  {
    document = GoodDocument();
    document.routes[0].shares = { { "nobody", 1 } };
    EXPECT_THAT(FaultOf(document), HasSubstr("unknown service 'nobody'"));
  }
  SECTION("two routes with the same host and prefix")
  {
    document = GoodDocument();
    document.routes[1].pathPrefix = "/";
    EXPECT_THAT(FaultOf(document), HasSubstr("host and prefix of another"));
  }
  SECTION("weights that add up to 0")
  {
    document = GoodDocument();
    document.routes[0].shares = { { "portal", 0 }, { "portal", 0 } };
    EXPECT_THAT(FaultOf(document), HasSubstr("add up to 0"));
  }
  SECTION("a timeout of 0")
  {
    document = GoodDocument();
    document.routes[0].timeout = {};
    EXPECT_THAT(FaultOf(document), HasSubstr("timeout"));
  }
  SECTION("a key of two workspaces")
  {
    document = GoodDocument();
    document.workspaces.push_back({ "other", { "key-2" }, std::nullopt });
    EXPECT_THAT(FaultOf(document), HasSubstr("share a key"));
  }
  SECTION("a prefix without its last slash")
  {
    document = GoodDocument();
    document.routes[1].pathPrefix = "/bookings";
    EXPECT_THAT(FaultOf(document), HasSubstr("slashes"));
  }
}

TEST(RouteIndex, TheLongestPrefixWins)
{
  const RouteIndex index(GoodDocument());
  const auto name = [&](std::string_view host, std::string_view target) {
    const HttpRoute* route = index.Match(host, target);
    return route == nullptr ? std::string("none") : route->name;
  };
  EXPECT_EQ(name("hire.example", "/bookings/rollers/7?day=fri"), "rollers");
  EXPECT_EQ(name("hire.example", "/bookings/cranes"), "bookings");
  EXPECT_EQ(name("hire.example", "/bookings"), "all");
  EXPECT_EQ(name("hire.example", "/?next=/bookings/rollers/"), "all");
  EXPECT_EQ(name("HIRE.example:8080", "/bookings/x"), "bookings");
  EXPECT_EQ(name("other.example", "/bookings/x"), "none");
  EXPECT_EQ(name("hire.example", "bookings/x"), "none");
}

TEST(RouteIndex, KeysIdentifyTheirWorkspace)
{
  const RouteIndex index(GoodDocument());
  ASSERT_NE(index.FindByKey("key-2"), nullptr);
  EXPECT_EQ(index.FindByKey("key-2")->name, "parish");
  EXPECT_EQ(index.FindByKey("key"), nullptr);
  EXPECT_EQ(index.FindByKey(""), nullptr);
}

TargetAnnouncement Heartbeat(std::uint64_t sequence, bool draining)
{
  TargetAnnouncement heartbeat;
  heartbeat.instance = InstanceId("i-1");
  heartbeat.service = "portal";
  heartbeat.address = "10.0.0.9:8080";
  heartbeat.sequence = sequence;
  heartbeat.draining = draining;
  return heartbeat;
}

TargetAnnouncement HeartbeatOf(std::uint64_t born, std::uint64_t sequence)
{
  TargetAnnouncement heartbeat = Heartbeat(sequence, false);
  heartbeat.born = Incarnation(born);
  return heartbeat;
}

// A restarted target keeps its name and counts its heartbeats from 1 again, and a late heartbeat of
// the former incarnation may follow its first one. If only the count were compared, the target
// would not be used for a minute, or its group would not notice the restart.
TEST(TargetTable, ANewIncarnationIsNotLate)
{
  using Change = TargetTable::Change;
  const TimePoint now{ 1h };
  const InstanceId instance("i-1");
  TargetTable table;
  TargetAnnouncement former = HeartbeatOf(100, 40);
  former.loadedModel = "large";
  former.membership = { "g7", Epoch(12), 1, wire::MemberState::Open };
  EXPECT_EQ(table.Update(now, former), Change::kState);
  SECTION("its first heartbeat counts, and the state of the former incarnation is dropped")
  {
    EXPECT_EQ(table.Update(now + 1s, HeartbeatOf(200, 1)), Change::kState);
    EXPECT_EQ(table.Find(instance)->latest.membership.group, "");
    EXPECT_EQ(table.Find(instance)->lastModel, "");
    EXPECT_EQ(table.Find(instance)->firstSeenAt, now + 1s);
  }
  SECTION("a late heartbeat of the former incarnation changes nothing")
  {
    table.Update(now + 1s, HeartbeatOf(200, 1));
    ++former.sequence;
    EXPECT_EQ(table.Update(now + 2s, former), Change::kNone);
    EXPECT_EQ(table.Find(instance)->latest.born, Incarnation(200));
  }
  SECTION("within an incarnation a lower count is late")
  {
    table.Update(now + 1s, HeartbeatOf(200, 5));
    EXPECT_EQ(table.Update(now + 2s, HeartbeatOf(200, 4)), Change::kNone);
  }
  SECTION("a departure ends its own incarnation only")
  {
    table.Update(now + 1s, HeartbeatOf(200, 1));
    EXPECT_EQ(table.MarkLeft(now + 2s, instance, Incarnation(100)), Change::kNone);
    EXPECT_FALSE(table.Find(instance)->latest.left);
    EXPECT_EQ(table.MarkLeft(now + 2s, instance, Incarnation(200)), Change::kState);
    EXPECT_EQ(table.Update(now + 3s, HeartbeatOf(200, 2)), Change::kNone);
    EXPECT_EQ(table.Update(now + 3s, HeartbeatOf(300, 1)), Change::kState);
    EXPECT_FALSE(table.Find(instance)->latest.left);
  }
  SECTION("the incarnation is part of the encoded announcement")
  {
    EXPECT_EQ(FromWire(ToWire(former)).born, Incarnation(100));
  }
}

// A target announces to one control process that it is leaving, and an earlier heartbeat reaches
// another process late. If the last to arrive counted, the target would get new requests.
TEST(TargetTable, LateHeartbeatsChangeNothing)
{
  using Change = TargetTable::Change;
  const TimePoint now{ 1h };
  TargetTable table;
  EXPECT_EQ(table.Update(now, Heartbeat(4, false)), Change::kState);
  EXPECT_EQ(table.Update(now, Heartbeat(5, false)), Change::kRefresh);
  EXPECT_EQ(table.Update(now, Heartbeat(7, true)), Change::kState);
  EXPECT_EQ(table.Update(now, Heartbeat(6, false)), Change::kNone);
  EXPECT_TRUE(table.Find(InstanceId("i-1"))->latest.draining);
  SECTION("none brings back a target that left")
  {
    EXPECT_EQ(table.MarkLeft(now, InstanceId("i-1")), Change::kState);
    EXPECT_EQ(table.Update(now, Heartbeat(9, false)), Change::kNone);
    EXPECT_TRUE(table.Find(InstanceId("i-1"))->latest.left);
  }
  SECTION("the row of a target is removed after the retention time")
  {
    table.RemoveExpired(now + TargetTable::kDepartedRetention + 1s);
    EXPECT_EQ(table.Find(InstanceId("i-1")), nullptr);
  }
}

TEST(TargetTable, AnnouncementsRoundTrip)
{
  TargetAnnouncement sent = Heartbeat(4, true);
  sent.stagedModels = { "large" };
  sent.membership = { "g9", Epoch(9), 2, wire::MemberState::Ready };
  const TargetAnnouncement received = FromWire(ToWire(sent));
  EXPECT_EQ(received.instance, sent.instance);
  EXPECT_EQ(received.stagedModels, sent.stagedModels);
  EXPECT_EQ(received.membership.group, "g9");
  EXPECT_EQ(received.membership.rank, 2U);
  EXPECT_TRUE(received.draining);
}

} // namespace
} // namespace gooseberrysail
