// JSON from other processes, of which nothing can be taken for granted.
//
//   json body = ParseBoundedJson(text); // discarded if it cannot be used
//   std::optional<int64_t> version = WholeField(body, "version");
//
// Copying, comparing and writing a value recurse over its nesting, so a text of
// a few hundred kilobytes could overflow the stack. Numbers are converted only
// after a check of their range, because the conversion of a larger one is
// undefined.

#ifndef UTIL_BOUNDED_JSON_H_
#define UTIL_BOUNDED_JSON_H_

#include <cmath>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace cactusmast {

constexpr size_t kMaxJsonDepth = 64;
// The largest whole number up to which JSON numbers are exact everywhere.
constexpr int64_t kMaxExactJson = int64_t(1) << 53;

// Whether arrays and objects are nested deeper than aMaxDepth. aText need not
// be valid.
inline bool
IsNestedDeeper(std::string_view aText, size_t aMaxDepth)
{
  size_t depth = 0;
  bool inText = false;
  for (size_t i = 0; i < aText.size(); i++) {
    char at = aText[i];
    if (inText) {
      i += at == '\\' ? 1 : 0;
      inText = at != '"';
    } else if (at == '"') {
      inText = true;
    } else if (at == '[' || at == '{') {
      if (++depth > aMaxDepth) {
        return true;
      }
    } else if ((at == ']' || at == '}') && depth > 0) {
      depth--;
    }
  }
  return false;
}

// Discarded unless aText is JSON of at most kMaxJsonDepth levels.
inline nlohmann::json
ParseBoundedJson(std::string_view aText)
{
  if (IsNestedDeeper(aText, kMaxJsonDepth)) {
    return nlohmann::json(nlohmann::json::value_t::discarded);
  }
  return nlohmann::json::parse(aText, nullptr, false);
}

// The value of a whole number within kMaxExactJson on either side of 0; nothing
// for any other value.
inline std::optional<int64_t>
WholeNumber(const nlohmann::json& aValue)
{
  if (aValue.is_number_unsigned()) {
    auto value = aValue.get<uint64_t>();
    return value <= uint64_t(kMaxExactJson) ? std::optional(int64_t(value))
                                            : std::nullopt;
  }
  if (aValue.is_number_integer()) {
    auto value = aValue.get<int64_t>();
    return value >= -kMaxExactJson ? std::optional(value) : std::nullopt;
  }
  if (!aValue.is_number()) {
    return std::nullopt;
  }
  auto value = aValue.get<double>();
  bool whole =
    std::abs(value) <= double(kMaxExactJson) && std::trunc(value) == value;
  return whole ? std::optional(int64_t(value)) : std::nullopt;
}

// Nothing also if aObject is no object or the field is absent.
inline std::optional<int64_t>
WholeField(const nlohmann::json& aObject, const char* aName)
{
  auto found = aObject.find(aName);
  return found == aObject.end() ? std::nullopt : WholeNumber(*found);
}

// Nothing if aObject is no object or the field is absent or no text.
inline std::optional<std::string>
TextField(const nlohmann::json& aObject, const char* aName)
{
  auto found = aObject.find(aName);
  bool given = found != aObject.end() && found->is_string();
  return given ? std::optional(found->get<std::string>()) : std::nullopt;
}

} // namespace cactusmast

#endif // UTIL_BOUNDED_JSON_H_
