#include "cactusmast/testing/sized_world.h"

#include <algorithm>

namespace cactusmast::testing {
namespace {

constexpr duration kWay = std::chrono::microseconds(500); // of a message
constexpr duration kOrderTimeout = milliseconds(30);

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
         mBornMs + 1000;
}

void
fake_server::After(duration aDelay, std::function<void()> aDo)
{
  mWorld.At(aDelay, std::move(aDo));
}

bool
fake_server::Unanswered()
{
  return mDown || mWorld.Uniform() < mUnansweredShare;
}

bool
fake_server::IsRunning(const task_key& aTask) const
{
  return mRunning.count(aTask) > 0;
}

start_result
fake_server::CarryOut(const start_request& aOrder)
{
  if (aOrder.mFencingToken < mFence) {
    return start_result::FencedOff;
  }
  mFence = aOrder.mFencingToken;
  auto running = mRunning.find(aOrder.mTask);
  if (running != mRunning.end() && running->second.mRun == aOrder.mRunNumber) {
    return start_result::Started;
  }
  auto last = mLastRun.find(aOrder.mTask);
  if (running != mRunning.end() ||
      (last != mLastRun.end() && aOrder.mRunNumber <= last->second)) {
    return start_result::OldRun;
  }
  if (aOrder.mLeaseUntilMs <= ClockMs()) {
    return start_result::LeaseOver;
  }
  mLeaseUntilMs = std::max(mLeaseUntilMs, aOrder.mLeaseUntilMs);
  run& started = mRunning[aOrder.mTask];
  started.mRun = aOrder.mRunNumber;
  started.mSince = mWorld.Now();
  started.mAdvancedAt = mWorld.Now();
  started.mWorkMs = std::stod(aOrder.mSpec);
  started.mCpu = 3000;
  mStarts++;
  mWorld.NoteStart(aOrder.mTask, mIndex);
  return start_result::Started;
}

void
fake_server::Start(const start_request& aOrder)
{
  auto answer = [this, aOrder](start_result aResult) {
    After(kWay, [this, aOrder, aResult] {
      mWorld.Deliver(true, mIndex, [this, aOrder, aResult] {
        mWorld.Executor(mIndex).OnStartReply(
          aOrder.mTask, aOrder.mRunNumber, aResult, ClockMs(), mWorld.Now());
      });
    });
  };
  if (!Unanswered()) {
    answer(CarryOut(aOrder));
    return;
  }
  if (!mDown) {
    After(milliseconds(int64_t(2000 + 2000 * mWorld.Uniform())),
          [this, aOrder, born = mBornMs] {
            if (born == mBornMs && !mDown) {
              CarryOut(aOrder);
            }
          });
  }
  After(kOrderTimeout, [answer] { answer(start_result::NoAnswer); });
}

void
fake_server::CarryOut(const stop_request& aOrder)
{
  auto running = mRunning.find(aOrder.mTask);
  if (running != mRunning.end() && running->second.mRun <= aOrder.mRunNumber) {
    End(aOrder.mTask, end_kind::Stopped);
  }
  uint32_t& last = mLastRun[aOrder.mTask];
  last = std::max(last, aOrder.mRunNumber);
}

void
fake_server::Stop(const stop_request& aOrder)
{
  auto answer = [this, aOrder](bool aAnswered) {
    After(kWay, [this, aOrder, aAnswered] {
      mWorld.Deliver(true, mIndex, [this, aOrder, aAnswered] {
        mWorld.Executor(mIndex).OnStopReply(
          aOrder.mTask, aOrder.mRunNumber, aAnswered, mWorld.Now());
      });
    });
  };
  if (!Unanswered()) {
    CarryOut(aOrder);
    answer(true);
    return;
  }
  After(kOrderTimeout, [answer] { answer(false); });
}

server_snapshot
fake_server::CarryOut(const poll_request& aOrder)
{
  if (aOrder.mLeaseUntilMs > 0) {
    mLeaseUntilMs = std::max(mLeaseUntilMs, aOrder.mLeaseUntilMs);
  }
  while (!mEnded.empty() && mEnded.front().mNumber <= aOrder.mLastEndSeen) {
    mEnded.pop_front();
  }
  server_snapshot seen;
  seen.mClockMs = ClockMs();
  seen.mStartTimeMs = mBornMs;
  for (const auto& [key, one] : mRunning) {
    running_task row;
    row.mTask = key;
    row.mRunNumber = one.mRun;
    row.mPercent = uint32_t(std::min(99.0, 100 * one.mDoneMs / one.mWorkMs));
    seen.mRunning.push_back(row);
  }
  seen.mEnded.assign(mEnded.begin(), mEnded.end());
  return seen;
}

void
fake_server::Poll(const poll_request& aOrder)
{
  auto answer = [this, aOrder](poll_result aResult,
                               const server_snapshot& aSeen) {
    After(kWay, [this, aOrder, aResult, aSeen] {
      mWorld.Deliver(true, mIndex, [this, aOrder, aResult, aSeen] {
        mWorld.Executor(mIndex).OnPollReply(
          aOrder.mNumber, aResult, aSeen, mWorld.Now());
      });
    });
  };
  if (Unanswered()) {
    After(milliseconds(aOrder.mWaitMs) + kOrderTimeout,
          [answer] { answer(poll_result::NoAnswer, {}); });
    return;
  }
  server_snapshot now = CarryOut(aOrder);
  if (!now.mEnded.empty() || aOrder.mWaitMs == 0) {
    answer(poll_result::Ok, now);
    return;
  }
  // Answered at the next end or after the wait, whichever comes first.
  uint64_t number = aOrder.mNumber;
  auto finish = [this, aOrder, answer] {
    if (!mDown) {
      answer(poll_result::Ok, CarryOut(aOrder));
    }
  };
  mWaitingLooks.emplace_back(number, finish);
  After(milliseconds(aOrder.mWaitMs), [this, number] {
    for (auto at = mWaitingLooks.begin(); at != mWaitingLooks.end(); ++at) {
      if (at->first == number) {
        auto run = at->second;
        mWaitingLooks.erase(at);
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
  end.mRunNumber = found->second.mRun;
  end.mHow = aHow;
  mEnded.push_back(end);
  mLastRun[aTask] = end.mRunNumber;
  mRunning.erase(found);
  mWorld.NoteEnd(aTask, aHow);
  mWorld.mRunningAt[aTask].erase(mIndex);
  auto waiting = std::move(mWaitingLooks);
  mWaitingLooks.clear();
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
  bool lapsed = ClockMs() >= mLeaseUntilMs;
  std::vector<std::pair<task_key, end_kind>> ends;
  int64_t cpu = 0;
  for (auto& [key, one] : mRunning) {
    double passed =
      double((mWorld.Now() - one.mAdvancedAt).count()) / 1000 * mSpeed;
    one.mAdvancedAt = mWorld.Now();
    one.mDoneMs += mHangs ? 0 : passed;
    cpu += one.mCpu;
    if (lapsed) {
      ends.emplace_back(key, end_kind::Lapsed);
    } else if (one.mDoneMs >= one.mWorkMs) {
      ends.emplace_back(key, mFailsAll ? end_kind::Failed : end_kind::Done);
    }
  }
  if (cpu > mCapacity.mCpuMillis) {
    mWorld.Violate("server " + std::to_string(mIndex) + " over capacity");
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
  for (const auto& [key, one] : mRunning) {
    mWorld.mRunningAt[key].erase(mIndex);
  }
  mRunning.clear();
  mLastRun.clear();
  mEnded.clear();
  mWaitingLooks.clear();
  mEnds = 0;
  mFence = 0;
  mSequence = 0;
  mLeaseUntilMs = 0;
  mDraining = false;
  mBornMs = std::chrono::duration_cast<milliseconds>(mWorld.Now()).count();
}

server_announcement
fake_server::Announce()
{
  server_announcement said;
  said.mId = "s" + std::to_string(mIndex) + "-" + std::to_string(mBornMs);
  said.mService = "service";
  said.mStartTimeMs = mBornMs;
  said.mSequence = ++mSequence;
  said.mDraining = mDraining;
  said.mCapacity = mCapacity;
  return said;
}

} // namespace cactusmast::testing
