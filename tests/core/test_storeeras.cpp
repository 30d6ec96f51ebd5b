#include "restoredfleet.h"

#include <boost/test/unit_test.hpp>

namespace medlarkeel {

namespace {

/** Ages of the copies from which the directory is restored. */
constexpr Milliseconds kCopyAges[] = { Milliseconds(500),
                                       Milliseconds(3000),
                                       Milliseconds(9000),
                                       Milliseconds(20'000) };

constexpr Milliseconds kCopyAt{ 5000 };

/** Time for which the directory is unavailable before it is restored. */
constexpr Milliseconds kUnavailable{ 300 };

/** Six entries that use three servers in two availability zones. */
struct SixEntries : RestoredFleet
{
  explicit SixEntries(const RestoredFleetSettings& aSettings = {})
    : RestoredFleet(aSettings)
    , mBound(aSettings.mChangeBound)
  {
    AddServer("one", "a");
    AddServer("two", "a");
    AddServer("other", "b");
  }

  /**
   * Runs until the directory is restored.
   *
   * @param aCopyAge Age of the copy at the time of the restore.
   */
  void RunUntilRestored(Milliseconds aCopyAge)
  {
    At(kCopyAt, [this]() { TakeCopy(); });
    At(kCopyAt + aCopyAge - kUnavailable, [this]() { StopDirectory(); });
    At(kCopyAt + aCopyAge, [this]() { Restore(); });
    RunUntil(kCopyAt + aCopyAge);
  }

  Milliseconds mBound;
};

} // namespace

BOOST_AUTO_TEST_SUITE(storeeras)

/** Guards against entries that compare revisions of the restored directory with
 * those from before, and so ignore a server that drains after a restore. */
BOOST_AUTO_TEST_CASE(DrainAfterARestoreReachesAllEntriesWithinTheBound)
{
  for (const Milliseconds age : kCopyAges) {
    BOOST_TEST_CONTEXT("copy of " << age.count() << " ms")
    {
      SixEntries fleet;
      fleet.RunUntilRestored(age);
      fleet.Drain("one");
      fleet.RunUntil(fleet.Elapsed() + fleet.mBound);
      BOOST_TEST(fleet.UserCount("one") == 0U);
      BOOST_TEST(fleet.UserCount("two") == fleet.EntryCount());
    }
  }
}

/** Guards against requests to a server that was draining before the restore and
 * comes back as ready with the copy. */
BOOST_AUTO_TEST_CASE(DrainThatTheCopyLacksStaysInForce)
{
  for (const Milliseconds age : kCopyAges) {
    BOOST_TEST_CONTEXT("copy of " << age.count() << " ms")
    {
      SixEntries fleet;
      fleet.At(kCopyAt + Milliseconds(1), [&]() { fleet.Drain("one"); });
      fleet.RunUntilRestored(age);
      fleet.RunUntil(std::max(fleet.Elapsed(), kCopyAt + fleet.mBound));
      while (fleet.Elapsed() < kCopyAt + age + Seconds(12)) {
        BOOST_TEST_REQUIRE(fleet.UserCount("one") == 0U);
        fleet.RunUntil(fleet.Elapsed() + Milliseconds(50));
      }
      BOOST_TEST(fleet.IsAgreed());
    }
  }
}

/** Guards against requests to a server that had left and is in the copy. */
BOOST_AUTO_TEST_CASE(ServerThatHadLeftIsNotUsedAgain)
{
  for (const Milliseconds age : { Milliseconds(3000), Milliseconds(9000) }) {
    BOOST_TEST_CONTEXT("copy of " << age.count() << " ms")
    {
      SixEntries fleet;
      fleet.At(kCopyAt + Milliseconds(100), [&]() { fleet.Leave("one"); });
      fleet.RunUntilRestored(age);
      while (fleet.Elapsed() < kCopyAt + age + Seconds(12)) {
        BOOST_TEST_REQUIRE(fleet.UserCount("one") == 0U);
        fleet.RunUntil(fleet.Elapsed() + Milliseconds(50));
      }
      BOOST_TEST(fleet.IsAgreed());
    }
  }
}

/** Guards against losing a server that registered after the copy was taken and
 * registers again within its heartbeat. */
BOOST_AUTO_TEST_CASE(ServerThatTheCopyLacksStaysInUse)
{
  SixEntries fleet;
  fleet.At(kCopyAt + Milliseconds(100), [&]() { fleet.AddServer("new", "a"); });
  fleet.RunUntilRestored(Milliseconds(5000));
  while (fleet.Elapsed() < Seconds(22)) {
    BOOST_TEST_REQUIRE(fleet.UserCount("new") == fleet.EntryCount());
    fleet.RunUntil(fleet.Elapsed() + Milliseconds(50));
  }
}

/** Guards against the end of an evacuation that the copy lacks, and against the
 * return of one that had ended. */
BOOST_AUTO_TEST_CASE(EvacuationsOfBeforeTheRestoreAreKept)
{
  for (const Milliseconds age : { Milliseconds(3000), Milliseconds(9000) }) {
    BOOST_TEST_CONTEXT("copy of " << age.count() << " ms")
    {
      SixEntries fleet;
      fleet.At(Milliseconds(2000), [&]() { fleet.SetEvacuated("b", true); });
      fleet.At(kCopyAt + Milliseconds(100), [&]() {
        fleet.SetEvacuated("a", true);
        fleet.SetEvacuated("b", false);
      });
      fleet.RunUntilRestored(age);
      while (fleet.Elapsed() < kCopyAt + age + Seconds(12)) {
        BOOST_TEST_REQUIRE(fleet.UserCount("one") == 0U);
        BOOST_TEST_REQUIRE(fleet.UserCount("other") == fleet.EntryCount());
        fleet.RunUntil(fleet.Elapsed() + Milliseconds(50));
      }
      BOOST_TEST(fleet.IsAgreed());
    }
  }
}

/** Guards against ignoring what the operator writes after the restore: a zone
 * that is evacuated or returns, a document, a server that leaves. */
BOOST_AUTO_TEST_CASE(ChangesAfterTheRestoreAreInForceWithinTheBound)
{
  for (const Milliseconds age : kCopyAges) {
    BOOST_TEST_CONTEXT("copy of " << age.count() << " ms")
    {
      SixEntries fleet;
      fleet.RunUntilRestored(age);
      fleet.SetEvacuated("b", true);
      fleet.PublishDocument(7);
      fleet.RunUntil(fleet.Elapsed() + fleet.mBound);
      BOOST_TEST(fleet.UserCount("other") == 0U);
      for (std::size_t i = 0; i < fleet.EntryCount(); ++i) {
        BOOST_TEST(fleet.Follower(i).Document()->mVersion == 7U);
      }
      fleet.SetEvacuated("b", false);
      fleet.Leave("two");
      fleet.RunUntil(fleet.Elapsed() + fleet.mBound);
      BOOST_TEST(fleet.UserCount("other") == fleet.EntryCount());
      BOOST_TEST(fleet.UserCount("two") == 0U);
      BOOST_TEST(fleet.IsAgreed());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
