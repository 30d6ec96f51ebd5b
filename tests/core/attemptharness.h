#pragma once

#include "attempttracker.h"
#include "refusal.h"
#include "types.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace medlarkeel {

/** Draws from a generated list of bytes; zeros follow when it has run out. */
class ChoiceScript
{
public:
  explicit ChoiceScript(std::vector<std::uint8_t> aBytes)
    : mBytes(std::move(aBytes))
  {
  }

  /** @return A number below aBound. */
  std::size_t Below(std::size_t aBound)
  {
    const std::size_t byte = mNext < mBytes.size() ? mBytes[mNext++] : 0;
    return byte % aBound;
  }

  bool OneIn(std::size_t aBound) { return Below(aBound) == aBound - 1; }

private:
  std::vector<std::uint8_t> mBytes;
  std::size_t mNext = 0;
};

/** What the caller and the agents saw of one request. */
struct AttemptOutcome
{
  /** Each delivered byte as the attempt it came from and its offset. */
  std::vector<std::pair<std::uint64_t, std::uint64_t>> mBytes;
  std::optional<Refusal> mRefusal;
  bool mFinished = false;
  bool mAborted = false;
  bool mCallerLeft = false;
  int mEnds = 0;
  /** Runs that began at any agent. */
  int mRuns = 0;
  int mCommits = 0;
  /** Length of the answer of the attempt that was finished. */
  std::uint64_t mWholeLength = 0;

  bool IsFromOneAttempt() const
  {
    for (std::size_t index = 0; index < mBytes.size(); ++index) {
      const bool isNext =
        mBytes[index].first == mBytes[0].first && mBytes[index].second == index;
      if (!isNext) {
        return false;
      }
    }
    return true;
  }

  /** @return What was broken, or an empty text. */
  std::string Violation(bool aRepeatable) const
  {
    if (mEnds != 1) {
      return "ended other than once";
    }
    if (!IsFromOneAttempt()) {
      return "mixed";
    }
    if (mFinished && mBytes.size() != mWholeLength) {
      return "cut with a clean end";
    }
    if (mRefusal && !mAborted && !mBytes.empty()) {
      return "refused after bytes";
    }
    if (!aRepeatable && (mRuns > 1 || mCommits > 1)) {
      return "run twice";
    }
    if (mRefusal && mRefusal->mExecuted == Executed::No && mRuns > 0) {
      return "false not-run";
    }
    return "";
  }
};

/** Drives one relay through a generated order of events. */
template<typename Relay>
class AttemptHarness
{
public:
  AttemptHarness(std::vector<std::uint8_t> aBytes, bool aRepeatable)
    : mScript(std::move(aBytes))
    , mRepeatable(aRepeatable)
    , mRelay(Rules(aRepeatable), mReservations, mRestarts, &mParallel)
  {
  }

  AttemptOutcome Run()
  {
    Choose();
    while (!mPending.empty()) {
      mNow += Milliseconds(mScript.Below(40));
      const std::size_t index = NextIndex();
      const Event event = mPending[index];
      if (!mScript.OneIn(8)) {
        mPending.erase(mPending.begin() + static_cast<std::ptrdiff_t>(index));
      } else if (++mDoubled > kMaxDoubled) {
        mPending.clear();
      }
      Handle(event);
      if (mScript.OneIn(100)) {
        Leave();
      }
    }
    Apply(mRelay.OnDeadline());
    return mOutcome;
  }

private:
  enum class Kind
  {
    Granted,
    Refused,
    Head,
    Chunk,
    Done,
    Lost
  };

  struct Event
  {
    Kind mKind = Kind::Lost;
    std::uint64_t mAttempt = 0;
    std::uint64_t mOffset = 0;
    std::uint64_t mSize = 0;
    RequestId mRequest;
    Executed mExecuted = Executed::No;
  };

  static constexpr int kMaxDoubled = 200;

  static AttemptRules Rules(bool aRepeatable)
  {
    AttemptRules rules;
    rules.mRequest = RequestId("own");
    rules.mRepeatable = aRepeatable;
    return rules;
  }

