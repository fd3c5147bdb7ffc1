// Settings of the programs that serve jobs of sized tasks on a platform that
// runs one process per instance: coordinators at the entries, executors beside
// the backend servers. They are parsed as strictly as in settings.h.

#ifndef CACTUSMAST_INSTANCE_SETTINGS_H_
#define CACTUSMAST_INSTANCE_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "cactusmast/mechanisms.h"
#include "cactusmast/overload_settings.h"
#include "util/result.h"

namespace cactusmast {

// Settings common to coordinators and executors.
struct instance_settings
{
  std::string mFile; // path of the settings file
  std::string mName;
  std::string mDataCenter;
  std::string mRegion;
  std::string mHost;      // IP address of this instance
  uint32_t mPeerPort = 0; // the same on all instances
  // Entries that may exist, as HOST:PORT with an IP address; the ports are not
  // used.
  std::vector<std::string> mSeedEntries;
  std::string mStore;         // HOST:PORT of the platform's store
  std::string mMetrics;       // HOST:PORT that serves metrics
  std::string mSharedKey;     // processes prove to each other that they know it
  uint32_t mStopWithinMs = 0; // from the signal to the end of the drain
  mechanism_set mMechanisms;  // enabled ones; all by default

  std::string PeerAddress() const { return AddressAt(mHost); }
  std::vector<std::string> SeedAddresses() const;

private:
  std::string AddressAt(const std::string& aHost) const;
};

struct coordinator_settings
{
  instance_settings mInstance;
  std::string mFront;     // HOST:PORT for callers
  std::string mReadiness; // HOST:PORT for readiness checks by the load balancer
  overload_settings mOverload;
  // Whether this entry, when overloaded, hands new jobs to larger entries, and
  // takes such jobs.
  bool mJobForwarding = false;
  // Thousandths of a core that the instance has; 0: not known.
  uint32_t mProcessorMillis = 0;
};

struct executor_settings
{
  instance_settings mInstance;
  std::string mControl; // HOST:PORT where the backend server announces itself
  std::string mBackend; // HOST:PORT of the backend server
  std::string mService; // that the backend server serves
  // Whether tasks that make no progress are stopped, so that they can be
  // placed elsewhere.
  bool mStallDetection = false;
};

// Errors: BadRequest, with the file as the peer.
result<coordinator_settings>
ReadCoordinatorSettings(const std::string& aText, const std::string& aFile);

result<executor_settings>
ReadExecutorSettings(const std::string& aText, const std::string& aFile);

} // namespace cactusmast

#endif // CACTUSMAST_INSTANCE_SETTINGS_H_
