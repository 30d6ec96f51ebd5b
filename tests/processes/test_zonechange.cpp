#include "verdict.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>
#include <thread>

namespace medlarkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Time in which a zone change is in force everywhere. */
constexpr seconds kChangeTime{ 4 };
constexpr int kCalls = 60;

} // namespace

BOOST_AUTO_TEST_SUITE(zonechange)

BOOST_AUTO_TEST_CASE(ConfirmationsGoOnWhileAZoneIsOut)
{
  Fleet fleet;
  BackendPair& inside = fleet.AddService({}, "xela-a");
  BackendPair& outside = fleet.AddService({}, "xela-b");
  fleet.AddEntry();
  fleet.RequireReady();
  fleet.RequireConfirmations();
  fleet.Document()["zones"][1]["state"] = "out";
  fleet.Publish();
  std::this_thread::sleep_for(kChangeTime);
  const int before = Statistic(outside, "runs");
  for (int number = 0; number < kCalls; ++number) {
    const std::string id = "out-" + std::to_string(number);
    const HttpCall call = fleet.Confirm(id, NewIdempotencyKey());
    const auto first = SendHttp(call);
    const auto repeat = SendHttp(call);
    BOOST_REQUIRE(first.has_value());
    BOOST_REQUIRE(repeat.has_value());
    BOOST_TEST(first.value().mStatus == 200, first.value().mBody);
    BOOST_TEST(first.value().mBody == repeat.value().mBody);
    BOOST_TEST(AllRuns({ &inside, &outside }, id) == 1);
  }
  BOOST_TEST(Statistic(outside, "runs") == before);
}

BOOST_AUTO_TEST_CASE(AKeyUsedBeforeTheChangeDoesNotRunAgainAfterIt)
{
  Fleet fleet;
  BackendPair& inside = fleet.AddService({}, "xela-a");
  BackendPair& outside = fleet.AddService({}, "xela-b");
  fleet.AddEntry();
  fleet.RequireReady();
  fleet.RequireConfirmations();
  std::vector<std::string> keys;
  std::vector<std::string> bodies;
  for (int number = 0; number < kCalls; ++number) {
    keys.push_back(NewIdempotencyKey());
    const auto reply =
      SendHttp(fleet.Confirm("early-" + std::to_string(number), keys.back()));
    BOOST_REQUIRE(reply.has_value());
    bodies.push_back(reply.value().mBody);
  }
  fleet.Document()["zones"][1]["state"] = "out";
  fleet.Publish();
  std::this_thread::sleep_for(kChangeTime);
  for (int number = 0; number < kCalls; ++number) {
    const auto index = static_cast<std::size_t>(number);
    const std::string id = "early-" + std::to_string(number);
    const auto repeat = SendHttp(fleet.Confirm(id, keys[index]));
    BOOST_REQUIRE(repeat.has_value());
    BOOST_TEST(repeat.value().mBody == bodies[index]);
    BOOST_TEST(AllRuns({ &inside, &outside }, id) == 1);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