  /** The next of any attempt; sometimes one that overtakes it. */
  std::size_t NextIndex()
  {
    const std::size_t drawn = mScript.Below(mPending.size());
    if (mScript.OneIn(6)) {
      return drawn;
    }
    const auto first =
      std::find_if(mPending.begin(), mPending.end(), [&](const Event& aEvent) {
        return aEvent.mAttempt == mPending[drawn].mAttempt;
      });
    return static_cast<std::size_t>(first - mPending.begin());
  }

  void Push(Kind aKind,
            std::uint64_t aAttempt,
            std::uint64_t aOffset = 0,
            std::uint64_t aSize = 0)
  {
    Event event;
    event.mKind = aKind;
    event.mAttempt = aAttempt;
    event.mOffset = aOffset;
    event.mSize = aSize;
    event.mRequest = RequestId(mScript.OneIn(50) ? "other" : "own");
    mPending.push_back(event);
  }

  void Choose()
  {
    const std::size_t count = 1 + mScript.Below(2);
    for (std::size_t index = 0; index < count; ++index) {
      const auto attempt =
        mRelay.BeginAttempt(InstanceId("agent-" + std::to_string(mAgents++)));
      if (attempt) {
        const bool isLost = mScript.OneIn(5);
        const bool isRefused = mScript.OneIn(4);
        Push(isLost      ? Kind::Lost
             : isRefused ? Kind::Refused
                         : Kind::Granted,
             *attempt);
      } else if (index == 0) {
        Apply(mRelay.OnNoAgent(Refusal{}));
      }
    }
  }

  /** The agent got the commit: refuses it as not run, or runs it. */
  void OnCommitAtAgent(std::uint64_t aAttempt)
  {
    ++mOutcome.mCommits;
    if (mScript.OneIn(6)) {
      Push(Kind::Refused, aAttempt);
      return;
    }
    ++mOutcome.mRuns;
    const std::uint64_t length = 3 + aAttempt * 2 + mScript.Below(9);
    const bool breaks = mScript.OneIn(3);
    const std::uint64_t end = breaks ? mScript.Below(length) : length;
    if (breaks && mScript.OneIn(2)) {
      Push(Kind::Lost, aAttempt);
      return;
    }
    Push(Kind::Head, aAttempt);
    std::uint64_t offset = 0;
    while (offset < end) {
      const std::uint64_t size =
        std::min<std::uint64_t>(1 + mScript.Below(4), end - offset);
      Push(Kind::Chunk, aAttempt, offset, size);
      offset += size;
    }
    if (breaks) {
      Push(Kind::Lost, aAttempt);
    } else {
      Push(Kind::Done, aAttempt, length);
    }
  }

  void Handle(const Event& aEvent)
  {
    switch (aEvent.mKind) {
      case Kind::Granted:
        Apply(mRelay.OnGranted(aEvent.mAttempt,
                               Grant{ 1, Incarnation{ 1 }, Milliseconds(30) },
                               mNow));
        break;
      case Kind::Refused:
        Apply(mRelay.OnRefused(aEvent.mAttempt, Refusal{}, mNow));
        break;
      case Kind::Head:
        Apply(mRelay.OnHead(aEvent.mAttempt, 200));
        break;
      case Kind::Chunk:
        HandleChunk(aEvent);
        break;
      case Kind::Done:
        mDoneLength = aEvent.mOffset;
        Apply(mRelay.OnDone(aEvent.mAttempt, aEvent.mOffset, mNow));
        break;
      case Kind::Lost:
        Apply(mRelay.OnAgentLost(aEvent.mAttempt, mNow));
        break;
    }
  }

  void HandleChunk(const Event& aEvent)
  {
    const ChunkVerdict verdict = mRelay.AcceptChunk(
      aEvent.mRequest, aEvent.mAttempt, aEvent.mOffset, aEvent.mSize);
    if (verdict == ChunkVerdict::Deliver) {
      for (std::uint64_t at = 0; at < aEvent.mSize; ++at) {
        mOutcome.mBytes.emplace_back(aEvent.mAttempt, aEvent.mOffset + at);
      }
    } else if (verdict == ChunkVerdict::Gap) {
      Apply(mRelay.OnAgentLost(aEvent.mAttempt, mNow));
    }
  }

  void Leave()
  {
    if (!mRelay.IsOver()) {
      mOutcome.mCallerLeft = true;
      ++mOutcome.mEnds;
      Apply(mRelay.OnCallerGone());
    }
  }

