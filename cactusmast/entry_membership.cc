// The membership part of entry_node: ownership of shards, known entries, and
// the rows in the platform's table that list entries and workers.

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "cactusmast/entry_node.h"
#include "util/bounded_json.h"

namespace cactusmast {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr uint32_t kMaxEntryRows = 256;
constexpr uint32_t kMaxRosterRows = 1024;
constexpr milliseconds kRosterInterval{ 200 };   // between writes of a roster
constexpr milliseconds kEntriesInterval{ 5000 }; // between reads of the rows
constexpr milliseconds kConnectInterval{ 1000 }; // between connection attempts
// Until a document that an entry was sent is taken for lost. A long one needs
// seconds on a thin link.
constexpr milliseconds kRepushInterval{ 5000 };

// Longest age of a worker that is told apart, in seconds; a year.
constexpr int64_t kMaxWorkerAgeS = 365 * 24 * 3600;

// The row of a roster lists the workers of a shard that may hold records.
constexpr char kRosterPrefix[] = "roster/";

std::string
RosterKey(uint32_t aShard)
{
  return kRosterPrefix + std::to_string(aShard);
}

// Adds aWorker to aInto, or updates when it was last alive.
void
MergeWorker(std::vector<known_worker>* aInto, const known_worker& aWorker)
{
  for (known_worker& existing : *aInto) {
    if (existing.mName == aWorker.mName &&
        existing.mIncarnation == aWorker.mIncarnation) {
      existing.mLastAlive = std::max(existing.mLastAlive, aWorker.mLastAlive);
      return;
    }
  }
  aInto->push_back(aWorker);
}

// An element of a roster; nothing if it is another writer's.
std::optional<known_worker>
DecodeWorker(const json& aWorker, int64_t aWallSeconds, instant aNow)
{
  std::optional<std::string> name = TextField(aWorker, "name");
  std::optional<uint64_t> incarnation;
  auto found = aWorker.find("incarnation");
  if (found != aWorker.end() && found->is_number_unsigned()) {
    incarnation = found->get<uint64_t>(); // may be any 64-bit number
  }
  std::optional<int64_t> last = WholeField(aWorker, "last");
  if (!name || !incarnation || !last) {
    return std::nullopt;
  }
  int64_t age = std::clamp<int64_t>(aWallSeconds - *last, 0, kMaxWorkerAgeS);
  return known_worker{ *name, *incarnation, aNow - std::chrono::seconds(age) };
}

} // namespace

void
entry_node::AddSeenWorker(const peer_identity& aIdentity, instant aNow)
{
  MergeWorker(&Shard(aIdentity.mShard).mSeenWorkers,
              { aIdentity.mName, aIdentity.mIncarnation, aNow });
}

bool
entry_node::IsLiveEntry(const peer_row& aRow, instant aNow) const
{
  return aRow.mIdentity.mRole == process_role::Entry && aRow.mStatusKnown &&
         aNow - aRow.mLastHeard < mOptions.mPeerTimeout;
}

peer_id
entry_node::OwnerPeer(uint32_t aShard, instant aNow) const
{
  for (const auto& [peer, row] : mPeers) {
    if (!IsLiveEntry(row, aNow)) {
      continue;
    }
    for (const wire::owned_shard_msg& owned : row.mStatus.shards) {
      if (owned.shard == aShard) {
        return peer;
      }
    }
  }
  return 0;
}

bool
entry_node::IsCandidate(uint32_t aShard, instant aNow) const
{
  uint64_t own = RendezvousWeight(aShard, mOptions.mName);
  for (const auto& [peer, row] : mPeers) {
    bool eligible = IsLiveEntry(row, aNow) && !row.mStatus.draining &&
                    row.mStatus.config_version > 0;
    if (eligible && RendezvousWeight(aShard, row.mIdentity.mName) > own) {
      return false;
    }
  }
  return true;
}

