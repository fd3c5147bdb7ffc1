// The configuration in force, and changes to it.
//
// The whole configuration is one document in one row of the platform's table;
// a second, small row holds its version. Every entry polls the small row each
// second and reads the document if the version has grown. Entries push a new
// document to the guards of their shards and to other entries, so that changes
// also reach a process that cannot reach the table.
//
// A change is a compare-and-set: the operator sends the revision of the profile
// that the change is based on, and gets a conflict that shows the current
// profile if that revision is no longer the latest. The document, the version
// row and the audit row are written in one transaction. The key of the audit
// row is the new version, and the row holds the identity of the operation.
// When the reply to a commit is lost, reading that one row therefore tells
// whether this change, another one or none got that version, and the operator
// gets the true outcome.
//
// Versions only grow in every process: an older document never replaces a newer
// one, whatever its source. A restarted process reads the table before it
// serves. Only if the table is unavailable does it install a document pushed by
// a peer, the newest that it has received.

#ifndef CACTUSMAST_CONFIG_AGENT_H_
#define CACTUSMAST_CONFIG_AGENT_H_

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "cactusmast/ports.h"
#include "cactusmast/profile.h"

namespace cactusmast {

struct config_options
{
  duration mPollInterval = std::chrono::seconds(1);
  // The configuration is stale if no poll has succeeded for this long.
  duration mStaleAfter = std::chrono::seconds(3);
  // A change that is not complete after this time fails; its outcome is unknown
  // if a write was sent.
  duration mChangeTimeout = std::chrono::seconds(5);
  size_t mMaxPendingChanges = 64;
  // Number of shards, if the table holds no configuration yet.
  uint32_t mInitialShardCount = 1;
};

// Safeguards that tests switch off to show that each is needed.
struct config_safeguards
{
  bool mCompareRevision = true; // refuse changes based on an old revision
  bool mReadBack = true;        // read the audit row if a commit is in doubt
  bool mMonotonicConfig = true; // ignore older configurations
};

enum class change_action : uint8_t
{
  PutProfile,
  RetireProfile,
  PutTeam,
  Count
};

std::string_view
Name(change_action aAction);

// An operator's change. The API layer limits the length of the text fields.
struct config_change
{
  uint64_t mToken = 0; // chosen by the caller of Change; is in the outcome
  change_action mAction = change_action::PutProfile;
  profile mProfile; // only the name is used by RetireProfile
  team mTeam;       // used by PutTeam
  // Revision of the profile that the change is based on; 0 to create it. Not
  // used for teams, which have no revision.
  uint64_t mExpectedRevision = 0;
  std::string mOperator;  // name of the operator
  std::string mReason;    // for the audit trail
  std::string mOperation; // unique identity of this change
};

struct change_outcome
{
  uint64_t mToken = 0; // as in config_change
  bool mAccepted = false;
  uint64_t mVersion = 0;  // of the new document; 0 if not accepted
  uint64_t mRevision = 0; // new one of the profile; 0 if not accepted
  error_code mError = error_code::None;
  // Unknown if it is in doubt whether the change was written.
  run_state mRunState = run_state::NotRun;
  std::string mText; // of the error; empty if accepted
};

class config_listener
{
public:
  virtual ~config_listener() = default;
  // A new document is in force.
  virtual void OnConfigInForce(const deployment_config& aConfig) = 0;
  // Called exactly once for each change that was queued.
  virtual void OnChangeDone(const change_outcome& aOutcome) = 0;
};

class config_agent
{
public:
  config_agent(config_options aOptions,
               table_store& aTable,
               event_sink& aEvents,
               config_listener& aListener,
               config_safeguards aSafeguards = {});

  // aWallSeconds: time of day in seconds since the epoch, for audit rows.
  void Tick(instant aNow, int64_t aWallSeconds);
  // Returns whether the reply belongs to a request of this agent.
  bool OnTableReply(const table_reply& aReply,
                    instant aNow,
                    int64_t aWallSeconds);
  // Handles a document pushed by a peer. It is ignored unless it is newer.
  void OnConfigPush(uint64_t aVersion, const std::string& aDocument);

