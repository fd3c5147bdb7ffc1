// cactusmast: the command line of operators and callers.

#include <cstdio>
#include <cstdlib>
#include <docopt/docopt.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <yaml-cpp/yaml.h>

#include "cactusmast/settings.h"
#include "cmd/demand_command.h"
#include "cmd/documents.h"
#include "cmd/evacuations_command.h"
#include "shell/daemon.h"
#include "shell/http_client.h"
#include "util/bounded_json.h"

namespace {

using namespace cactusmast;
using nlohmann::json;
using arguments_map = std::map<std::string, docopt::value>;

constexpr char kVersion[] = "cactusmast 0.1.0";

constexpr char kUsage[] = R"(cactusmast: dispatch of sub-second tasks.

Usage:
  cactusmast [options] profile list
  cactusmast [options] profile show NAME
  cactusmast [options] profile create FILE --reason=TEXT
  cactusmast [options] profile set NAME --reason=TEXT CHANGE...
  cactusmast [options] profile retire NAME --reason=TEXT
  cactusmast [options] profile history NAME
  cactusmast [options] team list
  cactusmast [options] team set NAME --reason=TEXT CHANGE...
  cactusmast [options] status
  cactusmast [options] workers
  cactusmast [options] jobs JOB
  cactusmast [options] submit FILE [--key=KEY] [--wait-ms=N]
  cactusmast [options] cancel JOB
  cactusmast [options] audit [--limit=N]
  cactusmast [options] drain
  cactusmast [options] evacuations ADDRESS...
  cactusmast [options] demand ADDRESS...
  cactusmast config check FILE
  cactusmast version
  cactusmast (-h | --help)

Options:
  --entry=URL        The entry that gets the requests, or CACTUSMAST_ENTRY.
  --token-file=FILE  File with the operator's or team's token, or
                     CACTUSMAST_TOKEN.
  --team=NAME        Team to act for, where entries need no team token.
  --revision=N       With profile set or retire: the revision that the change
                     is based on; by default the one in force now.
  --json             Print the reply as JSON.
  --timeout-ms=N     Time limit of one request [default: 60000].

Commands:
  profile create     FILE holds one profile as YAML or JSON.
  profile set        Each CHANGE is KEY=VALUE: cactusmast profile set quote
                     --reason="slower evenings" deadline_ms=5000
  submit             FILE holds a job as YAML or JSON: profile, tasks and
                     optionally deadline_ms. Submitting it again with the
                     same --key is safe: nothing starts twice.
  status             Every process with the configuration version in force,
                     and those that lag behind it.
  evacuations        Data centres that coordinators and executors know to be
                     evacuated, for how long they have known, and when the
                     store last confirmed it; ADDRESS is HOST:PORT of their
                     metrics page.
  demand             What coordinators know of each route, in thousandths of
                     a core: the demand of their own callers and that at all
                     entries, the limit in force and the tasks not placed
                     because of it; and the age of the oldest value of another
                     entry.
                     ADDRESS is HOST:PORT of their metrics page.
  drain              Drains the entry and stops it.

Exit codes: 0 done; 1 refused or failed; 2 wrong usage or bad files; 3 no reply,
so it is not known whether it was done; 4 conflict: read the current revision
and retry.
)";

// kUsage documents them.
enum exit_code : int
{
  Done = 0,
  Refused = 1,
  Usage = 2,
  NoReply = 3,
  Conflict = 4
};

// The value of a command-line option, else of an environment variable; empty
// when neither is given.
std::string
OptionOrVariable(const arguments_map& aArguments,
                 const char* aOption,
                 const char* aVariable)
{
  const docopt::value& given = aArguments.at(aOption);
  if (given.isString()) {
    return given.asString();
  }
  const char* fromEnvironment = std::getenv(aVariable);
  return fromEnvironment == nullptr ? "" : fromEnvironment;
}

