#include "shell/context_queue.h"

#include <algorithm>
#include <utility>

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
  static GSourceFuncs functions = { &context_queue::OnPrepare,
                                    &context_queue::OnCheck,
                                    &context_queue::OnTurn,
                                    nullptr,
                                    nullptr,
                                    nullptr };
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
  if (!Has(aContext)) {
    mWaiting.push_back({ &aContext, Now() });
  }
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

void
context_queue::Run(nested_context& aContext)
{
  Add(aContext);
  RunWaiting();
}

void
context_queue::RunWaiting()
{
  instant now = Now();
  while (!mWaiting.empty() && mUsed < kMaxTurn) {
    queued_context next = mWaiting.front();
    mWaiting.pop_front();
    mCurrentWait = now - next.mSince;
    bool hasMore = next.mContext->DispatchRound();
    instant begin = std::exchange(now, Now());
    mUsed += now - begin;
    if (hasMore && !Has(*next.mContext)) {
      mWaiting.push_back({ next.mContext, now });
    }
  }
  mCurrentWait = {};
}

// Called in each turn of the main loop, before its sources are dispatched.
gboolean
context_queue::OnPrepare(GSource* aSource, gint* aTimeoutMs)
{
  *aTimeoutMs = -1;
  reinterpret_cast<queue_source*>(aSource)->mOwner->mUsed = {};
  return OnCheck(aSource);
}

gboolean
context_queue::OnCheck(GSource* aSource)
{
  bool anyWaits =
    !reinterpret_cast<queue_source*>(aSource)->mOwner->mWaiting.empty();
  return anyWaits ? TRUE : FALSE;
}

gboolean
context_queue::OnTurn(GSource* aSource,
                      GSourceFunc /*aCallback*/,
                      gpointer /*aData*/)
{
  reinterpret_cast<queue_source*>(aSource)->mOwner->RunWaiting();
  return G_SOURCE_CONTINUE;
}

} // namespace cactusmast
