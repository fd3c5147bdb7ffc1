#include "cactusmast/config_agent.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "util/bounded_json.h"

namespace cactusmast {
namespace {

using nlohmann::json;

// Interval between retries of a step while the table is unavailable.
constexpr duration kRetryInterval = std::chrono::milliseconds(200);
constexpr char kDocumentKey[] = "config/document";
constexpr std::array<std::string_view, size_t(change_action::Count)>
  kActionNames = { "put_profile", "retire_profile", "put_team" };

const table_row*
FindRow(const table_reply& aReply, const std::string& aKey)
{
  for (const table_row& row : aReply.mRows) {
    if (row.mKey == aKey) {
      return &row;
    }
  }
  return nullptr;
}

// Parses a decimal version; 0 if aText is not one.
uint64_t
ParseVersion(const std::string& aText)
{
  uint64_t version = 0;
  for (char c : aText) {
    if (c < '0' || c > '9') {
      return 0;
    }
    version = version * 10 + uint64_t(c - '0');
  }
  return version;
}

// The profile or team that aChange is about, as in aConfig; null if absent.
json
TargetJson(const deployment_config& aConfig, const config_change& aChange)
{
  if (aChange.mAction == change_action::PutTeam) {
    auto found = aConfig.mTeams.find(aChange.mTeam.mName);
    return found == aConfig.mTeams.end()
             ? json()
             : json::parse(SerializeTeam(found->second));
  }
  auto found = aConfig.mProfiles.find(aChange.mProfile.mName);
  return found == aConfig.mProfiles.end()
           ? json()
           : json::parse(SerializeProfile(found->second));
}

// The revision of the profile that aChange is about; 0 if it is not in aConfig.
uint64_t
RevisionOf(const deployment_config& aConfig, const config_change& aChange)
{
  auto found = aConfig.mProfiles.find(aChange.mProfile.mName);
  return found == aConfig.mProfiles.end() ? 0 : found->second.mRevision;
}

// The fields that audit rows of accepted and refused changes share.
json
ChangeRecord(const config_change& aChange, int64_t aWallSeconds)
{
  bool isTeam = aChange.mAction == change_action::PutTeam;
  return { { "operation", aChange.mOperation },
           { "who", aChange.mOperator },
           { "when", aWallSeconds },
           { "reason", aChange.mReason },
           { "action", Name(aChange.mAction) },
           { "name", isTeam ? aChange.mTeam.mName : aChange.mProfile.mName } };
}

} // namespace

std::string_view
Name(change_action aAction)
{
  return kActionNames[size_t(aAction) % kActionNames.size()];
}

std::string
AuditKey(uint64_t aVersion)
{
  char buffer[40];
  std::snprintf(buffer,
                sizeof buffer,
                "audit/%020llu",
                static_cast<unsigned long long>(aVersion));
  return buffer;
}

config_agent::config_agent(config_options aOptions,
                           table_store& aTable,
                           event_sink& aEvents,
                           config_listener& aListener,
                           config_safeguards aSafeguards)
  : mOptions(aOptions)
  , mTable(aTable)
  , mEvents(aEvents)
  , mListener(aListener)
  , mSafeguards(aSafeguards)
{
}

bool
config_agent::IsFresh(instant aNow) const
{
  return mPollSucceeded && aNow - mLastConfirmed <= mOptions.mStaleAfter;
}

void
config_agent::Tick(instant aNow, int64_t aWallSeconds)
{
  mNow = aNow;
  if (mRetryAt.count() > 0 && aNow >= mRetryAt) {
    RetryStep();
  }
  if (aNow >= mNextPoll && mPollRequest == 0) {
    mNextPoll = aNow + mOptions.mPollInterval;
    mPollRequest = mTable.Read(kConfigVersionKey, 1, false);
  }
  if (IsLoaded() && !IsFresh(aNow) && !mStaleReported) {
    mStaleReported = true;
    mEvents.Emit(event_code::ConfigStale,
                 { { "version", std::to_string(mConfig.mVersion) } });
  }
  while (!mPendingChanges.empty() &&
         aNow >= mPendingChanges.front().mDeadline) {
    GiveUpChange("the table is unavailable", aWallSeconds);
  }
}

void
config_agent::GiveUpChange(const std::string& aText, int64_t aWallSeconds)
{
  bool written = mStep == step::Commit || mStep == step::ReadBack;
  RefuseChange(error_code::Unavailable,
               written ? run_state::Unknown : run_state::NotRun,
               aText + "; see the audit trail for operation " +
                 mPendingChanges.front().mChange.mOperation,
               aWallSeconds);
}

void
config_agent::GiveUpChanges(const std::string& aText, int64_t aWallSeconds)
{
  while (!mPendingChanges.empty()) {
    GiveUpChange(aText, aWallSeconds);
  }
}

void
config_agent::Change(const config_change& aChange, instant aNow)
{
  if (mPendingChanges.size() >= mOptions.mMaxPendingChanges) {
    throw failure(error_code::Overloaded,
                  "change configuration",
                  "",
                  "too many changes are queued",
                  run_state::NotRun,
                  std::chrono::seconds(1));
  }
  mPendingChanges.push_back({ aChange, aNow + mOptions.mChangeTimeout });
  if (mStep == step::Idle) {
    StartChange();
  }
}

void
config_agent::StartChange()
{
  mStep = step::ReadCurrent;
  mChangeRequest = mTable.Read(kDocumentKey, 1, false);
}

bool
config_agent::OnTableReply(const table_reply& aReply,
                           instant aNow,
                           int64_t aWallSeconds)
{
  mNow = aNow;
  if (aReply.mRequest == 0) {
    return false;
  }
  if (aReply.mRequest == mPollRequest) {
    mPollRequest = 0;
    OnPollReply(aReply, aNow);
    return true;
  }
  if (aReply.mRequest == mDocumentRequest) {
    mDocumentRequest = 0;
    OnDocumentReply(aReply);
    return true;
  }
  if (aReply.mRequest == mInitialRequest) {
    // The next poll reads the version, whichever process has written it.
    mInitialRequest = 0;
    return true;
  }
  if (aReply.mRequest != mChangeRequest) {
    return false;
  }
  mChangeRequest = 0;
  switch (mStep) {
    case step::ReadCurrent:
      OnCurrentReply(aReply, aWallSeconds);
      break;
    case step::Commit:
      OnCommitReply(aReply);
      break;
    case step::ReadBack:
      OnReadBackReply(aReply);
      break;
    case step::Idle:
      break;
  }
  return true;
}

void
config_agent::OnPollReply(const table_reply& aReply, instant aNow)
{
  if (aReply.mStatus != table_status::Ok) {
    mPollAnswered = true;
    if (!IsLoaded() && !mPeerDocument.empty()) {
      Install(mPeerDocument);
    }
    return;
  }
  mPollAnswered = true;
  mPollSucceeded = true;
  mLastConfirmed = aNow;
  if (mStaleReported) {
    mStaleReported = false;
    mEvents.Emit(event_code::ConfigFresh,
                 { { "version", std::to_string(mConfig.mVersion) } });
  }
  const table_row* row = FindRow(aReply, kConfigVersionKey);
  if (row == nullptr) {
    CommitInitial();
    return;
  }
  mTableVersion = std::max(mTableVersion, ParseVersion(row->mValue));
  if (mTableVersion > mConfig.mVersion && mDocumentRequest == 0) {
    mDocumentRequest = mTable.Read(kDocumentKey, 1, false);
  }
}

void
config_agent::CommitInitial()
{
  if (mInitialRequest != 0) {
    return;
  }
  deployment_config initial;
  initial.mVersion = 1;
  initial.mShardCount = mOptions.mInitialShardCount;
  mInitialRequest =
    mTable.Commit({ { kConfigVersionKey, "1", 0, false },
                    { kDocumentKey, initial.Serialize(), 0, false } });
}

void
config_agent::OnDocumentReply(const table_reply& aReply)
{
  const table_row* row = FindRow(aReply, kDocumentKey);
  if (aReply.mStatus == table_status::Ok && row != nullptr) {
    Install(row->mValue);
  }
}

void
config_agent::OnConfigPush(uint64_t aVersion, const std::string& aDocument)
{
  if (!mSafeguards.mMonotonicConfig) {
    Install(aDocument);
    return;
  }
  if (!IsLoaded() && !mPollAnswered) {
    // This process has just started, and the peer's document may be outdated.
    // The table is read first; if it is unavailable, the newest document that
    // a peer has pushed is installed.
    if (aVersion > mPeerDocumentVersion) {
      mPeerDocumentVersion = aVersion;
      mPeerDocument = aDocument;
    }
    return;
  }
  if (aVersion > mConfig.mVersion && aVersion >= mTableVersion) {
    Install(aDocument);
  }
}

void
config_agent::Install(const std::string& aDocument)
{
  result<deployment_config> parsed = deployment_config::Parse(aDocument);
  if (!parsed.Ok()) {
    mEvents.Emit(event_code::ConfigUnreadable,
                 { { "text", parsed.Error().what() } });
    return;
  }
  bool newer = parsed.Value().mVersion > mConfig.mVersion;
  if (!newer && mSafeguards.mMonotonicConfig) {
    return;
  }
  mConfig = std::move(parsed.Value());
  mDocument = aDocument;
  mEvents.Emit(event_code::ConfigInForce,
               { { "version", std::to_string(mConfig.mVersion) } });
  mListener.OnConfigInForce(mConfig);
}

deployment_config
config_agent::ApplyChange(const deployment_config& aBase) const
{
  const config_change& change = mPendingChanges.front().mChange;
  deployment_config next = aBase;
  next.mVersion++;
  if (change.mAction == change_action::PutTeam) {
    next.mTeams[change.mTeam.mName] = change.mTeam;
    return next;
  }
  uint64_t current = RevisionOf(aBase, change);
  if (mSafeguards.mCompareRevision && current != change.mExpectedRevision) {
    throw failure(error_code::Conflict,
                  "change configuration",
                  "operator",
                  "profile " + change.mProfile.mName + " is at revision " +
                    std::to_string(current) + ", not " +
                    std::to_string(change.mExpectedRevision) +
                    "; now: " + TargetJson(aBase, change).dump());
  }
  profile& target = next.mProfiles[change.mProfile.mName];
  if (change.mAction == change_action::RetireProfile) {
    if (current == 0) {
      throw failure(error_code::NotFound,
                    "change configuration",
                    "operator",
                    "no profile " + change.mProfile.mName);
    }
    target.mRetired = true;
  } else {
    target = change.mProfile;
  }
  target.mRevision = current + 1;
  return next;
}

std::string
config_agent::AuditRow(const deployment_config& aBase,
                       const deployment_config& aNext,
                       int64_t aWallSeconds) const
{
  const config_change& change = mPendingChanges.front().mChange;
  json row = ChangeRecord(change, aWallSeconds);
  row["outcome"] = "accepted";
  row["version"] = aNext.mVersion;
  row["from_revision"] = RevisionOf(aBase, change);
  row["to_revision"] = RevisionOf(aNext, change);
  row["before"] = TargetJson(aBase, change);
  row["after"] = TargetJson(aNext, change);
  return row.dump();
}

void
config_agent::OnCurrentReply(const table_reply& aReply, int64_t aWallSeconds)
{
  if (aReply.mStatus != table_status::Ok) {
    mRetryAt = mNow + kRetryInterval;
    return;
  }
  const table_row* row = FindRow(aReply, kDocumentKey);
  if (row == nullptr) {
    RefuseChange(error_code::Unavailable,
                 run_state::NotRun,
                 "the table holds no configuration yet",
                 aWallSeconds);
    return;
  }
  try {
    deployment_config base = deployment_config::Parse(row->mValue).Value();
    mNextConfig = ApplyChange(base);
    mNextRevision = RevisionOf(mNextConfig, mPendingChanges.front().mChange);
    mWrites = {
      { kConfigVersionKey,
        std::to_string(mNextConfig.mVersion),
        std::nullopt,
        false },
      { kDocumentKey, mNextConfig.Serialize(), row->mVersion, false },
      { AuditKey(mNextConfig.mVersion),
        AuditRow(base, mNextConfig, aWallSeconds),
        0,
        false },
    };
    SubmitCommit();
  } catch (const failure& error) {
    RefuseChange(error.Code(), run_state::NotRun, error.what(), aWallSeconds);
  }
}

void
config_agent::SubmitCommit()
{
  mStep = step::Commit;
  mChangeRequest = mTable.Commit(mWrites);
}

void
config_agent::OnCommitReply(const table_reply& aReply)
{
  if (aReply.mStatus == table_status::Ok) {
    FinishChange({ mPendingChanges.front().mChange.mToken,
                   true,
                   mNextConfig.mVersion,
                   mNextRevision,
                   error_code::None,
                   run_state::Run,
                   "" });
    return;
  }
  // A conflict may be due to an earlier commit of this same change whose reply
  // was lost. Therefore the audit row of the version is read after a conflict
  // as well as after a failure.
  if (!mSafeguards.mReadBack) {
    StartChange();
    return;
  }
  mStep = step::ReadBack;
  mRetryAt =
    aReply.mStatus == table_status::Conflict ? mNow : mNow + kRetryInterval;
}

void
config_agent::RetryStep()
{
  mRetryAt = {};
  if (mStep == step::ReadCurrent) {
    StartChange();
  } else if (mStep == step::ReadBack) {
    mChangeRequest = mTable.Read(AuditKey(mNextConfig.mVersion), 1, false);
  }
}

void
config_agent::OnReadBackReply(const table_reply& aReply)
{
  if (aReply.mStatus != table_status::Ok) {
    mRetryAt = mNow + kRetryInterval;
    return;
  }
  const table_row* row = FindRow(aReply, AuditKey(mNextConfig.mVersion));
  if (row == nullptr) {
    // The transaction has not been executed, or not yet. It can be sent again,
    // since its conditions let it succeed at most once.
    SubmitCommit();
    return;
  }
  bool isOwn = TextField(ParseBoundedJson(row->mValue), "operation") ==
               mPendingChanges.front().mChange.mOperation;
  if (!isOwn) {
    StartChange();
    return;
  }
  FinishChange({ mPendingChanges.front().mChange.mToken,
                 true,
                 mNextConfig.mVersion,
                 mNextRevision,
                 error_code::None,
                 run_state::Run,
                 "" });
}

void
config_agent::RefuseChange(error_code aCode,
                           run_state aRun,
                           const std::string& aText,
                           int64_t aWallSeconds)
{
  const config_change& change = mPendingChanges.front().mChange;
  json row = ChangeRecord(change, aWallSeconds);
  row["outcome"] = aRun == run_state::Unknown ? "unknown" : "refused";
  row["error"] = Name(aCode);
  row["text"] = aText;
  // Best effort: in an outage of the table the row is not written either. The
  // log has the refusal in any case.
  mTable.Commit(
    { { "refused/" + std::to_string(aWallSeconds) + "-" + change.mOperation,
        row.dump(),
        0,
        false } });
  FinishChange({ change.mToken, false, 0, 0, aCode, aRun, aText });
}

void
config_agent::FinishChange(const change_outcome& aOutcome)
{
  config_change change = mPendingChanges.front().mChange;
  mPendingChanges.pop_front();
  mStep = step::Idle;
  mChangeRequest = 0;
  mRetryAt = {};
  mEvents.Emit(aOutcome.mAccepted ? event_code::ConfigAccepted
                                  : event_code::ConfigRefused,
               { { "who", change.mOperator },
                 { "operation", change.mOperation },
                 { "version", std::to_string(aOutcome.mVersion) },
                 { "text", aOutcome.mText } });
  if (aOutcome.mAccepted) {
    Install(mNextConfig.Serialize());
  }
  mListener.OnChangeDone(aOutcome);
  if (!mPendingChanges.empty()) {
    StartChange();
  }
}

} // namespace cactusmast
