// Prevents the main loop of a single-threaded process from waking itself up.
//
// When GLib (2.74) dispatches a source that has descriptors, it removes them
// from the poll set and adds them back, and signals the context's wake-up
// descriptor both times in case another thread is polling. In a single-threaded
// process this only makes the next poll return immediately without work: with
// 57 executors and 100 jobs per second, 350 of an entry's 780 polls per second
// did nothing but read that descriptor (counted with strace). Reading the
// descriptor before each poll that may block discards these signals.
//
// A wake-up that another thread sends between the loop's preparation and the
// read is lost, and the loop continues only at its next input or timer. This is
// acceptable only for daemons, which tick every few milliseconds.

#ifndef SHELL_OWN_WAKEUPS_H_
#define SHELL_OWN_WAKEUPS_H_

namespace cactusmast {

// Applies to the default main context. Must be called before any source is
// attached to it, while the wake-up descriptor is its only descriptor. If there
// are others, the function has no effect, and the cost described above remains.
void
IgnoreOwnWakeups();

} // namespace cactusmast

#endif // SHELL_OWN_WAKEUPS_H_
