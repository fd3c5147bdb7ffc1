#include "cactusmast/startup_queue.h"

namespace cactusmast {

bool
startup_queue::Add(caller_id aRequest, size_t aBytes, instant aNow)
{
  if (mBytes + aBytes > kMaxStartupBytes) {
    return false;
  }
  mBytes += aBytes;
  mHeld.push_back({ aRequest, aBytes, aNow + kMaxStartupHold });
  return true;
}

caller_id
startup_queue::TakeFirst()
{
  held_request first = mHeld.front();
  mHeld.pop_front();
  mBytes -= first.mBytes;
  return first.mId;
}

std::vector<caller_id>
startup_queue::TakeAll()
{
  std::vector<caller_id> taken;
  while (!mHeld.empty()) {
    taken.push_back(TakeFirst());
  }
  return taken;
}

std::vector<caller_id>
startup_queue::TakeOverdue(instant aNow)
{
  std::vector<caller_id> taken;
  while (!mHeld.empty() && mHeld.front().mUntil <= aNow) {
    taken.push_back(TakeFirst());
  }
  return taken;
}

} // namespace cactusmast
