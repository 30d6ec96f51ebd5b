#include "documentdiff.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <optional>
#include <sstream>

namespace medlarkeel {

namespace {

using Changes = std::vector<DocumentChange>;

/** A value of an item that is shown when it changes. */
template<typename Item>
struct Field
{
  const char* mName;
  std::string (*mText)(const Item& aItem);
};

std::string
Text(const std::optional<Milliseconds>& aDuration)
{
  return aDuration ? std::to_string(aDuration->count()) + " ms" : "none";
}

std::string
Text(double aNumber)
{
  std::ostringstream stream;
  stream << aNumber;
  return stream.str();
}

std::string
Text(bool aFlag)
{
  return aFlag ? "true" : "false";
}

template<typename Name>
std::string
Text(const std::vector<Name>& aNames)
{
  std::string text;
  for (const Name& name : aNames) {
    text += (text.empty() ? "" : ", ") + name.Text();
  }
  return text.empty() ? "none" : text;
}

const Field<ZoneEntry> kZoneFields[] = {
  { "region", [](const ZoneEntry& aZone) { return aZone.mRegion.Text(); } },
  { "state",
    [](const ZoneEntry& aZone) {
      return std::string(aZone.mState == ZoneState::In ? "in" : "out");
    } },
};

const Field<ServiceClass> kClassFields[] = {
  { "tier",
    [](const ServiceClass& aClass) {
      return std::to_string(aClass.mTier.mValue);
    } },
  { "firstByteTargetMs",
    [](const ServiceClass& aClass) { return Text(aClass.mFirstByteTarget); } },
  { "completionTargetMs",
    [](const ServiceClass& aClass) { return Text(aClass.mCompletionTarget); } },
  { "tokenGapTargetMs",
    [](const ServiceClass& aClass) { return Text(aClass.mTokenGapTarget); } },
  { "attainment",
    [](const ServiceClass& aClass) { return Text(aClass.mAttainment); } },
  { "deadlineMs",
    [](const ServiceClass& aClass) { return Text(aClass.mDeadline); } },
  { "floorShare",
    [](const ServiceClass& aClass) { return Text(aClass.mFloorShare); } },
};

const Field<Pool> kPoolFields[] = {
  { "kind",
    [](const Pool& aPool) {
      return std::string(aPool.mKind == PoolKind::Model ? "model" : "service");
    } },
  { "version", [](const Pool& aPool) { return aPool.mVersion; } },
  { "adapters", [](const Pool& aPool) { return Text(aPool.mAdapters); } },
  { "concurrency",
    [](const Pool& aPool) { return std::to_string(aPool.mConcurrency); } },
  { "coldStartConcurrency",
    [](const Pool& aPool) {
      return std::to_string(aPool.mColdStartConcurrency);
    } },
  { "coldStartMs",
    [](const Pool& aPool) {
      return std::to_string(aPool.mColdStartTime.count());
    } },
  { "repeatWindowMs",
    [](const Pool& aPool) {
      return std::to_string(aPool.mRepeatWindow.count());
    } },
  { "queueLimit",
    [](const Pool& aPool) { return std::to_string(aPool.mQueueLimit); } },
  { "honoursFencing",
    [](const Pool& aPool) { return Text(aPool.mHonoursFencing); } },
};

const Field<Team> kTeamFields[] = {
  { "rate", [](const Team& aTeam) { return Text(aTeam.mRate); } },
  { "burst", [](const Team& aTeam) { return Text(aTeam.mBurst); } },
  { "classes",
    [](const Team& aTeam) {
      return aTeam.mClasses.empty() ? "all" : Text(aTeam.mClasses);
    } },
};

const Field<Route> kRouteFields[] = {
  { "open", [](const Route& aRoute) { return Text(aRoute.mOpen); } },
  { "repeatable",
    [](const Route& aRoute) { return Text(aRoute.mRepeatable); } },
};

/** A key with the team that it lets in. */
struct TeamKey
{
  TeamName mTeam;
  KeyEntry mKey;
};

const Field<TeamKey> kKeyFields[] = {
  { "team", [](const TeamKey& aKey) { return aKey.mTeam.Text(); } },
};

template<typename Item>
using Named = std::map<std::string, const Item*>;

template<typename Item>
Named<Item>
ByName(const std::vector<Item>& aItems)
{
  Named<Item> named;
  for (const Item& item : aItems) {
    named.emplace(item.mName.Text(), &item);
  }
  return named;
}

Named<Route>
RoutesByName(const std::vector<Route>& aRoutes)
{
  Named<Route> named;
  for (const Route& route : aRoutes) {
    named.emplace(route.mMethod + " " + route.mPath + " to " +
                    route.mPool.Text() + " as " + route.mClass.Text(),
                  &route);
  }
  return named;
}

std::vector<TeamKey>
KeysOf(const EnvironmentDocument& aDocument)
{
  std::vector<TeamKey> keys;
  for (const Team& team : aDocument.mTeams) {
    for (const KeyEntry& key : team.mKeys) {
      keys.push_back({ team.mName, key });
    }
  }
  return keys;
}

Named<TeamKey>
KeysById(const std::vector<TeamKey>& aKeys)
{
  Named<TeamKey> named;
  for (const TeamKey& key : aKeys) {
    named.emplace(key.mKey.mId.Text(), &key);
  }
  return named;
}

std::string
Title(std::string aKind, const std::string& aName)
{
  aKind += " ";
  return aKind += aName;
}

/** Adds what differs between items of one kind. */
template<typename Item, std::size_t Count>
void
DiffItems(const std::string& aKind,
          const Named<Item>& aOld,
          const Named<Item>& aNew,
          const Field<Item> (&aFields)[Count],
          Changes& aChanges)
{
  for (const auto& [name, item] : aOld) {
    const std::string title = Title(aKind, name);
    const auto after = aNew.find(name);
    if (after == aNew.end()) {
      aChanges.push_back({ ChangeKind::Removed, title });
      continue;
    }
    for (const Field<Item>& field : aFields) {
      const std::string before = field.mText(*item);
      const std::string now = field.mText(*after->second);
      if (before != now) {
        std::ostringstream text;
        text << title << ": " << field.mName << " from " << before << " to "
             << now;
        aChanges.push_back({ ChangeKind::Changed, text.str() });
      }
    }
  }
  for (const auto& [name, item] : aNew) {
    if (aOld.count(name) == 0) {
      aChanges.push_back({ ChangeKind::Added, Title(aKind, name) });
    }
  }
}

void
Warn(bool aCondition, const std::string& aText, Changes& aChanges)
{
  if (aCondition) {
    aChanges.push_back({ ChangeKind::Warning, aText });
  }
}

void
WarnOfDocument(const EnvironmentDocument& aOld,
               const EnvironmentDocument& aNew,
               Changes& aChanges)
{
  Warn(aNew.mVersion <= aOld.mVersion,
       "version " + std::to_string(aNew.mVersion) + " is not above " +
         std::to_string(aOld.mVersion) + ": nodes will not take the document",
       aChanges);
  Warn(aNew.mEnvironment != aOld.mEnvironment,
       "the documents are of different environments",
       aChanges);
  const bool anyIn = std::any_of(
    aNew.mZones.begin(), aNew.mZones.end(), [](const ZoneEntry& aZone) {
      return aZone.mState == ZoneState::In;
    });
  Warn(!anyIn, "no zone is in service: nothing will be served", aChanges);
}

void
WarnOfKeys(const Named<TeamKey>& aOld,
           const Named<TeamKey>& aNew,
           Changes& aChanges)
{
  for (const auto& [id, key] : aOld) {
    const auto after = aNew.find(id);
    Warn(after != aNew.end() &&
           after->second->mKey.mSecretHash != key->mKey.mSecretHash,
         "key " + id +
           " gets a new secret: agents can't tell it from the old "
           "key, use a new id",
         aChanges);
  }
}

void
WarnOfRoutes(const Named<Route>& aOld,
             const Named<Route>& aNew,
             Changes& aChanges)
{
  for (const auto& [name, route] : aOld) {
    const auto after = aNew.find(name);
    if (after == aNew.end()) {
      continue;
    }
    Warn(!route->mRepeatable && after->second->mRepeatable,
         "route " + name + " becomes repeatable: calls may run twice",
         aChanges);
    Warn(!route->mOpen && after->second->mOpen,
         "route " + name + " opens to callers without a key",
         aChanges);
  }
}

} // namespace

Changes
DiffDocuments(const EnvironmentDocument& aOld, const EnvironmentDocument& aNew)
{
  const std::vector<TeamKey> oldKeys = KeysOf(aOld);
  const std::vector<TeamKey> newKeys = KeysOf(aNew);
  const Named<TeamKey> oldById = KeysById(oldKeys);
  const Named<TeamKey> newById = KeysById(newKeys);
  const Named<Route> oldRoutes = RoutesByName(aOld.mRoutes);
  const Named<Route> newRoutes = RoutesByName(aNew.mRoutes);
  Changes changes;
  WarnOfDocument(aOld, aNew, changes);
  WarnOfKeys(oldById, newById, changes);
  WarnOfRoutes(oldRoutes, newRoutes, changes);

  static const Field<EnvironmentDocument> kDocumentFields[] = {
    { "openRate",
      [](const EnvironmentDocument& aItem) { return Text(aItem.mOpenRate); } },
    { "openBurst",
      [](const EnvironmentDocument& aItem) { return Text(aItem.mOpenBurst); } },
    { "weightStoreRate",
      [](const EnvironmentDocument& aItem) {
        return Text(aItem.mWeightStoreRate);
      } },
    { "weightStoreBurst",
      [](const EnvironmentDocument& aItem) {
        return Text(aItem.mWeightStoreBurst);
      } },
    { "withdrawnStreams",
      [](const EnvironmentDocument& aItem) {
        return std::string(
          aItem.mWithdrawnStreams == WithdrawnStreams::Cut ? "cut" : "finish");
      } },
  };
  DiffItems<EnvironmentDocument>("all",
                                 { { "callers", &aOld } },
                                 { { "callers", &aNew } },
                                 kDocumentFields,
                                 changes);
  DiffItems<ZoneEntry>(
    "zone", ByName(aOld.mZones), ByName(aNew.mZones), kZoneFields, changes);
  DiffItems<ServiceClass>("class",
                          ByName(aOld.mClasses),
                          ByName(aNew.mClasses),
                          kClassFields,
                          changes);
  DiffItems<Pool>(
    "pool", ByName(aOld.mPools), ByName(aNew.mPools), kPoolFields, changes);
  DiffItems<Team>(
    "team", ByName(aOld.mTeams), ByName(aNew.mTeams), kTeamFields, changes);
  DiffItems<TeamKey>("key", oldById, newById, kKeyFields, changes);
  DiffItems<Route>("route", oldRoutes, newRoutes, kRouteFields, changes);
  return changes;
}

} // namespace medlarkeel