std::string
Trimmed(std::string aText)
{
  while (!aText.empty() && (aText.back() == '\n' || aText.back() == ' ')) {
    aText.pop_back();
  }
  return aText;
}

// Sends requests to one entry, with the token and team of the arguments.
class entry_client
{
public:
  explicit entry_client(const arguments_map& aArguments)
    : mUrl(OptionOrVariable(aArguments, "--entry", "CACTUSMAST_ENTRY"))
    , mTimeoutMs(uint32_t(aArguments.at("--timeout-ms").asLong()))
  {
    if (mUrl.empty()) {
      throw failure(error_code::BadRequest,
                    "choose entry",
                    "",
                    "give --entry=URL or set CACTUSMAST_ENTRY");
    }
    std::string token;
    if (aArguments.at("--token-file").isString()) {
      token = Trimmed(ReadFile(aArguments.at("--token-file").asString()));
    } else if (std::getenv("CACTUSMAST_TOKEN") != nullptr) {
      token = std::getenv("CACTUSMAST_TOKEN");
    }
    if (!token.empty()) {
      mHeaders.emplace_back("Authorization", "Bearer " + token);
    }
    if (aArguments.at("--team").isString()) {
      mHeaders.emplace_back("X-Team", aArguments.at("--team").asString());
    }
  }

  void AddHeader(const std::string& aName, const std::string& aValue)
  {
    mHeaders.emplace_back(aName, aValue);
  }

  // Throws failure when there is no reply.
  http_response Send(const std::string& aMethod,
                     const std::string& aPath,
                     const std::string& aBody = "")
  {
    http_request request;
    request.mMethod = aMethod;
    request.mUrl = mUrl + aPath;
    request.mHeaders = mHeaders;
    request.mBody = aBody;
    http_response response = SendAndWait(request, mTimeoutMs);
    if (response.mFault != http_fault::None) {
      bool notSent = response.mFault == http_fault::Refused;
      throw failure(error_code::Unavailable,
                    "send request",
                    mUrl,
                    response.mFaultText,
                    notSent ? run_state::NotRun : run_state::Unknown);
    }
    return response;
  }

private:
  std::string mUrl;
  uint32_t mTimeoutMs;
  std::vector<std::pair<std::string, std::string>> mHeaders;
};

std::string
CellText(const json& aValue)
{
  return aValue.is_string() ? aValue.get<std::string>() : aValue.dump();
}

// Prints the named columns of an array of objects.
void
PrintTable(const json& aRows, const std::vector<std::string>& aColumns)
{
  std::vector<size_t> widths;
  for (const std::string& column : aColumns) {
    size_t width = column.size();
    for (const json& row : aRows) {
      width = std::max(width, CellText(row.value(column, json(""))).size());
    }
    widths.push_back(width);
  }
  auto print = [&](const std::function<std::string(size_t)>& aCellOf) {
    std::string line;
    for (size_t i = 0; i < aColumns.size(); i++) {
      std::string text = aCellOf(i);
      line += text + std::string(widths[i] - text.size() + 2, ' ');
    }
    std::cout << Trimmed(line) << "\n";
  };
  print([&](size_t aIndex) { return aColumns[aIndex]; });
  for (const json& row : aRows) {
    print([&](size_t aIndex) {
      return CellText(row.value(aColumns[aIndex], json("")));
    });
  }
}

void
PrintError(const json& aError)
{
  std::cerr << "cactusmast: " << aError.value("code", "error") << ": "
            << aError.value("text", "")
            << "\n  step: " << aError.value("step", "")
            << "\n  peer: " << aError.value("peer", "")
            << "\n  run: " << aError.value("run", "unknown") << "\n";
  if (aError.contains("retry_after_ms")) {
    std::cerr << "  retry after: " << aError["retry_after_ms"] << " ms\n";
  }
}

