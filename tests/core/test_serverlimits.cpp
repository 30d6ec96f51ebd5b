#include "forwarding/serverlimits.h"

#include <boost/test/unit_test.hpp>

#include <set>
#include <string>

namespace medlarkeel {

namespace {

constexpr ProcessHash kProcess = 7;
constexpr RequestRate kOnePerSecond{ 1.0 };

Timestamp
At(int aMilliseconds)
{
  return Timestamp(Seconds(1000)) + Milliseconds(aMilliseconds);
}

} // namespace

BOOST_AUTO_TEST_SUITE(serverlimits)

BOOST_AUTO_TEST_CASE(ParsesDecimalRates)
{
  BOOST_TEST(ParseRequestRate("12")->mPerSecond == 12.0);
  BOOST_TEST(ParseRequestRate("0.25")->mPerSecond == 0.25);
  BOOST_TEST(ParseRequestRate("0")->mPerSecond == 0.01);
  BOOST_TEST(ParseRequestRate(std::string(400, '9'))->mPerSecond == 1e6);
}

BOOST_AUTO_TEST_CASE(RejectsUnusableRates)
{
  for (const char* text :
       { "", "-1", "1e3", "nan", "inf", ".5", "1,5", "1, 2", "1 2", "x" }) {
    BOOST_TEST_CONTEXT(text)
    {
      BOOST_TEST(!ParseRequestRate(text));
    }
  }
}

BOOST_AUTO_TEST_CASE(ReportsOnlyChanges)
{
  ServerLimits limits;
  BOOST_TEST((limits.RecordStated(kProcess, kOnePerSecond, At(0)) ==
              LimitChange::Added));
  BOOST_TEST((limits.RecordStated(kProcess, kOnePerSecond, At(10)) ==
              LimitChange::None));
  BOOST_TEST((limits.RecordStated(kProcess, RequestRate{ 2.0 }, At(20)) ==
              LimitChange::Changed));
  BOOST_TEST(
    (limits.RecordNotStated(kProcess, At(30), At(30)) == LimitChange::Ended));
  BOOST_TEST(
    (limits.RecordNotStated(kProcess, At(40), At(40)) == LimitChange::None));
  BOOST_TEST((limits.RecordNotStated(8, At(40), At(40)) == LimitChange::None));
  BOOST_TEST((limits.RecordStated(kProcess, kOnePerSecond, At(50)) ==
              LimitChange::Added));
}

// An answer that was made before the limit arrives after one that states it.
BOOST_AUTO_TEST_CASE(OvertakenAnswerDoesNotEndALimit)
{
  ServerLimits limits;
  limits.RecordStated(kProcess, kOnePerSecond, At(100));
  BOOST_TEST(
    (limits.RecordNotStated(kProcess, At(99), At(99)) == LimitChange::None));
  BOOST_TEST(limits.AllowedRate(kProcess, At(100)).has_value());
}

BOOST_AUTO_TEST_CASE(EndOfALimitRaisesTheRateStepByStep)
{
  ServerLimits limits;
  limits.RecordStated(kProcess, kOnePerSecond, At(0));
  limits.RecordNotStated(kProcess, At(10), At(20));
  BOOST_TEST(limits.AllowedRate(kProcess, At(20))->mPerSecond == 1.0);
  BOOST_TEST(limits.AllowedRate(kProcess, At(1020))->mPerSecond == 4.0);
  BOOST_TEST(limits.AllowedRate(kProcess, At(3900)).has_value());
  BOOST_TEST(!limits.AllowedRate(kProcess, At(4020)).has_value());
}

BOOST_AUTO_TEST_CASE(NewestObservationOfAnyEntryApplies)
{
  ServerLimits limits;
  const auto report = [&](double aRate, bool aHasEnded, int aAgeMs, int aAtMs) {
    return limits.RecordReported(
      { kProcess, RequestRate{ aRate }, aHasEnded, Milliseconds(aAgeMs) },
      At(aAtMs));
  };
  BOOST_TEST((report(1.0, false, 100, 1000) == LimitChange::Added));
  BOOST_TEST((report(2.0, false, 500, 1000) == LimitChange::None));
  BOOST_TEST(limits.AllowedRate(kProcess, At(1000))->mPerSecond == 1.0);
  BOOST_TEST((report(2.0, false, 50, 1000) == LimitChange::Changed));
  BOOST_TEST((report(2.0, true, 10, 1000) == LimitChange::Ended));
  BOOST_TEST((report(2.0, false, 50, 1000) == LimitChange::None));
  BOOST_TEST(!limits.AllowedRate(kProcess, At(9000)).has_value());
}

// Without the tolerance, entries would refresh each other's reports forever.
BOOST_AUTO_TEST_CASE(ReportsOfEachOtherDoNotRefreshALimit)
{
  ServerLimits first;
  ServerLimits second;
  first.RecordStated(kProcess, kOnePerSecond, At(0));
  for (int atMs = 200; atMs <= 60'000; atMs += 200) {
    for (const ReportedLimit& limit : first.TakeReport(At(atMs))) {
      second.RecordReported(limit, At(atMs + 20));
    }
    for (const ReportedLimit& limit : second.TakeReport(At(atMs + 50))) {
      first.RecordReported(limit, At(atMs + 70));
    }
  }
  BOOST_TEST(first.Find(kProcess, At(60'000))->mAge.count() >= 59'900);
}

BOOST_AUTO_TEST_CASE(ReportsCoverAllLimitsInTurn)
{
  ServerLimits limits;
  for (ProcessHash process = 0; process < 40; ++process) {
    limits.RecordStated(process, kOnePerSecond, At(0));
  }
  BOOST_TEST(limits.TakeReport(At(10)).size() == 40U);
  std::set<ProcessHash> reported;
  for (int i = 0; i < 3; ++i) {
    for (const ReportedLimit& limit : limits.TakeReport(At(5000 + i))) {
      reported.insert(limit.mProcess);
    }
  }
  BOOST_TEST(reported.size() == 40U);
}

BOOST_AUTO_TEST_CASE(LimitsOfUnlistedProcessesAreRemovedLater)
{
  ServerLimits limits;
  limits.RecordStated(kProcess, kOnePerSecond, At(0));
  const auto isListed = [](ProcessHash) { return false; };
  limits.RemoveUnlisted(isListed, At(30'000));
  BOOST_TEST(limits.AllowedRate(kProcess, At(30'000)).has_value());
  limits.RemoveUnlisted(isListed, At(61'000));
  BOOST_TEST(!limits.AllowedRate(kProcess, At(61'000)).has_value());
}

// A denial for the time until the next permit at a low limit outlived the
// limit.
BOOST_AUTO_TEST_CASE(ChangeOfALimitCancelsADenial)
{
  ServerLimits limits;
  limits.RecordStated(kProcess, RequestRate{ 0.01 }, At(0));
  limits.RecordDenied(kProcess, At(100'000));
  limits.RecordStated(kProcess, RequestRate{ 0.01 }, At(100));
  BOOST_TEST(limits.DeniedUntil(kProcess).has_value());
  limits.RecordStated(kProcess, kOnePerSecond, At(200));
  BOOST_TEST(!limits.DeniedUntil(kProcess).has_value());
  limits.RecordDenied(kProcess, At(100'000));
  limits.RecordReported({ kProcess, kOnePerSecond, true, Milliseconds(1) },
                        At(300));
  BOOST_TEST(!limits.DeniedUntil(kProcess).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
