// Keeps a main loop of one thread from waking itself up.
//
// Whenever GLib (2.74) dispatches a source that has descriptors it takes them
// out of the poll set and puts them back, and for each of the two it signals
// the context's wake-up descriptor, in case another thread is polling. With one
// thread nobody is, so the signal makes the loop's next poll return at once for
// nothing: of 780 polls a second that an entry made for 100 jobs a second, 350
// did nothing but read that descriptor (strace, 57 executors). Read before a
// poll that would wait, the signals that came from this thread do no harm.
//
// A wake-up that another thread sends between the loop's preparation and the
// read is lost; the loop then turns with its next input or timer. That suits
// daemons, which tick every few milliseconds, and nothing else.

#ifndef SHELL_OWN_WAKEUPS_H_
#define SHELL_OWN_WAKEUPS_H_

namespace cactusmast {

// Of the default main context. To be called before anything is attached to it:
// the descriptor is then the only one. Where it is not, which only costs the
// time named above, nothing changes.
void
IgnoreOwnWakeups();

} // namespace cactusmast

#endif // SHELL_OWN_WAKEUPS_H_
