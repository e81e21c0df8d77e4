#include "gooseberrysail/catalogue/catalogue.hpp"
#include "gooseberrysail/core/token.hpp"
#include "support/section.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <gmock/gmock.h>

namespace gooseberrysail {
namespace {

using ::testing::HasSubstr;

wire::CatalogueItemT Item(const char* text)
{
  Result<wire::CatalogueItemT> item = ParseItemJson(boost::json::parse(text));
  EXPECT_TRUE(item) << (item ? "" : item.error().description);
  return item ? item.value() : wire::CatalogueItemT{};
}

std::string ParseError(const char* text)
{
  Result<wire::CatalogueItemT> item = ParseItemJson(boost::json::parse(text));
  return item ? "accepted" : item.error().description;
}

wire::ConfigStateT State(std::uint64_t version,
                         std::uint64_t fromVersion,
                         std::vector<wire::CatalogueItemT> items)
{
  wire::ConfigStateT state;
  state.version = version;
  state.fromVersion = fromVersion;
  for (wire::CatalogueItemT& item : items) {
    state.items.push_back(std::make_unique<wire::CatalogueItemT>(std::move(item)));
  }
  return state;
}

constexpr const char* kModel =
  R"({"kind":"model","name":"hire-assist","owner":"hire-desk","class":"interactive",
      "spec":{"version":"2026-11","replicas":30,"defaultDeadlineMs":90000}})";

TEST(CatalogueCodec, AnEntryKeepsItsFieldsInEachForm)
{
  const wire::CatalogueItemT item = Item(kModel);
  SECTION("the stored form is typed")
  {
    const Result<CatalogueEntry> entry = ParseEntry(item);
    ASSERT_TRUE(entry);
    const auto& spec = std::get<ModelSpec>(entry.value().spec);
    EXPECT_EQ(spec.replicas, 30U);
    EXPECT_EQ(spec.membersPerReplica, 4U);
    EXPECT_EQ(spec.defaultDeadline, std::chrono::seconds(90));
    EXPECT_EQ(entry.value().priorityClass, PriorityClass::kInteractive);
    SECTION("packing it gives the same bytes")
    {
      EXPECT_EQ(PackEntry(entry.value()).spec, item.spec);
    }
  }
  SECTION("an entry can be written back in the form in which it was read")
  {
    const boost::json::value read = ItemToJson(item);
    EXPECT_EQ(Item(boost::json::serialize(read).c_str()).spec, item.spec);
  }
  SECTION("a field written by a newer program is skipped")
  {
    wire::CatalogueItemT newer = item;
    newer.spec.insert(1, R"("colour":"red",)");
    EXPECT_TRUE(ParseEntry(newer));
  }
}

TEST(CatalogueCodec, AllErrorsAreReportedWithFieldValueAndRange)
{
  const std::string text = ParseError(
    R"({"kind":"model","name":"a b","class":"urgent","colour":1,
        "spec":{"replicas":-3,"membersPerReplica":65,"defaultDeadlineMs":"long","speed":9}})");
  EXPECT_THAT(text, HasSubstr("name is \"a b\", allowed: 1 to 100 letters"));
  EXPECT_THAT(text, HasSubstr("owner is missing"));
  EXPECT_THAT(text, HasSubstr("class is \"urgent\", allowed: \"interactive\""));
  EXPECT_THAT(text, HasSubstr("colour is 1, allowed: no such field"));
  EXPECT_THAT(text, HasSubstr("spec.version is missing"));
  EXPECT_THAT(text, HasSubstr("spec.replicas is -3, allowed: a whole number from 0 to 100000"));
  EXPECT_THAT(text,
              HasSubstr("spec.membersPerReplica is 65, allowed: a whole number from 1 to 64"));
  EXPECT_THAT(text,
              HasSubstr("spec.defaultDeadlineMs is \"long\", allowed: milliseconds from 100"));
  EXPECT_THAT(text, HasSubstr("spec.speed is 9, allowed: no such field"));
}

TEST(CatalogueCodec, InvalidEntriesOfEachKindAreRejected)
{
  EXPECT_THAT(ParseError("[]"), HasSubstr("entry is []"));
  EXPECT_THAT(ParseError(R"({"kind":"server","name":"a","owner":"b"})"), HasSubstr("kind is"));
  EXPECT_THAT(
    ParseError(R"({"kind":"workspace","name":"a","owner":"b","spec":{"tokenHash":"ab"}})"),
    HasSubstr("spec.tokenHash is \"ab\""));
  EXPECT_THAT(ParseError(R"({"kind":"service","name":"a","owner":"b",
                          "spec":{"nonRepeatable":[{"method":"post"}]}})"),
              HasSubstr("spec.nonRepeatable"));
  EXPECT_THAT(ParseError(R"({"kind":"target","name":"a","owner":"b","spec":{"draining":1}})"),
              HasSubstr("spec.draining is 1, allowed: true or false"));
  EXPECT_THAT(
    ParseError(R"({"kind":"policy","name":"a","owner":"b","spec":{"downtimeWeight":1e99}})"),
    HasSubstr("spec.downtimeWeight"));
  EXPECT_THAT(ParseError(R"({"kind":"policy","name":"a","owner":"b","spec":7})"),
              HasSubstr("spec is 7, allowed: an object"));
}

