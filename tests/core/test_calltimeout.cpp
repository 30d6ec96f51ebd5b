#include "forwarding/calltimeout.h"

#include <boost/test/unit_test.hpp>

namespace medlarkeel {

namespace {

constexpr Milliseconds kExpected{ 700 };

/** Plays calls to a service whose answers take a time.
 * @return Calls until the first answer; 0 if none comes within a hundred. */
int
CallsUntilAnswer(CallTimeout& aTimeout, Milliseconds aAnswerTime)
{
  constexpr int kMostCalls = 100;
  for (int call = 1; call <= kMostCalls; ++call) {
    if (aAnswerTime < aTimeout.Next(kExpected)) {
      aTimeout.RecordAnswer(aAnswerTime);
      return call;
    }
    aTimeout.RecordTimeout();
  }
  return 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(calltimeout)

/** Guards against a process that never starts while answers take longer than
 * expected. */
BOOST_AUTO_TEST_CASE(FirstAnswerThatTakesLongIsAwaited)
{
  CallTimeout timeout{ CallTimeoutSettings() };
  BOOST_TEST(CallsUntilAnswer(timeout, Milliseconds(1000)) == 2);
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(CallsUntilAnswer(timeout, Milliseconds(1000)) == 1);
  }
}

BOOST_AUTO_TEST_CASE(AnswersThatBecomeSlowAreAwaited)
{
  CallTimeout timeout{ CallTimeoutSettings() };
  BOOST_TEST(CallsUntilAnswer(timeout, Milliseconds(4)) == 1);
  BOOST_TEST(CallsUntilAnswer(timeout, Milliseconds(1000)) == 6);
  BOOST_TEST(CallsUntilAnswer(timeout, Milliseconds(1000)) == 1);
}

BOOST_AUTO_TEST_CASE(LostAnswersDoNotDelayTheNextCall)
{
  CallTimeout timeout{ CallTimeoutSettings() };
  timeout.RecordAnswer(Milliseconds(4));
  for (int i = 0; i < 4; ++i) {
    timeout.RecordTimeout();
    BOOST_TEST(timeout.Next(kExpected).count() == kExpected.count());
  }
  for (int i = 0; i < 100; ++i) {
    timeout.RecordTimeout();
  }
  BOOST_TEST(timeout.Next(kExpected).count() == 2 * kExpected.count());
}

BOOST_AUTO_TEST_CASE(TimeoutReturnsWithTheAnswerTime)
{
  CallTimeout timeout{ CallTimeoutSettings() };
  timeout.RecordAnswer(Milliseconds(2000));
  BOOST_TEST(timeout.Next(kExpected).count() == 4000);
  for (int i = 0; i < 3; ++i) {
    timeout.RecordAnswer(Milliseconds(4));
  }
  BOOST_TEST(timeout.Next(kExpected).count() == kExpected.count());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
