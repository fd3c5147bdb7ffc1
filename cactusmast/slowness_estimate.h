// Estimate of how slow a backend server is: the run times of the tasks that
// ended there over the run times that their callers declared. Older tasks
// decay.
//
//   slowness_estimate estimate;
//   estimate.Observe(90, 60);
//   double slowness = estimate.Slowness(); // above 1: slower than declared

#ifndef CACTUSMAST_SLOWNESS_ESTIMATE_H_
#define CACTUSMAST_SLOWNESS_ESTIMATE_H_

namespace cactusmast {

class slowness_estimate
{
public:
  // aPrior: the slowness before any observation.
  explicit slowness_estimate(double aPrior = 1)
    : mPrior(aPrior)
  {
  }

  void Observe(double aRunMs, double aDeclaredMs)
  {
    mRunMs = mRunMs * kDecay + aRunMs;
    mDeclaredMs = mDeclaredMs * kDecay + aDeclaredMs;
  }

  double Slowness() const
  {
    return (mRunMs + mPrior * kPriorMs) / (mDeclaredMs + kPriorMs);
  }

private:
  // About the last ten tasks count.
  static constexpr double kDecay = 0.9;
  // The prior weighs as much as one task of this length.
  static constexpr double kPriorMs = 150;

  double mPrior;
  double mRunMs = 0;
  double mDeclaredMs = 0;
};

} // namespace cactusmast

#endif // CACTUSMAST_SLOWNESS_ESTIMATE_H_
