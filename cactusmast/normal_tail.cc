#include "cactusmast/normal_tail.h"

#include <array>
#include <cmath>

namespace cactusmast {
namespace {

constexpr double kMaxDeviations = 4;
constexpr int kSteps = 512; // intervals from -kMaxDeviations to kMaxDeviations

std::array<double, kSteps + 1>
MakeTable()
{
  std::array<double, kSteps + 1> table{};
  for (int i = 0; i <= kSteps; i++) {
    double deviations = -kMaxDeviations + 2 * kMaxDeviations * i / kSteps;
    table[size_t(i)] = 0.5 * std::erfc(deviations / std::sqrt(2.0));
  }
  return table;
}

} // namespace

double
NormalTail(double aDeviations)
{
  static const std::array<double, kSteps + 1> kTable = MakeTable();
  if (aDeviations <= -kMaxDeviations) {
    return 1;
  }
  if (!(aDeviations < kMaxDeviations)) {
    return 0;
  }
  double position =
    (aDeviations + kMaxDeviations) * (kSteps / (2 * kMaxDeviations));
  auto below = size_t(position);
  double fraction = position - double(below);
  return kTable[below] + fraction * (kTable[below + 1] - kTable[below]);
}

} // namespace cactusmast
