#include "forwarding/callermemory.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>

namespace medlarkeel {

namespace {

constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kMegabyte = 1024 * kKilobyte;
constexpr std::size_t kBound = 16 * kMegabyte;
constexpr std::size_t kPiece = 16 * kKilobyte;
constexpr std::size_t kLargest = 4 * kMegabyte;

CallerMemorySettings
TestSettings()
{
  CallerMemorySettings settings;
  settings.mBoundBytes = kBound;
  return settings;
}

/** A connection as its owner sees it. */
struct Sender
{
  CallerId mId;
  CallerUsage mUsage;
  std::size_t mSize = 0;
  bool mIsRefused = false;
};

/** Callers whose bodies arrive in pieces. */
struct Crowd
{
  Sender& Add(std::size_t aSize, RequestPriority aPriority = {})
  {
    Sender sender;
    sender.mId = mMemory.Add(mNow);
    sender.mSize = aSize;
    sender.mUsage.mPhase = CallerPhase::Receiving;
    sender.mUsage.mMissingBytes = aSize;
    sender.mUsage.mPriority = aPriority;
    mMemory.Update(sender.mId, sender.mUsage, mNow);
    mSenders.push_back(sender);
    return mSenders.back();
  }

  void Refuse(const std::vector<CallerId>& aCallers)
  {
    for (const CallerId id : aCallers) {
      for (Sender& sender : mSenders) {
        if (sender.mId == id) {
          End(sender);
          sender.mIsRefused = true;
        }
      }
    }
  }

  void End(Sender& aSender)
  {
    aSender.mUsage = CallerUsage();
    mMemory.Update(aSender.mId, aSender.mUsage, mNow);
  }

  /** Lets a piece of the body arrive. */
  ReadVerdict Read(Sender& aSender, std::size_t aBytes = kPiece)
  {
    if (mMemory.IsPaused(aSender.mId)) {
      return ReadVerdict::Pause;
    }
    const std::size_t bytes = std::min(aBytes, aSender.mUsage.mMissingBytes);
    const ReadDecision decision = mMemory.Decide(aSender.mId, bytes, mNow);
    Refuse(decision.mEvicted);
    if (decision.mVerdict == ReadVerdict::Read) {
      aSender.mUsage.mHeldBytes += bytes;
      aSender.mUsage.mMissingBytes -= bytes;
      aSender.mUsage.mMovedBytes += bytes;
      mMemory.Update(aSender.mId, aSender.mUsage, mNow);
    } else if (decision.mVerdict == ReadVerdict::Refuse) {
      End(aSender);
      aSender.mIsRefused = true;
    }
    return decision.mVerdict;
  }

  /** Lets the body arrive up to so many missing bytes, or to a pause. */
  ReadVerdict ReadUpTo(Sender& aSender, std::size_t aMissing)
  {
    ReadVerdict verdict = ReadVerdict::Read;
    while (verdict == ReadVerdict::Read &&
           aSender.mUsage.mMissingBytes > aMissing) {
      verdict = Read(aSender,
                     std::min(kPiece, aSender.mUsage.mMissingBytes - aMissing));
    }
    return verdict;
  }

  void Resume() { Refuse(mMemory.TakeResumable(mNow).mEvicted); }

  void SetPhase(Sender& aSender, CallerPhase aPhase)
  {
    aSender.mUsage.mPhase = aPhase;
    mMemory.Update(aSender.mId, aSender.mUsage, mNow);
  }

