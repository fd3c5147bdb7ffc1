// A value, or the error that prevented it. Factory functions return one, so
// that a failed construction never leaves a partly initialised object. Callers
// that prefer exceptions use Value(), which throws the error.

#ifndef UTIL_RESULT_H_
#define UTIL_RESULT_H_

#include <utility>
#include <variant>

#include "cactusmast/error.h"

namespace cactusmast {

template<typename T>
class result
{
public:
  result(T aValue)
    : mState(std::in_place_index<0>, std::move(aValue))
  {
  }
  result(failure aError)
    : mState(std::in_place_index<1>, std::move(aError))
  {
  }

  bool Ok() const { return mState.index() == 0; }

  // Throws the failure when there is no value.
  T& Value()
  {
    if (!Ok()) {
      throw std::get<1>(mState);
    }
    return std::get<0>(mState);
  }

  // Only valid when !Ok().
  const failure& Error() const { return std::get<1>(mState); }

private:
  std::variant<T, failure> mState;
};

// What aMake returns, or the failure that it throws.
template<typename T, typename Make>
result<T>
ResultOf(Make aMake)
{
  try {
    return aMake();
  } catch (const failure& error) {
    return error;
  }
}

} // namespace cactusmast

#endif // UTIL_RESULT_H_
