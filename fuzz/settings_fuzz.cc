// libFuzzer target for the parsing of settings files.

#include "cactusmast/settings.h"

extern "C" int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  std::string text(reinterpret_cast<const char*>(aData), aSize);
  cactusmast::ReadEntrySettings(text, "file");
  cactusmast::ReadGuardSettings(text, "file");
  return 0;
}
