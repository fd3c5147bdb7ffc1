#include "cmd/documents.h"

#include "cactusmast/error.h"
#include "shell/daemon.h"

namespace cactusmast {
namespace {

using nlohmann::json;

json
ScalarToJson(const YAML::Node& aNode)
{
  bool quoted = aNode.Tag() == "!";
  bool flag = false;
  int64_t whole = 0;
  double number = 0;
  if (quoted) {
    return aNode.Scalar();
  }
  if (YAML::convert<int64_t>::decode(aNode, whole)) {
    return whole >= 0 ? json(uint64_t(whole)) : json(whole);
  }
  if (YAML::convert<double>::decode(aNode, number)) {
    return number;
  }
  if (YAML::convert<bool>::decode(aNode, flag)) {
    return flag;
  }
  return aNode.Scalar();
}

} // namespace

json
YamlToJson(const YAML::Node& aNode)
{
  if (aNode.IsMap()) {
    json object = json::object();
    for (const auto& entry : aNode) {
      object[entry.first.as<std::string>()] = YamlToJson(entry.second);
    }
    return object;
  }
  if (aNode.IsSequence()) {
    json array = json::array();
    for (const YAML::Node& item : aNode) {
      array.push_back(YamlToJson(item));
    }
    return array;
  }
  return aNode.IsScalar() ? ScalarToJson(aNode) : json();
}

json
ReadDocument(const std::string& aFile)
{
  try {
    return YamlToJson(YAML::Load(ReadFile(aFile)));
  } catch (const YAML::Exception& error) {
    throw failure(error_code::BadRequest,
                  "read file",
                  aFile,
                  aFile + ":" + std::to_string(error.mark.line + 1) + ": " +
                    error.msg);
  }
}

} // namespace cactusmast
