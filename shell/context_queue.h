// Dispatches nested contexts in turn, for a limited time in each turn of the
// main loop.
//
// Callers can send faster than a process reads. If all that they have sent were
// handled in one turn, the rest of the loop would wait for it: messages of
// other processes would be read late, and heartbeats sent late, so that healthy
// peers would take this process for lost.
//
//   context_queue queue;
//   auto nested = std::move(nested_context::Create(&queue).Value());
//
// Invariants:
// - While no context waits, one that is ready is dispatched at once: the queue
//   costs nothing as long as this process keeps up.
// - Contexts that have more to do go to the end of the queue, so that a busy
// one
//   does not hold up the others.
// - In each turn of the main loop at least one context is dispatched, and none
//   is begun after kMaxTurn.

#ifndef SHELL_CONTEXT_QUEUE_H_
#define SHELL_CONTEXT_QUEUE_H_

#include <chrono>
#include <deque>
#include <glib.h>

#include "cactusmast/ids.h"

namespace cactusmast {

class nested_context;

class context_queue
{
public:
  // Time for nested contexts in one turn of the main loop.
  static constexpr duration kMaxTurn = std::chrono::milliseconds(20);

  context_queue();
  ~context_queue();
  context_queue(const context_queue&) = delete;
  context_queue& operator=(const context_queue&) = delete;

  // aContext may have something to do. Dispatches it, now or in a later turn.
  void Run(nested_context& aContext);
  void Remove(const nested_context& aContext);
  // How long the context that is being dispatched had waited for that; what
  // arrived while it waited has waited less.
  duration CurrentWait() const { return mCurrentWait; }

private:
  struct queued_context
  {
    nested_context* mContext;
    instant mSince; // since when it waits
  };

  static gboolean OnPrepare(GSource* aSource, gint* aTimeoutMs);
  static gboolean OnCheck(GSource* aSource);
  static gboolean OnTurn(GSource* aSource,
                         GSourceFunc aCallback,
                         gpointer aData);
  // Does nothing if aContext is queued already.
  void Add(nested_context& aContext);
  void RunWaiting();
  bool Has(const nested_context& aContext) const;

  std::deque<queued_context> mWaiting;
  GSource* mSource; // in the main context; due while contexts wait
  duration mCurrentWait{};
  duration mUsed{}; // of kMaxTurn in this turn of the main loop
};

} // namespace cactusmast

#endif // SHELL_CONTEXT_QUEUE_H_
