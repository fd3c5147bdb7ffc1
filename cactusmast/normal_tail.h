// The upper tail probability of the normal distribution.
//
// It is read from a table, because an entry needs it twice for each backend
// server whenever it places a task.

#ifndef CACTUSMAST_NORMAL_TAIL_H_
#define CACTUSMAST_NORMAL_TAIL_H_

namespace cactusmast {

// The probability of a value more than aDeviations standard deviations above
// the mean. The error is at most 0.0001; beyond four deviations the result is
// exactly 0 or 1.
double
NormalTail(double aDeviations);

} // namespace cactusmast

#endif // CACTUSMAST_NORMAL_TAIL_H_
