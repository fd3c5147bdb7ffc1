#include "cactusmast/error.h"

#include <array>

namespace cactusmast {
namespace {

struct error_row
{
  error_code mCode;
  std::string_view mName;
  int mHttpStatus;
};

constexpr std::array<error_row, size_t(error_code::Count)> kErrors = { {
  { error_code::None, "none", 200 },
  { error_code::BadRequest, "bad_request", 400 },
  { error_code::Unauthorized, "unauthorized", 401 },
  { error_code::NotFound, "not_found", 404 },
  { error_code::Conflict, "conflict", 409 },
  { error_code::TooLarge, "too_large", 413 },
  { error_code::Overloaded, "overloaded", 429 },
  { error_code::Unsatisfiable, "unsatisfiable", 422 },
  { error_code::DeadlineExceeded, "deadline_exceeded", 504 },
  { error_code::Cancelled, "cancelled", 410 },
  { error_code::InDoubt, "in_doubt", 503 },
  { error_code::Unavailable, "unavailable", 503 },
  { error_code::Draining, "draining", 503 },
  { error_code::Protocol, "protocol", 400 },
  { error_code::Internal, "internal", 500 },
} };

constexpr std::array<std::string_view, size_t(run_state::Count)> kRunStates = {
  "not_run",
  "run",
  "unknown"
};

} // namespace

std::string_view
Name(error_code aCode)
{
  size_t index = size_t(aCode);
  return index < kErrors.size() ? kErrors[index].mName : "invalid";
}

std::string_view
Name(run_state aState)
{
  size_t index = size_t(aState);
  return index < kRunStates.size() ? kRunStates[index] : "invalid";
}

int
HttpStatus(error_code aCode)
{
  size_t index = size_t(aCode);
  return index < kErrors.size() ? kErrors[index].mHttpStatus : 500;
}

} // namespace cactusmast
