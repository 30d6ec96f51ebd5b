#include "fleetview.h"

#include "fleetfixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <string>

namespace medlarkeel {

namespace {

const Timestamp kStart{ Seconds(1000) };

/** A view of one entry before twelve agents in three zones. */
struct SmallFleet
{
  FleetSize mSize;
  InstanceList mList = MakeFleet(mSize, 7);
  std::vector<ZoneEntry> mZones = MakeZones(mSize);
  FleetView mView{ SettingsOfEntry(mSize, 0) };

  SmallFleet()
  {
    mView.ObserveList(mList, kStart, kStart);
    mView.SetZones(mZones, kStart);
  }

  std::vector<Candidate> At(Timestamp aNow) const
  {
    return mView.Candidates(PoolAt(0), aNow);
  }
};

bool
HasZone(const std::vector<Candidate>& aCandidates, const ZoneName& aZone)
{
  return std::any_of(
    aCandidates.begin(), aCandidates.end(), [&](const Candidate& aCandidate) {
      return aCandidate.mZone == aZone;
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleetview)

BOOST_AUTO_TEST_CASE(NothingIsACandidateBeforeListAndDocument)
{
  const FleetSize size;
  FleetView view(SettingsOfEntry(size, 0));
  view.SetZones(MakeZones(size), kStart);
  BOOST_TEST(view.Candidates(PoolAt(0), kStart).empty());
  FleetView other(SettingsOfEntry(size, 0));
  other.ObserveList(MakeFleet(size, 1), kStart, kStart);
  BOOST_TEST(other.Candidates(PoolAt(0), kStart).empty());
}

BOOST_AUTO_TEST_CASE(AnOlderListNeverReplacesANewerOne)
{
  SmallFleet fleet;
  InstanceList older = fleet.mList;
  older.mRevision = 6;
  older.mInstances.clear();
  const auto later = kStart + Seconds(9);
  BOOST_TEST(
    (fleet.mView.ObserveList(older, later, later) == ListVerdict::Older));
  BOOST_TEST(fleet.mView.MemberCount() == 12u);
  BOOST_TEST((fleet.mView.ListEvidence() == kStart));
  BOOST_TEST((fleet.mView.ObserveList(fleet.mList, later, later) ==
              ListVerdict::Confirmed));
  BOOST_TEST((fleet.mView.ListEvidence() == later));
}

BOOST_AUTO_TEST_CASE(AZoneTakenOutBeatsListingAndProbesAndRampsOnReturn)
{
  SmallFleet fleet;
  const ZoneName zone = ZoneAt(fleet.mSize, 1);
  fleet.mZones[1].mState = ZoneState::Out;
  fleet.mView.SetZones(fleet.mZones, kStart);
  for (const InstanceRecord& record : fleet.mList.mInstances) {
    fleet.mView.RecordContact(record.mId, LoadSnapshot{}, kStart);
  }
  BOOST_TEST(!HasZone(fleet.At(kStart), zone));
  BOOST_TEST(fleet.At(kStart).size() == 8u);

  fleet.mZones[1].mState = ZoneState::In;
  fleet.mView.SetZones(fleet.mZones, kStart + Seconds(60));
  double lastWeight = 0.0;
  for (int second = 0; second <= 30; second += 10) {
    for (const auto& candidate : fleet.At(kStart + Seconds(60 + second))) {
      if (candidate.mZone == zone) {
        BOOST_TEST(candidate.mWeight >= lastWeight);
        lastWeight = candidate.mWeight;
      } else {
        BOOST_TEST(candidate.mWeight == 1.0);
      }
    }
    BOOST_TEST(lastWeight <= std::max(0.05, second / 30.0) + 1e-9);
  }
  BOOST_TEST(lastWeight == 1.0);
}

BOOST_AUTO_TEST_CASE(ASilentAgentIsLeftOutUntilItAnswersUnlessAllAreSilent)
{
  SmallFleet fleet;
  const auto before = fleet.At(kStart);
  const InstanceId silent = before.front().mId;
  fleet.mView.RecordSilence(silent, kStart);
  BOOST_TEST(fleet.At(kStart).size() == before.size());
  fleet.mView.RecordSilence(silent, kStart);
  BOOST_TEST(fleet.At(kStart).size() == before.size() - 1);
  for (const Candidate& candidate : before) {
    fleet.mView.RecordSilence(candidate.mId, kStart);
    fleet.mView.RecordSilence(candidate.mId, kStart);
  }
  BOOST_TEST(fleet.At(kStart).size() == before.size());
  fleet.mView.RecordContact(silent, LoadSnapshot{}, kStart);
  BOOST_REQUIRE(fleet.At(kStart).size() == 1u);
  BOOST_TEST(fleet.At(kStart).front().mWeight < 0.1);
}

BOOST_AUTO_TEST_CASE(LeavingAndRefusingAgentsGetNothing)
{
  SmallFleet fleet;
  const InstanceId refusing = fleet.At(kStart).front().mId;
  LoadSnapshot load;
  load.mAccepting = false;
  fleet.mView.RecordContact(refusing, load, kStart);
  for (const Candidate& candidate : fleet.At(kStart)) {
    BOOST_TEST(candidate.mId != refusing);
  }
  for (InstanceRecord& record : fleet.mList.mInstances) {
    record.mState = InstanceState::Leaving;
  }
  fleet.mList.mRevision = 8;
  fleet.mView.ObserveList(fleet.mList, kStart, kStart);
  BOOST_TEST(fleet.At(kStart).empty());
}

BOOST_AUTO_TEST_CASE(AfterAPauseOnlyALaterReadingValidates)
{
  SmallFleet fleet;
  BOOST_TEST(fleet.mView.IsValidated());
  const auto wake = kStart + Seconds(40);
  fleet.mView.RecordPause(wake);
  BOOST_TEST(!fleet.mView.IsValidated());
  fleet.mView.ObserveList(fleet.mList, wake - Seconds(1), wake);
  BOOST_TEST(!fleet.mView.IsValidated());
  fleet.mView.ObserveList(fleet.mList, wake, wake + Seconds(1));
  BOOST_TEST(fleet.mView.IsValidated());
}

BOOST_AUTO_TEST_CASE(TrafficPostponesProbes)
{
  SmallFleet fleet;
  const std::size_t subset = fleet.mView.Subset(PoolAt(0)).size();
  BOOST_TEST(fleet.mView.TakeDueProbes(kStart, 100).size() == subset);
  const auto heard = kStart + Seconds(10);
  for (const Candidate& candidate : fleet.At(kStart)) {
    fleet.mView.RecordContact(candidate.mId, LoadSnapshot{}, heard);
  }
  BOOST_TEST(fleet.mView.TakeDueProbes(kStart + Seconds(20), 100).empty());
  BOOST_TEST(fleet.mView.TakeDueProbes(heard + Seconds(15), 100).size() ==
             subset);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
