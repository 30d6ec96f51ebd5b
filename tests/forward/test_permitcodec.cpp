#include "peerreportcodec.h"
#include "permitcodec.h"

#include <boost/test/unit_test.hpp>

#include <random>

namespace medlarkeel {

namespace {

const ReportedLimit kLimit{ 0xfffffff0,
                            RequestRate{ 0.3 },
                            true,
                            Milliseconds(70'000) };

void
CheckSame(const ReportedLimit& aLeft, const ReportedLimit& aRight)
{
  BOOST_TEST(aLeft.mProcess == aRight.mProcess);
  BOOST_TEST(aLeft.mRate.mPerSecond == aRight.mRate.mPerSecond);
  BOOST_TEST(aLeft.mHasEnded == aRight.mHasEnded);
  BOOST_TEST(aLeft.mAge.count() == aRight.mAge.count());
}

} // namespace

BOOST_AUTO_TEST_SUITE(permitcodec)

BOOST_AUTO_TEST_CASE(MessagesComeBackUnchanged)
{
  const std::string request = EncodePermitMessage(PermitRequest{ 12, kLimit });
  BOOST_TEST(IsPermitMessage(request));
  const auto decoded = DecodePermitMessage(request);
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(std::get<PermitRequest>(*decoded).mId == 12U);
  CheckSame(std::get<PermitRequest>(*decoded).mLimit, kLimit);
  for (const PermitOutcome outcome : { PermitOutcome::Granted,
                                       PermitOutcome::Denied,
                                       PermitOutcome::Declined }) {
    const auto reply = DecodePermitMessage(EncodePermitMessage(
      PermitReply{ 13, outcome, Milliseconds(250), kLimit }));
    BOOST_REQUIRE(reply.has_value());
    const PermitReply& value = std::get<PermitReply>(*reply);
    BOOST_TEST((value.mOutcome == outcome));
    BOOST_TEST(value.mRetryDelay.count() == 250);
    CheckSame(value.mLimit, kLimit);
  }
}

BOOST_AUTO_TEST_CASE(ReportsCarryLimits)
{
  PeerReport report;
  report.mAddress = "10.0.0.1";
  report.mSequence = 1;
  report.mLimits = { kLimit };
  const std::string bytes = EncodePeerReport(report);
  BOOST_TEST(!IsPermitMessage(bytes));
  const auto decoded = DecodePeerReport(bytes);
  BOOST_REQUIRE(decoded.has_value());
  BOOST_REQUIRE(decoded->mLimits.size() == 1U);
  CheckSame(decoded->mLimits[0], kLimit);
}

BOOST_AUTO_TEST_CASE(DamagedMessagesAreRejected)
{
  const std::string whole = EncodePermitMessage(
    PermitReply{ 13, PermitOutcome::Denied, Milliseconds(1), kLimit });
  for (std::size_t size = 0; size < whole.size(); ++size) {
    BOOST_TEST(!DecodePermitMessage(whole.substr(0, size)));
  }
  std::mt19937 random(1);
  for (int i = 0; i < 5000; ++i) {
    std::string damaged = whole;
    damaged[random() % damaged.size()] = static_cast<char>(random());
    const auto message = DecodePermitMessage(damaged);
    const auto* reply = message ? std::get_if<PermitReply>(&*message) : nullptr;
    BOOST_TEST((reply == nullptr || reply->mRetryDelay.count() >= 0));
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
