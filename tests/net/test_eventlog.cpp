#include "eventlog.h"

#include <boost/test/unit_test.hpp>
#include <spdlog/sinks/ostream_sink.h>

#include <sstream>
#include <thread>
#include <vector>

namespace medlarkeel {

namespace {

std::vector<nlohmann::json>
LinesOf(const std::string& aText)
{
  std::vector<nlohmann::json> result;
  std::istringstream lines(aText);
  for (std::string line; std::getline(lines, line);) {
    result.push_back(nlohmann::json::parse(line, nullptr, false));
  }
  return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(eventlog)

BOOST_AUTO_TEST_CASE(WritesOneEscapedLineAnEvent)
{
  std::ostringstream text;
  {
    EventLog log("entry-1",
                 std::make_shared<spdlog::sinks::ostream_sink_mt>(text));
    log.Write(Event::RequestRouted,
              { { "request", "r\n1" },
                { "chosen", "bad \xff byte" },
                { "format", "{} %v" },
                { "Key", "sk-secret" } });
    log.Write(Event::Stopped);
  }
  BOOST_TEST(text.str().find("sk-secret") == std::string::npos);
  const auto lines = LinesOf(text.str());
  BOOST_REQUIRE(lines.size() == 2U);
  BOOST_TEST(lines[0]["event"] == 400);
  BOOST_TEST(lines[0]["name"] == "request-routed");
  BOOST_TEST(lines[0]["node"] == "entry-1");
  BOOST_TEST(lines[0]["request"] == "r\n1");
  BOOST_TEST(lines[0]["format"] == "{} %v");
  BOOST_TEST(lines[1]["event"] == 101);
  BOOST_TEST(lines[1]["time"].get<std::string>().back() == 'Z');
}

BOOST_AUTO_TEST_CASE(ThreadsDontMixLinesAndLossesAreCounted)
{
  constexpr std::size_t kEach = 5000;
  std::ostringstream text;
  std::size_t dropped = 0;
  {
    EventLog log("agent-1",
                 std::make_shared<spdlog::sinks::ostream_sink_mt>(text));
    std::thread other([&log] {
      for (std::size_t number = 0; number < kEach; ++number) {
        log.Write(Event::ReservationGranted, { { "number", number } });
      }
    });
    for (std::size_t number = 0; number < kEach; ++number) {
      log.Write(Event::ReservationRefused, { { "number", number } });
    }
    other.join();
    dropped = log.DroppedLines();
  }
  const auto lines = LinesOf(text.str());
  BOOST_TEST(lines.size() + dropped == 2 * kEach);
  for (const nlohmann::json& line : lines) {
    BOOST_REQUIRE(line.is_object());
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
