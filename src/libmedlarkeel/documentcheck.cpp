#include "documentcheck.h"

#include <string>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace medlarkeel {

namespace {

std::string
Place(const char* aList, std::size_t aIndex, const char* aKey)
{
  return std::string("$.") + aList + "[" + std::to_string(aIndex) + "]" + aKey;
}

std::string
Quoted(const std::string& aText)
{
  return "\"" + aText + "\"";
}

/** Names of one kind, with the index of the item that bears each first. */
template<typename Name>
using Index = std::unordered_map<Name, std::size_t>;

/** Indexes the items by name and reports names that come twice; an empty name
 * is the sign of a mistake that is already reported. */
template<typename Item>
auto
IndexByName(const std::vector<Item>& aItems,
            const char* aList,
            ProblemList& aProblems)
{
  Index<decltype(Item::mName)> index;
  for (std::size_t position = 0; position < aItems.size(); ++position) {
    const auto& name = aItems[position].mName;
    if (!name.IsEmpty() && !index.emplace(name, position).second) {
      aProblems.Add(Place(aList, position, ".name"),
                    "a name that no other item bears",
                    Quoted(name.Text()) + " a second time");
    }
  }
  return index;
}

void
RequireItems(std::size_t aCount, const char* aList, ProblemList& aProblems)
{
  if (aCount == 0) {
    aProblems.Add(std::string("$.") + aList, "at least one item", "none");
  }
}

template<typename Name>
void
RequireKnown(const Index<Name>& aIndex,
             const Name& aName,
             const std::string& aPath,
             const char* aKind,
             ProblemList& aProblems)
{
  if (!aName.IsEmpty() && aIndex.count(aName) == 0) {
    aProblems.Add(aPath,
                  std::string("the name of ") + aKind + " of this document",
                  Quoted(aName.Text()));
  }
}

template<typename Name>
void
RequireDistinct(const std::vector<Name>& aNames,
                const std::string& aPath,
                ProblemList& aProblems)
{
  std::unordered_set<Name> seen;
  for (std::size_t position = 0; position < aNames.size(); ++position) {
    const Name& name = aNames[position];
    if (!name.IsEmpty() && !seen.insert(name).second) {
      aProblems.Add(aPath + "[" + std::to_string(position) + "]",
                    "each name once",
                    Quoted(name.Text()) + " a second time");
    }
  }
}

/** Requires the first limit to be no longer than the second. */
void
RequireOrder(const std::optional<Milliseconds>& aShorter,
             const std::optional<Milliseconds>& aLonger,
             const std::string& aPath,
             const char* aLongerKey,
             ProblemList& aProblems)
{
  if (aShorter && aLonger && *aShorter > *aLonger) {
    aProblems.Add(aPath,
                  std::string("at most ") + aLongerKey + ", " +
                    std::to_string(aLonger->count()) + " milliseconds",
                  std::to_string(aShorter->count()));
  }
}

void
CheckClasses(const std::vector<ServiceClass>& aClasses, ProblemList& aProblems)
{
  double floorSum = 0.0;
  for (std::size_t position = 0; position < aClasses.size(); ++position) {
    const ServiceClass& item = aClasses[position];
    floorSum += item.mFloorShare;
    const std::string firstByte =
      Place("classes", position, ".firstByteTargetMs");
    const std::string completion =
      Place("classes", position, ".completionTargetMs");
    RequireOrder(item.mFirstByteTarget,
                 item.mCompletionTarget,
                 firstByte,
                 "completionTargetMs",
                 aProblems);
    RequireOrder(item.mFirstByteTarget,
                 item.mDeadline,
                 firstByte,
                 "deadlineMs",
                 aProblems);
    RequireOrder(item.mCompletionTarget,
                 item.mDeadline,
                 completion,
                 "deadlineMs",
                 aProblems);
  }
  if (floorSum >= 1.0) {
    aProblems.Add("$.classes",
                  "floor shares that add up to less than 1",
                  std::to_string(floorSum));
  }
}

void
CheckPools(const std::vector<Pool>& aPools, ProblemList& aProblems)
{
  for (std::size_t position = 0; position < aPools.size(); ++position) {
    const Pool& pool = aPools[position];
    if (pool.mColdStartConcurrency > pool.mConcurrency) {
      aProblems.Add(Place("pools", position, ".coldStartConcurrency"),
                    "at most concurrency, " +
                      std::to_string(pool.mConcurrency) + " requests",
                    std::to_string(pool.mColdStartConcurrency));
    }
    if (pool.mKind == PoolKind::Service && !pool.mAdapters.empty()) {
      aProblems.Add(Place("pools", position, ".adapters"),
                    "no adapters in a pool of kind \"service\"",
                    std::to_string(pool.mAdapters.size()) + " adapters");
    }
    RequireDistinct(
      pool.mAdapters, Place("pools", position, ".adapters"), aProblems);
  }
}

void
CheckTeams(const std::vector<Team>& aTeams,
           const Index<ClassName>& aClasses,
           ProblemList& aProblems)
{
  std::unordered_set<KeyId> keyIds;
  for (std::size_t position = 0; position < aTeams.size(); ++position) {
    const Team& team = aTeams[position];
    const std::string classes = Place("teams", position, ".classes");
    RequireDistinct(team.mClasses, classes, aProblems);
    for (std::size_t item = 0; item < team.mClasses.size(); ++item) {
      RequireKnown(aClasses,
                   team.mClasses[item],
                   classes + "[" + std::to_string(item) + "]",
                   "a class",
                   aProblems);
    }
    for (std::size_t item = 0; item < team.mKeys.size(); ++item) {
      const KeyId& id = team.mKeys[item].mId;
      if (!id.IsEmpty() && !keyIds.insert(id).second) {
        aProblems.Add(Place("teams", position, ".keys[") +
                        std::to_string(item) + "].id",
                      "a key id that no other key of any team bears",
                      Quoted(id.Text()) + " a second time");
      }
    }
  }
}

/** Checks routes against each other: which of them a request means must never
 * depend on their order. */
class RouteChecker
{
public:
  RouteChecker(const EnvironmentDocument& aDocument,
               const Index<PoolName>& aPools,
               ProblemList& aProblems)
    : mDocument(aDocument)
    , mPools(aPools)
    , mProblems(aProblems)
  {
  }

