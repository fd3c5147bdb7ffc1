// Spans of time as numbers of milliseconds.

#ifndef CACTUSMAST_TIME_SPANS_H_
#define CACTUSMAST_TIME_SPANS_H_

#include <cstdint>

#include "cactusmast/ids.h"

namespace cactusmast {

// Whole milliseconds, towards zero.
inline int64_t
ToMs(duration aSpan)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aSpan).count();
}

// Negative when aTo is earlier.
inline double
MsBetween(instant aFrom, instant aTo)
{
  return double((aTo - aFrom).count()) / 1000;
}

} // namespace cactusmast

#endif // CACTUSMAST_TIME_SPANS_H_
