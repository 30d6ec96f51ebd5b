#include "replicachooser.h"

#include "prefixhasher.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>

namespace medlarkeel {

namespace {

const Timestamp kNow{ Seconds(500) };
const PoolName kPool("model");

std::vector<Candidate>
MakeCandidates(std::size_t aCount)
{
  std::vector<Candidate> candidates;
  for (std::size_t index = 0; index < aCount; ++index) {
    Candidate candidate;
    candidate.mId = InstanceId("agent-" + std::to_string(index));
    candidate.mPool = kPool;
    candidate.mZone = ZoneName(index % 2 == 0 ? "xela-a" : "xela-b");
    candidate.mSameZone = index % 2 == 0;
    candidate.mSameRegion = true;
    candidate.mLoad.mLimit = 8;
    candidate.mLoadAge = Microseconds(0);
    candidates.push_back(candidate);
  }
  return candidates;
}

ChoiceRequest
MakeRequest(const std::string& aPrompt = "")
{
  ChoiceRequest request;
  request.mPool = kPool;
  request.mPromptBlocks = HashPrefixBlocks(aPrompt, "model");
  return request;
}

ReplicaChooser
MakeChooser(const std::string& aStrategy)
{
  ChooserSettings settings;
  settings.mStrategy = aStrategy;
  return ReplicaChooser(settings, 20261204);
}

std::map<InstanceId, int>
CountChoices(ReplicaChooser& aChooser,
             const ChoiceRequest& aRequest,
             const std::vector<Candidate>& aCandidates)
{
  std::map<InstanceId, int> counts;
  for (int round = 0; round < 400; ++round) {
    const Choice choice = aChooser.Choose(aRequest, aCandidates, kNow);
    ++counts[choice.mChosen.value_or(InstanceId("none"))];
  }
  return counts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(replicachooser)

BOOST_AUTO_TEST_CASE(EachFilterIsNamedInTheChoice)
{
  auto candidates = MakeCandidates(6);
  candidates[0].mPool = PoolName("other");
  candidates[1].mAdapters = { AdapterName("fiji") };
  candidates[2].mZone = ZoneName("xela-c");
  candidates[4].mZone = ZoneName("xela-b");
  candidates[5].mSameRegion = false;
  ChoiceRequest request = MakeRequest();
  request.mAdapter = AdapterName("maya");
  request.mZone = ZoneName("xela-b");
  request.mExclusions = { InstanceId("agent-3") };
  for (const std::string& strategy : StrategyNames()) {
    ReplicaChooser chooser = MakeChooser(strategy);
    const Choice choice = chooser.Choose(request, candidates, kNow);
    const std::vector<CandidateNote> expected{
      CandidateNote::OtherPool, CandidateNote::NoAdapter,
      CandidateNote::OtherZone, CandidateNote::Excluded,
      CandidateNote::Eligible,  CandidateNote::OtherRegion
    };
    BOOST_REQUIRE(choice.mConsidered.size() == expected.size());
    for (std::size_t index = 0; index < expected.size(); ++index) {
      BOOST_TEST((choice.mConsidered[index].mNote == expected[index]), index);
    }
    BOOST_TEST((choice.mChosen == InstanceId("agent-4")), strategy);
  }
}

BOOST_AUTO_TEST_CASE(NoEligibleCandidateIsSaid)
{
  ReplicaChooser chooser = MakeChooser("affinity");
  const Choice choice = chooser.Choose(MakeRequest(), {}, kNow);
  BOOST_TEST(!choice.mChosen);
  BOOST_TEST((choice.mReason == ChoiceReason::NoCandidate));
}

BOOST_AUTO_TEST_CASE(TheSameSeedGivesTheSameChoices)
{
  const auto candidates = MakeCandidates(8);
  ReplicaChooser first = MakeChooser("affinity");
  ReplicaChooser second = MakeChooser("affinity");
  BOOST_TEST((CountChoices(first, MakeRequest(), candidates) ==
              CountChoices(second, MakeRequest(), candidates)));
}

BOOST_AUTO_TEST_CASE(OfTwoEqualOnesTheOwnZoneIsFirst)
{
  ReplicaChooser chooser = MakeChooser("two-choices");
  const Choice choice = chooser.Choose(MakeRequest(), MakeCandidates(2), kNow);
  BOOST_TEST((choice.mChosen == InstanceId("agent-0")));
  BOOST_TEST((choice.mReason == ChoiceReason::SameZone));
}

BOOST_AUTO_TEST_CASE(OwnRequestsInFlightCountBeforeAnyReportDoes)
{
  ReplicaChooser chooser = MakeChooser("two-choices");
  for (int count = 0; count < 20; ++count) {
    chooser.RecordSent(InstanceId("agent-0"), kNow);
  }
  const auto counts = CountChoices(chooser, MakeRequest(), MakeCandidates(2));
  BOOST_TEST(counts.count(InstanceId("agent-0")) == 0u);
}

BOOST_AUTO_TEST_CASE(ARampingCandidateGetsItsShare)
{
  ReplicaChooser chooser = MakeChooser("affinity");
  auto candidates = MakeCandidates(8);
  candidates[0].mWeight = 0.05;
  auto counts = CountChoices(chooser, MakeRequest(), candidates);
  BOOST_TEST(counts[InstanceId("agent-0")] <= 20);
}

BOOST_AUTO_TEST_CASE(APrefixStaysAtOneServerUntilItsLoadPassesTheBound)
{
  ReplicaChooser chooser = MakeChooser("affinity");
  const auto candidates = MakeCandidates(8);
  const ChoiceRequest request = MakeRequest(std::string(8192, 'p'));
  const Choice first = chooser.Choose(request, candidates, kNow);
  BOOST_REQUIRE(first.mChosen.has_value());
  chooser.RecordFirstToken(
    request, *first.mChosen, Seconds(1), Seconds(1), kNow);
  auto counts = CountChoices(chooser, request, candidates);
  BOOST_TEST(counts[*first.mChosen] == 400);
  const Choice cached = chooser.Choose(request, candidates, kNow);
  BOOST_TEST((cached.mReason == ChoiceReason::CachedPrefix));

  for (int count = 0; count < 6; ++count) {
    chooser.RecordSent(*first.mChosen, kNow);
  }
  counts = CountChoices(chooser, request, candidates);
  BOOST_TEST(counts[*first.mChosen] == 0);
}

BOOST_AUTO_TEST_CASE(KeyOwnersAgreeAcrossEntriesAndMoveOnlyWhenTheOwnerLeaves)
{
  ReplicaChooser one = MakeChooser("key-owner");
  ReplicaChooser other = MakeChooser("key-owner");
  const auto candidates = MakeCandidates(6);
  for (std::uint64_t key = 1; key <= 100; ++key) {
    ChoiceRequest request = MakeRequest();
    request.mKeyHash = key;
    other.RecordSent(InstanceId("agent-1"), kNow);
    const auto owner = one.Choose(request, candidates, kNow).mChosen;
    BOOST_TEST((other.Choose(request, candidates, kNow).mChosen == owner));
    auto fewer = candidates;
    fewer.pop_back();
    const auto next = one.Choose(request, fewer, kNow).mChosen;
    const bool ownerLeft = owner == candidates.back().mId;
    BOOST_TEST(((next == owner) != ownerLeft));
  }
}

BOOST_AUTO_TEST_CASE(FailuresOpenTheBreakerUnlessMostHaveFailed)
{
  ReplicaChooser chooser = MakeChooser("affinity");
  const auto candidates = MakeCandidates(4);
  const auto fail = [&](std::size_t aIndex) {
    for (int count = 0; count < BreakerSettings{}.mFailuresToOpen; ++count) {
      chooser.RecordSent(candidates[aIndex].mId, kNow);
      chooser.RecordFailed(candidates[aIndex].mId, kNow);
    }
  };
  fail(0);
  auto counts = CountChoices(chooser, MakeRequest(), candidates);
  BOOST_TEST(counts[candidates[0].mId] == 0);
  fail(1);
  fail(2);
  const Choice panic = chooser.Choose(MakeRequest(), candidates, kNow);
  BOOST_TEST(panic.mPanic);
  counts = CountChoices(chooser, MakeRequest(), candidates);
  BOOST_TEST(counts[candidates[0].mId] > 0);
}

BOOST_AUTO_TEST_CASE(OneLongWaitEjectsNobody)
{
  ReplicaChooser chooser = MakeChooser("affinity");
  const auto candidates = MakeCandidates(4);
  for (const Candidate& candidate : candidates) {
    const bool isLong = candidate.mId == candidates[1].mId;
    const auto wait = isLong ? Seconds(3) : Milliseconds(200);
    chooser.RecordFirstToken(MakeRequest(), candidate.mId, wait, wait, kNow);
  }
  const Choice choice = chooser.Choose(MakeRequest(), candidates, kNow);
  BOOST_TEST((choice.mConsidered[1].mNote == CandidateNote::Eligible));
}

BOOST_AUTO_TEST_CASE(AServerFarSlowerThanItsPeersIsLeftAloneForATime)
{
  ReplicaChooser chooser = MakeChooser("affinity");
  const auto candidates = MakeCandidates(4);
  for (const Candidate& candidate : candidates) {
    const bool isSlow = candidate.mId == candidates[1].mId;
    const auto wait = isSlow ? Seconds(3) : Milliseconds(200);
    for (int count = 0; count < LoadModelSettings{}.mMinimumSamples; ++count) {
      chooser.RecordFirstToken(MakeRequest(), candidate.mId, wait, wait, kNow);
    }
  }
  auto counts = CountChoices(chooser, MakeRequest(), candidates);
  BOOST_TEST(counts[candidates[1].mId] == 0);
  const Choice later =
    chooser.Choose(MakeRequest(), candidates, kNow + Seconds(60));
  BOOST_TEST((later.mConsidered[1].mNote == CandidateNote::Eligible));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
