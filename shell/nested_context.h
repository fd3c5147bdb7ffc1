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
//   nested->Enter([&] { ... });
//   // After sources were attached or changed outside Enter:
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

class nested_context
{
public:
  // Errors: Unavailable, when the process has no free descriptor.
  static result<std::unique_ptr<nested_context>> Create();
  ~nested_context();

  // Calls aDo with this context as the thread's default, then Wake.
  void Enter(const std::function<void()>& aDo);
  // Makes the main loop check all sources of this context in its next turn.
  void Wake();
  // Must be called before a source polls a new descriptor whose number an
  // earlier descriptor of this context may have had. Closing the earlier one
  // removed it from the epoll set without this object being told.
  void Forget(int aFd);

private:
  nested_context(int aEpoll);
  static gboolean OnReady(GSource* aSource,
                          GSourceFunc aCallback,
                          gpointer aData);
  // Dispatches sources until none is ready.
  void Run();
  // Sets mPolled to the descriptors that the sources wait for. Returns the time
  // in ms until a source is due without input; negative means never.
  int Prepare(int* aPriority);
  // Stores the pending events in mPolled; false when there are none.
  bool Collect();
  // Updates the epoll set to match mPolled.
  void Watch();

  int mEpoll;
  GMainContext* mContext;
  GSource* mSource; // in the main context; polls mEpoll
  std::vector<GPollFD> mPolled;
  std::unordered_map<int, uint32_t> mWatched; // epoll events by descriptor
};

// Calls aDo with the main context as the thread's default. Used for callbacks
// that run while a nested context is dispatched and may attach sources.
void
OutsideNested(const std::function<void()>& aDo);

} // namespace cactusmast

#endif // SHELL_NESTED_CONTEXT_H_
