// The configuration in force, and changes to it.
//
// The whole configuration is one document in one row of the platform's table,
// beside a small row with its version. Every entry polls the small row each
// second and fetches the document when it moved; entries pass a new document
// on to the guards they own and to other entries, so that a process that
// cannot reach the table learns of changes all the same.
//
// A change is a compare-and-set: the operator names the revision of the
// profile that he saw, and gets a conflict that shows the other's change when
// it is no longer the latest. The document, the version row and the audit row
// are written in one transaction. The audit row's key is the new version and
// it carries the operation's identity, so when the reply to a commit is lost,
// reading that one row tells whether this change, another one, or none took
// that version: the operator is told the truth.
//
// Versions only grow, here and in every process: an older document is never
// taken after a newer one, wherever it comes from. A process that restarts
// reads the table before it serves; only when the table does not answer does
// it take a document from a peer, the newest it is offered.

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
  // Without a successful poll for this long, the version is not confirmed.
  duration mStaleAfter = std::chrono::seconds(3);
  // A change that could not be settled within this time is answered as
  // unknown.
  duration mChangeTimeout = std::chrono::seconds(5);
  size_t mMaxPendingChanges = 64;
  // Used when the table holds no configuration yet.
  uint32_t mInitialShardCount = 1;
};

// Safeguards that tests switch off to show what each is for.
struct config_safeguards
{
  bool mCompareRevision = true;
  bool mReadBack = true;
  bool mMonotonicVersion = true;
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

// An operator's change. Text fields come from outside and are bounded by the
// API layer.
struct config_change
{
  uint64_t mToken = 0; // chosen by the caller, returned with the outcome
  change_action mAction = change_action::PutProfile;
  profile mProfile; // the name alone counts when retiring
  team mTeam;
  // The revision the operator saw; 0 to create. Teams have none.
  uint64_t mExpectedRevision = 0;
  std::string mWho;
  std::string mReason;
  std::string mOperation; // unique
};

struct change_outcome
{
  uint64_t mToken = 0;
  bool mAccepted = false;
  uint64_t mVersion = 0;
  uint64_t mRevision = 0;
  error_code mError = error_code::None;
  run_state mRunState = run_state::NotRun;
  std::string mText;
};

class config_listener
{
public:
  virtual ~config_listener() = default;
  virtual void OnConfigInForce(const deployment_config& aConfig) = 0;
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

  void Tick(instant aNow, int64_t aWallSeconds);
  // True when the reply was for this agent.
  bool OnTableReply(const table_reply& aReply,
                    instant aNow,
                    int64_t aWallSeconds);
  // A peer's document; ignored unless newer.
  void OnPushed(uint64_t aVersion, const std::string& aDocument);

  // Throws failure(Overloaded) when too many changes wait.
  void Change(const config_change& aChange, instant aNow);

  const deployment_config& InForce() const { return mConfig; }
  const std::string& Document() const { return mDocument; }
  bool Loaded() const { return mConfig.mVersion > 0; }
  // The table confirmed the version recently.
  bool Fresh(instant aNow) const;

private:
  enum class step : uint8_t
  {
    Idle,
    ReadCurrent,
    Commit,
    ReadBack
  };

  struct pending_change
  {
    config_change mChange;
    instant mDeadline{};
  };

  void StartChange();
  void RetryStep();
  void OnCurrent(const table_reply& aReply, int64_t aWallSeconds);
  void OnCommitted(const table_reply& aReply);
  void OnReadBack(const table_reply& aReply);
  void OnPolled(const table_reply& aReply, instant aNow);
  void OnDocument(const table_reply& aReply);
  void CommitInitial();
  void SubmitCommit();
  // Builds the next document, or throws failure(Conflict).
  deployment_config Apply(const deployment_config& aBase) const;
  std::string AuditRow(const deployment_config& aBase,
                       const deployment_config& aNext,
                       int64_t aWallSeconds) const;
  void Finish(const change_outcome& aOutcome);
  void Refuse(error_code aCode,
              run_state aRun,
              const std::string& aText,
              int64_t aWallSeconds);
  void Install(const std::string& aDocument);

  config_options mOptions;
  table_store& mTable;
  event_sink& mEvents;
  config_listener& mListener;
  config_safeguards mSafeguards;

  deployment_config mConfig;
  std::string mDocument;
  bool mTableSeen = false;
  bool mStaleReported = false;
  bool mTableTried = false;
  uint64_t mTableVersion = 0; // the newest that the table has told
  uint64_t mOfferedVersion = 0;
  std::string mOffered; // by a peer, before the table was asked
  instant mLastConfirmed{};
  instant mNextPoll{};
  uint64_t mPollRequest = 0;
  uint64_t mDocumentRequest = 0;
  uint64_t mInitialRequest = 0;

  std::deque<pending_change> mPending;
  step mStep = step::Idle;
  uint64_t mChangeRequest = 0;
  std::vector<table_write> mWrites;
  deployment_config mNext;
  uint64_t mNextRevision = 0;
  instant mRetryAt{};
  instant mNow{}; // of the latest call
};

// The key of the audit row of aVersion.
std::string
AuditKey(uint64_t aVersion);

} // namespace cactusmast

#endif // CACTUSMAST_CONFIG_AGENT_H_