// Prints a reply, by aShow unless it is an error or --json is given, and
// returns the exit code.
int
Print(const arguments_map& aArguments,
      const http_response& aResponse,
      const std::function<void(const json&)>& aShow)
{
  json body = ParseBoundedJson(aResponse.mBody);
  constexpr int kFirstError = 400;
  constexpr int kConflict = 409;
  if (aArguments.at("--json").asBool()) {
    std::cout << aResponse.mBody << "\n";
  } else if (aResponse.mStatus >= kFirstError) {
    PrintError(body.is_object() ? body.value("error", json::object())
                                : json::object());
  } else {
    aShow(body);
  }
  if (aResponse.mStatus < kFirstError) {
    return Done;
  }
  bool unknown = body.is_object() && body.contains("error") &&
                 body["error"].value("run", "") == "unknown";
  if (aResponse.mStatus == kConflict) {
    return Conflict;
  }
  return unknown ? NoReply : Refused;
}

void
ShowChange(const json& aBody)
{
  std::cout << "accepted: configuration version " << aBody["version"];
  if (aBody["revision"] != 0) {
    std::cout << ", revision " << aBody["revision"];
  }
  std::cout << "\n";
}

void
ShowAudit(const json& aBody)
{
  PrintTable(aBody["audit"],
             { "when",
               "who",
               "action",
               "name",
               "outcome",
               "from_revision",
               "to_revision",
               "version",
               "reason",
               "operation" });
}

void
ShowJob(const json& aBody)
{
  std::cout << "job " << CellText(aBody["job"]) << ": "
            << CellText(aBody["state"]) << "\n";
  if (!aBody.contains("tasks")) {
    return;
  }
  std::map<std::string, uint32_t> counts;
  for (const json& task : aBody["tasks"]) {
    std::string key = task.value("outcome", "");
    if (task.contains("reason")) {
      key +=
        " (" + task.value("reason", "") + ", " + task.value("run", "") + ")";
    }
    counts[key]++;
  }
  for (const auto& [name, count] : counts) {
    std::cout << "  " << count << " tasks " << name << "\n";
  }
}

void
ShowStatus(const json& aBody)
{
  std::cout << "configuration version " << aBody["config_version"]
            << (aBody.value("config_fresh", false)
                  ? ", confirmed by the table"
                  : ", NOT confirmed: the table does not reply")
            << "\n\n";
  PrintTable(aBody["shards"],
             { "shard", "owner", "epoch", "complete", "workers", "queued" });
  std::cout << "\n";
  PrintTable(aBody["processes"],
             { "role",
               "name",
               "data_center",
               "config_version",
               "slots",
               "running",
               "draining" });
  if (!aBody["lagging"].empty()) {
    std::cout << "\nlagging behind: " << aBody["lagging"].dump() << "\n";
  }
}

// The KEY=VALUE arguments as an object; values are YAML.
json
ParseChanges(const arguments_map& aArguments)
{
  json changes = json::object();
  for (const std::string& pair : aArguments.at("CHANGE").asStringList()) {
    size_t equals = pair.find('=');
    if (equals == std::string::npos) {
      throw failure(
        error_code::BadRequest, "read changes", "", pair + ": use KEY=VALUE");
    }
    changes[pair.substr(0, equals)] =
      YamlToJson(YAML::Load(pair.substr(equals + 1)));
  }
  return changes;
}

int
PutProfile(const arguments_map& aArguments,
           entry_client& aClient,
           const json& aProfile,
           uint64_t aRevision)
{
  aClient.AddHeader("X-Reason", aArguments.at("--reason").asString());
  aClient.AddHeader("X-Expected-Revision", std::to_string(aRevision));
  std::string name = aProfile.value("name", "");
  return Print(aArguments,
               aClient.Send("PUT", "/v1/profiles/" + name, aProfile.dump()),
               ShowChange);
}

// The profile in force, on which changes of single keys are based.
json
CurrentProfile(entry_client& aClient, const std::string& aName)
{
  http_response response = aClient.Send("GET", "/v1/profiles/" + aName);
  constexpr int kOk = 200;
  if (response.mStatus != kOk) {
    throw failure(
      error_code::NotFound, "find profile", "", "no profile " + aName);
  }
  return json::parse(response.mBody);
}

