#include "fleetview.h"

#include "fleetfixture.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace medlarkeel {

namespace {

const FleetSize kSize{ 1, 3, 2, 6, 1 };
const Timestamp kStart{ Seconds(100) };

/** One generated event: what happens, and to which agent or revision. */
struct FleetEvent
{
  int mKind = 0;
  int mNumber = 0;
};

/** The list with a revision: which agents are listed follows from it. */
InstanceList
ListOf(int aRevision)
{
  InstanceList full = MakeFleet(kSize, static_cast<std::uint64_t>(aRevision));
  InstanceList list;
  list.mRevision = full.mRevision;
  int index = 0;
  for (InstanceRecord record : full.mInstances) {
    const int draw = (aRevision * 7 + index * 5) % 11;
    ++index;
    if (record.mRole == InstanceRole::Agent && draw < 2) {
      continue;
    }
    record.mState = draw < 4 ? InstanceState::Leaving : InstanceState::Live;
    list.mInstances.push_back(record);
  }
  return list;
}

std::vector<ZoneEntry>
ZonesOf(int aNumber)
{
  std::vector<ZoneEntry> zones = MakeZones(kSize);
  for (std::size_t index = 0; index < zones.size(); ++index) {
    const bool isOut = ((aNumber >> index) & 1) != 0;
    zones[index].mState = isOut ? ZoneState::Out : ZoneState::In;
  }
  return zones;
}

/** The stated rules, computed anew from everything that was seen. */
class RuleBook
{
public:
  void ObserveList(const InstanceList& aList)
  {
    if (mList && aList.mRevision <= mList->mRevision) {
      return;
    }
    std::map<InstanceId, Seen> kept;
    for (const InstanceRecord& record : aList.mInstances) {
      const auto known = mSeen.find(record.mId);
      kept[record.mId] = known == mSeen.end() ? Seen{} : known->second;
    }
    mSeen = kept;
    mList = aList;
  }

  void SetZones(const std::vector<ZoneEntry>& aZones) { mZones = aZones; }

  void RecordContact(const InstanceId& aId, bool aAccepting)
  {
    if (mSeen.count(aId) > 0) {
      mSeen[aId] = Seen{ 0, aAccepting };
    }
  }

  void RecordSilence(const InstanceId& aId)
  {
    if (mSeen.count(aId) > 0) {
      ++mSeen[aId].mSilences;
    }
  }

  void RecordPause()
  {
    for (auto& [id, seen] : mSeen) {
      seen = Seen{};
    }
  }

  std::set<InstanceId> Candidates() const
  {
    std::set<InstanceId> all;
    std::set<InstanceId> answering;
    for (const InstanceRecord& record :
         mList.value_or(InstanceList{}).mInstances) {
      const Seen& seen = mSeen.at(record.mId);
      const bool mayServe = record.mRole == InstanceRole::Agent &&
                            record.mState == InstanceState::Live &&
                            IsIn(record.mZone) && seen.mAccepting;
      if (mayServe) {
        all.insert(record.mId);
      }
      if (mayServe && seen.mSilences < 2) {
        answering.insert(record.mId);
      }
    }
    return answering.empty() ? all : answering;
  }

private:
  struct Seen
  {
    int mSilences = 0;
    bool mAccepting = true;
  };

  bool IsIn(const ZoneName& aZone) const
  {
    for (const ZoneEntry& zone : mZones) {
      if (zone.mName == aZone) {
        return zone.mState == ZoneState::In;
      }
    }
    return false;
  }

  std::optional<InstanceList> mList;
  std::vector<ZoneEntry> mZones;
  std::map<InstanceId, Seen> mSeen;
};

void
Apply(const FleetEvent& aEvent, FleetView& aView, RuleBook& aRules)
{
  const InstanceId agent("agent-" + std::to_string(aEvent.mNumber % 6));
  LoadSnapshot load;
  switch (aEvent.mKind) {
    case 0:
      aView.ObserveList(ListOf(aEvent.mNumber), kStart, kStart);
      aRules.ObserveList(ListOf(aEvent.mNumber));
      break;
    case 1:
      aView.SetZones(ZonesOf(aEvent.mNumber), kStart);
      aRules.SetZones(ZonesOf(aEvent.mNumber));
      break;
    case 2:
      load.mAccepting = aEvent.mNumber % 4 != 0;
      aView.RecordContact(agent, load, kStart);
      aRules.RecordContact(agent, load.mAccepting);
      break;
    case 3:
      aView.RecordPause(kStart);
      aRules.RecordPause();
      break;
    default:
      aView.RecordSilence(agent, kStart);
      aRules.RecordSilence(agent);
      break;
  }
}

std::set<InstanceId>
Ids(const std::vector<Candidate>& aCandidates)
{
  std::set<InstanceId> ids;
  for (const Candidate& candidate : aCandidates) {
    ids.insert(candidate.mId);
  }
  return ids;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleetrules)

RC_BOOST_PROP(AnyOrderOfEventsGivesWhatTheRulesSay, ())
{
  FleetViewSettings settings = SettingsOfEntry(kSize, 0);
  settings.mSubsetSize = kSize.mAgents;
  FleetView view(settings);
  RuleBook rules;
  const int count = *rc::gen::inRange(1, 60);
  for (int index = 0; index < count; ++index) {
    const FleetEvent event{ *rc::gen::inRange(0, 8), *rc::gen::inRange(0, 24) };
    Apply(event, view, rules);
    const std::set<InstanceId> expected = rules.Candidates();
    RC_ASSERT(Ids(view.AllCandidates(PoolAt(0), kStart)) == expected);
    RC_ASSERT(Ids(view.Candidates(PoolAt(0), kStart)) == expected);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
