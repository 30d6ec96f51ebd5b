#include "nodestatus.h"

#include <limits>

namespace medlarkeel {

namespace {

using Json = nlohmann::json;

constexpr IntegerRange kCountRange{ 0,
                                    std::numeric_limits<std::int64_t>::max(),
                                    "" };
constexpr IntegerRange kTierRange{ 0, 6, "" };
constexpr NumberRange kShareRange{ 0.0, 1.0, "(share)" };
constexpr std::size_t kMaximumStatusBytes = 16U << 20U;

struct ClassCounterRow
{
  const char* mKey;
  std::uint64_t ClassCounters::*mMember;
};

constexpr ClassCounterRow kClassCounters[] = {
  { "requests", &ClassCounters::mRequests },
  { "metTarget", &ClassCounters::mMetTarget },
  { "tokensUseful", &ClassCounters::mTokensUseful },
  { "tokensWasted", &ClassCounters::mTokensWasted },
};

struct TeamCounterRow
{
  const char* mKey;
  std::uint64_t TeamCounters::*mMember;
};

constexpr TeamCounterRow kTeamCounters[] = {
  { "requests", &TeamCounters::mRequests },
  { "metTarget", &TeamCounters::mMetTarget },
  { "admitted", &TeamCounters::mAdmitted },
  { "refusedForRate", &TeamCounters::mRefusedForRate },
  { "refusedInsideRate", &TeamCounters::mRefusedInsideRate },
};

const std::vector<NamedValue<ZoneState>>&
ZoneStates()
{
  static const std::vector<NamedValue<ZoneState>> sStates{
    { "in", ZoneState::In }, { "out", ZoneState::Out }
  };
  return sStates;
}

Json
DocumentJson(const DocumentStatus& aDocument)
{
  Json value{ { "version", aDocument.mStamp.mVersion },
              { "revision", aDocument.mStamp.mRevision },
              { "hash", aDocument.mStamp.mHash } };
  if (aDocument.mConfirmationAge) {
    value["confirmationAgeMs"] = aDocument.mConfirmationAge->count();
  }
  if (aDocument.mRejectedRevision) {
    value["rejectedRevision"] = *aDocument.mRejectedRevision;
  }
  return value;
}

Json
ClassJson(const ClassStatus& aClass)
{
  Json value{ { "name", aClass.mName.Text() },
              { "tier", aClass.mTier.mValue },
              { "attainment", aClass.mAttainmentTarget },
              { "refused", Json::object() } };
  for (const ClassCounterRow& row : kClassCounters) {
    value[row.mKey] = aClass.mCounters.*row.mMember;
  }
  for (const auto& [reason, count] : aClass.mCounters.mRefused) {
    value["refused"][reason] = count;
  }
  return value;
}

Json
TeamJson(const TeamStatus& aTeam)
{
  Json value{ { "name", aTeam.mName.Text() } };
  for (const TeamCounterRow& row : kTeamCounters) {
    value[row.mKey] = aTeam.mCounters.*row.mMember;
  }
  return value;
}

/** Turns a list into an array, one function for each item. */
template<typename Item>
Json
ArrayJson(const std::vector<Item>& aItems, Json (*aItemJson)(const Item&))
{
  Json array = Json::array();
  for (const Item& item : aItems) {
    array.push_back(aItemJson(item));
  }
  return array;
}

Json
ZoneJson(const ZoneEntry& aZone)
{
  return { { "name", aZone.mName.Text() },
           { "region", aZone.mRegion.Text() },
           { "state", ZoneStateText(aZone.mState) } };
}

Json
ZoneChangeJson(const ZoneChange& aChange)
{
  return { { "zone", aChange.mZone.Text() },
           { "state", ZoneStateText(aChange.mState) },
           { "documentVersion", aChange.mDocumentVersion },
           { "atUnixMs", aChange.mAtUnixMs } };
}

void
ReadDocument(ObjectReader& aParent, DocumentStatus& aOut)
{
  auto reader = aParent.Nested("document", Presence::Required);
  if (!reader) {
    return;
  }
  reader->Number(
    "version", Presence::Required, kCountRange, aOut.mStamp.mVersion);
  reader->Number(
    "revision", Presence::Required, kCountRange, aOut.mStamp.mRevision);
  reader->Text("hash", Presence::Required, TextRule(), aOut.mStamp.mHash);
  reader->Duration("confirmationAgeMs", kCountRange, aOut.mConfirmationAge);
  if (reader->Has("rejectedRevision")) {
    std::uint64_t revision = 0;
    reader->Number(
      "rejectedRevision", Presence::Optional, kCountRange, revision);
    aOut.mRejectedRevision = revision;
  }
}

ClassStatus
ReadClass(ObjectReader& aReader, const Json& aValue)
{
  ClassStatus status;
  aReader.Name("name", Presence::Required, status.mName);
  aReader.Number("tier", Presence::Required, kTierRange, status.mTier.mValue);
  aReader.Number(
    "attainment", Presence::Required, kShareRange, status.mAttainmentTarget);
  for (const ClassCounterRow& row : kClassCounters) {
    aReader.Number(
      row.mKey, Presence::Required, kCountRange, status.mCounters.*row.mMember);
  }
  auto refused = aReader.Nested("refused", Presence::Required);
  if (refused && aReader.Has("refused") && aValue["refused"].is_object()) {
    for (const auto& item : aValue["refused"].items()) {
      refused->Number(item.key().c_str(),
                      Presence::Required,
                      kCountRange,
                      status.mCounters.mRefused[item.key()]);
    }
  }
  return status;
}

TeamStatus
ReadTeam(ObjectReader& aReader, const Json&)
{
  TeamStatus status;
  aReader.Name("name", Presence::Required, status.mName);
  for (const TeamCounterRow& row : kTeamCounters) {
    aReader.Number(
      row.mKey, Presence::Required, kCountRange, status.mCounters.*row.mMember);
  }
  return status;
}

ZoneEntry
ReadZone(ObjectReader& aReader, const Json&)
{
  ZoneEntry zone;
  aReader.Name("name", Presence::Required, zone.mName);
  aReader.Name("region", Presence::Required, zone.mRegion);
  aReader.Choose<ZoneState>(
    "state", Presence::Required, ZoneStates(), zone.mState);
  return zone;
}

ZoneChange
ReadZoneChange(ObjectReader& aReader, const Json&)
{
  ZoneChange change;
  aReader.Name("zone", Presence::Required, change.mZone);
  aReader.Choose<ZoneState>(
    "state", Presence::Required, ZoneStates(), change.mState);
  aReader.Number("documentVersion",
                 Presence::Optional,
                 kCountRange,
                 change.mDocumentVersion);
  aReader.Number("atUnixMs", Presence::Required, kCountRange, change.mAtUnixMs);
  return change;
}

template<typename Item>
void
ReadItems(ObjectReader& aReader,
          const char* aKey,
          Item (*aRead)(ObjectReader&, const Json&),
          ProblemList& aProblems,
          std::vector<Item>& aOut)
{
  aReader.Items(aKey, Presence::Required, [&](const Json& aItem, auto& aPath) {
    ObjectReader item(aItem, aPath, aProblems);
    aOut.push_back(aRead(item, aItem));
  });
}

} // namespace

void
Merge(ClassCounters& aInto, const ClassCounters& aFrom)
{
  for (const ClassCounterRow& row : kClassCounters) {
    aInto.*row.mMember += aFrom.*row.mMember;
  }
  for (const auto& [reason, count] : aFrom.mRefused) {
    aInto.mRefused[reason] += count;
  }
}

void
Merge(TeamCounters& aInto, const TeamCounters& aFrom)
{
  for (const TeamCounterRow& row : kTeamCounters) {
    aInto.*row.mMember += aFrom.*row.mMember;
  }
}

const char*
ZoneStateText(ZoneState aState)
{
  return aState == ZoneState::In ? "in" : "out";
}

const char*
RoleText(InstanceRole aRole)
{
  return aRole == InstanceRole::Entry ? "entry" : "agent";
}

std::string
NodeStatusText(const NodeStatus& aStatus)
{
  const Json value{
    { "instanceId", aStatus.mId.Text() },
    { "role", RoleText(aStatus.mRole) },
    { "zone", aStatus.mZone.Text() },
    { "region", aStatus.mRegion.Text() },
    { "incarnation", aStatus.mIncarnation.mValue },
    { "uptimeMs", aStatus.mUptime.count() },
    { "document", DocumentJson(aStatus.mDocument) },
    { "zones", ArrayJson(aStatus.mZones, ZoneJson) },
    { "classes", ArrayJson(aStatus.mClasses, ClassJson) },
    { "teams", ArrayJson(aStatus.mTeams, TeamJson) },
    { "zoneChanges", ArrayJson(aStatus.mZoneChanges, ZoneChangeJson) },
  };
  return value.dump(2);
}

NodeStatusResult
ParseNodeStatus(std::string_view aText)
{
  ProblemList problems;
  JsonLimits limits;
  limits.mBytes = kMaximumStatusBytes;
  const auto value = ParseJson(aText, limits, problems);
  if (!value) {
    return problems.Take();
  }
  NodeStatus status;
  ObjectReader reader(*value, "$", problems);
  reader.Name("instanceId", Presence::Required, status.mId);
  reader.Choose<InstanceRole>(
    "role",
    Presence::Required,
    { { "entry", InstanceRole::Entry }, { "agent", InstanceRole::Agent } },
    status.mRole);
  reader.Name("zone", Presence::Required, status.mZone);
  reader.Name("region", Presence::Required, status.mRegion);
  reader.Number(
    "incarnation", Presence::Required, kCountRange, status.mIncarnation.mValue);
  reader.Duration("uptimeMs", Presence::Required, kCountRange, status.mUptime);
  ReadDocument(reader, status.mDocument);
  ReadItems(reader, "zones", ReadZone, problems, status.mZones);
  ReadItems(reader, "classes", ReadClass, problems, status.mClasses);
  ReadItems(reader, "teams", ReadTeam, problems, status.mTeams);
  ReadItems(
    reader, "zoneChanges", ReadZoneChange, problems, status.mZoneChanges);
  if (!problems.IsEmpty()) {
    return problems.Take();
  }
  return status;
}

} // namespace medlarkeel
