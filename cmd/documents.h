// Reads files of callers and operators that hold profiles and jobs.

#ifndef CMD_DOCUMENTS_H_
#define CMD_DOCUMENTS_H_

#include <nlohmann/json.hpp>
#include <string>
#include <yaml-cpp/yaml.h>

namespace cactusmast {

// JSON is a subset of YAML, so both kinds of file are read the same way.
nlohmann::json
YamlToJson(const YAML::Node& aNode);

// Throws failure when aFile cannot be read or parsed, with the line of the
// error.
nlohmann::json
ReadDocument(const std::string& aFile);

} // namespace cactusmast

#endif // CMD_DOCUMENTS_H_
