#include "instancelistparser.h"

#include "jsonbytes.h"

#include <nlohmann/json.hpp>

namespace medlarkeel {

namespace {

using nlohmann::json;

std::string
TextOf(const json& aObject, const char* aField)
{
  return aObject.value(aField, std::string());
}

InstanceRecord
ParseRecord(const json& aObject)
{
  InstanceRecord record;
  record.mId = InstanceId(aObject.at("id").get<std::string>());
  record.mRole =
    aObject.at("role") == "agent" ? InstanceRole::Agent : InstanceRole::Entry;
  record.mState = TextOf(aObject, "state") == "leaving" ? InstanceState::Leaving
                                                        : InstanceState::Live;
  record.mZone = ZoneName(aObject.at("zone").get<std::string>());
  record.mRegion = RegionName(aObject.at("region").get<std::string>());
  record.mAddress = aObject.at("address").get<std::string>();
  record.mPool = PoolName(TextOf(aObject, "pool"));
  return record;
}

} // namespace

InstanceListResult<InstanceList>
ParseInstanceList(std::string_view aText)
{
  try {
    json document = json::parse(aText, nullptr, false);
    const bool isEscaped = document.is_discarded();
    if (isEscaped) {
      document = json::parse(EscapeInvalidBytes(aText));
    }
    InstanceList list;
    list.mRevision = document.at("revision").get<std::uint64_t>();
    std::string problem;
    for (const json& instance : document.at("instances")) {
      try {
        const std::string text = isEscaped ? instance.dump() : std::string();
        if (RestoreBytes(text) != text) {
          throw std::invalid_argument("an instance isn't UTF-8 text");
        }
        list.mInstances.push_back(ParseRecord(instance));
      } catch (const std::exception& error) {
        list.mUnusable += 1;
        problem = error.what();
      }
    }
    if (list.mInstances.empty() && list.mUnusable > 0) {
      return InstanceListError{ problem };
    }
    return list;
  } catch (const json::exception& problem) {
    return InstanceListError{ problem.what() };
  }
}

} // namespace medlarkeel
