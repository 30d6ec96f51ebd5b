#include "forwarding/directoryfollower.h"

#include <boost/test/unit_test.hpp>

namespace medlarkeel {

namespace {

using Kind = DirectoryCall::Kind;

const Timestamp kStart{ Seconds(1000) };
const PoolName kPool("pool");

BackendEntry
Entry(const char* aId, std::uint64_t aRevision)
{
  BackendEntry entry;
  entry.mId = InstanceId(aId);
  entry.mPool = kPool;
  entry.mPosition = { {}, aRevision };
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
  return { std::move(aChanges), { {}, aRevision } };
}

DirectoryChanges
InEra(std::uint64_t aEra,
      std::uint64_t aRevision,
      std::vector<DirectoryChange> aChanges)
{
  return { std::move(aChanges), { { aEra }, aRevision } };
}

BackendEntry
EntryInEra(const char* aId, std::uint64_t aEra, std::uint64_t aRevision)
{
  BackendEntry entry = Entry(aId, aRevision);
  entry.mPosition.mEra = DirectoryEra{ aEra };
  return entry;
}

} // namespace

BOOST_AUTO_TEST_SUITE(directoryfollower)

BOOST_AUTO_TEST_CASE(WatchFollowsFullRead)
{
  DirectoryFollower follower{ FollowerSettings() };
  BOOST_CHECK(follower.Next().mKind == Kind::ReadAll);
  follower.RecordRead(Changes(9, { Document(3), Entry("one", 5) }), kStart);
  BOOST_CHECK(follower.Next().mKind == Kind::Watch);
  BOOST_TEST(follower.Next().mPosition.mRevision == 9U);
  BOOST_TEST(follower.HasRead());
  BOOST_TEST(follower.Document()->mVersion == 3U);
}

/** The first full read of a process may be seconds old. A key that was revoked
 * since then must not come into force before the later changes are read. */
BOOST_AUTO_TEST_CASE(StaleReadIsUsedOnlyWithLaterChanges)
{
  DirectoryFollower follower{ FollowerSettings() };
  BOOST_CHECK(follower.Freshness() == ReadFreshness::MayBeStale);
  follower.RecordRead(
    Changes(9, { Document(3) }), kStart, ReadFreshness::MayBeStale);
  BOOST_TEST(!follower.HasRead());
  BOOST_TEST(!follower.Document());
  BOOST_TEST(follower.Next().mDelay.count() == 0);
  BOOST_TEST(!follower.CanSkipCall(kStart));
  follower.RecordWatch(Changes(12, { Document(4) }), kStart);
  BOOST_TEST(follower.HasRead());
  BOOST_TEST(follower.Document()->mVersion == 4U);
  BOOST_CHECK(follower.Freshness() == ReadFreshness::Newest);
}

BOOST_AUTO_TEST_CASE(NewestReadIsUsedAtOnce)
{
  DirectoryFollower follower{ FollowerSettings() };
  DirectoryChanges contents = Changes(9, { Document(3), Entry("one", 5) });
  contents.mIsNewest = true;
  follower.RecordRead(contents, kStart, ReadFreshness::MayBeStale);
  BOOST_TEST(follower.HasRead());
  BOOST_TEST(follower.Document()->mVersion == 3U);
}

BOOST_AUTO_TEST_CASE(StaleReadWithoutLaterChangesIsRepeated)
{
  for (const bool isCompacted : { true, false }) {
    DirectoryFollower follower{ FollowerSettings() };
    follower.RecordRead(Changes(9, { Document(3), Entry("one", 5) }),
                        kStart,
                        ReadFreshness::MayBeStale);
    if (isCompacted) {
      follower.RecordWatch(DirectoryError::HistoryCompacted, kStart);
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

/** A failed call must keep the known revision; without it, deltas that peers
 * relay can't be applied. */
BOOST_AUTO_TEST_CASE(CallAfterFailureCanBeSkippedWhilePeersRelay)
{
  const FollowerSettings settings;
  DirectoryFollower follower{ settings };
  follower.RecordRead(Changes(9, { Entry("one", 5) }), kStart);
  const Timestamp failedAt = kStart + Seconds(1);
  follower.RecordWatch(DirectoryError::Unreachable, failedAt);
  BOOST_TEST(follower.HasLostContact());
  BOOST_CHECK(follower.Next().mDelay == settings.mFirstRetryDelay);
  BOOST_TEST(follower.CanSkipCall(failedAt + Seconds(1)));
  const DirectoryDelta delta{
    { {}, 8 }, { {}, 20 }, { BackendRemoval{ InstanceId("one"), { {}, 15 } } }
  };
  BOOST_TEST(follower.RecordRelayedDelta(delta, failedAt).has_value());
  BOOST_TEST(follower.Position().mRevision == 20U);
  BOOST_TEST(!follower.CanSkipCall(failedAt + settings.mMaximumQuietTime));
  follower.RecordRead(DirectoryError::HistoryCompacted, failedAt);
  BOOST_TEST(!follower.CanSkipCall(failedAt));
}

/** Guards against thousands of calls a second to a directory that answers each
 * full read like a call from a lost position. */
BOOST_AUTO_TEST_CASE(FailedReadsFollowEachOtherWithPauses)
{
  const FollowerSettings settings;
  DirectoryFollower follower{ settings };
  follower.RecordRead(DirectoryError::HistoryCompacted, kStart);
  BOOST_CHECK(follower.Next().mDelay == settings.mFirstRetryDelay);
  for (int i = 0; i < 10; ++i) {
    follower.RecordRead(DirectoryError::HistoryCompacted, kStart);
  }
  BOOST_CHECK(follower.Next().mDelay == settings.mMaximumRetryDelay);
  follower.RecordRead(Changes(9, { Entry("one", 5) }), kStart);
  follower.RecordWatch(DirectoryError::HistoryCompacted, kStart);
  BOOST_TEST(follower.Next().mDelay.count() == 0);
}

BOOST_AUTO_TEST_CASE(DocumentVersionNeverDecreases)
{
  DirectoryFollower follower{ FollowerSettings() };
  follower.RecordRead(Changes(9, { Document(7) }), kStart);
  const FollowerUpdate update =
    follower.RecordWatch(Changes(10, { Document(6) }), kStart);
  BOOST_TEST(!update.mHasNewDocument);
  BOOST_TEST(follower.Document()->mVersion == 7U);
  follower.RecordRead(Changes(11, { Document(5) }), kStart);
  BOOST_TEST(follower.Document()->mVersion == 7U);
}

/** Guards against changes that the call for all changes reverts, because it
 * delivers them later than the call for documents. */
BOOST_AUTO_TEST_CASE(DocumentsAndZonesOvertakeOtherChanges)
{
  const ZoneName zone("b");
  DirectoryFollower follower{ FollowerSettings() };
  follower.RecordRead(Changes(9, { Document(3), Entry("one", 5) }), kStart);
  const FollowerUpdate update = follower.RecordDocuments(
    Changes(14,
            { Document(4),
              ZoneEvacuation{ zone, true, { {}, 10 } },
              ZoneEvacuation{ zone, false, { {}, 12 } } }),
    kStart);
  BOOST_TEST(update.mHasNewDocument);
  BOOST_TEST(follower.Position().mRevision == 9U);
  follower.RecordWatch(
    Changes(10, { ZoneEvacuation{ zone, true, { {}, 10 } } }), kStart);
  BOOST_TEST(follower.Document()->mVersion == 4U);
  BOOST_TEST(!follower.Backends().IsEvacuated(zone, kStart));
  follower.RecordDocuments(
    Changes(20, { ZoneEvacuation{ zone, true, { {}, 20 } } }), kStart);
  follower.RecordRead(Changes(18, { Entry("one", 17) }), kStart);
  BOOST_TEST(follower.Backends().IsEvacuated(zone, kStart));
}

BOOST_AUTO_TEST_CASE(DocumentsOfALaterEraCauseAFullRead)
{
  const ZoneName zone("b");
  DirectoryFollower follower{ FollowerSettings() };
  follower.RecordRead(InEra(1, 9, { EntryInEra("one", 1, 5) }), kStart);
  follower.RecordDocuments(
    InEra(2, 4, { Document(4), ZoneEvacuation{ zone, true, { { 2 }, 3 } } }),
    kStart);
  BOOST_CHECK(follower.Next().mKind == Kind::ReadAll);
  BOOST_TEST(follower.Document()->mVersion == 4U);
  BOOST_TEST(!follower.Backends().IsEvacuated(zone, kStart));
  follower.RecordDocuments(InEra(1, 12, { Document(5) }), kStart);
  BOOST_TEST(follower.Document()->mVersion == 4U);
}

/** Guards against entries that replay the renewals of thousands of servers from
 * an old position, which takes many times as long as a full read. */
BOOST_AUTO_TEST_CASE(OldPositionOfALongListIsReadInFull)
{
  FollowerSettings settings;
  const auto kindAfter = [&](std::size_t aServers, Milliseconds aAge) {
    DirectoryFollower follower(settings);
    std::vector<DirectoryChange> entries;
    for (std::size_t i = 0; i < aServers; ++i) {
      entries.emplace_back(Entry(std::to_string(i).c_str(), 5));
    }
    follower.RecordRead(Changes(9, std::move(entries)), kStart);
    return follower.CallAt(kStart + aAge).mKind;
  };
  const Milliseconds old = settings.mHeartbeat + Milliseconds(1);
  BOOST_CHECK(kindAfter(3000, old) == Kind::ReadAll);
  BOOST_CHECK(kindAfter(3000, settings.mHeartbeat) == Kind::Watch);
  BOOST_CHECK(kindAfter(50, old) == Kind::Watch);
}

BOOST_AUTO_TEST_CASE(EmptyWatchIsFollowedByFullRead)
{
  DirectoryFollower follower{ FollowerSettings() };
  follower.RecordRead(Changes(9, { Entry("one", 5) }), kStart);
  follower.RecordWatch(Changes(9, {}), kStart + Seconds(1));
  BOOST_CHECK(follower.Next().mKind == Kind::ReadAll);
  BOOST_TEST(follower.Next().mDelay.count() == 0);
}

BOOST_AUTO_TEST_CASE(CompactedHistoryCausesImmediateFullRead)
{
  DirectoryFollower follower{ FollowerSettings() };
  follower.RecordRead(Changes(9, { Entry("one", 5) }), kStart);
  const FollowerUpdate update =
    follower.RecordWatch(DirectoryError::HistoryCompacted, kStart);
  BOOST_TEST(!update.mHasLostContact);
  BOOST_CHECK(follower.Next().mKind == Kind::ReadAll);
  BOOST_TEST(follower.Next().mDelay.count() == 0);
}

BOOST_AUTO_TEST_CASE(FailedCallsAreRetriedWithBackoff)
{
  const FollowerSettings settings;
  DirectoryFollower follower{ settings };
  BOOST_TEST(
    follower.RecordRead(DirectoryError::Unreachable, kStart).mHasLostContact);
  BOOST_CHECK(follower.Next().mDelay == settings.mFirstRetryDelay);
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(
      !follower.RecordRead(DirectoryError::Refused, kStart).mHasLostContact);
  }
  BOOST_CHECK(follower.Next().mDelay == settings.mMaximumRetryDelay);
  BOOST_TEST(follower.RecordRead(Changes(1, {}), kStart).mHasRestoredContact);
}

BOOST_AUTO_TEST_CASE(ServerMissingAfterOutageIsKeptForGracePeriod)
{
  const FollowerSettings settings;
  DirectoryFollower follower{ settings };
  follower.RecordRead(Changes(9, { Entry("one", 5) }), kStart);
  follower.RecordWatch(DirectoryError::Unreachable, kStart + Seconds(1));
  const Timestamp restoredAt = kStart + settings.mOutageThreshold + Seconds(1);
  follower.RecordRead(Changes(20, {}), restoredAt);
  BOOST_TEST(follower.Backends().Usable(kPool, kStart).size() == 1U);
  follower.Backends().RemoveExpired(restoredAt + settings.mGracePeriod);
  BOOST_TEST(follower.Backends().Usable(kPool, kStart).empty());
}

/** Guards against a server that is kept for the whole grace period after the
 * first answer, though the outage had ended up to 1.2 s before. */
BOOST_AUTO_TEST_CASE(GracePeriodCountsFromTheLastFailedCall)
{
  const FollowerSettings settings;
  DirectoryFollower follower(settings);
  follower.RecordRead(Changes(9, { Entry("one", 5), Entry("two", 6) }), kStart);
  const Timestamp failing = kStart + Seconds(5);
  follower.RecordCallStarted(failing);
  follower.RecordRead(DirectoryError::Unreachable, failing + Milliseconds(700));
  const Timestamp answered = failing + Milliseconds(1200);
  follower.RecordCallStarted(answered);
  follower.RecordRead(Changes(20, { Entry("one", 5) }), answered);
  const auto usableAt = [&](Timestamp aTime) {
    return follower.Backends().Usable(kPool, aTime).size();
  };
  BOOST_TEST(usableAt(answered + Milliseconds(1500)) == 2U);
  BOOST_TEST(usableAt(failing + Milliseconds(3000)) == 1U);
}

BOOST_AUTO_TEST_CASE(ServerMissingWithoutOutageIsRemovedAtOnce)
{
  DirectoryFollower follower{ FollowerSettings() };
  follower.RecordRead(Changes(9, { Entry("one", 5) }), kStart);
  follower.RecordRead(Changes(20, {}), kStart + Seconds(1));
  BOOST_TEST(follower.Backends().Usable(kPool, kStart).empty());
}

/** Guards against treating the time in which an entry relied on its peers as an
 * outage: its next call then started the grace period, and it kept using a
 * server that was already removed (seen on vpl-renewals, day growth). */
BOOST_AUTO_TEST_CASE(TimeConfirmedByPeersIsNoOutage)
{
  const FollowerSettings settings;
  DirectoryFollower follower{ settings };
  follower.RecordRead(Changes(9, { Entry("one", 5) }), kStart);
  const Timestamp later = kStart + settings.mOutageThreshold * 3;
  follower.RecordPeerConfirmation(later - Milliseconds(200));
  follower.RecordWatch(
    Changes(20, { BackendRemoval{ InstanceId("one"), { {}, 20 } } }), later);
  BOOST_TEST(follower.Backends().Usable(kPool, kStart).empty());
}

BOOST_AUTO_TEST_CASE(ZoneMissingFromFullReadIsNoLongerEvacuated)
{
  DirectoryFollower follower{ FollowerSettings() };
  const ZoneName zone("a");
  follower.RecordRead(Changes(9, { ZoneEvacuation{ zone, true, {} } }), kStart);
  BOOST_TEST(follower.Backends().EvacuatedZones().count(zone) == 1U);
  follower.RecordRead(Changes(10, {}), kStart);
  BOOST_TEST(follower.Backends().EvacuatedZones().empty());
}

/** Guards against taking the answer to a call for changes in a later era for a
 * continuation of what is known. */
BOOST_AUTO_TEST_CASE(ChangesOfALaterEraAreFollowedByAFullRead)
{
  DirectoryFollower follower{ FollowerSettings() };
  follower.RecordRead(Changes(9, { Entry("one", 5) }), kStart);
  const FollowerUpdate update =
    follower.RecordWatch(InEra(1, 12, { EntryInEra("two", 1, 11) }), kStart);
  BOOST_REQUIRE(update.mNewEra.has_value());
  BOOST_TEST(!update.mNewEra->mIsRead);
  BOOST_CHECK(follower.Next().mKind == Kind::ReadAll);
  BOOST_TEST(follower.Next().mDelay.count() == 0);
  BOOST_TEST(!follower.CanSkipCall(kStart));
  BOOST_TEST(!follower.RecentDelta(kStart).has_value());
  BOOST_TEST(
    follower.RecordRead(InEra(1, 12, { EntryInEra("one", 1, 5) }), kStart)
      .mNewEra->mIsRead);
  BOOST_CHECK(follower.Next().mKind == Kind::Watch);
  BOOST_CHECK((follower.Position() == DirectoryPosition{ { 1 }, 12 }));
}

/** Guards against going back with an answer of an earlier era that arrives
 * late, and against taking it for contact. */
BOOST_AUTO_TEST_CASE(AnswerOfAnEarlierEraIsNotApplied)
{
  DirectoryFollower follower{ FollowerSettings() };
  follower.RecordRead(InEra(2, 9, { EntryInEra("one", 2, 5) }), kStart);
  const FollowerUpdate update = follower.RecordRead(
    InEra(1, 90, { EntryInEra("two", 1, 80) }), kStart + Seconds(1));
  BOOST_TEST(update.mHasLostContact);
  BOOST_CHECK(update.mError == DirectoryError::EarlierEra);
  follower.RecordWatch(InEra(1, 90, { EntryInEra("two", 1, 80) }),
                       kStart + Seconds(1));
  const auto usable = follower.Backends().Usable(kPool, kStart);
  BOOST_REQUIRE(usable.size() == 1U);
  BOOST_TEST(usable.front()->mEntry.mId.Text() == "one");
  BOOST_CHECK(follower.Next().mKind == Kind::ReadAll);
}

/** Guards against an entry that drops what its peers relay of the new era, or
 * relays changes of the old one, until it has read the directory itself. */
BOOST_AUTO_TEST_CASE(EraToldByAPeerIsRelayedAndItsChangesApply)
{
  DirectoryFollower follower{ FollowerSettings() };
  const ZoneName zone("a");
  follower.RecordRead(InEra(1, 900, { EntryInEra("one", 1, 890) }), kStart);
  follower.RecordWatch(
    InEra(1, 901, { ZoneEvacuation{ zone, true, { { 1 }, 901 } } }), kStart);
  const DirectoryEra era{ 2 };
  BOOST_TEST(follower.RecordPeerEra(era, Seconds(1), kStart).has_value());
  BOOST_TEST(!follower.RecordPeerEra(era, Seconds(1), kStart).has_value());
  BOOST_TEST(!follower.RecentDelta(kStart).has_value());
  BOOST_CHECK((follower.Position() == DirectoryPosition{ era, 0 }));
  follower.RecordWatch(DirectoryError::Unreachable, kStart);
  BackendEntry draining = EntryInEra("one", 2, 402);
  draining.mIsDraining = true;
  const DirectoryDelta delta{ { era, 400 },
                              { era, 404 },
                              { draining,
                                ZoneEvacuation{ zone, false, { era, 403 } } } };
  BOOST_TEST(follower.RecordRelayedDelta(delta, kStart).has_value());
  BOOST_TEST(follower.Backends().Usable(kPool, kStart).empty());
  BOOST_TEST(!follower.Backends().IsEvacuated(zone, kStart));
  // What is relayed again, or of the earlier era, changes nothing.
  const DirectoryDelta earlier{ { { 1 }, 900 },
                                { { 1 }, 910 },
                                { EntryInEra("one", 1, 905) } };
  BOOST_TEST(!follower.RecordRelayedDelta(earlier, kStart).has_value());
  BOOST_TEST(follower.RecordRelayedDelta(delta, kStart)->mZones.empty());
  BOOST_TEST(follower.Backends().Usable(kPool, kStart).empty());
  BOOST_CHECK((follower.Position() == DirectoryPosition{ era, 0 }));
  BOOST_TEST(!follower.CanSkipCall(kStart));
}

/** Guards against requests to a server whose process was replaced: the copy has
 * the earlier process under the same id. */
BOOST_AUTO_TEST_CASE(ReplacedProcessDoesNotComeBackWithTheCopy)
{
  DirectoryFollower follower{ FollowerSettings() };
  BackendEntry first = EntryInEra("one", 1, 5);
  first.mStartedAt = Milliseconds(10);
  BackendEntry second = EntryInEra("one", 1, 50);
  second.mStartedAt = Milliseconds(20);
  follower.RecordRead(InEra(1, 9, { first }), kStart);
  follower.RecordWatch(InEra(1, 50, { second }), kStart);
  first.mPosition.mEra = DirectoryEra{ 2 };
  follower.RecordRead(InEra(2, 9, { first }), kStart + Seconds(1));
  const ListedBackend* listed = follower.Backends().Find(InstanceId("one"));
  BOOST_REQUIRE(listed != nullptr);
  BOOST_CHECK(listed->mEntry.mStartedAt == Milliseconds(20));
}

/** Guards against requests to a server that was draining and is ready in the
 * copy, and against withholding it for longer than necessary. */
BOOST_AUTO_TEST_CASE(DrainingServerIsWithheldUntilItIsWrittenAgain)
{
  const FollowerSettings settings;
  for (const bool isWritten : { true, false }) {
    DirectoryFollower follower{ settings };
    BackendEntry draining = EntryInEra("one", 1, 50);
    draining.mIsDraining = true;
    follower.RecordRead(InEra(1, 60, { draining }), kStart);
    follower.RecordRead(InEra(2, 40, { EntryInEra("one", 2, 30) }), kStart);
    const BackendList& list = follower.Backends();
    BOOST_TEST(list.Usable(kPool, kStart).empty());
    const Timestamp end = kStart + settings.mRestoreHoldTime;
    BOOST_TEST(list.Usable(kPool, end - Milliseconds(1)).empty());
    BOOST_TEST(list.Usable(kPool, end).size() == 1U);
    if (isWritten) {
      follower.RecordWatch(InEra(2, 41, { EntryInEra("one", 2, 41) }), kStart);
      BOOST_TEST(list.Usable(kPool, kStart).size() == 1U);
    }
  }
}

BOOST_AUTO_TEST_CASE(UnreadableItemDoesNotAffectOthers)
{
  DirectoryFollower follower{ FollowerSettings() };
  const FollowerUpdate update = follower.RecordRead(
    Changes(9, { UnreadableItem{ "key", "reason" }, Entry("one", 5) }), kStart);
  BOOST_TEST(update.mUnreadable.size() == 1U);
  BOOST_TEST(follower.Backends().Usable(kPool, kStart).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
