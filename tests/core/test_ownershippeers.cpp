#include "ownershippeers.h"

#include "lagginglist.h"
#include "rangeownership.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace medlarkeel {

namespace {

constexpr Seconds kLongestOutage{ 100 };

OwnershipSettings
ShortSettings()
{
  OwnershipSettings settings;
  settings.mEvidenceLife = Seconds(4);
  settings.mListLag = Seconds(2);
  settings.mNeedsClearance = true;
  return settings;
}

/** Members of a list whose messages arrive at once, unless cut off. */
class PeerGroup
{
public:
  struct Process
  {
    explicit Process(const std::string& aId)
      : mOwnership(InstanceId(aId), ShortSettings(), {})
      , mPeers(InstanceId(aId), ShortSettings(), kLongestOutage, 1)
    {
    }

    RangeOwnership mOwnership;
    OwnershipPeers mPeers;
  };

  /** Starts a process, also in place of one with the same id. */
  void Start(const std::string& aId)
  {
    mProcesses[aId] = std::make_unique<Process>(aId);
    mProcesses[aId]->mPeers.Start(mNow);
  }

  void Cut(const std::string& aId) { mProcesses.erase(aId); }

  /** Keeps the messages to a process until they are delivered together. */
  void HoldBack(const std::string& aId) { mHeldBackFor = InstanceId(aId); }

  void DeliverHeldBack()
  {
    mHeldBackFor = InstanceId();
    Carry(std::exchange(mHeldBack, {}));
  }

  /** Some of the processes read a list of the given entries. */
  void Read(std::uint64_t aRevision,
            const std::vector<std::string>& aListed,
            const std::vector<std::string>& aReaders)
  {
    LaggingList list;
    for (const std::string& id : aListed) {
      list.Put(InstanceId(id), InstanceState::Live, RegionName("r"), mNow);
    }
    InstanceList reading = list.Latest();
    reading.mRevision = aRevision;
    for (const std::string& id : aReaders) {
      mProcesses.at(id)->mOwnership.Observe(reading, mNow, mNow);
    }
  }

  void Run(Microseconds aTime)
  {
    for (const Timestamp end = mNow + aTime; mNow < end;
         mNow += Milliseconds(100)) {
      for (auto& [id, process] : mProcesses) {
        Carry(process->mPeers.Tick(process->mOwnership, mNow));
      }
    }
  }

  /** Three members that know revision 5 and have been cleared for it. */
  void Settle()
  {
    for (const char* id : { "a", "b", "c" }) {
      Start(id);
    }
    for (int second = 0; second < 10; ++second) {
      Read(5, { "a", "b", "c" }, { "a", "b", "c" });
      Run(Seconds(1));
    }
  }

  /** @return Whether the process acts for a range that it owns by its list. */
  bool Acts(const std::string& aId)
  {
    const RangeOwnership& ownership = mProcesses.at(aId)->mOwnership;
    int index = 0;
    while (ownership.Owner(RangeKeyOf(std::to_string(index))) !=
           InstanceId(aId)) {
      ++index;
    }
    const RangeKey key = RangeKeyOf(std::to_string(index));
    return ownership.Hold(key, mNow).has_value();
  }

  Process& At(const std::string& aId) { return *mProcesses.at(aId); }
  Timestamp Now() const { return mNow; }

private:
  void Carry(const std::vector<LimitMessage>& aMessages)
  {
    for (const LimitMessage& message : aMessages) {
      if (message.mTo == mHeldBackFor) {
        mHeldBack.push_back(message);
        continue;
      }
      const auto target = mProcesses.find(message.mTo.Text());
      if (target != mProcesses.end()) {
        Process& process = *target->second;
        Carry(process.mPeers.Receive(message, process.mOwnership, mNow));
      }
    }
  }

  std::map<std::string, std::unique_ptr<Process>> mProcesses;
  InstanceId mHeldBackFor;
  std::vector<LimitMessage> mHeldBack;
  Timestamp mNow{ Seconds(1000) };
};

constexpr Seconds kPromiseLife{ 6 };

} // namespace

BOOST_AUTO_TEST_SUITE(ownershippeers)

