#include "cactusmast/sized_task.h"

#include <array>
#include <charconv>

namespace cactusmast {
namespace {

constexpr size_t kJobIdDigits = 16;

constexpr std::array<std::string_view, size_t(attempt_outcome::Count)>
  kOutcomes = { "done",     "failed",  "no_room", "leaving",
                "unusable", "stopped", "lost" };

constexpr std::array<std::string_view, size_t(server_state::Count)>
  kStates = { "absent", "ready", "draining", "ill", "evacuated" };

} // namespace

std::string_view
Name(attempt_outcome aOutcome)
{
  return size_t(aOutcome) < kOutcomes.size() ? kOutcomes[size_t(aOutcome)]
                                             : "invalid";
}

std::string_view
Name(server_state aState)
{
  return size_t(aState) < kStates.size() ? kStates[size_t(aState)] : "invalid";
}

std::string
FormatJobId(uint64_t aJob)
{
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text(kJobIdDigits, '0');
  for (size_t i = kJobIdDigits; i-- > 0; aJob >>= 4) {
    text[i] = kDigits[aJob & 15];
  }
  return text;
}

std::string
FormatTask(const task_key& aTask)
{
  return FormatJobId(aTask.mJob) + "." + std::to_string(aTask.mStep) + "." +
         std::to_string(aTask.mIndex);
}

bool
ParseJobId(std::string_view aText, uint64_t* aOut)
{
  const char* end = aText.data() + aText.size();
  auto [rest, error] = std::from_chars(aText.data(), end, *aOut, 16);
  return aText.size() == kJobIdDigits && error == std::errc() && rest == end;
}

} // namespace cactusmast
