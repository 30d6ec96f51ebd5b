#include "orderissuer.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace medlarkeel {

namespace {

constexpr std::int64_t kPauseBound = 500;
constexpr std::int64_t kTimeout = 2000;
constexpr std::int64_t kListValidity = 1000;
constexpr std::int64_t kListLag = 800;

Timestamp
At(std::int64_t aMilliseconds)
{
  return Timestamp(Milliseconds(aMilliseconds));
}

OrderLimits
Limits()
{
  return { Milliseconds(kPauseBound),
           Milliseconds(kTimeout),
           Milliseconds(kListValidity),
           Milliseconds(kListLag) };
}

/** An order on its way to the backend server. */
struct Message
{
  SendOrderStep mStep;
  std::int64_t mArrives = 0;
};

/** Which of the two rules the agents leave out. */
enum class Omission
{
  None,
  ClockCheck,
  SuccessorWait
};

/**
 * An agent that is paused at any moment and its successor, both beside one
 * backend server that takes orders late.
 */
class TwoAgents
{
public:
  TwoAgents(std::uint64_t aSeed, bool aHonoursFencing, Omission aOmission)
    : mRandom(aSeed)
    , mHonoursFencing(aHonoursFencing)
    , mIsCareful(aOmission != Omission::ClockCheck)
    , mOld(Incarnation{ 1 }, aHonoursFencing, At(-20000), Limits())
    , mNew(Incarnation{ 2 },
           aHonoursFencing,
           At(aOmission == Omission::SuccessorWait ? -20000 : kSuccession),
           Limits())
  {
    mOld.SetDesired({ "v1", "decode", { AdapterName("a") } });
    mNew.SetDesired({ "v2", "decode", { AdapterName("b") } });
  }

  /** @return Orders of the old agent that took effect after the new's. */
  int Run()
  {
    for (mNow = 0; mNow < 30000; mNow += 20) {
      Deliver();
      if (Pick(30) == 0) {
        const std::string adapter(1, static_cast<char>('a' + Pick(4)));
        mOld.SetDesired({ "v1", "decode", { AdapterName(adapter) } });
      }
      if (mNow < kSuccession || Pick(2) == 0) {
        Drive(mOld, mOldStep, Pick(5) == 0 ? Pick(4000) : 0, mOldBusy);
      }
      if (mNow >= kSuccession) {
        Drive(mNew, mNewStep, 0, mNewBusy);
      }
    }
    return mOverruns;
  }

  bool IsSettled() const
  {
    return mState.mVersion == "v2" && mState.mAdapters.size() == 1 &&
           mState.mAdapters.count(AdapterName("b")) == 1;
  }

private:
  static constexpr std::int64_t kSuccession = 5000;

  std::int64_t Pick(std::int64_t aBound)
  {
    return std::uniform_int_distribution<std::int64_t>(0, aBound - 1)(mRandom);
  }

  /** The pause falls between the decision and the sending. */
  void Drive(OrderIssuer& aIssuer,
             std::optional<SendOrderStep>& aStep,
             std::int64_t aPause,
             std::int64_t& aBusyUntil)
  {
    if (mNow < aBusyUntil) {
      return;
    }
    if (aStep) {
      Send(aIssuer, *aStep);
      aStep.reset();
      return;
    }
    const bool isOld = &aIssuer == &mOld;
    if (!isOld || mNow < kSuccession + kListLag) {
      aIssuer.RecordListed(At(mNow));
    }
    const OrderStep next = aIssuer.Next(true, At(mNow));
    if (std::holds_alternative<ReadStateStep>(next)) {
      const auto last = mHonoursFencing ? mLastToken : std::nullopt;
      aIssuer.RecordState(mState, last, At(mNow));
    } else if (const auto* send = std::get_if<SendOrderStep>(&next)) {
      aStep = *send;
      aBusyUntil = mNow + aPause;
    }
  }

  void Send(OrderIssuer& aIssuer, const SendOrderStep& aStep)
  {
    if (aIssuer.MaySend(aStep.mToken, At(mNow)) || !mIsCareful) {
      mMessages.push_back({ aStep, mNow + Pick(kTimeout) });
    }
  }

  void Deliver()
  {
    for (std::size_t index = 0; index < mMessages.size();) {
      if (mMessages[index].mArrives > mNow) {
        ++index;
        continue;
      }
      Execute(mMessages[index].mStep);
      mMessages.erase(mMessages.begin() + static_cast<std::ptrdiff_t>(index));
    }
  }

  void Execute(const SendOrderStep& aStep)
  {
    const bool isOld = aStep.mToken.mIncarnation == Incarnation{ 1 };
    OrderIssuer& issuer = isOld ? mOld : mNew;
    if (mHonoursFencing && mLastToken && aStep.mToken < *mLastToken) {
      issuer.RecordResult(aStep.mToken, OrderResult::RefusedAsOld, At(mNow));
      return;
    }
    mOverruns += isOld && mNewHasActed ? 1 : 0;
    mNewHasActed = mNewHasActed || !isOld;
    mLastToken = aStep.mToken;
    Change(aStep.mOrder);
    issuer.RecordResult(aStep.mToken, OrderResult::Accepted, At(mNow));
  }

