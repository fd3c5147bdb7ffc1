// Strict reader of a YAML mapping: an unknown key, a wrong type or a value out
// of range is an error that names the file, the line, the key and the allowed
// values. Shared by the settings files of all programs.

#ifndef CACTUSMAST_SETTINGS_READER_H_
#define CACTUSMAST_SETTINGS_READER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>
#include <yaml-cpp/yaml.h>

#include "cactusmast/error.h"
#include "util/result.h"

namespace cactusmast {
namespace detail {

// Reads one mapping key by key; Finish then refuses the keys that were not
// read. Each method that reads a key throws failure(BadRequest) if the value is
// not valid, and leaves *aOut unchanged if an optional key is absent.
class settings_reader
{
public:
  settings_reader(const YAML::Node& aNode, std::string aFile)
    : mNode(aNode)
    , mFile(std::move(aFile))
  {
    if (!mNode.IsMap()) {
      throw ErrorAt(mNode, "", "the settings must be a mapping");
    }
    std::set<std::string> keys;
    for (const auto& item : mNode) {
      auto key = item.first.as<std::string>();
      if (!keys.insert(key).second) {
        throw ErrorAt(item.first, key, "is duplicated");
      }
    }
  }

  void Text(const std::string& aKey, bool aRequired, std::string* aOut)
  {
    YAML::Node value = Find(aKey, aRequired);
    if (!value.IsDefined()) {
      return;
    }
    if (!value.IsScalar() || value.Scalar().empty()) {
      throw ErrorAt(value, aKey, "must be non-empty text");
    }
    *aOut = value.Scalar();
  }

  // An address as IP:PORT.
  void Address(const std::string& aKey, bool aRequired, std::string* aOut)
  {
    Text(aKey, aRequired, aOut);
    if (!aOut->empty()) {
      CheckAddress(mNode[aKey], aKey, *aOut);
    }
  }

  // A list of addresses as IP:PORT; empty if the key is absent.
  void Addresses(const std::string& aKey, std::vector<std::string>* aOut)
  {
    for (const YAML::Node& item : List(aKey, "must be a list of IP:PORT")) {
      CheckAddress(item, aKey, item.Scalar());
      aOut->push_back(item.Scalar());
    }
  }

  // A list of scalars; empty if the key is absent.
  void Names(const std::string& aKey, std::vector<std::string>* aOut)
  {
    for (const YAML::Node& item : List(aKey, "must be a list of names")) {
      aOut->push_back(item.Scalar());
    }
  }

  // An optional whole number from aMin to aMax.
  void Number(const std::string& aKey,
              uint32_t aMin,
              uint32_t aMax,
              uint32_t* aOut)
  {
    YAML::Node value = Find(aKey, false);
    if (!value.IsDefined()) {
      return;
    }
    std::string range = "must be a whole number from " + std::to_string(aMin) +
                        " to " + std::to_string(aMax);
    int64_t number = 0;
    if (!value.IsScalar() || !YAML::convert<int64_t>::decode(value, number) ||
        number < int64_t(aMin) || number > int64_t(aMax)) {
      throw ErrorAt(value, aKey, range);
    }
    *aOut = uint32_t(number);
  }

  // An optional "on" or "off".
  void Flag(const std::string& aKey, bool* aOut)
  {
    YAML::Node value = Find(aKey, false);
    if (!value.IsDefined()) {
      return;
    }
    if (!value.IsScalar() ||
        (value.Scalar() != "on" && value.Scalar() != "off")) {
      throw ErrorAt(value, aKey, "must be on or off");
    }
    *aOut = value.Scalar() == "on";
  }

  // An optional number of cores, which may be a fraction, in thousandths.
  void Cores(const std::string& aKey, uint32_t* aOutMillis)
  {
    constexpr double kMaxCores = 1024;
    YAML::Node value = Find(aKey, false);
    if (!value.IsDefined()) {
      return;
    }
    double cores = 0;
    if (!value.IsScalar() || !YAML::convert<double>::decode(value, cores) ||
        !(cores > 0 && cores <= kMaxCores)) {
      throw ErrorAt(value, aKey, "must be a number of cores up to 1024");
    }
    *aOutMillis = uint32_t(cores * 1000);
  }

