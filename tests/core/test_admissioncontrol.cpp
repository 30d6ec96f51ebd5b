#include "forwarding/admissioncontrol.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace medlarkeel {

namespace {

constexpr std::uint32_t kPool = 7;

/** Tier of all teams, so that routes decide on the order. */
constexpr TierRank kTeamTier{ 1 };

constexpr TierRank kUrgentTier{ 0 };
constexpr TierRank kMiddleTier{ 1 };
constexpr TierRank kLeastUrgentTier{ 2 };

ForwardPool
MakePoolWithThreeTiers()
{
  ForwardPool pool;
  pool.mPriorities = { { kTeamTier, kUrgentTier },
                       { kTeamTier, kMiddleTier },
                       { kTeamTier, kLeastUrgentTier } };
  pool.mMaximumLatencyTarget = Milliseconds(1500);
  return pool;
}

AdmissionRequest
MakeRequest(TierRank aTier, double aSlotShare)
{
  AdmissionRequest request;
  request.mPriority = { kTeamTier, aTier };
  request.mFirstEventTimeout = Milliseconds(8000);
  request.mRefusalSample = 0.5;
  request.mChoice.mPoolLoad.mSlotShare = aSlotShare;
  request.mChoice.mSizeGroupLoad.mSlotShare = aSlotShare;
  return request;
}

AdmissionVerdict
VerdictFor(const AdmissionRequest& aRequest)
{
  return AdmissionControl(AdmissionSettings(), kPool)
    .Decide(MakePoolWithThreeTiers(), aRequest)
    .mVerdict;
}

} // namespace

BOOST_AUTO_TEST_SUITE(admissioncontrol)

BOOST_AUTO_TEST_CASE(AdmitsAllTiersWhileHalfOfTheSlotsAreFree)
{
  for (const TierRank tier : { kUrgentTier, kMiddleTier, kLeastUrgentTier }) {
    BOOST_CHECK(VerdictFor(MakeRequest(tier, 0.5)) ==
                AdmissionVerdict::Admitted);
  }
}

/** Guards against refusing a tier while requests of a less urgent one are
 * admitted, retries among them, at loads from 0 to twice the capacity. */
BOOST_AUTO_TEST_CASE(RefusesTiersInOrderOfUrgency)
{
  const TierRank tiers[] = { kUrgentTier, kMiddleTier, kLeastUrgentTier };
  for (int percent = 0; percent <= 200; ++percent) {
    const double load = percent / 100.0;
    for (std::size_t i = 0; i + 1 < std::size(tiers); ++i) {
      AdmissionRequest urgent = MakeRequest(tiers[i], load);
      urgent.mRefusalSample = 0.0;
      AdmissionRequest other = MakeRequest(tiers[i + 1], load);
      other.mRefusalSample = 0.999;
      other.mUsedTimeShare = 1.0;
      const bool isUrgentRefused =
        VerdictFor(urgent) != AdmissionVerdict::Admitted;
      const bool isOtherAdmitted =
        VerdictFor(other) == AdmissionVerdict::Admitted;
      BOOST_TEST(!(isUrgentRefused && isOtherAdmitted));
    }
  }
}

BOOST_AUTO_TEST_CASE(RefusesAllTiersFarAboveCapacity)
{
  BOOST_CHECK(VerdictFor(MakeRequest(kUrgentTier, 2.0)) ==
              AdmissionVerdict::Overloaded);
}

BOOST_AUTO_TEST_CASE(RefusesBecauseOfPrefillBacklog)
{
  AdmissionRequest request = MakeRequest(kLeastUrgentTier, 0.1);
  request.mChoice.mPoolLoad.mPrefillTokens = 500'000;
  request.mChoice.mSizeGroupLoad.mPrefillTokens = 500'000;
  BOOST_CHECK(VerdictFor(request) == AdmissionVerdict::Overloaded);
}

/** Guards against refusing urgent short prompts while long prompts of the least
 * urgent tier are served. This can happen when a burst of short prompts fills
 * the servers for short prompts and those for long prompts are idle. */
