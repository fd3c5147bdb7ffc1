#include "shell/own_wakeups.h"

#include <cstdint>
#include <glib.h>
#include <unistd.h>

namespace cactusmast {
namespace {

// The wake-up descriptor of the default main context, an eventfd.
int gWakeupDescriptor = -1;

gint
PollIgnoringWakeups(GPollFD* aDescriptors, guint aCount, gint aTimeoutMs)
{
  if (aTimeoutMs != 0) {
    // The descriptor is non-blocking: without a pending signal, read fails.
    uint64_t signals = 0;
    ssize_t ignored = read(gWakeupDescriptor, &signals, sizeof signals);
    (void)ignored;
  }
  return g_poll(aDescriptors, aCount, aTimeoutMs);
}

} // namespace

void
IgnoreOwnWakeups()
{
  GMainContext* context = g_main_context_default();
  if (!g_main_context_acquire(context)) {
    return;
  }
  gint priority = 0;
  gint timeoutMs = 0;
  GPollFD descriptors[2];
  g_main_context_prepare(context, &priority);
  gint count =
    g_main_context_query(context, G_MAXINT, &timeoutMs, descriptors, 2);
  g_main_context_release(context);
  if (count != 1) {
    return;
  }
  gWakeupDescriptor = descriptors[0].fd;
  g_main_context_set_poll_func(context, &PollIgnoringWakeups);
}

} // namespace cactusmast