  // An optional mapping of names to bearer tokens.
  void Tokens(const std::string& aKey, std::map<std::string, std::string>* aOut)
  {
    YAML::Node value = Find(aKey, false);
    if (!value.IsDefined()) {
      return;
    }
    if (!value.IsMap()) {
      throw ErrorAt(value, aKey, "must map names to tokens");
    }
    constexpr size_t kMinTokenLength = 16;
    for (const auto& item : value) {
      if (!item.second.IsScalar() ||
          item.second.Scalar().size() < kMinTokenLength) {
        throw ErrorAt(
          item.second, aKey, "tokens must have at least 16 characters");
      }
      (*aOut)[item.first.as<std::string>()] = item.second.Scalar();
    }
  }

  // Throws failure(BadRequest) for the first key that no method has read.
  void Finish() const
  {
    for (const auto& item : mNode) {
      auto key = item.first.as<std::string>();
      if (mReadKeys.count(key) == 0) {
        throw ErrorAt(item.first, key, "is not a known key");
      }
    }
  }

private:
  // The items of a list of scalars; empty if the key is absent.
  std::vector<YAML::Node> List(const std::string& aKey,
                               const std::string& aExpected)
  {
    std::vector<YAML::Node> items;
    YAML::Node value = Find(aKey, false);
    if (!value.IsDefined()) {
      return items;
    }
    if (!value.IsSequence()) {
      throw ErrorAt(value, aKey, aExpected);
    }
    for (const YAML::Node& item : value) {
      if (!item.IsScalar()) {
        throw ErrorAt(item, aKey, aExpected);
      }
      items.push_back(item);
    }
    return items;
  }

  // The value of aKey; an undefined node if it is absent and not required.
  YAML::Node Find(const std::string& aKey, bool aRequired)
  {
    mReadKeys.insert(aKey);
    const YAML::Node& constNode = mNode;
    YAML::Node value = constNode[aKey];
    if (!value.IsDefined() && aRequired) {
      throw ErrorAt(mNode, aKey, "is missing");
    }
    return value.IsDefined() ? value : YAML::Node(YAML::NodeType::Undefined);
  }

  void CheckAddress(const YAML::Node& aNode,
                    const std::string& aKey,
                    const std::string& aText) const
  {
    size_t colon = aText.rfind(':');
    bool valid = colon != std::string::npos && colon > 0;
    if (valid) {
      std::string port = aText.substr(colon + 1);
      valid = !port.empty() && port.size() <= 5 &&
              port.find_first_not_of("0123456789") == std::string::npos &&
              std::stoul(port) > 0 && std::stoul(port) <= 65535;
      valid = valid && aText.find_first_not_of("0123456789.") == colon;
    }
    if (!valid) {
      throw ErrorAt(
        aNode, aKey, "must be an IP address and a port, such as 127.0.0.1:80");
    }
  }

  failure ErrorAt(const YAML::Node& aNode,
                  const std::string& aKey,
                  const std::string& aText) const
  {
    int line = aNode.Mark().line + 1;
    std::string key = aKey.empty() ? "" : aKey + " ";
    return failure(error_code::BadRequest,
                   "read settings",
                   mFile,
                   mFile + ":" + std::to_string(line) + ": " + key + aText);
  }

  YAML::Node mNode;
  std::string mFile;
  std::set<std::string> mReadKeys;
};

// Parses aText as YAML; throws failure(BadRequest) with file and line.
inline YAML::Node
Load(const std::string& aText, const std::string& aFile)
{
  try {
    return YAML::Load(aText);
  } catch (const YAML::Exception& error) {
    throw failure(error_code::BadRequest,
                  "read settings",
                  aFile,
                  aFile + ":" + std::to_string(error.mark.line + 1) + ": " +
                    error.msg);
  }
}

// Calls aRead and returns its value, or what it throws as a failure.
template<typename T>
result<T>
CatchErrors(const std::string& aFile, const std::function<T()>& aRead)
{
  try {
    return aRead();
  } catch (const failure& error) {
    return error;
  } catch (const std::exception& error) {
    return failure(
      error_code::BadRequest, "read settings", aFile, error.what());
  }
}

// Reads a whole settings file with aRead(settings_reader&, T*). Keys that aRead
// does not read are errors.
template<typename T, typename Read>
result<T>
ReadSettingsFile(const std::string& aText, const std::string& aFile, Read aRead)
{
  return CatchErrors<T>(aFile, [&] {
    settings_reader reader(Load(aText, aFile), aFile);
    T settings;
    aRead(reader, &settings);
    reader.Finish();
    return settings;
  });
}

} // namespace detail
} // namespace cactusmast

#endif // CACTUSMAST_SETTINGS_READER_H_