BOOST_AUTO_TEST_CASE(AdmitsShortPromptsWhilePoolHasCapacity)
{
  AdmissionRequest request = MakeRequest(kUrgentTier, 0.3);
  request.mChoice.mSizeGroupLoad.mSlotShare = 2.0;
  request.mChoice.mIsShortPrompt = true;
  BOOST_CHECK(VerdictFor(request) == AdmissionVerdict::Admitted);
  request.mChoice.mIsShortPrompt = false;
  BOOST_CHECK(VerdictFor(request) == AdmissionVerdict::Overloaded);
}

BOOST_AUTO_TEST_CASE(PrefersRetriesToFirstAttemptsOfTheSameTier)
{
  AdmissionRequest firstAttempt = MakeRequest(kLeastUrgentTier, 1.1);
  AdmissionRequest retry = firstAttempt;
  retry.mUsedTimeShare = 0.6;
  BOOST_CHECK(VerdictFor(firstAttempt) == AdmissionVerdict::Overloaded);
  BOOST_CHECK(VerdictFor(retry) == AdmissionVerdict::Admitted);
}

/** Callers that set shorter time limits than the route were taken for retries.
 */
BOOST_AUTO_TEST_CASE(ShortTimeLimitsCountAsRetries)
{
  const auto refusedOf100 = [](double aUsedTimeShare) {
    int refused = 0;
    for (int percent = 0; percent < 100; ++percent) {
      AdmissionRequest request = MakeRequest(kLeastUrgentTier, 1.08);
      request.mUsedTimeShare = aUsedTimeShare;
      request.mRefusalSample = percent / 100.0;
      refused += VerdictFor(request) == AdmissionVerdict::Overloaded ? 1 : 0;
    }
    return refused;
  };
  BOOST_TEST(refusedOf100(0.0) > 60);
  BOOST_TEST(refusedOf100(0.1) > 40);
  BOOST_TEST(refusedOf100(0.6) == 0);
}

BOOST_AUTO_TEST_CASE(RefusesRequestsThatWouldTimeOut)
{
  AdmissionRequest request = MakeRequest(kUrgentTier, 0.1);
  request.mFirstEventTimeout = Milliseconds(500);
  request.mChoice.mQueuedTokens = 90'000;
  BOOST_CHECK(VerdictFor(request) == AdmissionVerdict::WouldTimeOut);
}

/** The retry delay depends on the source of the load. The prefill of a backlog
 * takes fractions of a second, while slots are released only when long streams
 * end. */
BOOST_AUTO_TEST_CASE(RetryDelayDependsOnTheSourceOfTheLoad)
{
  AdmissionControl control{ AdmissionSettings(), kPool };
  for (int i = 0; i < 100; ++i) {
    control.RecordStreamDuration(false, Seconds(8));
  }
  const ForwardPool pool = MakePoolWithThreeTiers();
  const auto slotDelay =
    control.Decide(pool, MakeRequest(kLeastUrgentTier, 1.2)).mRetryDelay;
  AdmissionRequest backlog = MakeRequest(kLeastUrgentTier, 0.1);
  backlog.mChoice.mSizeGroupLoad.mPrefillTokens = 60'000;
  const auto backlogDelay = control.Decide(pool, backlog).mRetryDelay;
  BOOST_TEST(slotDelay.count() > 2000);
  BOOST_TEST(slotDelay.count() < 8000);
  BOOST_TEST(backlogDelay.count() > 0);
  BOOST_TEST(backlogDelay.count() < 2000);
}

BOOST_AUTO_TEST_CASE(RetryDelayIsJittered)
{
  AdmissionRequest early = MakeRequest(kLeastUrgentTier, 1.2);
  AdmissionRequest late = early;
  late.mJitterSample = 1.0;
  const AdmissionControl control{ AdmissionSettings(), kPool };
  const ForwardPool pool = MakePoolWithThreeTiers();
  BOOST_TEST(control.Decide(pool, late).mRetryDelay.count() * 2 >=
             control.Decide(pool, early).mRetryDelay.count() * 3);
}

