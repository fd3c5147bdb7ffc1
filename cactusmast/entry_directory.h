// The addresses of entries that a process knows, and when to dial each of them.
//
// Addresses come from the settings, from the store's table and from other
// processes. Each source suffices: while the store is unreachable, one live
// address from the settings leads to the others. An address that is not pinned
// is removed when it could not be reached for kRemoveAfter, so that replaced
// entries are not dialled forever.

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
  // aOwnAddress: of this process if it is an entry, otherwise empty.
  explicit entry_directory(std::string aOwnAddress)
    : mOwnAddress(std::move(aOwnAddress))
  {
  }

  // True if the address was not known. A pinned address is never removed.
  bool Add(const std::string& aAddress, bool aPinned, instant aNow);
  void Unpin(const std::string& aAddress);
  // A connection to the address was opened or closed.
  void OnConnected(const std::string& aAddress, instant aNow);
  void OnDisconnected(const std::string& aAddress, instant aNow);

  // Addresses to dial now. Each is due again after a backoff that doubles up to
  // a limit.
  std::vector<std::string> AddressesToDial(instant aNow);
  // The addresses that are connected or were so shortly before, and the own
  // address if it is known. Addresses that this process only got from others
  // are left out: processes that passed them to each other would never forget
  // them.
  std::vector<std::string> LiveAddresses(instant aNow) const;
  // The number of connected addresses.
  size_t ConnectedCount() const;
  // Changes whenever an address is added to LiveAddresses().
  uint64_t Revision() const { return mRevision; }

private:
  struct record
  {
    bool mPinned = false;
    bool mConnected = false;
    bool mEverConnected = false; // has been connected at some time
    // While connected: since when. Otherwise: when the connection was lost, or
    // when the address was added if there never was one.
    instant mSince{};
    instant mNextDial{};
    duration mBackoff{}; // between the next dial and the one after it
  };

  static bool IsLive(const record& aRecord, instant aNow);

  std::string mOwnAddress;
  std::map<std::string, record> mRecords;
  uint64_t mRevision = 1;
};

} // namespace cactusmast

#endif // CACTUSMAST_ENTRY_DIRECTORY_H_
