#include "forwarding/admissioncontrol.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace medlarkeel {

namespace {

constexpr TierRank kUrgent{ 0 };
constexpr TierRank kMiddle{ 1 };
constexpr TierRank kLeast{ 2 };

ForwardPool
ThreeTiers()
{
  ForwardPool pool;
  pool.mTiers = { kUrgent, kMiddle, kLeast };
  pool.mLongestTarget = Milliseconds(1500);
  return pool;
}

AdmissionRequest
Request(TierRank aTier, double aSlotShare)
{
  AdmissionRequest request;
  request.mTier = aTier;
  request.mPatience = Milliseconds(8000);
  request.mChance = 0.5;
  request.mChoice.mPoolLoad.mSlotShare = aSlotShare;
  request.mChoice.mLaneLoad.mSlotShare = aSlotShare;
  return request;
}

AdmissionVerdict
Verdict(const AdmissionRequest& aRequest)
{
  return AdmissionControl(AdmissionSettings())
    .Decide(ThreeTiers(), aRequest)
    .mVerdict;
}

} // namespace

BOOST_AUTO_TEST_SUITE(admissioncontrol)

BOOST_AUTO_TEST_CASE(NothingIsRefusedWhileHalfOfTheSlotsAreFree)
{
  for (const TierRank tier : { kUrgent, kMiddle, kLeast }) {
    BOOST_CHECK(Verdict(Request(tier, 0.5)) == AdmissionVerdict::Admitted);
  }
}

/** Load rises from nothing to twice what the servers bear: a tier is refused in
 * part only when every less urgent one is refused whole. */
BOOST_AUTO_TEST_CASE(TiersAreRefusedOneAfterTheOther)
{
  const TierRank tiers[] = { kUrgent, kMiddle, kLeast };
  for (int percent = 0; percent <= 200; ++percent) {
    const double load = percent / 100.0;
    for (std::size_t i = 0; i + 1 < std::size(tiers); ++i) {
      AdmissionRequest urgent = Request(tiers[i], load);
      urgent.mChance = 0.0;
      AdmissionRequest other = Request(tiers[i + 1], load);
      other.mChance = 0.999;
      const bool isUrgentRefused =
        Verdict(urgent) != AdmissionVerdict::Admitted;
      const bool isOtherAdmitted = Verdict(other) == AdmissionVerdict::Admitted;
      BOOST_TEST(!(isUrgentRefused && isOtherAdmitted));
    }
  }
}

BOOST_AUTO_TEST_CASE(AllTiersAreRefusedFarBeyondWhatIsBorne)
{
  BOOST_CHECK(Verdict(Request(kUrgent, 2.0)) == AdmissionVerdict::Overloaded);
}

BOOST_AUTO_TEST_CASE(BacklogCountsLikeSlots)
{
  AdmissionRequest request = Request(kLeast, 0.1);
  request.mChoice.mPoolLoad.mUnreadTokens = 500'000;
  request.mChoice.mLaneLoad.mUnreadTokens = 500'000;
  BOOST_CHECK(Verdict(request) == AdmissionVerdict::Overloaded);
}

/** A burst of short urgent prompts fills their servers while long ones of the
 * least urgent tier find theirs idle. */
BOOST_AUTO_TEST_CASE(ShortPromptsAreServedWhilePoolHasRoom)
{
  AdmissionRequest request = Request(kUrgent, 0.3);
  request.mChoice.mLaneLoad.mSlotShare = 2.0;
  request.mChoice.mIsShortPrompt = true;
  BOOST_CHECK(Verdict(request) == AdmissionVerdict::Admitted);
  request.mChoice.mIsShortPrompt = false;
  BOOST_CHECK(Verdict(request) == AdmissionVerdict::Overloaded);
}

