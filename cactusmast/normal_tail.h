// The chance that a normally distributed value lies far above its mean.
//
// Looked up, because an entry asks twice for each backend server whenever it
// places a task.

#ifndef CACTUSMAST_NORMAL_TAIL_H_
#define CACTUSMAST_NORMAL_TAIL_H_

namespace cactusmast {

// Of being more than aDeviations standard deviations above the mean. Off by
// at most 0.0001; beyond four deviations exactly 0 or 1.
double
NormalTail(double aDeviations);

} // namespace cactusmast

#endif // CACTUSMAST_NORMAL_TAIL_H_