  CallerMemory mMemory{ TestSettings() };
  Timestamp mNow{ std::chrono::seconds(100) };
  std::vector<Sender> mSenders;
};

/** Longer than a body may stall. */
constexpr Milliseconds kLongStall{ 600 };

} // namespace

BOOST_AUTO_TEST_SUITE(callermemory)

// A single request must be served whatever its size.
BOOST_AUTO_TEST_CASE(SingleRequestsAreReadWithoutPause)
{
  Crowd crowd;
  Sender& sender = crowd.Add(kLargest);
  BOOST_TEST((crowd.ReadUpTo(sender, 0) == ReadVerdict::Read));
  crowd.SetPhase(sender, CallerPhase::Running);
  BOOST_TEST(crowd.mMemory.TotalBytes() >= kLargest);
  crowd.mMemory.Remove(sender.mId);
  BOOST_TEST(crowd.mMemory.TotalBytes() == 0U);
}

// Many stalled bodies that fill the bound delayed every other request.
BOOST_AUTO_TEST_CASE(StalledBodiesLoseTheirMemoryLongestFirst)
{
  Crowd crowd;
  crowd.mSenders.reserve(10);
  for (int i = 0; i < 3; ++i) {
    crowd.ReadUpTo(crowd.Add(kLargest), 1);
    crowd.mNow += Milliseconds(10);
  }
  crowd.mNow += kLongStall;
  Sender& ordinary = crowd.Add(kLargest);
  BOOST_TEST((crowd.ReadUpTo(ordinary, 0) == ReadVerdict::Read));
  BOOST_TEST(crowd.mSenders[0].mIsRefused);
  BOOST_TEST(!crowd.mSenders[2].mIsRefused);
  BOOST_TEST(!ordinary.mIsRefused);
}

BOOST_AUTO_TEST_CASE(LargeRequestsPauseBeforeSmallOnesAndGoOnInOrder)
{
  Crowd crowd;
  crowd.mSenders.reserve(10);
  // Running requests take the bytes up to the first mark.
  Sender& running = crowd.Add(12 * kMegabyte);
  crowd.ReadUpTo(running, 0);
  crowd.SetPhase(running, CallerPhase::Running);
  RequestPriority urgent;
  RequestPriority late;
  late.mTeamTier = TierRank{ 2 };
  Sender& first = crowd.Add(kMegabyte, urgent);
  Sender& second = crowd.Add(2 * kMegabyte, late);
  Sender& small = crowd.Add(8 * kKilobyte, late);
  BOOST_TEST((crowd.Read(second) == ReadVerdict::Pause));
  BOOST_TEST((crowd.Read(first) == ReadVerdict::Read));
  BOOST_TEST((crowd.Read(small) == ReadVerdict::Read));
  crowd.End(running);
  crowd.Resume();
  BOOST_TEST((crowd.Read(second) == ReadVerdict::Read));
}

// A request whose body is complete may run and loses nothing.
BOOST_AUTO_TEST_CASE(RunningRequestsAreNeverEvicted)
{
  Crowd crowd;
  crowd.mSenders.reserve(10);
  for (int i = 0; i < 4; ++i) {
    Sender& sender = crowd.Add(3 * kMegabyte);
    crowd.ReadUpTo(sender, 0);
    crowd.SetPhase(sender, CallerPhase::Running);
  }
  crowd.mNow += std::chrono::seconds(10);
  for (int i = 0; i < 5; ++i) {
    crowd.ReadUpTo(crowd.Add(kLargest), 0);
  }
  for (int i = 0; i < 4; ++i) {
    BOOST_TEST(!crowd.mSenders[i].mIsRefused);
  }
  BOOST_TEST(crowd.mMemory.TotalBytes() <= kBound);
}

BOOST_AUTO_TEST_CASE(UnreadAnswersGiveWayOnceTheyStall)
{
  Crowd crowd;
  crowd.mSenders.reserve(10);
  Sender& answer = crowd.Add(12 * kMegabyte);
  crowd.ReadUpTo(answer, 0);
  crowd.SetPhase(answer, CallerPhase::Answering);
  Sender& body = crowd.Add(kLargest);
  crowd.ReadUpTo(body, 0);
  BOOST_TEST(!answer.mIsRefused);
  crowd.mNow += std::chrono::seconds(3);
  Sender& other = crowd.Add(kLargest);
  BOOST_TEST((crowd.ReadUpTo(other, 0) == ReadVerdict::Read));
  BOOST_TEST(answer.mIsRefused);
}

// Bytes that trickle in kept a body from counting as stalled.
BOOST_AUTO_TEST_CASE(TricklingBodiesCountAsStalled)
{
  Crowd crowd;
  crowd.mSenders.reserve(10);
  for (int i = 0; i < 3; ++i) {
    crowd.ReadUpTo(crowd.Add(kLargest), 100);
  }
  for (int i = 0; i < 8; ++i) {
    crowd.mNow += Milliseconds(100);
    for (int j = 0; j < 3; ++j) {
      crowd.Read(crowd.mSenders[j], 1);
    }
  }
  Sender& ordinary = crowd.Add(kLargest);
  BOOST_TEST((crowd.ReadUpTo(ordinary, 0) == ReadVerdict::Read));
}

// A daemon's server reads by itself; the crowd must shrink as soon as it is
// seen to hold too much, though nobody has stalled yet.
BOOST_AUTO_TEST_CASE(ExcessIsReleasedFromLargeRequestsThatLackMost)
{
  Crowd crowd;
  crowd.mSenders.reserve(10);
  for (int i = 0; i < 6; ++i) {
    Sender& sender = crowd.Add(kLargest);
    sender.mUsage.mHeldBytes = 3 * kMegabyte + i;
    sender.mUsage.mMissingBytes = kMegabyte - i;
    crowd.mMemory.Update(sender.mId, sender.mUsage, crowd.mNow);
  }
  BOOST_TEST(crowd.mMemory.TotalBytes() > kBound);
  crowd.Refuse(crowd.mMemory.ReleaseExcess(crowd.mNow));
  BOOST_TEST(crowd.mMemory.TotalBytes() <= kBound);
  BOOST_TEST(crowd.mSenders[0].mIsRefused);
  BOOST_TEST(!crowd.mSenders[5].mIsRefused);
}

// Answers that weren't read held 256 KB each, however many there were.
BOOST_AUTO_TEST_CASE(UnreadAnswersMayHoldLessTheMoreIsHeld)
{
  Crowd crowd;
  const std::size_t whole = crowd.mMemory.AnswerAllowance();
  BOOST_TEST(whole == 256 * kKilobyte);
  std::size_t streams = 0;
  for (; crowd.mMemory.AnswerAllowance() > 0 && streams < 1000; ++streams) {
    CallerUsage usage;
    usage.mPhase = CallerPhase::Running;
    usage.mHeldBytes = crowd.mMemory.AnswerAllowance();
    crowd.mMemory.Update(crowd.mMemory.Add(crowd.mNow), usage, crowd.mNow);
  }
  BOOST_TEST(streams > kBound / 2 / whole);
  BOOST_TEST(crowd.mMemory.TotalBytes() <= kBound / 8 * 7);
}

// What arrived behind running requests was read whatever was held.
BOOST_AUTO_TEST_CASE(BytesBehindRunningRequestsAreReadOnlyBelowTheMark)
{
  Crowd crowd;
  crowd.mSenders.reserve(10);
  Sender& running = crowd.Add(100);
  crowd.SetPhase(running, CallerPhase::Running);
  const auto decide = [&]() {
    return crowd.mMemory.Decide(running.mId, kPiece, crowd.mNow).mVerdict;
  };
  BOOST_TEST((decide() == ReadVerdict::Read));
  Sender& large = crowd.Add(13 * kMegabyte);
  crowd.ReadUpTo(large, 0);
  crowd.SetPhase(large, CallerPhase::Running);
  BOOST_TEST((decide() == ReadVerdict::Pause));
  crowd.SetPhase(running, CallerPhase::Running);
  BOOST_TEST(crowd.mMemory.IsPaused(running.mId));
  BOOST_TEST(crowd.mMemory.TakeResumable(crowd.mNow).mResumed.empty());
  crowd.End(large);
  const auto resumed = crowd.mMemory.TakeResumable(crowd.mNow).mResumed;
  BOOST_TEST((resumed == std::vector<CallerId>{ running.mId }));
  BOOST_TEST((decide() == ReadVerdict::Read));
  BOOST_TEST(!running.mIsRefused);
}

// Pauses must neither exceed the bound nor leave requests waiting for each
// other: in each round that gives time, some request arrives or is refused.
RC_BOOST_PROP(CrowdsStayWithinTheBoundAndEnd, ())
{
  Crowd crowd;
  const auto callers = *rc::gen::inRange<std::size_t>(1, 60);
  crowd.mSenders.reserve(callers);
  std::vector<std::size_t> stopsAt;
  for (std::size_t i = 0; i < callers; ++i) {
    RequestPriority priority;
    priority.mTeamTier = TierRank{ *rc::gen::inRange(0, 3) };
    const auto size = *rc::gen::inRange<std::size_t>(1, kLargest);
    crowd.Add(size, priority);
    stopsAt.push_back(*rc::gen::element<std::size_t>(0, 0, 1, size / 2));
  }
  const auto isOver = [&](std::size_t aIndex) {
    const Sender& sender = crowd.mSenders[aIndex];
    return sender.mIsRefused ||
           sender.mUsage.mPhase != CallerPhase::Receiving ||
           sender.mUsage.mMissingBytes <= stopsAt[aIndex];
  };
  bool areAllOver = false;
  for (int round = 0; round < 4000 && !areAllOver; ++round) {
    areAllOver = true;
    for (std::size_t i = 0; i < callers; ++i) {
      if (isOver(i)) {
        continue;
      }
      Sender& sender = crowd.mSenders[i];
      crowd.Read(sender, 4 * kPiece);
      RC_ASSERT(crowd.mMemory.TotalBytes() <= kBound);
      if (!sender.mIsRefused && sender.mUsage.mMissingBytes == 0) {
        crowd.End(sender); // It ran and was answered.
      }
      areAllOver = areAllOver && isOver(i);
    }
    crowd.mNow += Milliseconds(20);
    crowd.Resume();
  }
  RC_ASSERT(areAllOver);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
