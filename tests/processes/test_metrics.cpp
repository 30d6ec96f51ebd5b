#include "fleet.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>

namespace medlarkeel {

namespace {

using std::chrono::seconds;

/** @return The value of a time series; below 0 when it isn't there. */
double
Series(std::uint16_t aPort, const std::string& aName)
{
  HttpCall call;
  call.mUrl = LocalUrl(aPort, "/metrics");
  const auto reply = SendHttp(call);
  BOOST_REQUIRE(reply.has_value());
  const std::string text = "\n" + reply.value().mBody;
  const std::size_t place = text.find("\n" + aName + " ");
  if (place == std::string::npos) {
    return -1;
  }
  return std::strtod(text.c_str() + place + aName.size() + 2, nullptr);
}

bool
Reaches(std::uint16_t aPort, const std::string& aName, double aValue)
{
  return WaitUntil(seconds(10), [&] { return Series(aPort, aName) == aValue; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(metrics)

BOOST_AUTO_TEST_CASE(PagesMoveWithTraffic)
{
  Fleet fleet;
  fleet.SetConcurrency("proclamation", 1, 1);
  fleet.Publish();
  const BackendPair& engine = fleet.AddEngine({ "--token_gap_ms=20" });
  const EntryProcess& entry = fleet.AddEntry();
  fleet.RequireReady();
  auto running = BeginStream(fleet.Chat("runs", 100));
  BOOST_REQUIRE(WaitForStatistic(engine, "running", 1));
  auto queued = BeginStream(fleet.Chat("waits", 5));
  BOOST_TEST(Reaches(entry.mPort, "medlarkeel_requests_running", 2));
  BOOST_TEST(Reaches(engine.mAgentHttpPort, "medlarkeel_requests_running", 1));
  BOOST_TEST(Reaches(engine.mAgentHttpPort, "medlarkeel_requests_queued", 1));
  BOOST_TEST(IsWhole(running.get(), "runs", 100));
  BOOST_TEST(IsWhole(queued.get(), "waits", 5));
  BOOST_TEST(Reaches(entry.mPort, "medlarkeel_requests_running", 0));
  BOOST_TEST(Reaches(engine.mAgentHttpPort, "medlarkeel_requests_running", 0));
  BOOST_TEST(Reaches(engine.mAgentHttpPort, "medlarkeel_requests_queued", 0));
  BOOST_TEST(Series(entry.mPort,
                    "medlarkeel_token_gap_seconds_count{class=\"draft\"}") > 0);
  BOOST_TEST(Series(entry.mPort, "medlarkeel_control_bytes_sent_total") > 0);
  BOOST_TEST(Series(entry.mPort, "medlarkeel_frames_dropped_total") == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
