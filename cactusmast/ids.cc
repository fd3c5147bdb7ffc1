#include "cactusmast/ids.h"

#include <cinttypes>
#include <cstdio>
#include <xxhash.h>

namespace cactusmast {

job_id
job_id::FromKey(std::string_view aTeam, std::string_view aKey, uint64_t aSeed)
{
  // Without the length prefix, ("ab", "c") and ("a", "bc") would hash alike.
  std::string text = std::to_string(aTeam.size()) + ':';
  text.append(aTeam);
  text.append(aKey);
  XXH128_hash_t hash = XXH3_128bits_withSeed(text.data(), text.size(), aSeed);
  return { hash.high64, hash.low64 };
}

bool
job_id::Parse(std::string_view aText, job_id* aOut)
{
  constexpr size_t kDigits = 32;
  if (aText.size() != kDigits) {
    return false;
  }
  uint64_t parts[2] = { 0, 0 };
  for (size_t i = 0; i < kDigits; i++) {
    char c = aText[i];
    int digit = 0;
    if (c >= '0' && c <= '9') {
      digit = c - '0';
    } else if (c >= 'a' && c <= 'f') {
      digit = c - 'a' + 10;
    } else {
      return false;
    }
    uint64_t& part = parts[i / 16];
    part = part << 4 | uint64_t(digit);
  }
  *aOut = { parts[0], parts[1] };
  return true;
}

std::string
job_id::Text() const
{
  char buffer[33];
  std::snprintf(buffer, sizeof buffer, "%016" PRIx64 "%016" PRIx64, mHi, mLo);
  return buffer;
}

uint64_t
Hash64(std::string_view aText, uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

uint32_t
ShardOf(const job_id& aId, uint32_t aShardCount)
{
  return aShardCount == 0 ? 0 : uint32_t(aId.mHi % aShardCount);
}

uint64_t
RendezvousWeight(uint32_t aShard, std::string_view aName)
{
  return Hash64(aName, uint64_t(aShard) + 1);
}

} // namespace cactusmast