// --revision, or that of aCurrent without it.
uint64_t
ExpectedRevision(const arguments_map& aArguments, const json& aCurrent)
{
  if (aArguments.at("--revision").isString()) {
    return uint64_t(aArguments.at("--revision").asLong());
  }
  return aCurrent.value("revision", uint64_t(0));
}

int
RunProfile(const arguments_map& aArguments, entry_client& aClient)
{
  if (aArguments.at("list").asBool()) {
    return Print(
      aArguments, aClient.Send("GET", "/v1/profiles"), [](const json& aBody) {
        PrintTable(aBody["profiles"],
                   { "name",
                     "revision",
                     "service",
                     "deadline_ms",
                     "idempotent",
                     "priority",
                     "preference",
                     "retired" });
      });
  }
  if (aArguments.at("create").asBool()) {
    json document = ReadDocument(aArguments.at("FILE").asString());
    return PutProfile(aArguments, aClient, document, 0);
  }
  std::string name = aArguments.at("NAME").asString();
  if (aArguments.at("show").asBool()) {
    return Print(aArguments,
                 aClient.Send("GET", "/v1/profiles/" + name),
                 [](const json& aBody) {
                   for (const auto& [key, value] : aBody.items()) {
                     std::cout << key << ": " << CellText(value) << "\n";
                   }
                 });
  }
  if (aArguments.at("history").asBool()) {
    return Print(
      aArguments, aClient.Send("GET", "/v1/audit?name=" + name), ShowAudit);
  }
  json current = CurrentProfile(aClient, name);
  uint64_t revision = ExpectedRevision(aArguments, current);
  if (aArguments.at("retire").asBool()) {
    aClient.AddHeader("X-Reason", aArguments.at("--reason").asString());
    aClient.AddHeader("X-Expected-Revision", std::to_string(revision));
    return Print(
      aArguments, aClient.Send("DELETE", "/v1/profiles/" + name), ShowChange);
  }
  current.erase("revision");
  current.update(ParseChanges(aArguments));
  return PutProfile(aArguments, aClient, current, revision);
}

int
RunTeam(const arguments_map& aArguments, entry_client& aClient)
{
  if (aArguments.at("list").asBool()) {
    return Print(
      aArguments, aClient.Send("GET", "/v1/teams"), [](const json& aBody) {
        PrintTable(aBody["teams"], { "name", "quota", "queue_limit" });
      });
  }
  json document = ParseChanges(aArguments);
  document["name"] = aArguments.at("NAME").asString();
  aClient.AddHeader("X-Reason", aArguments.at("--reason").asString());
  return Print(aArguments,
               aClient.Send("PUT",
                            "/v1/teams/" + document["name"].get<std::string>(),
                            document.dump()),
               ShowChange);
}

int
RunSubmit(const arguments_map& aArguments, entry_client& aClient)
{
  json job = ReadDocument(aArguments.at("FILE").asString());
  if (aArguments.at("--key").isString()) {
    aClient.AddHeader("Idempotency-Key", aArguments.at("--key").asString());
  }
  std::string wait = aArguments.at("--wait-ms").isString()
                       ? aArguments.at("--wait-ms").asString()
                       : "30000";
  http_response response =
    aClient.Send("POST", "/v1/jobs?wait_ms=" + wait, job.dump());
  int code = Print(aArguments, response, ShowJob);
  json body = ParseBoundedJson(response.mBody);
  bool failed = body.is_object() && body.value("state", "") == "failed";
  return code == Done && failed ? Refused : code;
}

int
RunEvacuations(const arguments_map& aArguments)
{
  json rows = ReadEvacuations(aArguments.at("ADDRESS").asStringList(),
                              uint32_t(aArguments.at("--timeout-ms").asLong()));
  if (aArguments.at("--json").asBool()) {
    std::cout << rows.dump() << "\n";
  } else {
    PrintTable(
      rows, { "process", "data_center", "known_for_s", "store_heard_s_ago" });
  }
  return Done;
}

