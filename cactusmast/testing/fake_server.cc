#include "cactusmast/testing/sized_world.h"

#include <algorithm>

namespace cactusmast::testing {
namespace {

constexpr duration kMessageDelay = std::chrono::microseconds(500);
constexpr duration kRequestTimeout = milliseconds(30);

} // namespace

fake_server::fake_server(sized_world& aWorld, size_t aIndex)
  : mWorld(aWorld)
  , mIndex(aIndex)
{
}

int64_t
fake_server::ClockMs() const
{
  return std::chrono::duration_cast<milliseconds>(mWorld.Now()).count() -
         mStartTimeMs + 1000;
}

void
fake_server::After(duration aDelay, std::function<void()> aDo)
{
  mWorld.At(aDelay, std::move(aDo));
}

bool
fake_server::IsUnanswered()
{
  return mDown || mWorld.Uniform() < mUnansweredShare;
}

bool
fake_server::IsOrderUnanswered()
{
  return IsUnanswered() ||
         (mUnansweredOrders > 0 && mWorld.Uniform() < mUnansweredOrders);
}

bool
fake_server::IsForOther(int64_t aStartTimeMs) const
{
  return aStartTimeMs != 0 && aStartTimeMs != mStartTimeMs;
}

bool
fake_server::IsStopUnanswered()
{
  return IsOrderUnanswered() ||
         (mUnansweredStops > 0 && mWorld.Uniform() < mUnansweredStops);
}

bool
fake_server::IsRunning(const task_key& aTask) const
{
  return mRunning.count(aTask) > 0;
}

start_result
fake_server::Execute(const start_request& aRequest)
{
  if (aRequest.mFencingToken < mFencingToken) {
    return start_result::FencedOff;
  }
  mFencingToken = aRequest.mFencingToken;
  auto running = mRunning.find(aRequest.mTask);
  if (running != mRunning.end() &&
      running->second.mRunNumber == aRequest.mRunNumber) {
    return start_result::Started;
  }
  auto last = mLastRunNumbers.find(aRequest.mTask);
  if (running != mRunning.end() ||
      (last != mLastRunNumbers.end() && aRequest.mRunNumber <= last->second)) {
    return start_result::OldRun;
  }
  if (aRequest.mLeaseUntilMs <= ClockMs()) {
    return start_result::LeaseExpired;
  }
  mLeaseUntilMs = std::max(mLeaseUntilMs, aRequest.mLeaseUntilMs);
  run& started = mRunning[aRequest.mTask];
  started.mRunNumber = aRequest.mRunNumber;
  started.mStartedAt = mWorld.Now();
  started.mAdvancedAt = mWorld.Now();
  started.mWorkMs =
    std::stod(aRequest.mSpec) * mWorld.WorkFactor(aRequest.mTask);
  started.mCpu = 3000;
  mStarts++;
  mWorld.OnTaskStart(aRequest.mTask, mIndex);
  return start_result::Started;
}

void
fake_server::Start(const start_request& aRequest)
{
  auto reply = [this, aRequest](start_result aResult) {
    After(kMessageDelay, [this, aRequest, aResult] {
      mWorld.Deliver(true, mIndex, [this, aRequest, aResult] {
        mWorld.Executor(mIndex).OnStartReply(aRequest.mTask,
                                             aRequest.mRunNumber,
                                             aResult,
                                             ClockMs(),
                                             mWorld.Now());
      });
    });
  };
  if (!mDown && IsForOther(aRequest.mServerStartTimeMs)) {
    reply(start_result::NotSent);
    return;
  }
  if (!IsOrderUnanswered()) {
    reply(Execute(aRequest));
    return;
  }
  if (!mDown) {
    After(milliseconds(int64_t(2000 + 2000 * mWorld.Uniform())),
          [this, aRequest, startTimeMs = mStartTimeMs] {
            if (startTimeMs == mStartTimeMs && !mDown) {
              Execute(aRequest);
            }
          });
  }
  After(kRequestTimeout, [reply] { reply(start_result::NoAnswer); });
}

void
fake_server::Execute(const stop_request& aRequest)
{
  auto running = mRunning.find(aRequest.mTask);
  if (running != mRunning.end() &&
      running->second.mRunNumber <= aRequest.mRunNumber) {
    End(aRequest.mTask, end_kind::Stopped);
  }
  uint32_t& last = mLastRunNumbers[aRequest.mTask];
  last = std::max(last, aRequest.mRunNumber);
}

void
fake_server::Stop(const stop_request& aRequest)
{
  auto reply = [this, aRequest](bool aAcknowledged) {
    After(kMessageDelay, [this, aRequest, aAcknowledged] {
      mWorld.Deliver(true, mIndex, [this, aRequest, aAcknowledged] {
        mWorld.Executor(mIndex).OnStopReply(
          aRequest.mTask, aRequest.mRunNumber, aAcknowledged, mWorld.Now());
      });
    });
  };
  if (!IsStopUnanswered()) {
    Execute(aRequest);
    reply(true);
    return;
  }
  After(kRequestTimeout, [reply] { reply(false); });
}

server_snapshot
fake_server::Execute(const poll_request& aRequest)
{
  if (aRequest.mLeaseUntilMs > 0) {
    mLeaseUntilMs = std::max(mLeaseUntilMs, aRequest.mLeaseUntilMs);
  }
  while (!mEnded.empty() && mEnded.front().mNumber <= aRequest.mLastEndSeen) {
    mEnded.pop_front();
  }
  server_snapshot snapshot;
  snapshot.mClockMs = ClockMs();
  snapshot.mStartTimeMs = mStartTimeMs;
  for (const auto& [key, current] : mRunning) {
    running_task row;
    row.mTask = key;
    row.mRunNumber = current.mRunNumber;
    row.mPercent =
      uint32_t(std::min(99.0, 100 * current.mDoneMs / current.mWorkMs));
    snapshot.mRunning.push_back(row);
  }
  snapshot.mEnded.assign(mEnded.begin(), mEnded.end());
  return snapshot;
}

void
fake_server::Poll(const poll_request& aPoll)
{
  poll_request request = aPoll;
  if (IsForOther(aPoll.mServerStartTimeMs)) {
    request.mLeaseUntilMs = 0;
    request.mLastEndSeen = 0;
    request.mWaitMs = 0;
  }
  auto reply = [this, request](poll_result aResult,
                               const server_snapshot& aSnapshot) {
    After(kMessageDelay, [this, request, aResult, aSnapshot] {
      mWorld.Deliver(true, mIndex, [this, request, aResult, aSnapshot] {
        mWorld.Executor(mIndex).OnPollReply(
          request.mNumber, aResult, aSnapshot, mWorld.Now());
      });
    });
  };
  if (IsUnanswered()) {
    After(milliseconds(request.mWaitMs) + kRequestTimeout,
          [reply] { reply(poll_result::NoAnswer, {}); });
    return;
  }
  server_snapshot firstSnapshot = Execute(request);
  if (!firstSnapshot.mEnded.empty() || request.mWaitMs == 0) {
    reply(poll_result::Ok, firstSnapshot);
    return;
  }
  // The reply is sent at the next end or after the wait, whichever comes first.
  uint64_t number = request.mNumber;
  auto finish = [this, request, reply] {
    if (!mDown) {
      reply(poll_result::Ok, Execute(request));
    }
  };
  mWaitingPolls.emplace_back(number, finish);
  After(milliseconds(request.mWaitMs), [this, number] {
    for (auto at = mWaitingPolls.begin(); at != mWaitingPolls.end(); ++at) {
      if (at->first == number) {
        auto run = at->second;
        mWaitingPolls.erase(at);
        run();
        return;
      }
    }
  });
}

void
fake_server::End(const task_key& aTask, end_kind aHow)
{
  auto found = mRunning.find(aTask);
  ended_task end;
  end.mNumber = ++mEnds;
  end.mTask = aTask;
  end.mRunNumber = found->second.mRunNumber;
  end.mKind = aHow;
  mEnded.push_back(end);
  mLastRunNumbers[aTask] = end.mRunNumber;
  mRunning.erase(found);
  mWorld.OnTaskEnd(aTask, aHow);
  mWorld.mRunningAt[aTask].erase(mIndex);
  auto waiting = std::move(mWaitingPolls);
  mWaitingPolls.clear();
  for (auto& [number, finish] : waiting) {
    finish();
  }
}

void
fake_server::Advance()
{
  if (mDown) {
    return;
  }
  bool leaseExpired = ClockMs() >= mLeaseUntilMs;
  std::vector<std::pair<task_key, end_kind>> ends;
  int64_t cpu = 0;
  for (auto& [key, current] : mRunning) {
    double progressMs =
      double((mWorld.Now() - current.mAdvancedAt).count()) / 1000 * mSpeed;
    current.mAdvancedAt = mWorld.Now();
    current.mDoneMs += mHangs ? 0 : progressMs;
    cpu += current.mCpu;
    if (leaseExpired) {
      ends.emplace_back(key, end_kind::LeaseExpired);
    } else if (current.mDoneMs >= current.mWorkMs) {
      ends.emplace_back(key, mFailsAll ? end_kind::Failed : end_kind::Done);
    }
  }
  if (cpu > mCapacity.mCpuMillis) {
    mWorld.AddViolation("server " + std::to_string(mIndex) + " over capacity");
  }
  for (const auto& [key, how] : ends) {
    if (mRunning.count(key) > 0) {
      End(key, how);
    }
  }
}

void
fake_server::Crash()
{
  for (const auto& [key, current] : mRunning) {
    mWorld.mRunningAt[key].erase(mIndex);
  }
  mRunning.clear();
  mLastRunNumbers.clear();
  mEnded.clear();
  mWaitingPolls.clear();
  mEnds = 0;
  mFencingToken = 0;
  mSequence = 0;
  mLeaseUntilMs = 0;
  mDraining = false;
  mStartTimeMs = std::chrono::duration_cast<milliseconds>(mWorld.Now()).count();
}

server_announcement
fake_server::Announce()
{
  server_announcement announcement;
  announcement.mId =
    "s" + std::to_string(mIndex) + "-" + std::to_string(mStartTimeMs);
  announcement.mService = "service";
  announcement.mStartTimeMs = mStartTimeMs;
  announcement.mSequence = ++mSequence;
  announcement.mDraining = mDraining;
  announcement.mCapacity = mCapacity;
  return announcement;
}

} // namespace cactusmast::testing
