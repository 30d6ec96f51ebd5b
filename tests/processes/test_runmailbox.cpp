#include "runmailbox.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <future>

namespace medlarkeel {

using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(runmailbox)

// Data that an entry doesn't take is kept without a bound.
BOOST_AUTO_TEST_CASE(DataBeyondTheBoundWaitsUntilItIsTaken)
{
  RunMailbox mailbox;
  mailbox.Post(RunData{ std::string(60, 'x') });
  mailbox.Post(RunData{ std::string(60, 'x') });
  auto space = std::async(std::launch::async, [&mailbox] {
    mailbox.WaitForSpace(100, [] { return false; });
  });
  BOOST_CHECK(space.wait_for(milliseconds(200)) == std::future_status::timeout);
  BOOST_TEST(mailbox.Wait(milliseconds(0)).has_value());
  BOOST_CHECK(space.wait_for(std::chrono::seconds(5)) ==
              std::future_status::ready);
}

// A run whose entry has left waits for space that nobody makes.
BOOST_AUTO_TEST_CASE(WaitForSpaceEndsWhenTheRunIsToStop)
{
  RunMailbox mailbox;
  mailbox.Post(RunData{ std::string(200, 'x') });
  std::atomic<bool> stops{ false };
  auto space = std::async(std::launch::async, [&] {
    mailbox.WaitForSpace(100, [&stops] { return stops.load(); });
  });
  BOOST_CHECK(space.wait_for(milliseconds(200)) == std::future_status::timeout);
  stops = true;
  BOOST_CHECK(space.wait_for(std::chrono::seconds(5)) ==
              std::future_status::ready);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
