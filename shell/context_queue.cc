#include "shell/context_queue.h"

#include <algorithm>

#include "shell/daemon.h"
#include "shell/nested_context.h"

namespace cactusmast {
namespace {

// The source in the main context, with a pointer to its queue.
struct queue_source
{
  GSource mBase;
  context_queue* mOwner;
};

} // namespace

context_queue::context_queue()
{
  static GSourceFuncs functions = { nullptr, nullptr, &context_queue::OnTurn,
                                    nullptr, nullptr, nullptr };
  mSource = g_source_new(&functions, sizeof(queue_source));
  reinterpret_cast<queue_source*>(mSource)->mOwner = this;
  g_source_attach(mSource, nullptr);
}

context_queue::~context_queue()
{
  g_source_destroy(mSource);
  g_source_unref(mSource);
}

bool
context_queue::Has(const nested_context& aContext) const
{
  return std::any_of(
    mWaiting.begin(), mWaiting.end(), [&](const queued_context& aQueued) {
      return aQueued.mContext == &aContext;
    });
}

void
context_queue::Add(nested_context& aContext)
{
  if (Has(aContext)) {
    return;
  }
  mWaiting.push_back({ &aContext, Now() });
  g_source_set_ready_time(mSource, 0);
}

void
context_queue::Remove(const nested_context& aContext)
{
  mWaiting.erase(std::remove_if(mWaiting.begin(),
                                mWaiting.end(),
                                [&](const queued_context& aQueued) {
                                  return aQueued.mContext == &aContext;
                                }),
                 mWaiting.end());
}

gboolean
context_queue::OnTurn(GSource* aSource,
                      GSourceFunc /*aCallback*/,
                      gpointer /*aData*/)
{
  reinterpret_cast<queue_source*>(aSource)->mOwner->RunTurn();
  return G_SOURCE_CONTINUE;
}

void
context_queue::RunTurn()
{
  instant begin = Now();
  instant now = begin;
  while (!mWaiting.empty() && now - begin < kMaxTurn) {
    queued_context next = mWaiting.front();
    mWaiting.pop_front();
    mCurrentWait = now - next.mSince;
    bool hasMore = next.mContext->DispatchRound();
    now = Now();
    if (hasMore && !Has(*next.mContext)) {
      mWaiting.push_back({ next.mContext, now });
    }
  }
  mCurrentWait = {};
  g_source_set_ready_time(mSource, mWaiting.empty() ? -1 : 0);
}

} // namespace cactusmast
