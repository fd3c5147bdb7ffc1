// How the owner of a shard answers callers.

#include <doctest/doctest.h>

#include <vector>

#include "cactusmast/shard_owner.h"

namespace cactusmast::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class recorded_answers
  : public answer_sink
  , public peer_network
  , public event_sink
  , public random_source
{
public:
  void Answer(uint64_t, wire::job_reply_msg aReply) override
  {
    mAnswers.push_back(std::move(aReply));
  }
  void Send(peer_id, message) override {}
  void Close(peer_id) override {}
  void Connect(const std::string&) override {}
  void Emit(event_code, std::vector<event_field>) override {}
  double NextUniform() override { return 0.5; }

  std::vector<wire::job_reply_msg> mAnswers;
};

// An owner that has just been handed the shard with one running job, whose
// submission and whose guards' records have not arrived yet.
struct successor
{
  successor()
    : mOwner({},
             2,
             {},
             deployment_config(),
             mPorts,
             mPorts,
             mPorts,
             mPorts,
             mNow)
  {
    wire::handover_msg part;
    part.epoch = 1;
    part.last = true;
    wire::decided_job_msg running;
    running.job_hi = mJob.mHi;
    running.job_lo = mJob.mLo;
    running.team = "blue";
    running.state = uint8_t(job_state::Running);
    part.answers.push_back(running);
    wire::listed_worker_msg guard;
    guard.name = "guard-1";
    guard.needed = true;
    part.workers.push_back(guard);
    mOwner.OnHandover(part, mNow);
  }

  bool IsRouteReply(size_t aIndex) const
  {
    const wire::job_reply_msg& reply = mPorts.mAnswers.at(aIndex);
    return reply.error == uint8_t(error_code::Unavailable) &&
           reply.step == kRouteStep;
  }

  instant mNow = seconds(50);
  job_id mJob{ 3, 4 };
  recorded_answers mPorts;
  shard_owner mOwner;
};

} // namespace

TEST_CASE("a caller of a job that is being handed over is routed again")
{
  // Guards against a caller that is told that a job handed over is in doubt.
  successor next;
  waiter waiting{ 1, next.mNow + seconds(1) };
  next.mOwner.Await("blue", next.mJob, waiting, next.mNow);
  next.mOwner.Cancel("blue", next.mJob, waiting, next.mNow);
  REQUIRE(next.mPorts.mAnswers.size() == 2);
  CHECK(next.IsRouteReply(0));
  CHECK(next.IsRouteReply(1));
}

TEST_CASE("a caller of a job that was not handed over is told so")
{
  // Guards against callers that wait for a job which nobody will submit.
  successor next;
  waiter waiting{ 1, next.mNow + seconds(1) };
  next.mOwner.Await("blue", { 5, 6 }, waiting, next.mNow);
  next.mNow += seconds(6);
  next.mOwner.Await("blue", next.mJob, waiting, next.mNow);
  REQUIRE(next.mPorts.mAnswers.size() == 2);
  for (const wire::job_reply_msg& reply : next.mPorts.mAnswers) {
    CHECK(reply.error == uint8_t(error_code::InDoubt));
  }
}

} // namespace cactusmast::testing
