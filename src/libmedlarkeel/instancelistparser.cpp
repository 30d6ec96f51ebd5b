#include "instancelistparser.h"

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
    const json document = json::parse(aText);
    InstanceList list;
    list.mRevision = document.at("revision").get<std::uint64_t>();
    for (const json& instance : document.at("instances")) {
      list.mInstances.push_back(ParseRecord(instance));
    }
    return list;
  } catch (const json::exception& problem) {
    return InstanceListError{ problem.what() };
  }
}

} // namespace medlarkeel