peer_id
entry_node::Successor(uint32_t aShard, instant aNow) const
{
  peer_id best = 0;
  uint64_t bestWeight = 0;
  for (const auto& [peer, row] : mPeers) {
    // An entry without a configuration would refuse the open jobs.
    bool eligible = IsLiveEntry(row, aNow) && !row.mStatus.draining &&
                    row.mStatus.config_version > 0;
    if (!eligible) {
      continue;
    }
    uint64_t weight = RendezvousWeight(aShard, row.mIdentity.mName);
    if (best == 0 || weight > bestWeight) {
      best = peer;
      bestWeight = weight;
    }
  }
  return best;
}

void
entry_node::UpdateOwnership(instant aNow)
{
  bool delayOver = aNow - mStarted >= mOptions.mClaimDelay;
  if (!mConfig.IsLoaded() || !delayOver) {
    return;
  }
  for (uint32_t number = 0; number < ShardCount(); number++) {
    shard_row& shard = Shard(number);
    if (shard.mOwner != nullptr && shard.mOwner->IsSuperseded()) {
      StepDown(number, 0, aNow);
      continue;
    }
    if (shard.mOwner != nullptr) {
      ResolveConflict(number, aNow);
      continue;
    }
    bool claimable =
      !mDraining && OwnerPeer(number, aNow) == 0 && IsCandidate(number, aNow);
    if (claimable && mRostersAnswered) {
      Claim(number, shard.mMaxEpoch + 1, aNow);
    }
  }
}

// The rosters in the table list workers that may hold records, including those
// that have never been connected to this process. Every entry reads them
// periodically, so that it can claim a shard while the table is unavailable.
void
entry_node::OnRosters(const table_reply& aReply, instant aNow)
{
  mRostersAnswered = true;
  if (aReply.mStatus != table_status::Ok) {
    return;
  }
  mRostersRead = true;
  for (const table_row& row : aReply.mRows) {
    json listed = ParseBoundedJson(row.mValue);
    uint32_t number = uint32_t(
      std::strtoul(row.mKey.c_str() + sizeof kRosterPrefix - 1, nullptr, 10));
    if (!listed.is_array() || row.mKey != RosterKey(number)) {
      continue;
    }
    std::vector<known_worker>& roster = Shard(number).mRoster;
    roster.clear();
    for (const json& worker : listed) {
      std::optional<known_worker> known =
        DecodeWorker(worker, mWallSeconds, aNow);
      if (known) {
        roster.push_back(std::move(*known));
      }
    }
  }
  for (auto& [number, shard] : mShards) {
    if (shard.mOwner != nullptr) {
      shard.mOwner->OnRosterRead(shard.mRoster, aNow);
    }
  }
}

std::vector<known_worker>
entry_node::KnownWorkers(uint32_t aShard, instant aNow) const
{
  const shard_row& shard = mShards.at(aShard);
  std::vector<known_worker> known = shard.mSeenWorkers;
  for (const known_worker& worker : shard.mRoster) {
    MergeWorker(&known, worker);
  }
  if (!mRostersRead) {
    // No roster has been read since the start, so there may be workers with
    // records that this process does not know.
    known.push_back({ kUnknownWorker, 0, aNow });
  }
  duration retention = mOptions.mOwner.mJobs.mRetention;
  known.erase(std::remove_if(known.begin(),
                             known.end(),
                             [&](const known_worker& aWorker) {
                               return aWorker.mLastAlive + retention <= aNow;
                             }),
              known.end());
  return known;
}

void
entry_node::Claim(uint32_t aShard, uint64_t aEpoch, instant aNow)
{
  shard_row& shard = Shard(aShard);
  owner_options options = mOptions.mOwner;
  options.mShard = aShard;
  shard.mOwner = std::make_unique<shard_owner>(options,
                                               aEpoch,
                                               KnownWorkers(aShard, aNow),
                                               mConfig.Config(),
                                               mNetwork,
                                               *this,
                                               mEvents,
                                               mRandom,
                                               aNow,
                                               mSafeguards.mShardOwner);
  shard.mOwner->SetDisconnectedWorkers(shard.mTraits);
  shard.mStoredVersion = 0;
  shard.mNextStore = aNow;
  for (const auto& [peer, row] : mPeers) {
    bool isMember = row.mIdentity.mRole == process_role::Guard &&
                    row.mIdentity.mShard == aShard;
    if (!isMember) {
      continue;
    }
    shard.mOwner->Attach(peer, row.mIdentity, aNow);
    if (row.mWorkerKnown) {
      shard.mOwner->OnWorkerState(peer, row.mWorker);
    }
    PushConfig(peer);
  }
  mNextStatus = aNow; // so that other entries route to this one soon
}

