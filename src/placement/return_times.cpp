#include "placement/return_times.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrysail::impl {

namespace {

constexpr double kFirstBucketSeconds = 1;

/// The first bucket ends at 1 s and each further one at twice the age; the last one has no end.
std::size_t BucketOf(double age) noexcept
{
  if (age < kFirstBucketSeconds) {
    return 0;
  }
  const auto bucket = static_cast<std::size_t>(std::ilogb(age)) + 1;
  return std::min(bucket, ReturnTimes::kBuckets - 1);
}

double BucketStart(std::size_t bucket) noexcept
{
  return bucket == 0 ? 0 : std::ldexp(kFirstBucketSeconds, static_cast<int>(bucket) - 1);
}

} // namespace

void ReturnTimes::AddPrior(const OutageKind& kind, double outages) noexcept
{
  const auto still = [&](double age) { return std::exp(-age / kind.meanSeconds); };
  for (std::size_t index = 0; index < kBuckets; ++index) {
    const double start = still(BucketStart(index));
    const double end = index + 1 < kBuckets ? still(BucketStart(index + 1)) : 0;
    const double returns = outages * kind.share * (start - end);
    m_buckets[index].returns += returns;
    m_buckets[index].away += returns * kind.meanSeconds;
    m_buckets[index].kept += returns * kind.keepsWeights;
  }
}

void ReturnTimes::AddAway(double from, double to, double weight) noexcept
{
  while (from < to) {
    const std::size_t bucket = BucketOf(from);
    const double end = bucket + 1 < kBuckets ? std::min(to, BucketStart(bucket + 1)) : to;
    m_buckets[bucket].away += weight * (end - from);
    from = end;
  }
}

void ReturnTimes::AddReturn(double age, bool keptWeights, double weight) noexcept
{
  Bucket& bucket = m_buckets[BucketOf(age)];
  bucket.returns += weight;
  bucket.kept += keptWeights ? weight : 0;
}

void ReturnTimes::Refresh() noexcept
{
  double sum = 0;
  for (std::size_t index = 0; index < kBuckets; ++index) {
    Bucket& bucket = m_buckets[index];
    bucket.hazard = bucket.returns / std::max(bucket.away, 1e-9);
    bucket.cumulativeHazard = sum;
    if (index + 1 < kBuckets) {
      sum += bucket.hazard * (BucketStart(index + 1) - BucketStart(index));
    }
  }
}

double ReturnTimes::CumulativeHazard(double age) const noexcept
{
  const std::size_t bucket = BucketOf(age);
  return m_buckets[bucket].cumulativeHazard +
         m_buckets[bucket].hazard * (age - BucketStart(bucket));
}

double ReturnTimes::StillAway(double age, double wait) const noexcept
{
  return std::exp(CumulativeHazard(age) - CumulativeHazard(age + wait));
}

double ReturnTimes::KeepsWeights(double age) const noexcept
{
  const Bucket& bucket = m_buckets[BucketOf(age)];
  return bucket.returns > 0 ? bucket.kept / bucket.returns : 0;
}

double ReturnTimes::ExpectedWait(double age, double limit) const noexcept
{
  double sum = 0;
  double before = 0;
  double stillBefore = 1;
  for (const double time : StepTimes()) {
    const double step = std::min(time, limit);
    const double still = StillAway(age, step);
    sum += (step - before) * (stillBefore + still) / 2;
    before = step;
    stillBefore = still;
    if (time >= limit) {
      return sum;
    }
  }
  return sum;
}

const std::array<double, kSteps>& StepTimes() noexcept
{
  static const std::array<double, kSteps> kTimes = [] {
    std::array<double, kSteps> times{};
    double time = 1;
    for (double& entry : times) {
      entry = time;
      time *= 1.5;
    }
    return times;
  }();
  return kTimes;
}

} // namespace gooseberrysail::impl
