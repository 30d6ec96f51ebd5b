#include "enginemodel.h"

#include <algorithm>

namespace medlarkeel {

namespace {

constexpr double kMillionth = 1e-6;

} // namespace

EngineModel::EngineModel(const EngineSpeed& aSpeed)
  : mSpeed(aSpeed)
{
}

void
EngineModel::Add(const EngineRequest& aRequest)
{
  const auto place = std::find_if(
    mWaiting.begin(), mWaiting.end(), [&aRequest](const EngineRequest& aOther) {
      return aOther.mRank > aRequest.mRank;
    });
  mWaiting.insert(place, aRequest);
}

void
EngineModel::Cancel(std::size_t aNumber)
{
  const auto hasNumber = [aNumber](const EngineRequest& aRequest) {
    return aRequest.mNumber == aNumber;
  };
  mWaiting.remove_if(hasNumber);
  mRunning.remove_if([&](const Run& aRun) {
    const bool isCancelled = hasNumber(aRun.mRequest);
    mTokensReadInVain += isCancelled && aRun.mMade == 0 ? aRun.mRead : 0;
    return isCancelled;
  });
}

EngineStep
EngineModel::Step()
{
  Admit();
  EngineStep step;
  step.mTimeMs = mSpeed.mStepMs;
  std::uint64_t room = mSpeed.mChunkTokens;
  std::uint64_t read = 0;
  for (Run& run : mRunning) {
    if (run.mUnread == 0) {
      run.mMade += 1;
      step.mTimeMs += mSpeed.mStepMsPerAnswer;
      step.mTokens.push_back({ run.mRequest.mNumber,
                               run.mMade,
                               run.mMade >= run.mRequest.mOutputTokens });
      continue;
    }
    const std::uint64_t part = std::min(room, run.mUnread);
    step.mTimeMs +=
      mSpeed.mMsPerMillionPairs * kMillionth * static_cast<double>(part) *
      static_cast<double>(run.mRequest.mPrompt.mPromptTokens -
                          std::min<std::uint64_t>(
                            run.mUnread, run.mRequest.mPrompt.mPromptTokens));
    run.mUnread -= part;
    run.mRead += part;
    room -= part;
    read += part;
    if (run.mUnread == 0) {
      Keep(run.mRequest.mPrompt);
    }
  }
  step.mTimeMs += static_cast<double>(read) / mSpeed.mPromptTokensPerMs;
  mRunning.remove_if([](const Run& aRun) {
    return aRun.mUnread == 0 && aRun.mMade >= aRun.mRequest.mOutputTokens;
  });
  return step;
}

void
EngineModel::Admit()
{
  while (mRunning.size() < mSpeed.mSlots && !mWaiting.empty()) {
    Run run{ std::move(mWaiting.front()), 0, 0, 0 };
    mWaiting.pop_front();
    // The last token of a prompt is always read: it brings the first answer.
    run.mUnread =
      std::max<std::uint64_t>(1, UnreadTokens(run.mRequest.mPrompt));
    const auto place =
      std::find_if(mRunning.begin(), mRunning.end(), [&run](const Run& aOther) {
        return aOther.mRequest.mRank > run.mRequest.mRank;
      });
    mRunning.insert(place, std::move(run));
  }
}

std::uint64_t
EngineModel::UnreadTokens(const PromptDescription& aPrompt)
{
  std::uint64_t unread = 0;
  for (std::size_t i = 0; i < aPrompt.mParts.size(); ++i) {
    const PromptPart& part = aPrompt.mParts[i];
    const auto found = mKeptById.find(part.mId);
    const bool isKept = unread == 0 && found != mKeptById.end();
    if (isKept) {
      mKept.splice(mKept.begin(), mKept, found->second);
      continue;
    }
    unread += part.mTokens;
    const bool isShared = i + 1 < aPrompt.mParts.size();
    mSharedTokensRead += isShared ? part.mTokens : 0;
  }
  return unread;
}

void
EngineModel::Keep(const PromptDescription& aPrompt)
{
  for (const PromptPart& part : aPrompt.mParts) {
    if (mKeptById.count(part.mId) == 0) {
      mKept.push_front({ part.mId, part.mTokens });
      mKeptById[part.mId] = mKept.begin();
      mKeptTokens += part.mTokens;
    }
  }
  while (mKeptTokens > mSpeed.mMemoryTokens && !mKept.empty()) {
    mKeptTokens -= mKept.back().mTokens;
    mKeptById.erase(mKept.back().mId);
    mKept.pop_back();
  }
}

} // namespace medlarkeel
