#include "teamgate.h"

#include "bootclock.h"

#include <utility>

namespace medlarkeel {

namespace {

/** Longest wait for tokens from other entries. */
constexpr Milliseconds kAskPatience{ 250 };

} // namespace

TeamGate::TeamGate(const InstanceId& aSelf,
                   const TeamLimiterSettings& aSettings,
                   std::uint64_t aSeed,
                   Sender aSender)
  : mLimiter(aSelf, aSettings, aSeed)
  , mSender(std::move(aSender))
{
}

AdmitVerdict
TeamGate::Admit(const TeamName& aTeam)
{
  std::unique_lock<std::mutex> lock(mMutex);
  const Timestamp arrived = BootNow();
  AdmitVerdict verdict = mLimiter.Admit(aTeam, arrived);
  while (!verdict.mAdmitted && verdict.mAskPending) {
    const std::uint64_t answersSeen = mAnswers;
    const std::vector<LimitMessage> asks = mLimiter.Tick(BootNow());
    // The sender takes locks under which documents are applied to the gate.
    lock.unlock();
    mSender(asks);
    lock.lock();
    const Milliseconds left = std::chrono::duration_cast<Milliseconds>(
      arrived + kAskPatience - BootNow());
    if (left.count() <= 0 || !mAnswered.wait_for(lock, left, [&] {
          return mAnswers != answersSeen;
        })) {
      break;
    }
    verdict = mLimiter.Admit(aTeam, BootNow(), AdmitAttempt::Again);
  }
  return verdict;
}

void
TeamGate::ApplyDocument(const DocumentView& aView)
{
  SetLimits(aView.Limits());
}

void
TeamGate::SetLimits(const std::vector<TeamLimit>& aLimits)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mLimiter.SetTeams(aLimits, BootNow());
}

void
TeamGate::ApplyList(const InstanceList& aList,
                    Timestamp aSentAt,
                    Timestamp aReceivedAt)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mLimiter.ObserveList(aList, aSentAt, aReceivedAt);
}

std::vector<LimitMessage>
TeamGate::Receive(const LimitMessage& aMessage)
{
  std::vector<LimitMessage> answers;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    answers = mLimiter.Receive(aMessage, BootNow());
    ++mAnswers;
  }
  mAnswered.notify_all();
  return answers;
}

void
TeamGate::Tick()
{
  std::vector<LimitMessage> messages;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    messages = mLimiter.Tick(BootNow());
  }
  if (!messages.empty()) {
    mSender(std::move(messages));
  }
}

void
TeamGate::ResumeAfterPause()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mLimiter.ResumeAfterPause(BootNow());
}

bool
TeamGate::IsWithinReach()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mLimiter.IsWithinReach(BootNow());
}

} // namespace medlarkeel
