#include "cactusmast/instance_settings.h"

#include "cactusmast/settings_reader.h"

namespace cactusmast {

using detail::ReadSettingsFile;
using detail::settings_reader;

namespace {

void
ReadInstance(settings_reader& aReader,
             const std::string& aFile,
             instance_settings* aOut)
{
  aOut->mFile = aFile;
  std::string role;
  aReader.Text("role", true, &role);
  aReader.Text("name", true, &aOut->mName);
  aReader.Text("data_center", true, &aOut->mDataCenter);
  aReader.Text("region", true, &aOut->mRegion);
  aReader.Text("host", true, &aOut->mHost);
  aReader.Number("peer_port", 1, 65535, &aOut->mPeerPort);
  aReader.Addresses("seeds", &aOut->mSeedEntries);
  aReader.Address("store", true, &aOut->mStore);
  aReader.Address("metrics", true, &aOut->mMetrics);
  aReader.Text("shared_key", true, &aOut->mSharedKey);
  aReader.Number("stop_within_ms", 1000, 3600000, &aOut->mStopWithinMs);
  std::vector<std::string> switchedOff;
  aReader.Names("switched_off", &switchedOff);
  aOut->mMechanisms = mechanism_set::AllBut(switchedOff).Value();
  bool outlierSpeeds = false;
  aReader.Flag("outlier_speeds", &outlierSpeeds);
  if (!outlierSpeeds) {
    aOut->mMechanisms.Disable(mechanism::OutlierSpeeds);
  }
}

} // namespace

std::string
instance_settings::AddressAt(const std::string& aHost) const
{
  return aHost + ":" + std::to_string(mPeerPort);
}

std::vector<std::string>
instance_settings::SeedAddresses() const
{
  std::vector<std::string> addresses;
  for (const std::string& seed : mSeedEntries) {
    addresses.push_back(AddressAt(seed.substr(0, seed.rfind(':'))));
  }
  return addresses;
}

result<coordinator_settings>
ReadCoordinatorSettings(const std::string& aText, const std::string& aFile)
{
  return ReadSettingsFile<coordinator_settings>(
    aText, aFile, [&](settings_reader& aReader, coordinator_settings* aOut) {
      ReadInstance(aReader, aFile, &aOut->mInstance);
      aReader.Address("front", true, &aOut->mFront);
      aReader.Address("readiness", true, &aOut->mReadiness);
      aReader.Flag("route_shares", &aOut->mOverload.mRouteShares);
      aReader.Number(
        "guaranteed_percent", 0, 30, &aOut->mOverload.mGuaranteedPercent);
      aReader.Flag("late_deferral", &aOut->mOverload.mLateDeferral);
      aReader.Flag("job_forwarding", &aOut->mJobForwarding);
      aReader.Cores("processors", &aOut->mProcessorMillis);
    });
}

result<executor_settings>
ReadExecutorSettings(const std::string& aText, const std::string& aFile)
{
  return ReadSettingsFile<executor_settings>(
    aText, aFile, [&](settings_reader& aReader, executor_settings* aOut) {
      ReadInstance(aReader, aFile, &aOut->mInstance);
      aReader.Address("control", true, &aOut->mControl);
      aReader.Address("backend", true, &aOut->mBackend);
      aReader.Text("service", true, &aOut->mService);
      aReader.Flag("stall_detection", &aOut->mStallDetection);
    });
}

} // namespace cactusmast