  void Apply(const AttemptActions& aActions)
  {
    for (const AttemptAction& action : aActions) {
      std::visit([this](const auto& aAction) { this->Do(aAction); }, action);
    }
  }

  void Do(const ChooseAgent&) { Choose(); }
  void Do(const ConfirmGrant&)
  {
    mNow += Milliseconds(mScript.Below(40));
    Apply(mRelay.Commit(mNow));
  }
  void Do(const SendCommit& aCommit) { OnCommitAtAgent(aCommit.mAttempt); }
  void Do(const CancelAttempt&) {}
  void Do(const RelayHead&) {}
  void Do(const FinishAnswer&)
  {
    ++mOutcome.mEnds;
    mOutcome.mFinished = true;
    mOutcome.mWholeLength = mDoneLength;
  }
  void Do(const RefuseRequest& aRefuse)
  {
    ++mOutcome.mEnds;
    mOutcome.mRefusal = aRefuse.mRefusal;
  }
  void Do(const AbortAnswer& aAbort)
  {
    ++mOutcome.mEnds;
    mOutcome.mAborted = true;
    mOutcome.mRefusal = aAbort.mRefusal;
  }

  ChoiceScript mScript;
  bool mRepeatable;
  RetryBudget mReservations{ RetryBudgetSettings{} };
  RetryBudget mRestarts{ RetryBudgetSettings{} };
  RetryBudget mParallel{ RetryBudgetSettings{} };
  Relay mRelay;
  Timestamp mNow{ Seconds(100) };
  std::vector<Event> mPending;
  std::uint64_t mDoneLength = 0;
  int mAgents = 0;
  int mDoubled = 0;
  AttemptOutcome mOutcome;
};

/**
 * The relay that the tracker is compared with: commits on every grant, takes
 * every chunk, tries again after every loss and calls every refusal "not run".
 */
class NaiveRelay
{
public:
  NaiveRelay(const AttemptRules&, RetryBudget&, RetryBudget&, RetryBudget*) {}

  std::optional<std::uint64_t> BeginAttempt(const InstanceId&)
  {
    return mAttempts < kMaxAttempts ? std::optional(++mAttempts) : std::nullopt;
  }
  AttemptActions OnNoAgent(const Refusal& aRefusal) { return Refuse(aRefusal); }
  AttemptActions OnGranted(std::uint64_t aAttempt,
                           const Grant& aGrant,
                           Timestamp)
  {
    return mIsOver ? AttemptActions{}
                   : AttemptActions{ SendCommit{ aAttempt, aGrant } };
  }
  AttemptActions Commit(Timestamp) { return {}; }
  AttemptActions OnRefused(std::uint64_t, const Refusal&, Timestamp)
  {
    return mIsOver ? AttemptActions{} : AttemptActions{ ChooseAgent{} };
  }
  AttemptActions OnHead(std::uint64_t, int) { return {}; }
  ChunkVerdict AcceptChunk(const RequestId&,
                           std::uint64_t,
                           std::uint64_t,
                           std::uint64_t)
  {
    return mIsOver ? ChunkVerdict::DropLate : ChunkVerdict::Deliver;
  }
  AttemptActions OnDone(std::uint64_t, std::uint64_t, Timestamp)
  {
    const bool wasOver = std::exchange(mIsOver, true);
    return wasOver ? AttemptActions{} : AttemptActions{ FinishAnswer{} };
  }
  AttemptActions OnAgentLost(std::uint64_t, Timestamp)
  {
    return mIsOver ? AttemptActions{} : AttemptActions{ ChooseAgent{} };
  }
  AttemptActions OnDeadline() { return Refuse(Refusal{}); }
  AttemptActions OnCallerGone()
  {
    mIsOver = true;
    return {};
  }
  bool IsOver() const { return mIsOver; }

private:
  static constexpr std::uint64_t kMaxAttempts = 4;

  AttemptActions Refuse(const Refusal& aRefusal)
  {
    const bool wasOver = std::exchange(mIsOver, true);
    return wasOver ? AttemptActions{}
                   : AttemptActions{ RefuseRequest{ aRefusal } };
  }

  std::uint64_t mAttempts = 0;
  bool mIsOver = false;
};

} // namespace medlarkeel
