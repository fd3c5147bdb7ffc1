// Owning pointers to GLib objects.

#ifndef UTIL_GOBJECT_PTR_H_
#define UTIL_GOBJECT_PTR_H_

#include <glib-object.h>
#include <memory>

namespace cactusmast {

struct gobject_deleter
{
  void operator()(gpointer aObject) const { g_object_unref(aObject); }
};

// Owns one reference: it is constructed from a reference that the caller gives
// up, and drops it on destruction.
template<typename T>
using gobject_ptr = std::unique_ptr<T, gobject_deleter>;

struct gerror_deleter
{
  void operator()(GError* aError) const { g_error_free(aError); }
};

// Owns a GError; null when there is none.
using gerror_ptr = std::unique_ptr<GError, gerror_deleter>;

} // namespace cactusmast

#endif // UTIL_GOBJECT_PTR_H_