int
RunDemand(const arguments_map& aArguments)
{
  json rows = ReadDemand(aArguments.at("ADDRESS").asStringList(),
                         uint32_t(aArguments.at("--timeout-ms").asLong()));
  if (aArguments.at("--json").asBool()) {
    std::cout << rows.dump() << "\n";
  } else {
    PrintTable(rows,
               { "process",
                 "route",
                 "own_millis",
                 "all_millis",
                 "limit_millis",
                 "held_tasks",
                 "oldest_s" });
  }
  return Done;
}

int
RunCommand(const arguments_map& aArguments)
{
  if (aArguments.at("version").asBool()) {
    std::cout << kVersion << "\n";
    return Done;
  }
  if (aArguments.at("config").asBool()) {
    std::string file = aArguments.at("FILE").asString();
    std::string role = CheckSettings(ReadFile(file), file).Value();
    std::cout << file << ": valid settings for the role " << role << "\n";
    return Done;
  }
  if (aArguments.at("evacuations").asBool()) {
    return RunEvacuations(aArguments);
  }
  if (aArguments.at("demand").asBool()) {
    return RunDemand(aArguments);
  }
  entry_client client(aArguments);
  if (aArguments.at("profile").asBool()) {
    return RunProfile(aArguments, client);
  }
  if (aArguments.at("team").asBool()) {
    return RunTeam(aArguments, client);
  }
  if (aArguments.at("submit").asBool()) {
    return RunSubmit(aArguments, client);
  }
  if (aArguments.at("status").asBool()) {
    return Print(aArguments, client.Send("GET", "/v1/status"), ShowStatus);
  }
  if (aArguments.at("workers").asBool()) {
    return Print(
      aArguments, client.Send("GET", "/v1/workers"), [](const json& aBody) {
        PrintTable(aBody["workers"],
                   { "name",
                     "connected",
                     "leased",
                     "set_aside",
                     "slots",
                     "running",
                     "slowness" });
      });
  }
  if (aArguments.at("audit").asBool()) {
    std::string limit = aArguments.at("--limit").isString()
                          ? aArguments.at("--limit").asString()
                          : "50";
    return Print(
      aArguments, client.Send("GET", "/v1/audit?limit=" + limit), ShowAudit);
  }
  if (aArguments.at("drain").asBool()) {
    return Print(aArguments,
                 client.Send("POST", "/v1/drain", "{}"),
                 [](const json&) { std::cout << "draining\n"; });
  }
  std::string job = aArguments.at("JOB").asString();
  bool cancel = aArguments.at("cancel").asBool();
  return Print(
    aArguments,
    client.Send(cancel ? "DELETE" : "GET", "/v1/jobs/" + job + "?wait_ms=2000"),
    ShowJob);
}

} // namespace

int
main(int argc, char** argv)
{
  arguments_map arguments;
  try {
    arguments =
      docopt::docopt_parse(kUsage, { argv + 1, argv + argc }, true, false);
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << kUsage;
    return Done;
  } catch (const std::exception&) {
    std::cerr << kUsage;
    return Usage;
  }
  try {
    return RunCommand(arguments);
  } catch (const failure& error) {
    std::cerr << "cactusmast: " << Name(error.Code()) << ": " << error.what()
              << "\n  step: " << error.Step() << "\n  peer: " << error.Peer()
              << "\n  run: " << Name(error.RunState()) << "\n";
    bool unknown = error.RunState() == run_state::Unknown;
    bool usage = error.Code() == error_code::BadRequest;
    return usage ? Usage : unknown ? NoReply : Refused;
  } catch (const std::exception& error) {
    std::cerr << "cactusmast: " << error.what() << "\n";
    return Usage;
  }
}
