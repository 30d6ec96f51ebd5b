#include "forwarding/directoryfollower.h"

#include <boost/test/unit_test.hpp>

namespace medlarkeel {

namespace {

using Kind = FollowerStep::Kind;

const Timestamp kStart{ Seconds(1000) };
const PoolName kPool("pool");

BackendEntry
Entry(const char* aId, std::uint64_t aRevision)
{
  BackendEntry entry;
  entry.mId = InstanceId(aId);
  entry.mPool = kPool;
  entry.mRevision = aRevision;
  return entry;
}

ForwardingDocumentPointer
Document(std::uint64_t aVersion)
{
  auto document = std::make_shared<ForwardingDocument>();
  document->mVersion = aVersion;
  return document;
}

DirectoryChanges
Changes(std::uint64_t aRevision, std::vector<DirectoryChange> aChanges)
{
  return { std::move(aChanges), aRevision };
}

} // namespace

BOOST_AUTO_TEST_SUITE(directoryfollower)

BOOST_AUTO_TEST_CASE(WatchFollowsTheReading)
{
  DirectoryFollower follower{ FollowerSettings() };
  BOOST_CHECK(follower.Next().mKind == Kind::ReadAll);
  follower.RecordRead(Changes(9, { Document(3), Entry("one", 5) }), kStart);
  BOOST_CHECK(follower.Next().mKind == Kind::Watch);
  BOOST_TEST(follower.Next().mRevision == 9U);
  BOOST_TEST(follower.HasRead());
  BOOST_TEST(follower.Document()->mVersion == 3U);
}

/** A process that has just started reads what may be seconds old: a key that
 * was withdrawn since must not be in force until the changes are read too. */
BOOST_AUTO_TEST_CASE(OldReadingCountsOnlyWithTheChangesBehindIt)
{
  DirectoryFollower follower{ FollowerSettings() };
  BOOST_CHECK(follower.Freshness() == ReadFreshness::MayBeOld);
  follower.RecordRead(
    Changes(9, { Document(3) }), kStart, ReadFreshness::MayBeOld);
  BOOST_TEST(!follower.HasRead());
  BOOST_TEST(!follower.Document());
  BOOST_TEST(follower.Next().mDelay.count() == 0);
  BOOST_TEST(!follower.MayStayQuiet(kStart));
  follower.RecordWatch(Changes(12, { Document(4) }), kStart);
  BOOST_TEST(follower.HasRead());
  BOOST_TEST(follower.Document()->mVersion == 4U);
  BOOST_CHECK(follower.Freshness() == ReadFreshness::Newest);
}

BOOST_AUTO_TEST_CASE(OldReadingWithoutChangesBehindItIsMadeAgain)
{
  for (const bool isForgotten : { true, false }) {
    DirectoryFollower follower{ FollowerSettings() };
    follower.RecordRead(Changes(9, { Document(3), Entry("one", 5) }),
                        kStart,
                        ReadFreshness::MayBeOld);
    if (isForgotten) {
      follower.RecordWatch(DirectoryError::HistoryGone, kStart);
    } else {
      follower.RecordWatch(Changes(9, {}), kStart);
    }
    BOOST_TEST(!follower.HasRead());
    BOOST_CHECK(follower.Next().mKind == Kind::ReadAll);
    BOOST_CHECK(follower.Freshness() == ReadFreshness::Newest);
    follower.RecordRead(Changes(12, { Document(4) }), kStart);
    BOOST_TEST(follower.HasRead());
    BOOST_TEST(follower.Document()->mVersion == 4U);
  }
}

/** A failed call leaves what is known up to which revision, so that others may
 * go on telling what comes behind it. */
BOOST_AUTO_TEST_CASE(FailedCallMayBeLeftOutWhileOthersTell)
{
  const FollowerSettings settings;
  DirectoryFollower follower{ settings };
  follower.RecordRead(Changes(9, { Entry("one", 5) }), kStart);
  const Timestamp lost = kStart + Seconds(1);
  follower.RecordWatch(DirectoryError::Unreachable, lost);
  BOOST_TEST(follower.IsLost());
  BOOST_CHECK(follower.Next().mDelay == settings.mFirstRetry);
  BOOST_TEST(follower.MayStayQuiet(lost + Seconds(1)));
  const DirectoryNews news{ 8,
                            20,
                            { BackendRemoval{ InstanceId("one"), 15 } } };
  BOOST_TEST(follower.RecordTold(news, lost).has_value());
  BOOST_TEST(follower.Revision() == 20U);
  BOOST_TEST(!follower.MayStayQuiet(lost + settings.mMostQuiet));
  follower.RecordRead(DirectoryError::HistoryGone, lost);
  BOOST_TEST(!follower.MayStayQuiet(lost));
}

BOOST_AUTO_TEST_CASE(DocumentNeverGoesBack)
{
  DirectoryFollower follower{ FollowerSettings() };
  follower.RecordRead(Changes(9, { Document(7) }), kStart);
  const FollowerNews news =
    follower.RecordWatch(Changes(10, { Document(6) }), kStart);
  BOOST_TEST(!news.mHasNewDocument);
  BOOST_TEST(follower.Document()->mVersion == 7U);
  follower.RecordRead(Changes(11, { Document(5) }), kStart);
  BOOST_TEST(follower.Document()->mVersion == 7U);
}

BOOST_AUTO_TEST_CASE(SilentWatchIsCheckedByAReading)
{
  DirectoryFollower follower{ FollowerSettings() };
  follower.RecordRead(Changes(9, { Entry("one", 5) }), kStart);
  follower.RecordWatch(Changes(9, {}), kStart + Seconds(1));
  BOOST_CHECK(follower.Next().mKind == Kind::ReadAll);
  BOOST_TEST(follower.Next().mDelay.count() == 0);
}

BOOST_AUTO_TEST_CASE(ForgottenHistoryIsReadAgainAtOnce)
{
  DirectoryFollower follower{ FollowerSettings() };
  follower.RecordRead(Changes(9, { Entry("one", 5) }), kStart);
  const FollowerNews news =
    follower.RecordWatch(DirectoryError::HistoryGone, kStart);
  BOOST_TEST(!news.mWasLost);
  BOOST_CHECK(follower.Next().mKind == Kind::ReadAll);
  BOOST_TEST(follower.Next().mDelay.count() == 0);
}

BOOST_AUTO_TEST_CASE(FailuresAreRepeatedWithGrowingPauses)
{
  const FollowerSettings settings;
  DirectoryFollower follower{ settings };
  BOOST_TEST(follower.RecordRead(DirectoryError::Unreachable, kStart).mWasLost);
  BOOST_CHECK(follower.Next().mDelay == settings.mFirstRetry);
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(!follower.RecordRead(DirectoryError::Refused, kStart).mWasLost);
  }
  BOOST_CHECK(follower.Next().mDelay == settings.mMostRetry);
  BOOST_TEST(follower.RecordRead(Changes(1, {}), kStart).mWasRegained);
}