void
entry_node::ResolveConflict(uint32_t aShard, instant aNow)
{
  peer_id rival = OwnerPeer(aShard, aNow);
  if (rival == 0) {
    return;
  }
  uint32_t rivalWorkers = 0;
  uint64_t rivalEpoch = 0;
  const peer_row& row = mPeers.at(rival);
  for (const wire::owned_shard_msg& owned : row.mStatus.shards) {
    if (owned.shard == aShard) {
      rivalWorkers = owned.workers;
      rivalEpoch = owned.epoch;
    }
  }
  shard_owner& owner = *Shard(aShard).mOwner;
  uint32_t workers = owner.LeasedWorkers(aNow);
  auto own = std::make_tuple(
    workers, owner.Epoch(), RendezvousWeight(aShard, mOptions.mName));
  auto other = std::make_tuple(
    rivalWorkers, rivalEpoch, RendezvousWeight(aShard, row.mIdentity.mName));
  if (own < other) {
    StepDown(aShard, rival, aNow);
  }
}

void
entry_node::StepDown(uint32_t aShard, peer_id aSuccessor, instant aNow)
{
  shard_row& shard = Shard(aShard);
  std::vector<shard_owner::moved_job> moved =
    shard.mOwner->StepDown(aSuccessor, aNow);
  shard.mMaxEpoch = std::max(shard.mMaxEpoch, shard.mOwner->Epoch());
  AddCounters(shard.mOwner->Counters(), &shard.mPastCounters);
  shard.mOwner.reset();
  for (shard_owner::moved_job& job : moved) {
    bool hasRequest = false;
    for (const waiter& waiting : job.mWaiters) {
      auto request = mRequests.find(waiting.mToken);
      if (request == mRequests.end()) {
        continue;
      }
      if (request->second.mKind == request_kind::Submit) {
        request->second.mSubmission = job.mSubmission;
        hasRequest = true;
      }
    }
    if (!hasRequest) {
      // No request here waits for the job, but it still has to be sent to its
      // new owner. Since mReplyDue is now, that one immediately replies that
      // the job is running.
      request_row row;
      row.mKind = request_kind::Submit;
      row.mTeam = job.mSubmission.mTeam;
      row.mId = job.mSubmission.mId;
      row.mSubmission = std::move(job.mSubmission);
      row.mCreated = aNow;
      row.mPendingSince = aNow;
      row.mReplyDue = aNow;
      row.mEverRouted = true;
      mRequests.emplace(mNextToken++, std::move(row));
    }
    for (const waiter& waiting : job.mWaiters) {
      wire::job_reply_msg reroute;
      reroute.error = uint8_t(error_code::Unavailable);
      reroute.step = kRouteStep;
      Answer(waiting.mToken, std::move(reroute));
    }
  }
  // Any other requests that the owner held are routed again as well.
  for (auto& [token, row] : mRequests) {
    if (row.mState == request_state::Local &&
        ShardOf(row.mId, ShardCount()) == aShard) {
      row.mState = request_state::Pending;
      row.mPendingSince = aNow;
    }
  }
  mNextRoute = {};
  mNextStatus = aNow;
  SendStatus(aNow);
}

void
entry_node::OnHandover(const wire::handover_msg& aPart, instant aNow)
{
  shard_row& shard = Shard(aPart.shard);
  shard.mMaxEpoch = std::max(shard.mMaxEpoch, aPart.epoch);
  if (shard.mOwner == nullptr) {
    if (mDraining || !mConfig.IsLoaded()) {
      return; // the next owner collects the guards' records instead
    }
    Claim(aPart.shard, shard.mMaxEpoch + 1, aNow);
  }
  shard.mOwner->OnHandover(aPart, aNow);
}

