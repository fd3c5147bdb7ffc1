// Comparison of secrets in constant time.

#ifndef UTIL_CONSTANT_TIME_H_
#define UTIL_CONSTANT_TIME_H_

#include <string>

namespace cactusmast {

// Whether the strings are equal. The time does not depend on where they differ,
// so that a secret cannot be guessed character by character from response
// times. It may reveal the length of the secret.
inline bool
EqualConstantTime(const std::string& aGiven, const std::string& aSecret)
{
  unsigned difference = aGiven.size() == aSecret.size() ? 0 : 1;
  for (size_t i = 0; i < aSecret.size(); i++) {
    char given = i < aGiven.size() ? aGiven[i] : char(0);
    difference |= static_cast<unsigned char>(given ^ aSecret[i]);
  }
  return difference == 0;
}

} // namespace cactusmast

#endif // UTIL_CONSTANT_TIME_H_
