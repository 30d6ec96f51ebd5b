#include "metrics.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

namespace medlarkeel {

namespace {

bool
Contains(const std::string& aText, const std::string& aLine)
{
  return aText.find(aLine + "\n") != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(metrics)

BOOST_AUTO_TEST_CASE(RendersWhatWasCounted)
{
  Metrics metrics;
  const ClassName drafts("drafts");
  metrics.CountRequest(drafts, RequestOutcome::Completed, true);
  metrics.CountRequest(drafts, RequestOutcome::Completed, false);
  metrics.CountRefusal(RefusalReason::TeamRateExceeded, Executed::No);
  metrics.ObserveFirstByte(drafts, Milliseconds(1600));
  metrics.ObserveTokenGap(drafts, Milliseconds(54));
  metrics.CountTokens(drafts, TokenUse::Useful, 30);
  metrics.CountTokens(drafts, TokenUse::Wasted, 2);
  metrics.CountControlBytesSent(100);
  metrics.SetRunning(3);
  metrics.SetQueued(4);
  metrics.SetDocumentVersion(17);
  const std::string text = metrics.Render();
  const std::string name = "{class=\"drafts\"";
  const std::vector<std::string> lines{
    "medlarkeel_requests_total" + name + ",outcome=\"completed\"} 2",
    "medlarkeel_requests_attained_total" + name + "} 1",
    std::string("medlarkeel_refusals_total{executed=\"no\",reason=\"") +
      ReasonCode(RefusalReason::TeamRateExceeded) + "\"} 1",
    "medlarkeel_first_byte_seconds_bucket" + name + ",le=\"1\"} 0",
    "medlarkeel_first_byte_seconds_bucket" + name + ",le=\"1.7\"} 1",
    "medlarkeel_token_gap_seconds_bucket" + name + ",le=\"0.053\"} 0",
    "medlarkeel_tokens_total" + name + ",use=\"useful\"} 30",
    "medlarkeel_tokens_total" + name + ",use=\"wasted\"} 2",
    "medlarkeel_control_bytes_sent_total 100",
    "medlarkeel_requests_running 3",
    "medlarkeel_requests_queued 4",
    "medlarkeel_document_version 17"
  };
  for (const std::string& line : lines) {
    BOOST_TEST(Contains(text, line), line << " is missing in\n" << text);
  }
}

BOOST_AUTO_TEST_CASE(ClassesBeyondTheLimitAreCountedTogether)
{
  Metrics metrics;
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int number = 0; number < 4; ++number) {
    threads.emplace_back([&metrics] {
      for (int count = 0; count < 500; ++count) {
        metrics.CountRequest(ClassName("class-" + std::to_string(count)),
                             RequestOutcome::Failed,
                             false);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const std::string text = metrics.Render();
  BOOST_TEST(text.find("class-499") == std::string::npos);
  BOOST_TEST(Contains(
    text,
    "medlarkeel_requests_total{class=\"other\",outcome=\"failed\"} 1744"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
