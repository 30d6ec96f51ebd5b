#include "forwarding/backendchooser.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>

namespace medlarkeel {

namespace {

const Timestamp kStart{ Seconds(1000) };

ServerEstimate
Estimate(std::uint32_t aPrefillTokens, double aQueuedTokens)
{
  ServerEstimate estimate;
  estimate.mPrefillTokens = aPrefillTokens;
  estimate.mQueuedTokens = aQueuedTokens;
  return estimate;
}

/** @return Whether a long prompt of 17,000 tokens goes to the server that has
 * cached 13,300 of them and has a longer queue. */
bool
StaysWithItsCache(ServerCostKind aKind, double aLongerBy, double aMeanBacklog)
{
  const auto cost = MakeServerCost(aKind, ServerCostSettings());
  const PlacementContext context{ false, aMeanBacklog };
  return cost->Of(Estimate(3700, aMeanBacklog + aLongerBy), context) <
         cost->Of(Estimate(17'000, aMeanBacklog), context);
}

/** @return A document with a pool of the stated figures and routes with the
 * latency targets. */
ForwardingDocument
Document(std::uint64_t aMemoryTokens, const std::vector<int>& aTargetsMs)
{
  ForwardingDocument document;
  const PoolName name("model");
  for (const int target : aTargetsMs) {
    ForwardRoute route;
    route.mLatencyTarget = Milliseconds(target);
    route.mPools = { { name, 1 } };
    document.mRoutes.push_back(route);
  }
  document.mPools[name].mPlacement.mEngineMemoryTokens = aMemoryTokens;
  document.DerivePoolValues();
  return document;
}

PoolPlacement
PlacementOf(std::uint64_t aMemoryTokens, const std::vector<int>& aTargetsMs)
{
  return Document(aMemoryTokens, aTargetsMs)
    .mPools.at(PoolName("model"))
    .mPlacement;
}

PromptDescription
AnyPrompt(std::mt19937_64& aRandom)
{
  PromptDescription prompt;
  const std::uint64_t part = 1 + aRandom() % 20;
  const auto shared = static_cast<std::uint32_t>(100 + aRandom() % 30'000);
  const auto own = static_cast<std::uint32_t>(100 + aRandom() % 3000);
  prompt.mParts = { { part, shared },
                    { (1U << 20U) + aRandom() % 100'000, own } };
  prompt.mPromptTokens = shared + own;
  return prompt;
}

/** The servers that commit 47ee6fe, which has fixed weights only, chose for the
 * requests of EarlierDocumentsLeadToTheSameChoices; a letter is a server. */
const std::string kRecordedChoices =
  "addeljdaeiaikkckgajicdebbeaekegbceedajaddledaecdedeaadigdbgeeaeidikcec"
  "iiabgejbgiebekdakegeiaikajleaeaaegdebjjkgglkjedlejecgkbdaaagcidiabklck"
  "deebkkldgdjllekkakbdccebdbegjidegaeialilaadgadlidgedkbbeekdjbbeakiadag"
  "jijaieegkdeaeekjbjdejacadkbeagciabdaecdbekdeikdecaaiejakfjficjiggdeide"
  "dagcaagddfegekeeceaekejdedabekalddddedhecjibhlkklgaaakhahakdggggdcagjf"
  "ffdbhcdgaebeiehekhflcgailgaidifkifakblgekafdlgdgid";

} // namespace

BOOST_AUTO_TEST_SUITE(servercost)

// Guards against another cost in deployments whose document doesn't ask for it.
BOOST_AUTO_TEST_CASE(DocumentSelectsTheCost)
{
  const auto costOf = [](std::uint64_t aMemory, const std::vector<int>& aMs) {
    return PlacementOf(aMemory, aMs).mCost;
  };
  BOOST_TEST(
    (costOf(444'000, { 2000, 600, 400 }) == ServerCostKind::ExpectedDelay));
  BOOST_TEST(
    (costOf(516'523, { 2000, 500, 300 }) == ServerCostKind::FixedWeights));
  BOOST_TEST(
    (costOf(650'479, { 1500, 250, 300 }) == ServerCostKind::FixedWeights));
  BOOST_TEST((costOf(0, { 2000, 600, 400 }) == ServerCostKind::FixedWeights));
  BOOST_TEST((costOf(444'000, {}) == ServerCostKind::FixedWeights));
  BOOST_TEST((costOf(444'000, { 400, 0 }) == ServerCostKind::FixedWeights));
}

// Guards against a changed formula for the deployments that keep fixed weights.
RC_BOOST_PROP(FixedWeightsAreThoseOfEarlierVersions, ())
{
  const auto prefill = *rc::gen::inRange<std::uint32_t>(0, 90'000);
  const auto queued =
    static_cast<double>(*rc::gen::inRange<std::uint32_t>(0, 400'000));
  const auto backlog =
    static_cast<double>(*rc::gen::inRange<std::uint32_t>(0, 200'000));
  const auto running = *rc::gen::inRange<std::size_t>(0, 90);
  ServerEstimate server = Estimate(prefill, queued);
  server.mRunningRequests = running;
  server.mSlots = *rc::gen::element<std::uint32_t>(0, 48, 64);
  server.mIsCold = *rc::gen::arbitrary<bool>();
  server.mIsOtherZone = *rc::gen::arbitrary<bool>();
  server.mIsReservedForShort = *rc::gen::arbitrary<bool>();
  server.mIsPreferred = *rc::gen::arbitrary<bool>();
  const bool isShort = *rc::gen::arbitrary<bool>();
  double expected = (6.0 + 2.0 * backlog / 10'000.0) * prefill + queued;
  expected += 3.0 * std::max(0.0, queued - backlog - 60'000.0);
  expected += 150.0 * static_cast<double>(running);
  if (isShort && server.mSlots > 0) {
    expected +=
      1000.0 *
      std::max(0.0, static_cast<double>(running) - 0.75 * server.mSlots);
  }
  expected += server.mIsCold ? 3000.0 : 0.0;
  expected += isShort && !server.mIsReservedForShort ? 6000.0 : 0.0;
  expected += !isShort && server.mIsReservedForShort ? 72'000.0 : 0.0;
  expected += server.mIsOtherZone ? 1500.0 : 0.0;
  expected += server.mIsPreferred ? 0.0 : 5000.0;
  const auto cost =
    MakeServerCost(ServerCostKind::FixedWeights, ServerCostSettings());
  RC_ASSERT(cost->Of(server, { isShort, backlog }) == expected);
}

// Load: long prompts whose parts are cached at busy servers while others are
// idle. Guards against prompts that wait far longer than their cached parts
// save.
BOOST_AUTO_TEST_CASE(LongQueueOutweighsACachedPart)
{
  constexpr double kSecondOfPrefill = 93'000.0;
  BOOST_TEST(StaysWithItsCache(
    ServerCostKind::FixedWeights, kSecondOfPrefill, kSecondOfPrefill));
  BOOST_TEST(!StaysWithItsCache(
    ServerCostKind::ExpectedDelay, kSecondOfPrefill, kSecondOfPrefill));
}

// Guards against prompts that leave their cached parts for any shorter queue:
// what is read again delays all others.
BOOST_AUTO_TEST_CASE(CachedPartOutweighsAShortQueue)
{
  BOOST_TEST(StaysWithItsCache(ServerCostKind::ExpectedDelay, 20'000.0, 0.0));
  BOOST_TEST(
    StaysWithItsCache(ServerCostKind::ExpectedDelay, 40'000.0, 50'000.0));
}

// Guards against other choices for a deployment that doesn't ask for the
// expected delay: recorded requests are placed as before.
BOOST_AUTO_TEST_CASE(EarlierDocumentsLeadToTheSameChoices)
{
  std::vector<ListedBackend> servers(12);
  std::vector<const ListedBackend*> usable;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    servers[i].mEntry.mId = InstanceId("server-" + std::to_string(i));
    servers[i].mEntry.mZone = ZoneName("zone-" + std::to_string(i % 3));
    servers[i].mEntry.mSlots = 64;
    usable.push_back(&servers[i]);
  }
  BackendChooser chooser(BackendChooserSettings(), ZoneName("zone-0"), 1);
  const PoolPlacement placement = PlacementOf(516'523, { 2000, 500, 300 });
  const auto unlimited = [](const InstanceId&) { return std::size_t{ 1000 }; };
  std::mt19937_64 random(7);
  std::string choices;
  for (int i = 0; i < 400; ++i) {
    const Timestamp now = kStart + Milliseconds(20 * i);
    const PromptDescription prompt = AnyPrompt(random);
    const auto choice =
      chooser.Choose(usable, prompt, {}, unlimited, now, placement);
    choices += static_cast<char>('a' + std::stoi(choice->mId.Text().substr(7)));
    chooser.RecordStarted(*choice, prompt, now);
    if (i % 3 != 0) {
      chooser.RecordFirstByte(*choice);
    }
    if (i % 4 == 3) {
      chooser.RecordEnded(*choice, i % 3 != 0);
    }
  }
  BOOST_TEST(choices == kRecordedChoices);
}

// Guards against lost knowledge after the document has switched the cost on or
// off: what was sent with the one cost counts with the other.
BOOST_AUTO_TEST_CASE(ChangeOfTheDocumentKeepsWhatIsKnown)
{
  std::vector<ListedBackend> servers(2);
  std::vector<const ListedBackend*> usable;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    servers[i].mEntry.mId = InstanceId("server-" + std::to_string(i));
    usable.push_back(&servers[i]);
  }
  BackendChooser chooser(BackendChooserSettings(), ZoneName("zone"), 1);
  const auto unlimited = [](const InstanceId&) { return std::size_t{ 1000 }; };
  PromptDescription prompt;
  prompt.mParts = { { 5, 13'300 }, { 6, 3700 } };
  prompt.mPromptTokens = 17'000;
  const auto first = chooser.Choose(usable, prompt, {}, unlimited, kStart);
  chooser.RecordStarted(*first, prompt, kStart);
  chooser.RecordEnded(*first, false);
  const auto second = chooser.Choose(usable,
                                     prompt,
                                     {},
                                     unlimited,
                                     kStart + Milliseconds(100),
                                     PlacementOf(444'000, { 2000, 600, 400 }));
  BOOST_TEST(second->mId.Text() == first->mId.Text());
  BOOST_TEST(second->mPrefillTokens == 3700U);
  BOOST_TEST((second->mCostKind == ServerCostKind::ExpectedDelay));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
