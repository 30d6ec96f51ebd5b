#include "replacement.h"

#include "claimtable.h"

#include <array>
#include <cstdio>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace medlarkeel {

namespace {

constexpr std::int64_t kStep = 50;
constexpr std::int64_t kDuration = 600000;
constexpr std::int64_t kCrash = 200000;
/** Time from the crash until the list shows it. */
constexpr std::int64_t kListLag = 5000;
/** Time from then until the heir is certainly alone. */
constexpr std::int64_t kTakeover = 15000;
constexpr std::int64_t kRunTime = 500;
constexpr std::int64_t kRepeatEvery = 1000;
constexpr std::int64_t kPatience = 30000;
constexpr std::int64_t kTicketLead = 30000;
/** Odds of a call in each step: 4 a second. */
constexpr double kCallOdds = 0.2;
constexpr std::size_t kReplicas = 3;
constexpr std::int64_t kLongAgo = -100000000;

struct Call
{
  ClaimKey mKey;
  std::size_t mOwner = 0;
  std::int64_t mMade = 0;
  std::int64_t mNextTry = 0;
  std::optional<std::int64_t> mRunEnds;
  std::size_t mRunsAt = 0;
  std::uint64_t mRunsIn = 0;
  int mRuns = 0;
  bool mEnded = false;
};

struct Replica
{
  std::unique_ptr<ClaimTable> mTable;
  std::uint64_t mIncarnation = 0;
  bool mAlive = true;
};

Timestamp
At(std::int64_t aMilliseconds)
{
  return Timestamp(Milliseconds(aMilliseconds));
}

class Play
{
public:
  Play(std::uint64_t aSeed, KeyKind aKind)
    : mRandom(aSeed)
    , mKind(aKind)
  {
    for (std::size_t index = 0; index < kReplicas; ++index) {
      mReplicas.push_back(Start(index, kLongAgo));
    }
  }

  ReplacementOutcome Run()
  {
    for (mNow = 1; mNow < kDuration; mNow += kStep) {
      if (mNow < kCrash + kStep && mNow >= kCrash) {
        mReplicas[0].mAlive = false;
      }
      if (!mReplicas[0].mAlive && mNow >= kCrash + kListLag) {
        mReplicas[0] = Start(0, mNow);
      }
      BeginCalls();
      for (Call& call : mCalls) {
        Drive(call);
      }
    }
    return Count();
  }

private:
  Replica Start(std::size_t aIndex, std::int64_t aStarted)
  {
    Replica replica;
    replica.mIncarnation = ++mIncarnations;
    replica.mTable = std::make_unique<ClaimTable>(
      InstanceId("agent-" + std::to_string(aIndex)),
      Incarnation{ replica.mIncarnation },
      At(aStarted));
    return replica;
  }

  void BeginCalls()
  {
    const double draw = std::uniform_real_distribution<>(0.0, 1.0)(mRandom);
    if (draw >= kCallOdds || mNow > kDuration - 2 * kPatience) {
      return;
    }
    Call call;
    call.mOwner = Pick(kReplicas);
    call.mMade = mNow;
    call.mNextTry = mNow;
    while (IsTicket() && !mReplicas[call.mOwner].mAlive) {
      call.mOwner = Pick(kReplicas);
    }
    if (mKind == KeyKind::Ticket) {
      call.mNextTry = mNow + static_cast<std::int64_t>(
                               Pick(static_cast<std::size_t>(kTicketLead)));
    }
    call.mKey = { TeamName("team"), MakeKey(call.mOwner) };
    mCalls.push_back(call);
  }

  bool IsTicket() const
  {
    return mKind == KeyKind::Ticket || mKind == KeyKind::TicketAtCall;
  }