void
entry_node::OnPeerStatus(peer_id aPeer,
                         const wire::peer_status_msg& aStatus,
                         instant aNow)
{
  peer_row& row = mPeers[aPeer];
  row.mStatus = aStatus;
  row.mStatusKnown = true;
  for (const wire::owned_shard_msg& owned : aStatus.shards) {
    shard_row& shard = Shard(owned.shard);
    shard.mMaxEpoch = std::max(shard.mMaxEpoch, owned.epoch);
  }
  bool overdue = aNow - row.mPushedAt >= kRepushInterval;
  if (aStatus.config_version < row.mPushedVersion && overdue) {
    // The document had no effect, so it is sent again.
    row.mPushedVersion = aStatus.config_version;
  }
  PushConfig(aPeer);
  for (uint32_t number = 0; number < ShardCount(); number++) {
    if (Shard(number).mOwner != nullptr) {
      ResolveConflict(number, aNow);
    }
  }
}

std::vector<std::string>
entry_node::EntryAddresses() const
{
  std::vector<std::string> addresses;
  addresses.push_back(mOptions.mAddress);
  for (const auto& [name, address] : mEntryAddresses) {
    if (name != mOptions.mName) {
      addresses.push_back(address);
    }
  }
  return addresses;
}

void
entry_node::SendStatus(instant aNow)
{
  wire::peer_status_msg status;
  for (const auto& [number, shard] : mShards) {
    if (shard.mOwner != nullptr) {
      wire::owned_shard_msg owned;
      owned.shard = number;
      owned.workers = shard.mOwner->LeasedWorkers(aNow);
      owned.epoch = shard.mOwner->Epoch();
      status.shards.push_back(owned);
    }
  }
  status.config_version = mConfig.Config().mVersion;
  status.draining = mDraining;
  bool sendToGuards = aNow >= mNextGuardStatus;
  if (sendToGuards) {
    mNextGuardStatus = aNow + mOptions.mGuardStatusInterval;
  }
  wire::peer_status_msg guardStatus;
  guardStatus.entries = EntryAddresses();
  for (const auto& [peer, row] : mPeers) {
    if (row.mIdentity.mRole == process_role::Entry) {
      mNetwork.Send(peer, MakeMessage(wire::peer_status_msg(status)));
    } else if (sendToGuards) {
      mNetwork.Send(peer, MakeMessage(wire::peer_status_msg(guardStatus)));
    }
  }
}

// Links to entries that have timed out are closed, because a new connection may
// work where the old one has silently failed.
void
entry_node::CheckEntryLinks(instant aNow)
{
  std::vector<peer_id> timedOut;
  for (const auto& [peer, row] : mPeers) {
    bool isEntry = row.mIdentity.mRole == process_role::Entry;
    if (isEntry && aNow - row.mLastHeard >= mOptions.mPeerTimeout) {
      timedOut.push_back(peer);
    }
  }
  for (peer_id peer : timedOut) {
    mEvents.Emit(event_code::PeerSilent,
                 { { "peer", mPeers.at(peer).mIdentity.mName } });
    OnPeerDown(peer, aNow);
    mNetwork.Close(peer);
  }
  if (aNow < mNextConnect) {
    return;
  }
  mNextConnect = aNow + kConnectInterval;
  std::vector<std::string> targets = mOptions.mSeedEntries;
  for (const auto& [name, address] : mEntryAddresses) {
    targets.push_back(address);
  }
  std::sort(targets.begin(), targets.end());
  targets.erase(std::unique(targets.begin(), targets.end()), targets.end());
  for (const std::string& address : targets) {
    bool connected = address == mOptions.mAddress;
    for (const auto& [peer, row] : mPeers) {
      bool isEntry = row.mIdentity.mRole == process_role::Entry;
      connected = connected || (isEntry && row.mIdentity.mAddress == address);
    }
    // Only one entry of each pair connects. Otherwise both would keep replacing
    // each other's links.
    if (!connected && mOptions.mAddress < address) {
      mNetwork.Connect(address);
    }
  }
}

