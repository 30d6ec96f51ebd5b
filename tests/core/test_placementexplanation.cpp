#include "forwarding/placementexplanation.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <functional>
#include <map>

namespace medlarkeel {

namespace {

const Timestamp kStart{ Seconds(1000) };
const PoolName kPool("model");

int
Draw(int aEnd)
{
  return *rc::gen::inRange(0, aEnd);
}

/** A list of servers of one pool, of which some can't be chosen. */
BackendList
AnyList()
{
  BackendList list;
  const int size = 1 + Draw(9);
  for (int i = 0; i < size; ++i) {
    BackendEntry entry;
    entry.mId = InstanceId("server-" + std::to_string(i));
    entry.mPool = kPool;
    entry.mZone = ZoneName("zone-" + std::to_string(i % 3));
    entry.mSlots = static_cast<std::uint32_t>(8 * Draw(3));
    entry.mColdRemaining = Milliseconds(Draw(4) == 0 ? 2000 : 0);
    entry.mIsDraining = Draw(8) == 0;
    list.Put(entry, kStart);
  }
  if (Draw(4) == 0) {
    list.SetEvacuated(ZoneName("zone-2"), true, {}, kStart);
  }
  return list;
}

std::optional<PromptDescription>
AnyPrompt()
{
  if (Draw(4) == 0) {
    return std::nullopt;
  }
  PromptDescription prompt;
  const std::uint64_t part = static_cast<std::uint64_t>(Draw(5)) + 1;
  const auto shared = static_cast<std::uint32_t>(Draw(20'000));
  const auto own = static_cast<std::uint32_t>(Draw(3000));
  prompt.mParts = { { part, shared }, { 1000 + part, own } };
  prompt.mPromptTokens = shared + own;
  return prompt;
}

/** An entry whose state is the product of the calls that it gets. */
struct Entry
{
  Entry() { mChooser.SetLimits(&mLimits); }

  std::optional<BackendChoice> Choose(
    const std::optional<PromptDescription>& aPrompt,
    const PoolPlacement& aPlacement,
    Timestamp aNow)
  {
    return mChooser.Choose(
      mList.Usable(kPool, aNow), aPrompt, {}, ColdLimit, aNow, aPlacement);
  }

  CandidateEvaluation Evaluate(const std::optional<PromptDescription>& aPrompt,
                               const PoolPlacement& aPlacement,
                               Timestamp aNow) const
  {
    return mChooser.Evaluate(
      mList.InPool(kPool, aNow), aPrompt, {}, ColdLimit, aNow, aPlacement);
  }

  static std::size_t ColdLimit(const InstanceId& /*aServer*/) { return 1; }

  BackendList mList;
  ServerLimits mLimits;
  BackendChooser mChooser{ BackendChooserSettings(), ZoneName("zone-0"), 1 };
};

/** Something that changes the state of entries, drawn once for all of them. */
std::function<void(Entry&)>
AnyIncident(const InstanceId& aServer, Timestamp aNow)
{
  const int kind = Draw(6);
  const ProcessHash process =
    static_cast<std::uint64_t>(Draw(10)); // Mostly not that of a server.
  return [=](Entry& aEntry) {
    const ListedBackend* listed = aEntry.mList.Find(aServer);
    const ProcessHash hash = listed != nullptr ? listed->mProcessHash : process;
    if (kind == 0) {
      aEntry.mChooser.RecordUnreachable(aServer, aNow);
    } else if (kind == 1) {
      aEntry.mChooser.RecordNotBefore(hash, aNow + Milliseconds(300), aNow);
    } else if (kind == 2) {
      aEntry.mLimits.RecordStated(hash, { 5.0 }, aNow);
      aEntry.mLimits.RecordDenied(hash, aNow + Milliseconds(300));
    } else if (kind == 3) {
      EntryLoad load;
      load.mServers[ServerHash(aServer)] = { 9, 30'000 };
      load.mDemand = { 9000.0, 40'000.0 };
      aEntry.mChooser.SetPeerLoad(load);
    } else if (kind == 4) {
      std::vector<SentPart> sent;
      for (std::uint32_t part = 1; part <= 5; ++part) {
        sent.push_back({ ServerHash(aServer), part });
      }
      aEntry.mChooser.RecordPeerSentParts(sent, aNow);
    }
  };
}

ForwardingDocument
TwoHosts()
{
  ForwardingDocument document;
  for (const char* host : { "one", "two" }) {
    ForwardRoute route;
    route.mHost = host;
    route.mPathPrefix = "/chat/";
    route.mPools = { { PoolName("unknown"), 9 },
                     { PoolName("small"), 1 },
                     { kPool, 3 } };
    document.mRoutes.push_back(route);
  }
  document.mPools[kPool].mName = kPool;
  document.mPools[PoolName("small")].mName = PoolName("small");
  document.mTeams = { { TeamName("team"), TierRank{ 1 } } };
  return document;
}

} // namespace

BOOST_AUTO_TEST_SUITE(placementexplanation)

// Guards against explanations that name another server than the one that is
// then chosen, and against ones that change later choices: of two entries with
// the same history, one is asked for explanations.
RC_BOOST_PROP(ExplainedServerIsChosenAndNothingChanges, ())
{
  Entry asked;
  asked.mList = AnyList();
  Entry other;
  other.mList = asked.mList;
  const PoolPlacement placement{ Draw(2) == 0 ? ServerCostKind::FixedWeights
                                              : ServerCostKind::ExpectedDelay,
                                 400'000 };
  for (int i = 0; i < 25; ++i) {
    const Timestamp now = kStart + Milliseconds(150 * i);
    const auto incident =
      AnyIncident(InstanceId("server-" + std::to_string(Draw(10))), now);
    incident(asked);
    incident(other);
    const auto prompt = AnyPrompt();
    const CandidateEvaluation evaluation =
      asked.Evaluate(prompt, placement, now);
    if (Draw(3) == 0) {
      continue; // The next request finds what the explanation has left.
    }
    const auto choice = asked.Choose(prompt, placement, now);
    const auto otherChoice = other.Choose(prompt, placement, now);
    RC_ASSERT(choice.has_value() == otherChoice.has_value());
    RC_ASSERT(choice.has_value() == (evaluation.mCandidates > 0));
    if (!choice) {
      continue;
    }
    RC_ASSERT(choice->mId == otherChoice->mId);
    RC_ASSERT(choice->mCost == otherChoice->mCost);
    const EvaluatedServer* chosen = evaluation.Chosen();
    RC_ASSERT((chosen != nullptr) == prompt.has_value());
    if (chosen != nullptr) {
      RC_ASSERT(chosen->mServer.mListed->mEntry.mId == choice->mId);
      RC_ASSERT(chosen->mCost.Sum() == choice->mCost);
    }
    asked.mChooser.RecordStarted(*choice, prompt, now);
    other.mChooser.RecordStarted(*otherChoice, prompt, now);
    if (Draw(2) == 0) {
      asked.mChooser.RecordEnded(*choice, false);
      other.mChooser.RecordEnded(*otherChoice, false);
    }
  }
}

// Guards against explanations that create records of servers: parts that peers
// report are recorded only for servers that this entry has a record of.
BOOST_AUTO_TEST_CASE(ExplanationCreatesNoRecords)
{
  constexpr int kServers = 8;
  PromptDescription prompt;
  prompt.mParts = { { 2, 20'000 }, { 99, 100 } };
  prompt.mPromptTokens = 20'100;
  for (int reported = 0; reported < kServers; ++reported) {
    Entry asked;
    for (int i = 0; i < kServers; ++i) {
      BackendEntry listed;
      listed.mId = InstanceId("server-" + std::to_string(i));
      listed.mPool = kPool;
      asked.mList.Put(listed, kStart);
    }
    Entry other;
    other.mList = asked.mList;
    asked.Evaluate(prompt, PoolPlacement(), kStart);
    const SentPart part{
      ServerHash(InstanceId("server-" + std::to_string(reported))), 2
    };
    std::vector<double> costs;
    for (Entry* entry : { &asked, &other }) {
      entry->mChooser.RecordPeerSentParts({ part }, kStart);
      costs.push_back(entry->Choose(prompt, PoolPlacement(), kStart)->mCost);
    }
    BOOST_TEST(costs[0] == costs[1]);
  }
}

// Guards against servers that can't be chosen without a reason, and against
// such servers having an effect on the others.
BOOST_AUTO_TEST_CASE(ReasonsOfServersThatCannotBeChosen)
{
  Entry entry;
  const std::vector<std::string> names{ "ready",   "avoided", "draining",
                                        "leaving", "out",     "paused",
                                        "denied" };
  for (const std::string& name : names) {
    BackendEntry listed;
    listed.mId = InstanceId(name);
    listed.mPool = kPool;
    listed.mZone = ZoneName(name == "out" ? "zone-1" : "zone-0");
    listed.mIsDraining = name == "draining";
    entry.mList.Put(listed, kStart);
  }
  const auto process = [&](const char* aName) {
    return entry.mList.Find(InstanceId(aName))->mProcessHash;
  };
  entry.mList.SetEvacuated(ZoneName("zone-1"), true, {}, kStart);
  entry.mList.RecordShuttingDown(process("leaving"));
  entry.mChooser.RecordUnreachable(InstanceId("avoided"), kStart);
  entry.mChooser.RecordNotBefore(
    process("paused"), kStart + Seconds(1), kStart);
  entry.mLimits.RecordStated(process("denied"), { 5.0 }, kStart);
  entry.mLimits.RecordDenied(process("denied"), kStart + Seconds(1));
  const auto evaluation =
    entry.Evaluate(PromptDescription(), PoolPlacement(), kStart);
  const std::map<std::string, ServerExclusion> expected{
    { "avoided", ServerExclusion::Avoided },
    { "draining", ServerExclusion::Draining },
    { "leaving", ServerExclusion::Leaving },
    { "out", ServerExclusion::ZoneOut },
    { "paused", ServerExclusion::NoRequestsAsked },
    { "denied", ServerExclusion::PermitDenied }
  };
  BOOST_REQUIRE(evaluation.mServers.size() == names.size());
  BOOST_TEST(evaluation.mCandidates == 1U);
  BOOST_TEST(evaluation.mPoolLoad.mServers == 3U);
  for (const EvaluatedServer& server : evaluation.mServers) {
    const auto found = expected.find(server.mServer.mListed->mEntry.mId.Text());
    BOOST_CHECK(
      server.mServer.mExclusion ==
      (found == expected.end() ? std::nullopt : std::optional(found->second)));
  }
}

// Guards against queries that are answered for another route, team or pool.
BOOST_AUTO_TEST_CASE(RouteTeamAndPoolOfAQuery)
{
  const ForwardingDocument document = TwoHosts();
  PlacementQuery query;
  query.mPath = "/chat/a?b=c";
  BOOST_CHECK(!FindPlacementTarget(document, query));
  query.mHost = "two:80";
  query.mTeam = TeamName("team");
  const auto target = FindPlacementTarget(document, query);
  BOOST_REQUIRE(target.has_value());
  BOOST_TEST(target.value().mRoute == &document.mRoutes[1]);
  BOOST_TEST(target.value().mPool->mName == kPool);
  BOOST_TEST(target.value().mTeam == &document.mTeams[0]);
  query.mTeam = TeamName("other");
  BOOST_TEST(FindPlacementTarget(document, query).error().mIsInvalidQuery);
  query.mTeam.reset();
  query.mPath = "/other/";
  BOOST_TEST(FindPlacementTarget(document, query).error().mIsInvalidQuery);
}

// Guards against explanations of requests that are all refused.
BOOST_AUTO_TEST_CASE(UnusableRouteOrTeamIsNotExplained)
{
  ForwardingDocument document = TwoHosts();
  document.mTeams.push_back({ TeamName(), std::nullopt, false });
  PlacementQuery query;
  query.mPath = "/chat/a";
  query.mHost = "two";
  query.mTeam = TeamName();
  BOOST_TEST(FindPlacementTarget(document, query).error().mIsInvalidQuery);
  query.mTeam.reset();
  BOOST_CHECK(FindPlacementTarget(document, query).has_value());
  document.mRoutes[1].mIsUsable = false;
  BOOST_TEST(!FindPlacementTarget(document, query).error().mIsInvalidQuery);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
