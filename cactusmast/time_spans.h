// Conversion of durations to milliseconds.

#ifndef CACTUSMAST_TIME_SPANS_H_
#define CACTUSMAST_TIME_SPANS_H_

#include <cstdint>

#include "cactusmast/ids.h"

namespace cactusmast {

// Whole milliseconds, rounded towards zero.
inline int64_t
ToMs(duration aSpan)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aSpan).count();
}

// From aFrom to aTo, in ms; negative when aTo is earlier.
inline double
MsBetween(instant aFrom, instant aTo)
{
  return double((aTo - aFrom).count()) / 1000;
}

} // namespace cactusmast

#endif // CACTUSMAST_TIME_SPANS_H_
