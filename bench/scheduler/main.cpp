// Prints what the scheduler and the claim table cost and save.

#include "burstload.h"
#include "replacement.h"
#include "serverload.h"

#include <cstdio>
#include <string>

namespace medlarkeel {

namespace {

constexpr Seconds kDuration{ 1200 };
constexpr std::uint64_t kSeed = 20261204;

void
PrintLoad(const std::string& aName, const LoadSettings& aSettings)
{
  const LoadOutcome outcome = ServerLoad(kSeed, aSettings).Run(kDuration);
  std::printf("%-34s", aName.c_str());
  for (const auto& [name, figures] : outcome.mClasses) {
    std::printf(" %s %5.1f%% (wait %5.1f s)",
                name.c_str(),
                100.0 * figures.mGood / figures.mArrived,
                std::chrono::duration<double>(figures.mLongestWait).count());
  }
  const double all = static_cast<double>(outcome.mGoodTokens) +
                     static_cast<double>(outcome.mWastedTokens);
  std::printf(" wasted %4.1f%% good tokens %llu crashes %d limit %zu\n",
              100.0 * static_cast<double>(outcome.mWastedTokens) / all,
              static_cast<unsigned long long>(outcome.mGoodTokens),
              outcome.mCrashes,
              outcome.mLimit);
}

std::string
Short(double aNumber)
{
  return std::to_string(aNumber).substr(0, 4);
}

void
PrintLoads()
{
  for (const double load : { 0.8, 1.5, 3.0 }) {
    std::printf("load %.1f\n", load);
    LoadSettings settings;
    settings.mLoad = load;
    settings.mClasses = false;
    PrintLoad("one queue, first in first out", settings);
    settings.mClasses = true;
    settings.mReviewFloor = 0.0;
    PrintLoad("tiers, no floor", settings);
    settings.mReviewFloor = 0.05;
    for (const double quantile : { 0.0, 0.25, 0.5, 0.75 }) {
      settings.mLimits.mOwnLengthQuantile = quantile;
      PrintLoad("floor, quantile " + Short(quantile), settings);
    }
    settings.mLimits.mOwnLengthQuantile = 0.5;
    for (const double part : { 0.25, 0.5, 0.75, 1.0 }) {
      settings.mLimits.mNearEndPart = part;
      PrintLoad("floor, 0.5, near end " + Short(part), settings);
    }
  }
}

void
PrintColdStarts()
{
  std::printf("engine that crashes above what it bears, load 1.5\n");
  for (const std::size_t coldStart : { std::size_t{ 1 }, std::size_t{ 8 } }) {
    LoadSettings settings;
    settings.mLoad = 1.5;
    settings.mFragile = true;
    settings.mColdStart = coldStart;
    PrintLoad("cold start limit " + std::to_string(coldStart), settings);
  }
}

void
PrintBatches()
{
  std::printf("engine that slows with its batch, cold start at 1, load 0.8\n");
  for (const double cost : { 0.0, 0.2, 0.4 }) {
    LoadSettings settings;
    settings.mLoad = 0.8 / (1.0 + cost * 7.0);
    settings.mColdStart = 1;
    settings.mBatchCost = cost;
    PrintLoad("gap grows by " + Short(cost), settings);
  }
}

void
PrintBurst(const std::string& aName, const BurstSettings& aSettings)
{
  constexpr int kRounds = 25;
  std::printf("%-34s", aName.c_str());
  for (const auto& [name, figures] : BurstLoad(kSeed, aSettings).Run(kRounds)) {
    const double arrived = figures.mArrived;
    std::printf(" %s met %4.1f%% whole %4.1f%% refused at once %4.1f%%, "
                "later %4.1f%%",
                name.c_str(),
                100.0 * figures.mMet / arrived,
                100.0 * figures.mWhole / arrived,
                100.0 * figures.mRefusedAtOnce / arrived,
                100.0 * figures.mRefusedLater / arrived);
  }
  std::printf("\n");
}

void
PrintBursts()
{
  for (const Milliseconds delay : { Milliseconds(5), Milliseconds(60) }) {
    std::printf("bursts, commits after %lld ms on average\n",
                static_cast<long long>(delay.count()));
    BurstSettings settings;
    settings.mCommitDelay = delay;
    settings.mOrder = BurstOrder::Deadline;
    PrintBurst("by deadline", settings);
    settings.mOrder = BurstOrder::NewestFirst;
    PrintBurst("newest first", settings);
    settings.mOrder = BurstOrder::Targets;
    settings.mSecondShare = 0.5;
    PrintBurst("targets first, half queued twice", settings);
    settings.mSecondShare = 0.0;
    for (const double reserve : { 0.0, 0.05, 0.1, 0.2 }) {
      settings.mLimits.mTargetReserve = reserve;
      PrintBurst("targets first, reserve " + Short(reserve), settings);
    }
  }
}

void
PrintReplacements()
{
  std::printf("confirmations while one of three replicas is replaced\n");
  for (const KeyKind kind : { KeyKind::Ticket,
                              KeyKind::TicketAtCall,
                              KeyKind::TimeOrdered,
                              KeyKind::Opaque }) {
    const ReplacementOutcome outcome = PlayReplacements(kSeed, kind);
    std::printf("%-14s calls %d ran %d twice %d refused unknown: not run %d, "
                "ran %d; no owner %d\n",
                KeyKindName(kind),
                outcome.mCalls,
                outcome.mRan,
                outcome.mTwice,
                outcome.mRefusedNotRun,
                outcome.mRefusedRan,
                outcome.mNoOwner);
  }
}

} // namespace

} // namespace medlarkeel

int
main(int aCount, char** aArguments)
{
  if (aCount > 1 && std::string(aArguments[1]) == "bursts") {
    medlarkeel::PrintBursts();
    return 0;
  }
  medlarkeel::PrintLoads();
  medlarkeel::PrintColdStarts();
  medlarkeel::PrintBatches();
  medlarkeel::PrintReplacements();
  medlarkeel::PrintBursts();
  return 0;
}
