#include "forwarding/documentfollower.h"

#include <boost/test/unit_test.hpp>

namespace medlarkeel {

namespace {

const Timestamp kStart{ Seconds(1000) };
const DirectoryPosition kPosition{ {}, 10 };

} // namespace

BOOST_AUTO_TEST_SUITE(documentfollower)

BOOST_AUTO_TEST_CASE(ChangesFollowTheRead)
{
  DocumentFollower follower{ DocumentFollowerSettings() };
  BOOST_CHECK(follower.Next().mKind == DirectoryCall::Kind::ReadAll);
  follower.RecordAnswer(DirectoryChanges{ {}, kPosition });
  BOOST_CHECK(follower.Next().mKind == DirectoryCall::Kind::Watch);
  BOOST_CHECK(follower.Next().mPosition == kPosition);
  follower.RecordAnswer(DirectoryChanges{ {}, { {}, 12 } });
  BOOST_TEST(follower.Next().mPosition.mRevision == 12U);
}

BOOST_AUTO_TEST_CASE(FailedCallsAreFollowedByAReadWithBackoff)
{
  DocumentFollowerSettings settings;
  DocumentFollower follower(settings);
  follower.RecordAnswer(DirectoryChanges{ {}, kPosition });
  Milliseconds delay{ 0 };
  for (int i = 0; i < 10; ++i) {
    follower.RecordAnswer(DirectoryError::HistoryCompacted);
    BOOST_CHECK(follower.Next().mKind == DirectoryCall::Kind::ReadAll);
    BOOST_CHECK(follower.Next().mDelay > delay ||
                follower.Next().mDelay == settings.mMaximumRetryDelay);
    delay = follower.Next().mDelay;
  }
}

/** Guards against a document that never arrives because the connection of the
 * waiting call is dead. */
BOOST_AUTO_TEST_CASE(VersionOfAPeerThatIsMissingHereIsRead)
{
  const DocumentFollowerSettings settings;
  DocumentFollower follower(settings);
  follower.RecordPeerVersion(7, kStart);
  BOOST_TEST(!follower.TakeReadDue(6, kStart));
  const Timestamp due = kStart + settings.mArrivalTime;
  BOOST_TEST(!follower.TakeReadDue(7, due));
  BOOST_TEST(follower.TakeReadDue(6, due));
  BOOST_TEST(!follower.TakeReadDue(6, due));
  BOOST_TEST(follower.TakeReadDue(6, due + settings.mReadInterval));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