BOOST_AUTO_TEST_CASE(RefusalsIncreaseWithLoadForEveryTier)
{
  rc::check(
    "a request refused at one load is refused at any higher load", []() {
      const TierRank tier{ *rc::gen::inRange(0, 5) };
      const double load = *rc::gen::inRange(0, 300) / 100.0;
      const double higherLoad = load + *rc::gen::inRange(0, 100) / 100.0;
      AdmissionRequest lower = MakeRequest(tier, load);
      lower.mRefusalSample = *rc::gen::inRange(0, 100) / 100.0;
      AdmissionRequest higher = MakeRequest(tier, higherLoad);
      higher.mRefusalSample = lower.mRefusalSample;
      const bool isRefused = VerdictFor(lower) == AdmissionVerdict::Overloaded;
      RC_ASSERT(!isRefused ||
                VerdictFor(higher) == AdmissionVerdict::Overloaded);
    });
}

/** Guards against corrected forecasts, and so other refusals, in pools with
 * fixed weights and for long prompts: first events came a tenth as late as
 * expected. */
BOOST_AUTO_TEST_CASE(CorrectsForecastsOfShortPromptsWithExpectedDelayOnly)
{
  for (const ServerCostKind cost :
       { ServerCostKind::FixedWeights, ServerCostKind::ExpectedDelay }) {
    for (const bool isShort : { true, false }) {
      AdmissionRequest request = MakeRequest(kUrgentTier, 0.1);
      request.mChoice.mCostKind = cost;
      request.mChoice.mIsShortPrompt = isShort;
      request.mChoice.mQueuedTokens = 64'000;
      request.mFirstEventTimeout = Milliseconds(500);
      AdmissionControl control{ AdmissionSettings(), kPool };
      for (int i = 0; i < 100; ++i) {
        control.RecordForecast(
          request.mChoice, Milliseconds(1000), Milliseconds(100), request.mNow);
      }
      const AdmissionDecision decision =
        control.Decide(MakePoolWithThreeTiers(), request);
      const bool isCorrected = isShort && cost == ServerCostKind::ExpectedDelay;
      BOOST_CHECK(decision.mExpectedFirstEventTime ==
                  Milliseconds(isCorrected ? 100 : 1000));
      BOOST_CHECK(decision.mVerdict == (isCorrected
                                          ? AdmissionVerdict::Admitted
                                          : AdmissionVerdict::WouldTimeOut));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(prefillrate)

BOOST_AUTO_TEST_CASE(EstimateFollowsMeasurements)
{
  PrefillRate prefillRate{ PrefillRateSettings() };
  for (int i = 0; i < 200; ++i) {
    prefillRate.Record(20'000, Milliseconds(200));
  }
  BOOST_TEST(prefillRate.TokensPerMs() == 100.0,
             boost::test_tools::tolerance(0.1));
  BOOST_TEST(prefillRate.PrefillTime(50'000).count() > 400);
}

/** An entry that has just started assumed another rate than its peers. */
BOOST_AUTO_TEST_CASE(RestartedEntryEstimatesAnotherRate)
{
  AdmissionControl running{ AdmissionSettings(), kPool };
  for (int i = 0; i < 100; ++i) {
    running.RecordFirstEvent(20'000, Seconds(1));
  }
  EntryLoad report;
  running.FillReport(report);
  AdmissionControl restarted{ AdmissionSettings(), kPool };
  restarted.SetPeerLoad(report);
  const ForwardPool pool = MakePoolWithThreeTiers();
  const AdmissionRequest request = MakeRequest(kLeastUrgentTier, 0.1);
  BOOST_TEST(restarted.Decide(pool, request).mTokensPerMs ==
             running.Decide(pool, request).mTokensPerMs);
}

BOOST_AUTO_TEST_CASE(IgnoresSmallPromptsAndLimitsHangingServers)
{
  const PrefillRateSettings settings;
  PrefillRate prefillRate{ settings };
  prefillRate.Record(100, Seconds(10));
  BOOST_TEST(prefillRate.TokensPerMs() == settings.mInitialTokensPerMs);
  for (int i = 0; i < 1000; ++i) {
    prefillRate.Record(20'000, Seconds(100));
  }
  BOOST_TEST(prefillRate.TokensPerMs() >= settings.mMinimumTokensPerMs);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