  void Change(const BackendOrder& aOrder)
  {
    const AdapterName adapter(aOrder.mSubject);
    switch (aOrder.mKind) {
      case OrderKind::LoadVersion:
        mState.mVersion = aOrder.mSubject;
        break;
      case OrderKind::ChangeRole:
        mState.mRole = aOrder.mSubject;
        break;
      case OrderKind::LoadAdapter:
        mState.mAdapters.insert(adapter);
        break;
      case OrderKind::UnloadAdapter:
        mState.mAdapters.erase(adapter);
        break;
    }
  }

  std::mt19937_64 mRandom;
  const bool mHonoursFencing;
  const bool mIsCareful;
  std::int64_t mNow = 0;
  OrderIssuer mOld;
  OrderIssuer mNew;
  std::optional<SendOrderStep> mOldStep;
  std::optional<SendOrderStep> mNewStep;
  std::int64_t mOldBusy = 0;
  std::int64_t mNewBusy = 0;
  std::vector<Message> mMessages;
  BackendState mState;
  std::optional<FencingToken> mLastToken;
  bool mNewHasActed = false;
  int mOverruns = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(orderissuer)

BOOST_AUTO_TEST_CASE(ATokenRisesOverRestarts)
{
  const FencingToken late{ Incarnation{ 1 }, 900 };
  const FencingToken restarted{ Incarnation{ 2 }, 1 };
  BOOST_TEST((late < restarted));
  BOOST_TEST(!(restarted < late));
}

BOOST_AUTO_TEST_CASE(AChangeOfVersionWaitsForTheDrain)
{
  OrderIssuer issuer(Incarnation{ 1 }, true, At(0), Limits());
  issuer.SetDesired({ "v2", "", {} });
  BOOST_TEST(std::holds_alternative<ReadStateStep>(issuer.Next(false, At(0))));
  issuer.RecordState({ "v1", "", {} }, std::nullopt, At(0));
  BOOST_TEST(std::holds_alternative<DrainStep>(issuer.Next(false, At(1))));
  BOOST_TEST(std::holds_alternative<SendOrderStep>(issuer.Next(true, At(2))));
  BOOST_TEST(std::holds_alternative<WaitStep>(issuer.Next(true, At(3))));
}

BOOST_AUTO_TEST_CASE(NothingKnownBeforeAPauseIsActedOn)
{
  OrderIssuer issuer(Incarnation{ 1 }, true, At(0), Limits());
  issuer.SetDesired({ "v2", "", {} });
  issuer.RecordListed(At(0));
  issuer.RecordState({ "v1", "", {} }, std::nullopt, At(0));
  issuer.ResumeAfterPause(At(10));
  BOOST_TEST(std::holds_alternative<WaitStep>(issuer.Next(true, At(10))));
  issuer.RecordListed(At(11));
  BOOST_TEST(std::holds_alternative<ReadStateStep>(issuer.Next(true, At(11))));
  issuer.RecordState({ "v1", "", {} }, std::nullopt, At(9));
  BOOST_TEST(std::holds_alternative<ReadStateStep>(issuer.Next(true, At(12))));
  issuer.RecordState({ "v1", "", {} }, std::nullopt, At(12));
  BOOST_TEST(std::holds_alternative<SendOrderStep>(issuer.Next(true, At(13))));
}

BOOST_AUTO_TEST_CASE(AnOldStateIsReadAgain)
{
  OrderIssuer issuer(Incarnation{ 1 }, true, At(0), Limits());
  issuer.SetDesired({ "v1", "", {} });
  issuer.RecordState({ "v1", "", {} }, std::nullopt, At(0));
  BOOST_TEST(std::holds_alternative<WaitStep>(issuer.Next(true, At(1))));
  const Timestamp late = At(1) + OrderLimits().mStateValidity;
  BOOST_TEST(std::holds_alternative<ReadStateStep>(issuer.Next(true, late)));
}

BOOST_AUTO_TEST_CASE(AHigherFencingNumberSupersedes)
{
  OrderIssuer issuer(Incarnation{ 100 }, true, At(0), Limits());
  issuer.RecordFencingNumber(100);
  BOOST_TEST(!issuer.IsSuperseded());
  issuer.RecordFencingNumber(101);
  BOOST_TEST(issuer.IsSuperseded());
}

BOOST_AUTO_TEST_CASE(APausedAgentNeverOverrunsItsSuccessor)
{
  const bool holds = rc::check("no overrun", [](std::uint64_t aSeed) {
    for (const bool honoursFencing : { true, false }) {
      TwoAgents agents(aSeed, honoursFencing, Omission::None);
      RC_ASSERT(agents.Run() == 0);
      RC_ASSERT(agents.IsSettled());
    }
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(WithoutEitherRuleItOverrunsItsSuccessor)
{
  for (const Omission omission :
       { Omission::ClockCheck, Omission::SuccessorWait }) {
    int overruns = 0;
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
      overruns += TwoAgents(seed, false, omission).Run();
    }
    BOOST_TEST(overruns > 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