  // Queues a change; OnChangeDone reports its outcome. Throws
  // failure(Overloaded) if too many changes are queued.
  void Change(const config_change& aChange, instant aNow);
  // Reports the outcome of every queued change, as far as it is known, because
  // the process ends. aText: the reason.
  void GiveUpChanges(const std::string& aText, int64_t aWallSeconds);

  const deployment_config& Config() const { return mConfig; }
  // The document in force as JSON; empty if none is known.
  const std::string& Document() const { return mDocument; }
  // Whether a document is in force.
  bool IsLoaded() const { return mConfig.mVersion > 0; }
  // Whether a poll of the table has succeeded within mStaleAfter.
  bool IsFresh(instant aNow) const;

private:
  // What the first queued change waits for.
  enum class step : uint8_t
  {
    Idle,        // no change is queued
    ReadCurrent, // the current document
    Commit,      // the reply to the transaction
    ReadBack     // the audit row, which tells the outcome of the transaction
  };

  struct pending_change
  {
    config_change mChange;
    instant mDeadline{};
  };

  // Starts the first queued change, or starts it again with the current
  // document.
  void StartChange();
  // Sends the read of the current step; called when mRetryAt is reached.
  void RetryStep();
  void OnCurrentReply(const table_reply& aReply, int64_t aWallSeconds);
  void OnCommitReply(const table_reply& aReply);
  void OnReadBackReply(const table_reply& aReply);
  void OnPollReply(const table_reply& aReply, instant aNow);
  void OnDocumentReply(const table_reply& aReply);
  // Writes the first document, with version 1 and no profiles. The transaction
  // fails if another process has written one.
  void CommitInitial();
  // Sends the transaction of the first queued change.
  void SubmitCommit();
  // Returns the document with the first queued change applied to aBase. Throws
  // failure(Conflict) or failure(NotFound).
  deployment_config ApplyChange(const deployment_config& aBase) const;
  std::string AuditRow(const deployment_config& aBase,
                       const deployment_config& aNext,
                       int64_t aWallSeconds) const;
  // Reports the outcome of the first queued change and starts the next one.
  void FinishChange(const change_outcome& aOutcome);
  // Writes a row about the refused change for the audit trail and finishes it.
  void RefuseChange(error_code aCode,
                    run_state aRun,
                    const std::string& aText,
                    int64_t aWallSeconds);
  // Refuses the first queued change; it may have been written.
  void GiveUpChange(const std::string& aText, int64_t aWallSeconds);
  // Puts a document in force if it is valid and newer.
  void Install(const std::string& aDocument);

  config_options mOptions;
  table_store& mTable;
  event_sink& mEvents;
  config_listener& mListener;
  config_safeguards mSafeguards;

  deployment_config mConfig;   // in force
  std::string mDocument;       // the same as JSON
  bool mPollSucceeded = false; // some poll has succeeded
  bool mStaleReported = false;
  bool mPollAnswered = false; // some poll was answered, if only by an error
  uint64_t mTableVersion = 0; // newest version read from the table
  // The newest document that a peer pushed before the first poll was answered;
  // 0 and empty if there is none.
  uint64_t mPeerDocumentVersion = 0;
  std::string mPeerDocument;
  instant mLastConfirmed{}; // time of the last successful poll
  instant mNextPoll{};
  // Open requests to the table; 0 if there is none.
  uint64_t mPollRequest = 0;
  uint64_t mDocumentRequest = 0;
  uint64_t mInitialRequest = 0;

  // Queued changes. They are written one at a time; the first one is in
  // progress, and the members below belong to it.
  std::deque<pending_change> mPendingChanges;
  step mStep = step::Idle;
  uint64_t mChangeRequest = 0; // open request to the table; 0: none
  std::vector<table_write> mWrites;
  deployment_config mNextConfig; // the document with the change applied
  uint64_t mNextRevision = 0;    // of the profile in mNextConfig
  instant mRetryAt{};            // 0: no retry is due
  instant mNow{};                // of the latest call
};

// The key of the audit row for the change that made aVersion.
std::string
AuditKey(uint64_t aVersion);

} // namespace cactusmast

#endif // CACTUSMAST_CONFIG_AGENT_H_
