// A histogram of latencies with fixed buckets, for the metrics page.

#ifndef CACTUSMAST_LATENCY_HISTOGRAM_H_
#define CACTUSMAST_LATENCY_HISTOGRAM_H_

#include <algorithm>
#include <array>
#include <cstdint>

#include "cactusmast/time_spans.h"

namespace cactusmast {

class latency_histogram
{
public:
  // Inclusive upper bounds in ms. They double from less than the shortest tasks
  // take to more than the usual timeout of 1500 ms.
  static constexpr std::array<uint32_t, 9> kBoundsMs = { 10,  20,   40,
                                                         80,  160,  320,
                                                         640, 1280, 2560 };

  void Observe(duration aLatency)
  {
    int64_t ms = ToMs(aLatency);
    const auto* bound = std::lower_bound(
      kBoundsMs.begin(), kBoundsMs.end(), uint32_t(std::max<int64_t>(0, ms)));
    mCounts[size_t(bound - kBoundsMs.begin())]++;
    mSumMs += double(ms);
  }

  // Counts by bucket, not cumulative. The last one counts what exceeds all
  // bounds.
  const std::array<uint64_t, kBoundsMs.size() + 1>& Counts() const
  {
    return mCounts;
  }
  double SumMs() const { return mSumMs; }

private:
  std::array<uint64_t, kBoundsMs.size() + 1> mCounts{};
  double mSumMs = 0;
};

} // namespace cactusmast

#endif // CACTUSMAST_LATENCY_HISTOGRAM_H_
