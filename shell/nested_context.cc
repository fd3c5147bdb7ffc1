#include "shell/nested_context.h"

#include <sys/epoll.h>
#include <unistd.h>
#include <utility>

#include "shell/context_queue.h"

namespace cactusmast {
namespace {

// Descriptors that are dispatched in one round.
constexpr int kMaxReadyInRound = 64;

// The source in the main context, with a pointer to its nested context.
struct nested_source
{
  GSource mBase;
  nested_context* mOwner;
};

uint32_t
EpollEvents(gushort aEvents)
{
  uint32_t events = 0;
  events |= (aEvents & G_IO_IN) != 0 ? uint32_t(EPOLLIN) : 0;
  events |= (aEvents & G_IO_OUT) != 0 ? uint32_t(EPOLLOUT) : 0;
  events |= (aEvents & G_IO_PRI) != 0 ? uint32_t(EPOLLPRI) : 0;
  return events;
}

gushort
PollEvents(uint32_t aEvents)
{
  int events = 0;
  events |= (aEvents & EPOLLIN) != 0 ? G_IO_IN : 0;
  events |= (aEvents & EPOLLOUT) != 0 ? G_IO_OUT : 0;
  events |= (aEvents & EPOLLPRI) != 0 ? G_IO_PRI : 0;
  events |= (aEvents & EPOLLERR) != 0 ? G_IO_ERR : 0;
  events |= (aEvents & EPOLLHUP) != 0 ? G_IO_HUP : 0;
  return gushort(events);
}

} // namespace

nested_context::nested_context(int aEpoll,
                               context_queue* aQueue,
                               input_filter aFilter)
  : mEpoll(aEpoll)
  , mQueue(aQueue)
  , mFilter(std::move(aFilter))
  , mContext(g_main_context_new())
{
  static GSourceFuncs functions = { nullptr, nullptr, &nested_context::OnReady,
                                    nullptr, nullptr, nullptr };
  mSource = g_source_new(&functions, sizeof(nested_source));
  reinterpret_cast<nested_source*>(mSource)->mOwner = this;
  g_source_add_unix_fd(mSource, mEpoll, G_IO_IN);
  // The main loop is never run recursively, so GLib need not remove the source
  // from the poll set during a dispatch, which costs two system calls.
  g_source_set_can_recurse(mSource, TRUE);
  g_source_attach(mSource, nullptr);
}

result<std::unique_ptr<nested_context>>
nested_context::Create(context_queue* aQueue, input_filter aFilter)
{
  int epoll = epoll_create1(EPOLL_CLOEXEC);
  if (epoll < 0) {
    return failure(
      error_code::Unavailable, "open", "this process", "no descriptor is left");
  }
  return std::unique_ptr<nested_context>(
    new nested_context(epoll, aQueue, std::move(aFilter)));
}

nested_context::~nested_context()
{
  if (mQueue != nullptr) {
    mQueue->Remove(*this);
  }
  g_source_destroy(mSource);
  g_source_unref(mSource);
  g_main_context_unref(mContext);
  close(mEpoll);
}

void
nested_context::Invoke(const std::function<void()>& aFunction)
{
  g_main_context_push_thread_default(mContext);
  aFunction();
  g_main_context_pop_thread_default(mContext);
  Wake();
}

void
InvokeInMainContext(const std::function<void()>& aFunction)
{
  GMainContext* main = g_main_context_default();
  g_main_context_push_thread_default(main);
  aFunction();
  g_main_context_pop_thread_default(main);
}

void
nested_context::Wake()
{
  g_source_set_ready_time(mSource, 0);
}

void
nested_context::RemoveDescriptor(int aFd)
{
  if (mEpollEvents.erase(aFd) > 0) {
    epoll_ctl(mEpoll, EPOLL_CTL_DEL, aFd, nullptr);
  }
}

gboolean
nested_context::OnReady(GSource* aSource,
                        GSourceFunc /*aCallback*/,
                        gpointer /*aData*/)
{
  g_source_set_ready_time(aSource, -1);
  nested_context& self = *reinterpret_cast<nested_source*>(aSource)->mOwner;
  if (self.mQueue != nullptr) {
    self.mQueue->Run(self);
  } else {
    self.DispatchReady();
  }
  return G_SOURCE_CONTINUE;
}

int
nested_context::Prepare(int* aPriority)
{
  g_main_context_prepare(mContext, aPriority);
  int timeout = -1;
  for (;;) {
    int size = g_main_context_query(
      mContext, *aPriority, &timeout, mPollFds.data(), int(mPollFds.size()));
    bool complete = size <= int(mPollFds.size());
    mPollFds.resize(size_t(size));
    if (complete) {
      return timeout;
    }
  }
}

bool
nested_context::PollReady()
{
  epoll_event ready[kMaxReadyInRound];
  int count = epoll_wait(mEpoll, ready, kMaxReadyInRound, 0);
  auto isInput = [](const epoll_event& aEvent) {
    return (aEvent.events & (EPOLLIN | EPOLLERR | EPOLLHUP)) == EPOLLIN;
  };
  for (int i = 0; i < count; i++) {
    if (mFilter && isInput(ready[i]) && mFilter(ready[i].data.fd)) {
      ready[i].events = 0;
    }
  }
  bool anyReady = false;
  for (GPollFD& pollFd : mPollFds) {
    pollFd.revents = 0;
    for (int i = 0; i < count; i++) {
      if (ready[i].data.fd == pollFd.fd) {
        constexpr int kAlwaysReported = G_IO_ERR | G_IO_HUP;
        pollFd.revents = gushort(PollEvents(ready[i].events) &
                                 (pollFd.events | kAlwaysReported));
        anyReady = anyReady || pollFd.revents != 0;
      }
    }
  }
  return anyReady;
}

void
nested_context::UpdateEpollSet()
{
  std::unordered_map<int, uint32_t> wanted;
  for (const GPollFD& pollFd : mPollFds) {
    wanted[pollFd.fd] |= EpollEvents(pollFd.events);
  }
  for (const auto& [fd, events] : mEpollEvents) {
    if (wanted.count(fd) == 0) {
      // Fails for a closed descriptor, which the kernel has already removed.
      epoll_ctl(mEpoll, EPOLL_CTL_DEL, fd, nullptr);
    }
  }
  for (const auto& [fd, events] : wanted) {
    auto previous = mEpollEvents.find(fd);
    bool known = previous != mEpollEvents.end();
    if (known && previous->second == events) {
      continue;
    }
    epoll_event change{};
    change.events = events;
    change.data.fd = fd;
    epoll_ctl(mEpoll, known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd, &change);
  }
  mEpollEvents = std::move(wanted);
}

void
nested_context::DispatchReady()
{
  while (DispatchRound()) {
  }
}

bool
nested_context::DispatchRound()
{
  if (!g_main_context_acquire(mContext)) {
    return false;
  }
  g_main_context_push_thread_default(mContext);
  int priority = 0;
  int timeoutMs = Prepare(&priority);
  bool dispatches = PollReady() || timeoutMs == 0;
  if (dispatches) {
    g_main_context_check(
      mContext, priority, mPollFds.data(), int(mPollFds.size()));
    g_main_context_dispatch(mContext);
  } else {
    UpdateEpollSet();
    if (timeoutMs > 0) {
      constexpr gint64 kUsInMs = 1000;
      g_source_set_ready_time(mSource,
                              g_get_monotonic_time() + timeoutMs * kUsInMs);
    }
  }
  g_main_context_pop_thread_default(mContext);
  g_main_context_release(mContext);
  return dispatches;
}

} // namespace cactusmast