BOOST_AUTO_TEST_CASE(CallerWhoComesBackIsServedBeforeANewOneOfItsTier)
{
  AdmissionRequest fresh = Request(kLeast, 0.74);
  AdmissionRequest returned = fresh;
  returned.mHasComeBack = true;
  BOOST_CHECK(Verdict(fresh) == AdmissionVerdict::Overloaded);
  BOOST_CHECK(Verdict(returned) == AdmissionVerdict::Admitted);
}

BOOST_AUTO_TEST_CASE(WhatWouldComeTooLateIsRefusedAtOnce)
{
  AdmissionRequest request = Request(kUrgent, 0.1);
  request.mPatience = Milliseconds(500);
  request.mChoice.mWaitingTokens = 90'000;
  BOOST_CHECK(Verdict(request) == AdmissionVerdict::TooLate);
}

/** Returns follow what makes the load: a backlog is read in parts of a second,
 * slots are free when long streams end. */
BOOST_AUTO_TEST_CASE(ReturnFollowsHowFastTheLoadFalls)
{
  AdmissionControl control{ AdmissionSettings() };
  for (int i = 0; i < 100; ++i) {
    control.RecordStream(false, Seconds(8));
  }
  const ForwardPool pool = ThreeTiers();
  const auto slots = control.Decide(pool, Request(kLeast, 1.2)).mReturnAfter;
  AdmissionRequest backlog = Request(kLeast, 0.1);
  backlog.mChoice.mLaneLoad.mUnreadTokens = 60'000;
  const auto reading = control.Decide(pool, backlog).mReturnAfter;
  BOOST_TEST(slots.count() > 2000);
  BOOST_TEST(slots.count() < 8000);
  BOOST_TEST(reading.count() > 0);
  BOOST_TEST(reading.count() < 2000);
}

BOOST_AUTO_TEST_CASE(ThoseRefusedAtOnceReturnAtDifferentTimes)
{
  AdmissionRequest early = Request(kLeast, 1.2);
  AdmissionRequest late = early;
  late.mSpread = 1.0;
  const AdmissionControl control{ AdmissionSettings() };
  const ForwardPool pool = ThreeTiers();
  BOOST_TEST(control.Decide(pool, late).mReturnAfter.count() * 2 >=
             control.Decide(pool, early).mReturnAfter.count() * 3);
}

BOOST_AUTO_TEST_CASE(RefusalsRiseWithLoadForEveryTier)
{
  rc::check("what is refused at a load is refused at a higher one", []() {
    const TierRank tier{ *rc::gen::inRange(0, 5) };
    const double load = *rc::gen::inRange(0, 300) / 100.0;
    const double more = load + *rc::gen::inRange(0, 100) / 100.0;
    AdmissionRequest lower = Request(tier, load);
    lower.mChance = *rc::gen::inRange(0, 100) / 100.0;
    AdmissionRequest higher = Request(tier, more);
    higher.mChance = lower.mChance;
    const bool isRefused = Verdict(lower) == AdmissionVerdict::Overloaded;
    RC_ASSERT(!isRefused || Verdict(higher) == AdmissionVerdict::Overloaded);
  });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(readingspeed)

BOOST_AUTO_TEST_CASE(SpeedFollowsWhatWasSeen)
{
  ReadingSpeed speed{ ReadingSpeedSettings() };
  for (int i = 0; i < 200; ++i) {
    speed.Record(20'000, Milliseconds(200));
  }
  BOOST_TEST(speed.TokensPerMs() == 100.0, boost::test_tools::tolerance(0.1));
  BOOST_TEST(speed.TimeFor(50'000).count() > 400);
}

BOOST_AUTO_TEST_CASE(SmallPromptsAndHangingServersTellLittle)
{
  const ReadingSpeedSettings settings;
  ReadingSpeed speed{ settings };
  speed.Record(100, Seconds(10));
  BOOST_TEST(speed.TokensPerMs() == settings.mAssumedTokensPerMs);
  for (int i = 0; i < 1000; ++i) {
    speed.Record(20'000, Seconds(100));
  }
  BOOST_TEST(speed.TokensPerMs() >= settings.mLeastTokensPerMs);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
