#pragma once

#include "documentparser.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace medlarkeel {

/** One mistake put into a valid JSON value, and where it is reported. */
struct Mistake
{
  const char* mPointer;
  /** The wrong value as JSON text; empty takes the value away. */
  const char* mValue;
  const char* mPath;
};

/** Puts the mistake into the value. */
inline void
Put(const Mistake& aMistake, nlohmann::json& aValue)
{
  const nlohmann::json::json_pointer pointer(aMistake.mPointer);
  if (*aMistake.mValue == '\0') {
    aValue[pointer.parent_pointer()].erase(pointer.back());
    return;
  }
  aValue[pointer] = nlohmann::json::parse(aMistake.mValue);
}

/** @return A small valid document; tests change it at one place. */
inline nlohmann::json
SmallDocument()
{
  // The hash is that of the salt "salt-one" and the secret "s3cret1".
  return nlohmann::json::parse(R"({
    "version": 7, "environment": "pregonero",
    "zones": [{"name": "xela-a", "region": "gt-occidente", "state": "in"},
              {"name": "xela-b", "region": "gt-occidente", "state": "out"}],
    "classes": [
      {"name": "confirmation", "tier": 0, "completionTargetMs": 800,
       "attainment": 0.99, "deadlineMs": 5000},
      {"name": "draft", "tier": 2, "firstByteTargetMs": 1700,
       "tokenGapTargetMs": 53, "attainment": 0.95},
      {"name": "bulk", "tier": 6, "attainment": 0.5, "floorShare": 0.05}],
    "pools": [
      {"name": "proclamation", "kind": "model", "version": "v3",
       "adapters": ["festival"], "concurrency": 16, "coldStartConcurrency": 2,
       "queueLimit": 64, "honoursFencing": true},
      {"name": "bookings", "kind": "service", "concurrency": 32,
       "coldStartConcurrency": 4, "queueLimit": 64, "honoursFencing": false}],
    "teams": [
      {"name": "market", "rate": 50, "burst": 100, "keys": [
        {"id": "alfa1", "salt": "salt-one", "secretHash":
         "95825cac96e81e6dd09eb1c6bfbce24cb9275fdd772a81edc342adef8546991d"}]},
      {"name": "families", "rate": 5.5, "burst": 10, "keys": [],
       "classes": ["draft", "confirmation"]}],
    "routes": [
      {"method": "POST", "path": "/v1/chat/completions",
       "pool": "proclamation", "class": "draft", "open": false,
       "repeatable": true},
      {"method": "POST", "path": "/v1/chat/completions",
       "pool": "proclamation", "class": "bulk", "open": false,
       "repeatable": true},
      {"method": "POST", "path": "/s/bookings/confirmations",
       "pool": "bookings", "class": "confirmation", "open": false,
       "repeatable": false},
      {"method": "GET", "path": "/s/bookings/*", "pool": "bookings",
       "class": "draft", "open": true, "repeatable": true}],
    "openRate": 20, "openBurst": 40, "withdrawnStreams": "cut"})");
}

/** @return The document that the JSON value holds; it must be valid. */
inline EnvironmentDocument
ValidDocument(const nlohmann::json& aValue)
{
  return ParseEnvironmentDocument(aValue.dump()).value();
}

/** @return The path of each problem of a text, in order. */
inline std::vector<std::string>
ProblemPaths(const std::string& aText)
{
  std::vector<std::string> paths;
  const DocumentResult result = ParseEnvironmentDocument(aText);
  if (result.has_error()) {
    for (const DocumentProblem& problem : result.error()) {
      paths.push_back(problem.mPath);
    }
  }
  return paths;
}

} // namespace medlarkeel