  IdempotencyKey MakeKey(std::size_t aOwner)
  {
    const std::size_t serial = mCalls.size();
    if (IsTicket()) {
      return mReplicas[aOwner].mTable->IssueTicket(At(mNow));
    }
    if (mKind == KeyKind::Opaque) {
      return IdempotencyKey("order-" + std::to_string(serial));
    }
    std::array<char, 40> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "%08x-%04x-7000-8000-%012zx",
                  static_cast<unsigned>(mNow >> 16U),
                  static_cast<unsigned>(mNow & 0xffff),
                  serial);
    return IdempotencyKey(text.data());
  }

  /** Where a key goes: its owner, or for a ticket its issuer. */
  void Drive(Call& aCall)
  {
    if (aCall.mEnded) {
      return;
    }
    if (aCall.mRunEnds && mNow >= *aCall.mRunEnds) {
      EndRun(aCall);
      return;
    }
    if (aCall.mRunEnds || mNow < aCall.mNextTry) {
      return;
    }
    aCall.mNextTry += kRepeatEvery;
    Replica& replica = mReplicas[aCall.mOwner];
    if (!replica.mAlive) {
      return;
    }
    Decide(aCall, replica);
  }

  void EndRun(Call& aCall)
  {
    const Replica& replica = mReplicas[aCall.mRunsAt];
    aCall.mRunEnds.reset();
    if (replica.mAlive && replica.mIncarnation == aCall.mRunsIn) {
      replica.mTable->RecordAnswer(aCall.mKey, { 200, "text/plain", "done" });
      ++mOutcome.mRan;
      aCall.mEnded = true;
    }
  }

  void Decide(Call& aCall, Replica& aReplica)
  {
    const bool isNew = aReplica.mIncarnation > kReplicas;
    const std::int64_t since = isNew ? kCrash + kListLag + kTakeover : kLongAgo;
    ClaimEvidence evidence{
      At(mNow), WallTime(Milliseconds(mNow)), mNow >= since, {}
    };
    if (evidence.mIsOwner) {
      evidence.mExclusiveSince = At(since);
    }
    const ClaimDecision decision =
      aReplica.mTable->Claim(aCall.mKey, BodyHash("body"), evidence);
    if (decision.mVerdict == ClaimVerdict::Run) {
      ++aCall.mRuns;
      aCall.mRunEnds = mNow + kRunTime;
      aCall.mRunsAt = aCall.mOwner;
      aCall.mRunsIn = aReplica.mIncarnation;
      return;
    }
    if (decision.mVerdict == ClaimVerdict::PossibleRepeat) {
      ++(aCall.mRuns > 0 ? mOutcome.mRefusedRan : mOutcome.mRefusedNotRun);
      aCall.mEnded = true;
      return;
    }
    if (mNow - aCall.mMade > kPatience) {
      ++mOutcome.mNoOwner;
      aCall.mEnded = true;
    }
  }

  ReplacementOutcome Count()
  {
    mOutcome.mCalls = static_cast<int>(mCalls.size());
    for (const Call& call : mCalls) {
      mOutcome.mTwice += call.mRuns > 1 ? 1 : 0;
    }
    return mOutcome;
  }

  std::size_t Pick(std::size_t aBound)
  {
    return std::uniform_int_distribution<std::size_t>(0, aBound - 1)(mRandom);
  }

  std::mt19937_64 mRandom;
  KeyKind mKind;
  std::int64_t mNow = 0;
  std::uint64_t mIncarnations = 0;
  std::vector<Replica> mReplicas;
  std::vector<Call> mCalls;
  ReplacementOutcome mOutcome;
};

} // namespace

const char*
KeyKindName(KeyKind aKind)
{
  switch (aKind) {
    case KeyKind::Ticket:
      return "ticket";
    case KeyKind::TicketAtCall:
      return "ticket at call";
    case KeyKind::TimeOrdered:
      return "time-ordered";
    case KeyKind::Opaque:
      break;
  }
  return "opaque";
}

ReplacementOutcome
PlayReplacements(std::uint64_t aSeed, KeyKind aKind)
{
  return Play(aSeed, aKind).Run();
}

} // namespace medlarkeel