BOOST_AUTO_TEST_CASE(OwnersGoOnWhileAllMembersPromise)
{
  PeerGroup group;
  group.Settle();
  group.Run(Seconds(60));
  BOOST_TEST(group.Acts("a"));
  group.Run(kLongestOutage);
  BOOST_TEST(!group.Acts("a"));
}

BOOST_AUTO_TEST_CASE(OneLostMemberEndsTheGoingOn)
{
  for (const char* lost : { "a", "b" }) {
    PeerGroup group;
    group.Settle();
    group.Run(Seconds(20));
    group.Cut(lost);
    group.Run(kPromiseLife);
    BOOST_TEST(!group.Acts("c"));
  }
}

BOOST_AUTO_TEST_CASE(TwoMembersNeverGoOn)
{
  PeerGroup group;
  group.Settle();
  group.Read(6, { "a", "b" }, { "a", "b" });
  group.Run(Seconds(10));
  BOOST_TEST(!group.Acts("a"));
}

/** The heir is cleared only after the promises to the old owners have ended. */
BOOST_AUTO_TEST_CASE(HeirWaitsForThePromisesOfTheOldOwners)
{
  PeerGroup group;
  group.Settle();
  group.Run(Seconds(20));
  BOOST_TEST(group.Acts("a"));
  group.Start("d");
  group.Read(6, { "a", "b", "c", "d" }, { "d" });
  bool together = false;
  bool heirActed = false;
  for (int step = 0; step < 300; ++step) {
    group.Read(6, { "a", "b", "c", "d" }, { "d" });
    group.Run(Milliseconds(100));
    heirActed = heirActed || group.Acts("d");
    together = together || (group.Acts("d") && group.Acts("a"));
  }
  BOOST_TEST(heirActed);
  BOOST_TEST(!together);
}

/** Neither clears nor promises on behalf of what it has forgotten. */
BOOST_AUTO_TEST_CASE(RestartedMemberIsBoundByWhatItForgot)
{
  PromiseBook book(kPromiseLife, Milliseconds(0));
  const Timestamp start{ Seconds(50) };
  book.Start(start);
  BOOST_TEST((book.BoundFor(9, start) == kPromiseLife));
  BOOST_TEST((book.BoundFor(9, start + kPromiseLife) == Microseconds(0)));

  PeerGroup group;
  group.Settle();
  group.Start("b");
  group.Read(5, { "a", "b", "c" }, { "b" });
  group.Run(Seconds(20));
  BOOST_TEST(!group.Acts("a"));
}

BOOST_AUTO_TEST_CASE(YoungWitnessDoesNotClearForAnAbsentMember)
{
  PeerGroup group;
  group.Settle();
  group.Start("d");
  group.Cut("c");
  for (int second = 0; second < 20; ++second) {
    group.Read(6, { "a", "b", "c", "d" }, { "a", "b", "d" });
    group.Run(Seconds(1));
  }
  BOOST_TEST(!group.Acts("d"));
  for (int second = 0; second < 100; ++second) {
    group.Read(6, { "a", "b", "c", "d" }, { "a", "b", "d" });
    group.Run(Seconds(1));
  }
  BOOST_TEST(group.Acts("d"));
}

BOOST_AUTO_TEST_CASE(LatePromiseCountsFromTheSendingOfTheAsk)
{
  PeerGroup group;
  group.Settle();
  group.HoldBack("b");
  group.Run(Seconds(25));
  group.DeliverHeldBack();
  BOOST_TEST(!group.Acts("a"));
  group.Run(Seconds(10));
  BOOST_TEST(group.Acts("a"));
}

/** A released range isn't extended: the newest list may be out of date. */
BOOST_AUTO_TEST_CASE(ReleasedRangeIsNotExtended)
{
  RangeOwnership ownership(InstanceId("a"), ShortSettings(), {});
  const Timestamp start{ Seconds(1000) };
  const RangeKey key = RangeKeyOf("any");
  LaggingList list;
  list.Put(InstanceId("a"), InstanceState::Live, RegionName("r"), start);
  ownership.Observe(list.Latest(), start, start);
  ownership.Clear(1, start);
  const Timestamp later = start + Seconds(20);
  ownership.Extend(1, later);
  BOOST_TEST(ownership.Hold(key, start + Seconds(10)).has_value());
  ownership.Release(key, start + Seconds(10));
  BOOST_TEST(!ownership.Hold(key, start + Seconds(18)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
