#include "cactusmast/normal_tail.h"

#include <array>
#include <cmath>

namespace cactusmast {
namespace {

constexpr double kLimit = 4;
constexpr int kSteps = 512; // intervals from -kLimit to kLimit

std::array<double, kSteps + 1>
MakeTable()
{
  std::array<double, kSteps + 1> made{};
  for (int i = 0; i <= kSteps; i++) {
    double deviations = -kLimit + 2 * kLimit * i / kSteps;
    made[size_t(i)] = 0.5 * std::erfc(deviations / std::sqrt(2.0));
  }
  return made;
}

} // namespace

double
NormalTail(double aDeviations)
{
  static const std::array<double, kSteps + 1> kTable = MakeTable();
  if (aDeviations <= -kLimit) {
    return 1;
  }
  if (!(aDeviations < kLimit)) {
    return 0;
  }
  double place = (aDeviations + kLimit) * (kSteps / (2 * kLimit));
  auto below = size_t(place);
  double part = place - double(below);
  return kTable[below] + part * (kTable[below + 1] - kTable[below]);
}

} // namespace cactusmast
