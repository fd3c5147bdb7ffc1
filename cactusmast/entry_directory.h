// The addresses of entries that a process knows, and when to dial each.
//
// Sources are the settings, the store's table and what other processes say.
// Any one suffices: with the store away, one live seed leads to the others. An
// address that only others named is forgotten after it could not be reached
// for kForgetAfter, so that replaced entries are not dialled for ever.

#ifndef CACTUSMAST_ENTRY_DIRECTORY_H_
#define CACTUSMAST_ENTRY_DIRECTORY_H_

#include <map>
#include <string>
#include <vector>

#include "cactusmast/ids.h"

namespace cactusmast {

class entry_directory
{
public:
  explicit entry_directory(std::string aOwnAddress)
    : mOwn(std::move(aOwnAddress))
  {
  }

  // True when it was not known. A pinned address is never forgotten.
  bool Add(const std::string& aAddress, bool aPinned, instant aNow);
  void Unpin(const std::string& aAddress);
  void OnUp(const std::string& aAddress, instant aNow);
  void OnDown(const std::string& aAddress, instant aNow);

  // Addresses to dial now; each is due again after a pause that doubles.
  std::vector<std::string> Due(instant aNow);
  // All addresses that are connected or were a short while ago, and the own one
  // if there is one. Only what this process has seen itself: addresses that
  // processes named to each other would never be forgotten.
  std::vector<std::string> LiveAddresses(instant aNow) const;
  size_t Connected() const;
  // Changes whenever an address is added to LiveAddresses().
  uint64_t Revision() const { return mRevision; }

private:
  struct record
  {
    bool mPinned = false;
    bool mUp = false;
    bool mWasUp = false; // at some time
    instant mSince{};    // it is up, or was last up or learnt
    instant mNextDial{};
    duration mBackoff{};
  };

  static bool IsSeen(const record& aRecord, instant aNow);

  std::string mOwn;
  std::map<std::string, record> mRecords;
  uint64_t mRevision = 1;
};

} // namespace cactusmast

#endif // CACTUSMAST_ENTRY_DIRECTORY_H_
