#include "forwarding/restoreguard.h"

#include <boost/test/unit_test.hpp>

namespace medlarkeel {

namespace {

const Timestamp kStart{ Seconds(1000) };
const Timestamp kHoldUntil = kStart + Seconds(4);
const ZoneName kZone("a");
constexpr ProcessHash kProcess = 7;

DirectoryPosition
At(std::uint64_t aEra, std::uint64_t aRevision)
{
  return { DirectoryEra{ aEra }, aRevision };
}

} // namespace

BOOST_AUTO_TEST_SUITE(restoreguard)

/** Guards against any effect while the directory was never restored. */
BOOST_AUTO_TEST_CASE(NothingIsWithheldWithoutARestore)
{
  RestoreGuard guard;
  guard.RecordWithdrawn(kProcess);
  BOOST_TEST(!guard.IsWithheld(kProcess, kStart));
  BOOST_TEST(!guard.MayBeFromCopy(At(0, 5), kStart));
  guard.RecordEvacuation(kZone, At(0, 5), false, kStart);
  BOOST_TEST(guard.IsEvacuated(kZone, true, kStart));
  guard.RecordEvacuationEnd(kZone, At(0, 5), At(0, 6), true, kStart);
  guard.RecordEvacuation(kZone, At(0, 5), false, kStart);
  BOOST_TEST(guard.IsEvacuated(kZone, true, kStart));
  BOOST_TEST(!guard.IsEvacuated(kZone, false, kStart));
}

BOOST_AUTO_TEST_CASE(ItemsUpToTheBaseMayBeFromTheCopy)
{
  RestoreGuard guard;
  guard.Begin(At(1, 50), kHoldUntil, kStart);
  BOOST_TEST(guard.MayBeFromCopy(At(1, 50), kStart));
  BOOST_TEST(!guard.MayBeFromCopy(At(1, 51), kStart));
  BOOST_TEST(!guard.MayBeFromCopy(At(1, 50), kHoldUntil));
}

BOOST_AUTO_TEST_CASE(WithdrawnProcessIsWithheldUntilItIsWrittenOrTheTimeEnds)
{
  RestoreGuard guard;
  guard.RecordWithdrawn(kProcess);
  guard.Begin(At(1, 50), kHoldUntil, kStart);
  BOOST_TEST(guard.IsWithheld(kProcess, kStart));
  BOOST_TEST(!guard.IsWithheld(kProcess + 1, kStart));
  BOOST_TEST(!guard.IsWithheld(kProcess, kHoldUntil));
  guard.RecordReady(kProcess);
  BOOST_TEST(!guard.IsWithheld(kProcess, kStart));
}

BOOST_AUTO_TEST_CASE(EvacuationThatTheCopyLacksIsKeptForTheTime)
{
  RestoreGuard guard;
  guard.RecordEvacuation(kZone, At(0, 60), false, kStart);
  guard.Begin(At(1, 50), kHoldUntil, kStart);
  guard.RecordEvacuationEnd(kZone, At(0, 60), At(1, 50), true, kStart);
  BOOST_TEST(guard.IsEvacuated(kZone, false, kStart));
  BOOST_TEST(!guard.IsEvacuated(kZone, false, kHoldUntil));
  // The operator ends it again.
  guard.RecordEvacuation(kZone, At(1, 51), true, kStart);
  guard.RecordEvacuationEnd(kZone, At(1, 51), At(1, 52), true, kStart);
  BOOST_TEST(!guard.IsEvacuated(kZone, false, kStart));
}

/** Guards against keeping an evacuation that was ended after the restore and
 * is missing in a second full read. */
BOOST_AUTO_TEST_CASE(EvacuationThatTheEraHasListedEndsAtOnce)
{
  RestoreGuard guard;
  guard.RecordEvacuation(kZone, At(0, 40), false, kStart);
  guard.Begin(At(1, 50), kHoldUntil, kStart);
  guard.RecordEvacuation(kZone, At(1, 40), true, kStart);
  guard.RecordEvacuationEnd(kZone, At(1, 40), At(1, 50), true, kStart);
  BOOST_TEST(!guard.IsEvacuated(kZone, false, kStart));
}

BOOST_AUTO_TEST_CASE(EvacuationThatHadEndedIsDeferred)
{
  RestoreGuard guard;
  guard.RecordEvacuation(kZone, At(0, 40), false, kStart);
  guard.RecordEvacuationEnd(kZone, At(0, 40), At(0, 60), true, kStart);
  guard.Begin(At(1, 50), kHoldUntil, kStart);
  guard.RecordEvacuation(kZone, At(1, 40), false, kStart);
  BOOST_TEST(!guard.IsEvacuated(kZone, true, kStart));
  BOOST_TEST(guard.IsEvacuated(kZone, true, kHoldUntil));
  // The operator evacuates it anew.
  guard.RecordEvacuation(kZone, At(1, 51), false, kStart);
  BOOST_TEST(guard.IsEvacuated(kZone, true, kStart));
}

/** Guards against deferring an evacuation that the operator wrote between the
 * restore and the first full read. */
BOOST_AUTO_TEST_CASE(EvacuationWithAnUnknownRevisionIsInForceAtOnce)
{
  RestoreGuard guard;
  guard.RecordEvacuation(kZone, At(0, 40), false, kStart);
  guard.RecordEvacuationEnd(kZone, At(0, 40), At(0, 60), true, kStart);
  guard.Begin(At(1, 50), kHoldUntil, kStart);
  guard.RecordEvacuation(kZone, At(1, 45), false, kStart);
  BOOST_TEST(guard.IsEvacuated(kZone, true, kStart));
}

/** Guards against losing the knowledge with a second restore in the time of the
 * first one. */
BOOST_AUTO_TEST_CASE(SecondRestoreContinuesWhatIsWithheld)
{
  RestoreGuard guard;
  guard.RecordWithdrawn(kProcess);
  guard.RecordEvacuation(kZone, At(0, 60), false, kStart);
  guard.Begin(At(1, 50), kHoldUntil, kStart);
  guard.RecordEvacuationEnd(kZone, At(0, 60), At(1, 50), true, kStart);
  const Timestamp second = kStart + Seconds(2);
  guard.Begin(At(2, 50), second + Seconds(4), second);
  BOOST_TEST(guard.IsEvacuated(kZone, false, kHoldUntil));
  BOOST_TEST(guard.IsWithheld(kProcess, kHoldUntil));
  guard.ShortenHold(second + Seconds(1));
  BOOST_TEST(!guard.IsEvacuated(kZone, false, second + Seconds(1)));
  BOOST_TEST(!guard.IsWithheld(kProcess, second + Seconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