void
entry_node::RenewRow(instant aNow)
{
  if (aNow >= mNextRowRenewal && mRowRequest == 0 && mWallSeconds > 0) {
    mNextRowRenewal = aNow + mOptions.mRowInterval;
    std::string key = "entry/" + mOptions.mName;
    if (mDraining) {
      mRowRequest = mTable.Commit({ { key, "", std::nullopt, true } });
    } else {
      json row = { { "name", mOptions.mName },
                   { "address", mOptions.mAddress },
                   { "incarnation", mOptions.mIncarnation },
                   { "data_center", mOptions.mDataCenter },
                   { "region", mOptions.mRegion },
                   { "renewed", mWallSeconds } };
      mRowRequest = mTable.Commit({ { key, row.dump(), std::nullopt, false } });
    }
  }
  if (aNow >= mNextEntriesRead && mEntriesRequest == 0) {
    mNextEntriesRead = aNow + kEntriesInterval;
    mEntriesRequest = mTable.Read("entry/", kMaxEntryRows, false);
    mRostersRequest = mTable.Read(kRosterPrefix, kMaxRosterRows, false);
  }
}

void
entry_node::OnEntryRows(const table_reply& aReply, instant /*aNow*/)
{
  if (aReply.mStatus != table_status::Ok) {
    return;
  }
  std::map<std::string, std::string> addresses;
  for (const table_row& row : aReply.mRows) {
    json listed = ParseBoundedJson(row.mValue);
    std::optional<std::string> name = TextField(listed, "name");
    std::optional<std::string> address = TextField(listed, "address");
    std::optional<int64_t> renewed = WholeField(listed, "renewed");
    if (!name || !address || !renewed) {
      continue; // another writer's
    }
    int64_t age = mWallSeconds - *renewed;
    if (age > 2 * mOptions.mRowLifetimeSeconds) {
      // The row was left by an instance that failed. Its name is not used
      // again.
      mTable.Commit({ { row.mKey, "", row.mVersion, true } });
    } else if (age <= mOptions.mRowLifetimeSeconds) {
      addresses[*name] = *address;
    }
  }
  for (const auto& [peer, row] : mPeers) {
    if (row.mIdentity.mRole == process_role::Entry) {
      addresses[row.mIdentity.mName] = row.mIdentity.mAddress;
    }
  }
  bool changed = addresses != mEntryAddresses;
  mEntryAddresses = std::move(addresses);
  if (changed) {
    mNextGuardStatus = {}; // send the addresses with the next status
  }
}

void
entry_node::StoreRosters(instant aNow)
{
  for (auto& [number, shard] : mShards) {
    if (shard.mOwner == nullptr || shard.mStoreRequest != 0 ||
        aNow < shard.mNextStore ||
        shard.mOwner->RosterVersion() == shard.mStoredVersion) {
      continue;
    }
    if (!mRostersRead) {
      // A write would delete workers that the previous owner listed and that
      // this process has not read yet. Until it has, only the processes to
      // which a worker was connected know that it may hold records.
      shard.mOwner->OnRosterStored(shard.mOwner->RosterVersion());
      continue;
    }
    shard.mNextStore = aNow + kRosterInterval;
    shard.mStoringVersion = shard.mOwner->RosterVersion();
    json listed = json::array();
    for (const known_worker& worker : shard.mOwner->Roster()) {
      int64_t age = std::chrono::duration_cast<std::chrono::seconds>(
                      aNow - worker.mLastAlive)
                      .count();
      listed.push_back({ { "name", worker.mName },
                         { "incarnation", worker.mIncarnation },
                         { "last", mWallSeconds - age } });
    }
    shard.mStoreRequest = mTable.Commit(
      { { RosterKey(number), listed.dump(), std::nullopt, false } });
  }
}

