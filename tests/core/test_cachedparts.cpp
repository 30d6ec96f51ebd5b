#include "forwarding/cachedparts.h"

#include <boost/test/unit_test.hpp>

namespace medlarkeel {

namespace {

const Timestamp kStart{ Seconds(1000) };

PromptDescription
Prompt()
{
  PromptDescription prompt;
  prompt.mParts = { { 1, 2000 }, { 2, 8000 }, { 3, 500 } };
  prompt.mPromptTokens = 10'500;
  return prompt;
}

} // namespace

BOOST_AUTO_TEST_SUITE(cachedparts)

// Guards against parts that count as cached long after a busy server has
// evicted them, and against parts of an idle server that count as evicted.
BOOST_AUTO_TEST_CASE(LifetimeFollowsFreeMemoryAndPrefillRate)
{
  const PartLifetime calm = EvictionLifetime({ 444'000.0, 84'000.0, 12'000.0 });
  BOOST_TEST(calm.ProbabilityAt(Seconds(14)) == 1.0);
  BOOST_TEST(calm.ProbabilityAt(Seconds(30)) == 0.5,
             boost::test_tools::tolerance(0.01));
  BOOST_TEST(calm.ProbabilityAt(Seconds(46)) == 0.0);
  const PartLifetime busy =
    EvictionLifetime({ 444'000.0, 300'000.0, 24'000.0 });
  BOOST_TEST(busy.ProbabilityAt(Seconds(2)) == 1.0);
  BOOST_TEST(busy.ProbabilityAt(Seconds(10)) == 0.0);
}

// Guards against a division by zero and against lifetimes without end.
BOOST_AUTO_TEST_CASE(LifetimeHasBounds)
{
  const PartLifetime full = EvictionLifetime({ 1000.0, 5000.0, 100.0 });
  BOOST_TEST(full.ProbabilityAt(Milliseconds(500)) == 1.0);
  BOOST_TEST(full.ProbabilityAt(Seconds(3)) == 0.0);
  const PartLifetime idle = EvictionLifetime({ 444'000.0, 0.0, 0.0 });
  BOOST_TEST(idle.ProbabilityAt(Seconds(29)) == 1.0);
  BOOST_TEST(idle.ProbabilityAt(Seconds(90)) == 0.0);
}

BOOST_AUTO_TEST_CASE(CachedTokensCountUpToTheLastCachedPart)
{
  CachedParts parts;
  const PartLifetime lifetime{ Seconds(10), Seconds(30) };
  BOOST_TEST(parts.CachedTokens(Prompt(), lifetime, kStart) == 0.0);
  parts.RecordUse(1, kStart);
  parts.RecordUse(2, kStart);
  // The last part belongs to its request alone.
  parts.RecordUse(3, kStart);
  BOOST_TEST(parts.CachedTokens(Prompt(), lifetime, kStart) == 10'000.0);
  const Timestamp later = kStart + Seconds(20);
  BOOST_TEST(parts.CachedTokens(Prompt(), lifetime, later) == 5000.0);
  parts.RecordUse(1, later);
  BOOST_TEST(parts.CachedTokens(Prompt(), lifetime, later + Seconds(10)) ==
             2000.0);
}

BOOST_AUTO_TEST_CASE(PreviousUseTellsWhetherAPartIsReported)
{
  CachedParts parts;
  BOOST_TEST((parts.RecordUse(1, kStart) == Timestamp()));
  BOOST_TEST((parts.RecordUse(1, kStart + Seconds(1)) == kStart));
}

// Guards against parts in constant use that are reported once only, so that
// peers take them for evicted.
BOOST_AUTO_TEST_CASE(PartInConstantUseIsReportedInEachInterval)
{
  CachedParts parts;
  int reports = 0;
  for (int use = 0; use < 40; ++use) {
    const Timestamp now = kStart + Milliseconds(250) * use;
    parts.RecordUse(1, now);
    reports += parts.TakeDueReport(1, Seconds(1), now) ? 1 : 0;
  }
  BOOST_TEST(reports == 10);
}

// Guards against entries that all report what one of them has reported.
BOOST_AUTO_TEST_CASE(ReportOfAPeerCounts)
{
  CachedParts parts;
  parts.RecordReportedUse(1, kStart);
  const Timestamp soon = kStart + Milliseconds(900);
  BOOST_TEST(!parts.TakeDueReport(1, Seconds(1), soon));
  BOOST_TEST(parts.TakeDueReport(1, Seconds(1), kStart + Seconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