TEST(Catalogue, LooksUpTypedEntries)
{
  const std::string hash = TokenHash("secret");
  Catalogue catalogue;
  const Result<bool> applied = catalogue.Apply(State(
    7,
    0,
    { Item(kModel),
      Item(R"({"kind":"service","name":"booking-portal","owner":"hire-desk",
               "spec":{"nonRepeatable":[{"method":"POST","pathPrefix":"/bookings"}]}})"),
      Item((R"({"kind":"workspace","name":"site-7","owner":"hire-desk","spec":{"tokenHash":")" +
            hash + R"(","allowed":["hire-assist"]}})")
             .c_str()) }));
  ASSERT_TRUE(applied);
  EXPECT_TRUE(applied.value());
  EXPECT_EQ(catalogue.Version(), LogIndex(7));
  EXPECT_NE(catalogue.FindModel(EntryName("hire-assist")), nullptr);
  EXPECT_EQ(catalogue.FindModel(EntryName("booking-portal")), nullptr);
  const ServiceSpec* service = catalogue.FindService(EntryName("booking-portal"));
  ASSERT_NE(service, nullptr);
  EXPECT_TRUE(IsNonRepeatable(*service, "POST", "/bookings/12"));
  EXPECT_FALSE(IsNonRepeatable(*service, "GET", "/bookings/12"));
  const CatalogueEntry* workspace = catalogue.FindWorkspaceByToken(hash);
  ASSERT_NE(workspace, nullptr);
  EXPECT_TRUE(MayCall(std::get<WorkspaceSpec>(workspace->spec), EntryName("hire-assist")));
  EXPECT_FALSE(MayCall(std::get<WorkspaceSpec>(workspace->spec), EntryName("booking-portal")));
  EXPECT_EQ(catalogue.FindWorkspaceByToken(TokenHash("guess")), nullptr);
  EXPECT_EQ(catalogue.Policy().weightLoadsAtOnce, PolicySpec{}.weightLoadsAtOnce);
}

// Symptom: a drained target is used again, or a revoked token is admitted again.
// Sequence: a process has version 9 and receives version 8 from a lagging control process or in a
// delayed frame.
// Cause: applying each state that arrives, regardless of its version.
TEST(Catalogue, VersionNeverDecreases)
{
  Catalogue catalogue;
  ASSERT_TRUE(catalogue.Apply(State(9, 0, { Item(kModel) })));
  SECTION("an older full copy and an older delta are ignored")
  {
    const Result<bool> full = catalogue.Apply(State(8, 0, {}));
    ASSERT_TRUE(full);
    EXPECT_FALSE(full.value());
    wire::CatalogueItemT removed = Item(kModel);
    removed.deleted = true;
    const Result<bool> delta = catalogue.Apply(State(9, 7, { removed }));
    ASSERT_TRUE(delta);
    EXPECT_FALSE(delta.value());
    EXPECT_NE(catalogue.FindModel(EntryName("hire-assist")), nullptr);
  }
  SECTION("a delta with a gap before it is rejected and changes nothing")
  {
    const Result<bool> gap = catalogue.Apply(State(12, 10, {}));
    ASSERT_FALSE(gap);
    EXPECT_EQ(gap.error().code, ErrorCode::kConflict);
    EXPECT_EQ(catalogue.Version(), LogIndex(9));
  }
  SECTION("a copy with one invalid item is rejected as a whole")
  {
    wire::CatalogueItemT bad = Item(kModel);
    bad.spec = "{";
    EXPECT_FALSE(catalogue.Apply(State(10, 0, { bad })));
    EXPECT_EQ(catalogue.Version(), LogIndex(9));
  }
  SECTION("a delta from the current version is applied")
  {
    wire::CatalogueItemT removed = Item(kModel);
    removed.deleted = true;
    const Result<bool> delta = catalogue.Apply(State(10, 9, { removed }));
    ASSERT_TRUE(delta);
    EXPECT_TRUE(delta.value());
    EXPECT_EQ(catalogue.FindModel(EntryName("hire-assist")), nullptr);
  }
}

TEST(Token, HashesAndComparesBearerTokens)
{
  EXPECT_EQ(TokenHash("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  EXPECT_TRUE(EqualInConstantTime("abc", "abc"));
  EXPECT_FALSE(EqualInConstantTime("abc", "abd"));
  EXPECT_FALSE(EqualInConstantTime("abc", "ab"));
  EXPECT_EQ(BearerToken("Bearer abc"), "abc");
  EXPECT_EQ(BearerToken("bearer  abc "), "abc");
  EXPECT_EQ(BearerToken("Basic abc"), "");
  EXPECT_EQ(BearerToken("Bearer "), "");
}

} // namespace
} // namespace gooseberrysail
