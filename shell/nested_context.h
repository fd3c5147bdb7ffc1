// A separate GLib context whose sources are checked only when one of them is
// ready.
//
// GLib checks every source in each turn of its loop. With hundreds of mostly
// idle connections this would cost each turn more than the actual work. Their
// sources are attached to nested contexts instead: the main loop polls a single
// epoll descriptor for each nested context, and a turn in which none of its
// sources is ready costs nothing per source.
//
//   auto nested = std::move(nested_context::Create().Value());
//   // Attach sources to the thread's default context:
//   nested->Invoke([&] { ... });
//   // After sources were attached or changed outside Invoke:
//   nested->Wake();
//
// The sources are dispatched from the main loop, on the same thread, with the
// nested context as the thread's default.

#ifndef SHELL_NESTED_CONTEXT_H_
#define SHELL_NESTED_CONTEXT_H_

#include <functional>
#include <glib.h>
#include <memory>
#include <unordered_map>
#include <vector>

#include "util/result.h"

namespace cactusmast {

class context_queue;

class nested_context
{
public:
  // Called for a descriptor that has input, before its sources are dispatched.
  // Returns true if it has read the input, so that they need not be.
  using input_filter = std::function<bool(int aFd)>;

  // aQueue: dispatches the context in turn with others; must outlive it. Null:
  // the context is dispatched in each turn of the main loop, until it has
  // nothing more to do. Errors: Unavailable, when the process has no free
  // descriptor.
  static result<std::unique_ptr<nested_context>> Create(
    context_queue* aQueue = nullptr,
    input_filter aFilter = {});
  ~nested_context();

  // Calls aFunction with this context as the thread's default, then Wake.
  void Invoke(const std::function<void()>& aFunction);
  // Makes the main loop check all sources of this context in its next turn.
  void Wake();
  // Must be called before a source polls a new descriptor whose number an
  // earlier descriptor of this context may have had. Closing the earlier one
  // removed it from the epoll set without notifying this object.
  void RemoveDescriptor(int aFd);
  // Dispatches the sources that are ready. False if none was.
  bool DispatchRound();

private:
  nested_context(int aEpoll, context_queue* aQueue, input_filter aFilter);
  static gboolean OnReady(GSource* aSource,
                          GSourceFunc aCallback,
                          gpointer aData);
  // Dispatches sources until none is ready.
  void DispatchReady();
  // Sets mPollFds to the descriptors that the sources wait for. Returns the
  // time in ms until a source is due without input; negative means never.
  int Prepare(int* aPriority);
  // Stores the pending events in mPollFds; false when there are none.
  bool PollReady();
  // Updates the epoll set to match mPollFds.
  void UpdateEpollSet();

  int mEpoll;
  context_queue* mQueue; // null: none
  input_filter mFilter;  // empty: none
  GMainContext* mContext;
  GSource* mSource; // in the main context; polls mEpoll
  std::vector<GPollFD> mPollFds;
  std::unordered_map<int, uint32_t> mEpollEvents; // epoll events by descriptor
};

// Calls aFunction with the main context as the thread's default. Used for
// callbacks that run while a nested context is dispatched and may attach
// sources.
void
InvokeInMainContext(const std::function<void()>& aFunction);

} // namespace cactusmast

#endif // SHELL_NESTED_CONTEXT_H_
