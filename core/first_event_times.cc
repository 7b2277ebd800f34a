#include "core/first_event_times.h"

#include <algorithm>
#include <cmath>

namespace clementine {

namespace {

constexpr std::uint32_t kMinSamples = 5;
// The envelope follows shorter times at once and longer ones slowly, because
// most of the longer ones come from queues.
constexpr float kFallWeight = 0.3F;
constexpr float kRiseWeight = 0.02F;
// A single long time raises the envelope like one of this multiple of it.
constexpr float kMaxRise = 1.25F;

}  // namespace

std::size_t FirstEventTimes::IndexOf(std::uint32_t prompt_tokens) {
  double octaves = std::log2(std::max(1.0, static_cast<double>(prompt_tokens)));
  return std::min(kBuckets - 1,
                  static_cast<std::size_t>(kBucketsPerOctave * octaves));
}

void FirstEventTimes::Add(std::uint32_t prompt_tokens, milliseconds latency) {
  Bucket& bucket = m_buckets[IndexOf(prompt_tokens)];
  auto sample = static_cast<float>(std::max<std::int64_t>(1, latency.count()));
  if (bucket.samples == 0 || sample < bucket.ms) {
    float weight = bucket.samples == 0 ? 1.0F : kFallWeight;
    bucket.ms += weight * (sample - bucket.ms);
  } else {
    bucket.ms +=
        kRiseWeight * (std::min(sample, kMaxRise * bucket.ms) - bucket.ms);
  }
  bucket.samples = std::min(bucket.samples + 1, kMinSamples);
}

bool FirstEventTimes::ExceedsTarget(std::uint32_t prompt_tokens,
                                    milliseconds target) const {
  const Bucket& bucket = m_buckets[IndexOf(prompt_tokens)];
  return bucket.samples >= kMinSamples &&
         bucket.ms > static_cast<float>(target.count());
}

}  // namespace clementine
