#include "gooseberrysail/routing/router.hpp"
#include "support/section.hpp"

#include <gtest/gtest.h>
#include <random>
#include <set>

namespace gooseberrysail {
namespace {

RouteCandidate Candidate(std::uint64_t group, const std::string& domain)
{
  RouteCandidate candidate;
  candidate.group = GroupId(group);
  candidate.entry = EntryName("hire-assist");
  candidate.failureDomain = FailureDomainId(domain);
  return candidate;
}

RouteQuery Query(const std::string& entry = "hire-assist")
{
  RouteQuery query;
  query.entry = EntryName(entry);
  return query;
}

LoadObservation ClosedLoad()
{
  LoadObservation load;
  load.open = false;
  return load;
}

TEST(Router, SendsToTheLeastLoadedOfThoseNotTriedYet)
{
  std::mt19937_64 random(1);
  Router router(FailureDomainId("half-way-tree"), [&random] { return random(); });
  router.Upsert(Candidate(1, "half-way-tree"));
  router.Upsert(Candidate(2, "spanish-town"));
  const RouteQuery query = Query();
  const TimePoint now{};

  SECTION("both idle: the own failure domain is preferred")
  {
    EXPECT_EQ(router.Choose(now, query), GroupId(1));
  }
  SECTION("the group in the own domain is busy")
  {
    router.OnSent(now, GroupId(1), query);
    router.OnSent(now, GroupId(1), query);
    EXPECT_EQ(router.Choose(now, query), GroupId(2));
  }
  SECTION("the group in the other domain was tried")
  {
    const std::vector<GroupId> tried{ GroupId(2) };
    RouteQuery retry = query;
    retry.tried = tried;
    EXPECT_EQ(router.Choose(now, retry), GroupId(1));
  }
  SECTION("the group in the other domain is closed")
  {
    router.OnLoad(now, GroupId(2), ClosedLoad());
    EXPECT_EQ(router.Choose(now, query), GroupId(1));
  }
  SECTION("no group serves the entry")
  {
    EXPECT_EQ(router.Choose(now, Query("booking-portal")), std::nullopt);
  }
}

TEST(Router, SpreadsEqualCandidates)
{
  std::mt19937_64 random(1);
  Router router(FailureDomainId("half-way-tree"), [&random] { return random(); });
  for (std::uint64_t group = 1; group <= 4; ++group) {
    router.Upsert(Candidate(group, "spanish-town"));
  }
  std::set<GroupId> chosen;
  for (int i = 0; i < 100; ++i) {
    chosen.insert(*router.Choose(TimePoint{}, Query()));
  }
  EXPECT_EQ(chosen.size(), 4U);
}

} // namespace
} // namespace gooseberrysail
