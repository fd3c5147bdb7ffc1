// How backend servers announce themselves on the wire; an adapter implements
// it for its platform.

#ifndef CACTUSMAST_ANNOUNCEMENT_CODEC_H_
#define CACTUSMAST_ANNOUNCEMENT_CODEC_H_

#include <string>

#include "cactusmast/backend_runner.h"
#include "util/result.h"

namespace cactusmast {

enum class announcement_kind : uint8_t
{
  Present,
  Withdrawn, // it ends now
  Count
};

struct decoded_announcement
{
  announcement_kind mKind = announcement_kind::Present;
  server_announcement mServer; // only the identity when it is leaving
};

class announcement_codec
{
public:
  virtual ~announcement_codec() = default;
  // Errors: NotFound for another path, BadRequest for what cannot be read or
  // names a state that is not known.
  virtual result<decoded_announcement> Decode(
    const std::string& aMethod,
    const std::string& aPath,
    const std::string& aBody) const = 0;
};

} // namespace cactusmast

#endif // CACTUSMAST_ANNOUNCEMENT_CODEC_H_
