// Tests of the parsers of settings, profiles and submissions: what they accept,
// and how they report errors.

#include <doctest/doctest.h>
#include <random>

#include "cactusmast/api_json.h"
#include "cactusmast/profile.h"
#include "cactusmast/settings.h"

namespace cactusmast::testing {
namespace {

const std::string kValidEntry = R"(role: entry
name: entry-1
listen: 127.0.0.1:7001
http: 127.0.0.1:7002
data_center: leicester
table_url: http://127.0.0.1:7000
shared_key: something-secret
)";

struct bad_input
{
  std::string mText;
  std::string mExpected; // part of the message
};

} // namespace

TEST_CASE("valid settings are parsed, and absent keys get their defaults")
{
  entry_settings settings = ReadEntrySettings(kValidEntry, "e.yaml").Value();
  CHECK(settings.mProcess.mName == "entry-1");
  CHECK(settings.mProcess.mDrainTimeoutMs == 30000);
  CHECK(CheckSettings(kValidEntry, "e.yaml").Value() == "entry");
}

TEST_CASE("errors in settings name the file, line, key and allowed values")
{
  const bad_input kCases[] = {
    { kValidEntry + "retention: 5\n",
      "e.yaml:8: retention is not a known key" },
    { kValidEntry + "retention_ms: 5\n",
      "e.yaml:8: retention_ms must be a whole number from 1000" },
    { kValidEntry + "retention_ms: soon\n", "must be a whole number" },
    { kValidEntry + "name: again\n", "e.yaml:8: name is duplicated" },
    { kValidEntry + "seed_entries: [somewhere:80]\n", "must be an IP address" },
    { kValidEntry + "operator_tokens: { alice: short }\n", "16 characters" },
    { "role: entry\nname: x\n", "listen is missing" },
    { "role: [\n", "e.yaml:" },
    { "just text", "must be a mapping" },
  };
  for (const bad_input& bad : kCases) {
    result<entry_settings> parsed = ReadEntrySettings(bad.mText, "e.yaml");
    REQUIRE(!parsed.Ok());
    std::string text = parsed.Error().what();
    CHECK_MESSAGE(text.find(bad.mExpected) != std::string::npos, text);
  }
}

TEST_CASE("errors in profiles name the key and the allowed values")
{
  const bad_input kCases[] = {
    { R"({"name":"a","service":"s","deadline":5})", "unknown key deadline" },
    { R"({"name":"a","service":"s","priority":10})", "from 0 to 9" },
    { R"({"name":"a","service":"s","priority":-1})", "from 0 to 9" },
    { R"({"name":"a","service":"s","idempotent":"yes"})", "true or false" },
    { R"({"name":"a","service":"s","preference":"fast"})",
      "response_time, messages" },
    { R"({"name":"a b","service":"s"})", "letters, digits" },
    { R"({"name":"a"})", "service is missing" },
    { R"({"name":"a","name":"b","service":"s"})", "is duplicated" },
    { R"([])", "must be an object" },
    { R"({)", "parse error" },
  };
  for (const bad_input& bad : kCases) {
    result<profile> parsed = ParseProfile(bad.mText);
    REQUIRE(!parsed.Ok());
    std::string text = parsed.Error().what();
    CHECK_MESSAGE(text.find(bad.mExpected) != std::string::npos, text);
  }
}

TEST_CASE("profiles and documents are unchanged when serialized and parsed")
{
  profile original;
  original.mName = "quote";
  original.mService = "ordering";
  original.mPreference = cost_preference::Messages;
  original.mShedding = shedding_order::LowestPriority;
  original.mDeadlineMs = 1234;
  original.mRevision = 5;
  CHECK(SerializeProfile(ParseProfile(SerializeProfile(original)).Value()) ==
        SerializeProfile(original));
  deployment_config config;
  config.mVersion = 9;
  config.mProfiles["quote"] = original;
  config.mTeams["builders"] = team{ "builders", 3, 100 };
  std::string text = config.Serialize();
  CHECK(deployment_config::Parse(text).Value().Serialize() == text);
}

TEST_CASE("a document with unknown fields from a newer version is parsed")
{
  // During a rolling update, an older process reads documents that a newer one
  // wrote. Fields that it does not know must not make it fail.
  std::string text = R"({"version":4,"shard_count":1,"new":true,"profiles":
    [{"name":"quote","service":"ordering","colour":"red"}]})";
  deployment_config config = deployment_config::Parse(text).Value();
  CHECK(config.mProfiles.count("quote") == 1);
}

TEST_CASE("invalid submissions are refused with a reason")
{
  const bad_input kCases[] = {
    { "", "parse error" },
    { "[]", "must be an object" },
    { R"({"profile":"a"})", "at least one task" },
    { R"({"profile":"a","tasks":[]})", "at least one task" },
    { R"({"profile":1,"tasks":[1]})", "profile must be text" },
    { R"({"profile":"a","tasks":[1],"deadline_ms":0})", "deadline_ms" },
    { R"({"profile":"a","tasks":[1],"deadline_ms":-5})", "deadline_ms" },
    { R"({"profile":"a","tasks":[1],"more":0})", "unknown key more" },
    { R"({"profile":"a","profile":"b","tasks":[1]})", "is duplicated" },
    { "{\"profile\":\"a\",\"tasks\":[" + std::string(5000, '[') + "1" +
        std::string(5000, ']') + "]}",
      "nested too deeply" },
  };
  for (const bad_input& bad : kCases) {
    result<submission> parsed = ParseSubmission(bad.mText, {});
    REQUIRE(!parsed.Ok());
    std::string text = parsed.Error().what();
    CHECK_MESSAGE(text.find(bad.mExpected) != std::string::npos, text);
  }
}

TEST_CASE("no parser crashes on valid texts with random changes")
{
  std::mt19937 random(11);
  const std::string kSeeds[] = {
    kValidEntry,
    R"({"profile":"a","tasks":[1,"x",{"y":2}],"deadline_ms":5})",
    R"({"name":"a","service":"s","priority":1})",
  };
  for (int i = 0; i < 20000; i++) {
    std::string text = kSeeds[random() % 3];
    for (int edits = 1 + int(random() % 5); edits > 0; edits--) {
      text[random() % text.size()] = char(random());
    }
    // Each call must return a value or an error. Any other outcome ends the
    // test run or is reported by the sanitizers.
    ReadEntrySettings(text, "f");
    ReadGuardSettings(text, "f");
    ParseSubmission(text, {});
    ParseProfile(text);
    ParseTeam(text);
    deployment_config::Parse(text);
  }
}

} // namespace cactusmast::testing
