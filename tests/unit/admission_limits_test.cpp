#include "gooseberrysail/control/usage_shares.hpp"
#include "support/admission.hpp"
#include "support/section.hpp"

#include <array>

namespace gooseberrysail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::AdmissionFixture;
using testing::Limits;

TEST(AdmissionLimits, BoundTheRate)
{
  AdmissionFixture fixture;
  fixture.admission.SetLimits(AdmissionFixture::Registre(), Limits(2));
  EXPECT_TRUE(fixture.Decide().Admitted());
  EXPECT_TRUE(fixture.Decide().Admitted());

  const AdmissionDecision refused = fixture.Decide();
  EXPECT_EQ(refused.reason, RefusalReason::kWorkspaceRate);
  EXPECT_GE(refused.retryAfter, milliseconds(500));

  SECTION("after Retry-After the request is admitted")
  {
    fixture.now += refused.retryAfter;
    EXPECT_TRUE(fixture.Decide().Admitted());
  }
}

TEST(AdmissionLimits, BoundConcurrency)
{
  AdmissionFixture fixture;
  fixture.admission.SetLimits(AdmissionFixture::Registre(), Limits(0, 0, 1));
  EXPECT_TRUE(fixture.Decide().Admitted());
  EXPECT_EQ(fixture.Decide().reason, RefusalReason::kWorkspaceConcurrency);
  fixture.Finish();
  EXPECT_TRUE(fixture.Decide().Admitted());
}

TEST(AdmissionLimits, ChargeTokensByWhatWasUsed)
{
  AdmissionFixture fixture;
  fixture.admission.SetLimits(AdmissionFixture::Registre(), Limits(0, 1000));
  EXPECT_TRUE(fixture.Decide().Admitted());
  SECTION("an answer above the tokens of one second delays the next admission")
  {
    fixture.Finish(AdmissionFixture::Registre(), seconds(1), 3000);
    EXPECT_EQ(fixture.Decide().reason, RefusalReason::kWorkspaceRate);
    fixture.now += milliseconds(1900);
    EXPECT_FALSE(fixture.Decide().Admitted());
    fixture.now += milliseconds(1200);
    EXPECT_TRUE(fixture.Decide().Admitted());
  }
  SECTION("running requests are charged the mean cost before their end")
  {
    EXPECT_FALSE(fixture.Decide().Admitted());
  }
}

/// Three entries whose callers send three times the limit, balanced evenly or not.
class SharedLimit
{
public:
  static constexpr double kLimit = 30;

  explicit SharedLimit(double limit = kLimit)
  {
    for (AdmissionFixture& entry : entries) {
      entry.admission.SetLimits(AdmissionFixture::Registre(), Limits(limit));
    }
  }

  void Divide()
  {
    std::array<double, 3> demands{};
    for (std::size_t i = 0; i < entries.size(); ++i) {
      demands[i] = entries[i].admission.CurrentUsage(entries[i].now).front().demandPerSecond;
    }
    const std::vector<double> shares = DivideByDemand(kLimit, demands);
    for (std::size_t i = 0; i < entries.size(); ++i) {
      entries[i].admission.SetShare(entries[i].now, AdmissionFixture::Registre(), shares[i], 0, 0);
    }
  }

  /// \returns Requests admitted per second by all entries.
  double Run(int length, bool divide, std::array<int, 3> perSecond)
  {
    int admitted = 0;
    for (int second = 0; second < length; ++second) {
      for (int part = 0; part < 100; ++part) {
        for (std::size_t i = 0; i < entries.size(); ++i) {
          entries[i].now += milliseconds(10);
          const bool sends = part * perSecond[i] / 100 != (part + 1) * perSecond[i] / 100;
          if (sends && entries[i].Decide().Admitted()) {
            ++admitted;
          }
        }
      }
      if (divide) {
        Divide();
      }
    }
    return static_cast<double>(admitted) / length;
  }

  std::array<AdmissionFixture, 3> entries;
};

// Guards against a workspace that gets three times its limit: its calls are balanced over three
// entries, and each entry applies the whole limit.
TEST(AdmissionLimits, AreSharedByThreeEntries)
{
  SharedLimit shared;
  shared.Run(10, true, { 30, 30, 30 });
  EXPECT_NEAR(shared.Run(20, true, { 30, 30, 30 }), SharedLimit::kLimit, 1);

  SECTION("the share of an entry that gets most of the calls grows")
  {
    shared.Run(10, true, { 70, 10, 10 });
    EXPECT_NEAR(shared.Run(20, true, { 70, 10, 10 }), SharedLimit::kLimit, 2);
  }
}

// Guards against limits that treble while control is unreachable: without new shares, each entry
// would apply the whole limit of the catalogue, as it doesn't know how many entries divide it.
TEST(AdmissionLimits, HoldWhenSharesLapse)
{
  SharedLimit shared;
  shared.Run(10, true, { 30, 30, 30 });
  EXPECT_LE(shared.Run(60, false, { 30, 30, 30 }), SharedLimit::kLimit + 1);
  EXPECT_GE(shared.Run(60, false, { 30, 30, 30 }), SharedLimit::kLimit - 1);

  SECTION("a new limit from the catalogue is divided by the last shares")
  {
    for (AdmissionFixture& entry : shared.entries) {
      entry.admission.SetLimits(AdmissionFixture::Registre(), Limits(SharedLimit::kLimit / 2));
    }
    EXPECT_NEAR(shared.Run(30, false, { 30, 30, 30 }), SharedLimit::kLimit / 2, 1);
  }
}

} // namespace
} // namespace gooseberrysail
