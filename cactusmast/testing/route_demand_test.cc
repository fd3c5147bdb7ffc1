// Tests how entries measure demand, how they know that of other entries, and
// what the loads between them cost.

#include <doctest/doctest.h>

#include "cactusmast/load_pacing.h"
#include "cactusmast/route_demand.h"

namespace cactusmast::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStart = seconds(100);

wire::entry_load_msg
MakeLoad(uint64_t aSequence, const demand_by_route& aDemand)
{
  wire::entry_load_msg load;
  load.sequence = aSequence;
  load.demand = EncodeDemand(aDemand, SIZE_MAX);
  return load;
}

double
OfferedByOthers(const demand_board& aBoard, instant aNow)
{
  return aBoard.Others("r", aNow).mOfferedMillis;
}

// The size on the wire of a heartbeat with aLoad, which may be null.
size_t
HeartbeatBytes(const wire::entry_load_msg* aLoad)
{
  wire::entry_pulse_msg heartbeat;
  heartbeat.config_version = 7;
  heartbeat.requests_config = true;
  if (aLoad != nullptr) {
    heartbeat.load = std::make_unique<wire::entry_load_msg>(*aLoad);
  }
  std::string frame;
  EncodeFrame(MakeMessage(std::move(heartbeat)), &frame);
  return frame.size();
}

// Submits jobs of 10 core-milliseconds each 10 ms, one core in all, times
// aFactor.
instant
SubmitFor(demand_meter* aMeter, duration aTime, double aFactor, instant aFrom)
{
  constexpr duration kStep = milliseconds(10);
  instant now = aFrom;
  for (; now < aFrom + aTime; now += kStep) {
    aMeter->OnSubmitted("r", 10 * aFactor, now);
  }
  return now;
}

} // namespace

TEST_CASE("a surge shows in the measured demand within half a second")
{
  // Guards against limits that follow a surge only when it is over.
  demand_meter meter;
  instant now = SubmitFor(&meter, seconds(10), 1, kStart);
  CHECK(meter.OfferedMillis("r", now) == doctest::Approx(1000).epsilon(0.02));
  now = SubmitFor(&meter, milliseconds(500), 2.5, now);
  CHECK(meter.OfferedMillis("r", now) > 1500);
  CHECK(meter.Routes(now + seconds(10)).empty());
}

TEST_CASE("the values of a lost entry decay and vanish")
{
  // Guards against capacity that is kept for an entry that is gone, and against
  // limits that jump when its connection closes.
  demand_board board;
  board.OnEntry("e", MakeLoad(1, { { "r", { 800 } } }), kStart);
  CHECK(OfferedByOthers(board, kStart + kDemandFresh) == 800);
  instant between = kStart + (kDemandFresh + kDemandExpired) / 2;
  CHECK(OfferedByOthers(board, between) == doctest::Approx(400));
  CHECK(board.OldestAge(between) == between - kStart);
  instant expired = kStart + kDemandExpired;
  CHECK(OfferedByOthers(board, expired) == 0);
  CHECK(board.Routes(expired).empty());
  CHECK(board.OldestAge(expired) == duration{});
}

TEST_CASE("late and repeated loads change nothing")
{
  // Guards against old values that replace newer ones or look fresh again.
  demand_board board;
  board.OnEntry("e", MakeLoad(2, { { "r", { 800 } } }), kStart);
  for (uint64_t sequence : { 1, 2 }) {
    board.OnEntry(
      "e", MakeLoad(sequence, { { "r", { 100 } } }), kStart + seconds(1));
  }
  CHECK(OfferedByOthers(board, kStart + seconds(1)) == 800);
  CHECK(board.OldestAge(kStart + seconds(1)) == seconds(1));
}

TEST_CASE("a restarted entry begins a new sequence and is counted once")
{
  // Guards against a restarted entry that is ignored until its sequence number
  // exceeds the old one, or whose demand counts twice.
  demand_board board;
  board.OnEntry("e", MakeLoad(900, { { "r", { 800 } } }), kStart, 7);
  board.OnEntry("e", MakeLoad(1, { { "r", { 300 } } }), kStart, 8);
  board.OnEntry("e", MakeLoad(901, { { "r", { 800 } } }), kStart, 7);
  CHECK(OfferedByOthers(board, kStart) == 300);
  board.SetOwn({ { "r", { 50 } } });
  CHECK(board.Total("r", kStart).mOfferedMillis == 350);
}

TEST_CASE("a load names the routes of greatest demand first and no idle ones")
{
  // Guards against loads that leave out what matters most.
  auto rows =
    EncodeDemand({ { "a", { 20 } }, { "b", {} }, { "c", { 300, 1, 2 } } }, 64);
  REQUIRE(rows.size() == 2);
  CHECK(rows[0]->route == "c");
  CHECK(rows[1]->route == "a");
  CHECK(EncodeDemand({ { "a", { 20 } }, { "c", { 300 } } }, 1).size() == 1);
}

TEST_CASE("loads stay within their budget and are never far apart")
{
  // Guards against loads that exceed the control overhead of a node, and
  // against values that decay although their entry works.
  struct system
  {
    size_t mReceivers;
    size_t mRoutes;
  };
  constexpr duration kTick = milliseconds(20);
  constexpr duration kTime = seconds(60);
  for (system one :
       { system{ 39, 10 }, { 39, 64 }, { 15, 10 }, { 9, 3 }, { 1, 1 } }) {
    demand_by_route demand;
    for (size_t i = 0; i < one.mRoutes; i++) {
      demand["r-urgent" + std::to_string(i)] = { 900.0 + double(i), 500, 200 };
    }
    load_pacing pacing;
    instant heartbeatAt = kStart;
    instant loadAt = kStart;
    size_t bytes = 0;
    for (instant now = kStart; now < kStart + kTime; now += kTick) {
      bool sends = now >= heartbeatAt || pacing.IsOverdue(now);
      heartbeatAt = sends ? now + kEntryHeartbeatInterval : heartbeatAt;
      if (!sends || !pacing.IsDue(now)) {
        continue;
      }
      wire::entry_load_msg load = MakeLoad(uint64_t(now.count()), demand);
      load.processor_millis = load.busy_permille = 500;
      load.takes_jobs = true;
      pacing.OnSend(one.mReceivers, now, &load);
      bytes +=
        (HeartbeatBytes(&load) - HeartbeatBytes(nullptr)) * one.mReceivers;
      CHECK(now - loadAt <= kMaxLoadInterval);
      loadAt = now;
      REQUIRE(!load.demand.empty());
      CHECK(load.demand[0]->route ==
            "r-urgent" + std::to_string(one.mRoutes - 1));
    }
    CHECK(double(bytes) <= 60 * kLoadBytesPerSecond);
  }
}

} // namespace cactusmast::testing