BOOST_AUTO_TEST_CASE(ServerMissingAfterAnOutageIsKeptForTheHold)
{
  const FollowerSettings settings;
  DirectoryFollower follower{ settings };
  follower.RecordRead(Changes(9, { Entry("one", 5) }), kStart);
  follower.RecordWatch(DirectoryError::Unreachable, kStart + Seconds(1));
  const Timestamp back = kStart + settings.mOutage + Seconds(1);
  follower.RecordRead(Changes(20, {}), back);
  BOOST_TEST(follower.Backends().Usable(kPool, kStart).size() == 1U);
  follower.Backends().RemoveExpired(back + settings.mHold);
  BOOST_TEST(follower.Backends().Usable(kPool, kStart).empty());
}

BOOST_AUTO_TEST_CASE(ServerMissingWithoutAnOutageIsGoneAtOnce)
{
  DirectoryFollower follower{ FollowerSettings() };
  follower.RecordRead(Changes(9, { Entry("one", 5) }), kStart);
  follower.RecordRead(Changes(20, {}), kStart + Seconds(1));
  BOOST_TEST(follower.Backends().Usable(kPool, kStart).empty());
}

/** An entry that relied on others took its next call for the end of an outage
 * and went on using a server that had left (day growth on vpl-renewals). */
BOOST_AUTO_TEST_CASE(TimeInWhichOthersConfirmedIsNoOutage)
{
  const FollowerSettings settings;
  DirectoryFollower follower{ settings };
  follower.RecordRead(Changes(9, { Entry("one", 5) }), kStart);
  const Timestamp later = kStart + settings.mOutage * 3;
  follower.RecordConfirmed(later - Milliseconds(200));
  follower.RecordWatch(Changes(20, { BackendRemoval{ InstanceId("one"), 20 } }),
                       later);
  BOOST_TEST(follower.Backends().Usable(kPool, kStart).empty());
}

BOOST_AUTO_TEST_CASE(ZoneThatIsNoLongerEvacuatedComesBack)
{
  DirectoryFollower follower{ FollowerSettings() };
  const ZoneName zone("a");
  follower.RecordRead(Changes(9, { ZoneEvacuation{ zone, true } }), kStart);
  BOOST_TEST(follower.Backends().EvacuatedZones().count(zone) == 1U);
  follower.RecordRead(Changes(10, {}), kStart);
  BOOST_TEST(follower.Backends().EvacuatedZones().empty());
}

BOOST_AUTO_TEST_CASE(UnreadableItemLeavesTheOthers)
{
  DirectoryFollower follower{ FollowerSettings() };
  const FollowerNews news = follower.RecordRead(
    Changes(9, { UnreadableItem{ "key", "reason" }, Entry("one", 5) }), kStart);
  BOOST_TEST(news.mUnreadable.size() == 1U);
  BOOST_TEST(follower.Backends().Usable(kPool, kStart).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