void
entry_node::OnTableReply(const table_reply& aReply, instant aNow)
{
  mNow = aNow;
  bool down = aReply.mStatus == table_status::Unavailable;
  if (down != mTableDown) {
    mTableDown = down;
    mEvents.Emit(
      down ? event_code::TableUnavailable : event_code::TableAvailable, {});
  }
  if (mConfig.OnTableReply(aReply, aNow, mWallSeconds)) {
    return;
  }
  if (aReply.mRequest == mRowRequest) {
    mRowRequest = 0;
    return;
  }
  if (aReply.mRequest == mEntriesRequest) {
    mEntriesRequest = 0;
    OnEntryRows(aReply, aNow);
    return;
  }
  if (aReply.mRequest == mRostersRequest) {
    mRostersRequest = 0;
    OnRosters(aReply, aNow);
    return;
  }
  for (auto& [number, shard] : mShards) {
    if (aReply.mRequest != shard.mStoreRequest) {
      continue;
    }
    shard.mStoreRequest = 0;
    if (aReply.mStatus == table_status::Ok) {
      shard.mStoredVersion = shard.mStoringVersion;
    }
    // Workers get tasks even if the row could not be written. Until it is
    // written, only the processes to which they were connected know that they
    // may hold records.
    if (shard.mOwner != nullptr) {
      shard.mOwner->OnRosterStored(shard.mStoringVersion);
    }
    return;
  }
}

std::vector<process_status>
entry_node::Processes(instant aNow) const
{
  std::vector<process_status> statuses;
  process_status own;
  own.mRole = process_role::Entry;
  own.mName = mOptions.mName;
  own.mIncarnation = mOptions.mIncarnation;
  own.mDataCenter = mOptions.mDataCenter;
  own.mConfigVersion = mConfig.Config().mVersion;
  own.mDraining = mDraining;
  statuses.push_back(own);
  for (const auto& [peer, row] : mPeers) {
    process_status status;
    status.mRole = row.mIdentity.mRole;
    status.mName = row.mIdentity.mName;
    status.mIncarnation = row.mIdentity.mIncarnation;
    status.mDataCenter = row.mIdentity.mDataCenter;
    status.mShard = row.mIdentity.mShard;
    if (status.mRole == process_role::Entry) {
      if (!IsLiveEntry(row, aNow)) {
        continue;
      }
      status.mConfigVersion = row.mStatus.config_version;
      status.mDraining = row.mStatus.draining;
    } else {
      status.mConfigVersion = row.mWorker.config_version;
      status.mDraining = row.mWorker.draining;
      status.mSlots = row.mWorker.slots;
      status.mRunning = row.mWorker.running;
      status.mServices = row.mWorker.services;
    }
    statuses.push_back(std::move(status));
  }
  return statuses;
}

std::vector<shard_owner::worker_status>
entry_node::Workers(instant aNow) const
{
  std::vector<shard_owner::worker_status> statuses;
  for (const auto& [number, shard] : mShards) {
    if (shard.mOwner == nullptr) {
      continue;
    }
    for (auto& worker : shard.mOwner->Workers(aNow)) {
      statuses.push_back(std::move(worker));
    }
  }
  return statuses;
}

std::vector<entry_node::shard_status>
entry_node::Shards(instant aNow) const
{
  std::vector<shard_status> statuses;
  for (uint32_t number = 0; number < ShardCount(); number++) {
    shard_status status;
    status.mShard = number;
    auto found = mShards.find(number);
    peer_id owner = OwnerPeer(number, aNow);
    if (found != mShards.end() && found->second.mOwner != nullptr) {
      shard_owner& own = *found->second.mOwner;
      status.mOwner = mOptions.mName;
      status.mLocal = true;
      status.mEpoch = own.Epoch();
      status.mComplete = own.IsComplete();
      status.mQueued = own.Dispatcher().Queue().Total();
      status.mUndecided = own.Jobs().UndecidedJobs();
      status.mWorkers = own.LeasedWorkers(aNow);
    } else if (owner != 0) {
      status.mOwner = mPeers.at(owner).mIdentity.mName;
      for (const wire::owned_shard_msg& owned :
           mPeers.at(owner).mStatus.shards) {
        if (owned.shard == number) {
          status.mEpoch = owned.epoch;
          status.mWorkers = owned.workers;
        }
      }
    }
    statuses.push_back(std::move(status));
  }
  return statuses;
}

owner_counters
entry_node::Counters() const
{
  owner_counters sum;
  for (const auto& [number, shard] : mShards) {
    AddCounters(shard.mPastCounters, &sum);
    if (shard.mOwner != nullptr) {
      AddCounters(shard.mOwner->Counters(), &sum);
    }
  }
  return sum;
}

} // namespace cactusmast