  void Check(std::size_t aPosition)
  {
    const Route& route = mDocument.mRoutes[aPosition];
    const auto pool = mPools.find(route.mPool);
    if (route.mMethod.empty() || route.mPath.empty() || pool == mPools.end()) {
      return;
    }
    CheckOnce(route, aPosition);
    CheckRepeatable(route, aPosition);
    CheckOnePoolOfServices(route, pool->second, aPosition);
  }

private:
  void CheckOnce(const Route& aRoute, std::size_t aPosition)
  {
    const std::string key = aRoute.mMethod + " " + aRoute.mPath + " " +
                            aRoute.mPool.Text() + " " + aRoute.mClass.Text();
    if (!mSeen.insert(key).second) {
      mProblems.Add(Place("routes", aPosition, ""),
                    "each method, path, pool and class once",
                    Quoted(key) + " a second time");
    }
  }

  /** A class chosen by the caller must not make a call repeatable. */
  void CheckRepeatable(const Route& aRoute, std::size_t aPosition)
  {
    const std::string key =
      aRoute.mMethod + " " + aRoute.mPath + " " + aRoute.mPool.Text();
    const auto [first, isNew] = mRepeatable.emplace(key, aRoute.mRepeatable);
    if (!isNew && first->second != aRoute.mRepeatable) {
      mProblems.Add(Place("routes", aPosition, ".repeatable"),
                    "the same value as in the other routes of " + Quoted(key),
                    aRoute.mRepeatable ? "true" : "false");
    }
  }

  /** The model in the body tells pools of models apart; services have none. */
  void CheckOnePoolOfServices(const Route& aRoute,
                              std::size_t aPool,
                              std::size_t aPosition)
  {
    const std::string key = aRoute.mMethod + " " + aRoute.mPath;
    const auto [first, isNew] = mPoolOfPath.emplace(key, aPool);
    if (isNew || first->second == aPool) {
      return;
    }
    const bool bothModels =
      mDocument.mPools[first->second].mKind == PoolKind::Model &&
      mDocument.mPools[aPool].mKind == PoolKind::Model;
    if (!bothModels) {
      mProblems.Add(Place("routes", aPosition, ".pool"),
                    "one pool for " + Quoted(key) +
                      ", or several of kind \"model\"",
                    Quoted(aRoute.mPool.Text()));
    }
  }

  const EnvironmentDocument& mDocument;
  const Index<PoolName>& mPools;
  ProblemList& mProblems;
  std::unordered_set<std::string> mSeen;
  std::unordered_map<std::string, bool> mRepeatable;
  std::unordered_map<std::string, std::size_t> mPoolOfPath;
};

void
CheckRoutes(const EnvironmentDocument& aDocument,
            const Index<PoolName>& aPools,
            const Index<ClassName>& aClasses,
            ProblemList& aProblems)
{
  RouteChecker checker(aDocument, aPools, aProblems);
  bool anyOpen = false;
  for (std::size_t item = 0; item < aDocument.mRoutes.size(); ++item) {
    const Route& route = aDocument.mRoutes[item];
    anyOpen = anyOpen || route.mOpen;
    RequireKnown(
      aPools, route.mPool, Place("routes", item, ".pool"), "a pool", aProblems);
    RequireKnown(aClasses,
                 route.mClass,
                 Place("routes", item, ".class"),
                 "a class",
                 aProblems);
    checker.Check(item);
  }
  if (anyOpen && aDocument.mOpenRate <= 0.0) {
    aProblems.Add("$.openRate",
                  "above 0 requests per second, as a route is open",
                  std::to_string(aDocument.mOpenRate));
  }
  if (anyOpen && aDocument.mOpenBurst < 1.0) {
    aProblems.Add("$.openBurst",
                  "at least 1 request, as a route is open",
                  std::to_string(aDocument.mOpenBurst));
  }
}

} // namespace

void
CheckReferences(const EnvironmentDocument& aDocument, ProblemList& aProblems)
{
  RequireItems(aDocument.mZones.size(), "zones", aProblems);
  RequireItems(aDocument.mClasses.size(), "classes", aProblems);
  RequireItems(aDocument.mPools.size(), "pools", aProblems);
  RequireItems(aDocument.mRoutes.size(), "routes", aProblems);
  IndexByName(aDocument.mZones, "zones", aProblems);
  const auto classes = IndexByName(aDocument.mClasses, "classes", aProblems);
  const auto pools = IndexByName(aDocument.mPools, "pools", aProblems);
  IndexByName(aDocument.mTeams, "teams", aProblems);
  CheckClasses(aDocument.mClasses, aProblems);
  CheckPools(aDocument.mPools, aProblems);
  CheckTeams(aDocument.mTeams, classes, aProblems);
  CheckRoutes(aDocument, pools, classes, aProblems);
}

} // namespace medlarkeel
