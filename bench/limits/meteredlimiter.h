#pragma once

#include "teamlimiter.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace medlarkeel {

enum class MeteredCall : std::size_t
{
  Admit,
  Receive,
  Tick,
  ObserveList,
  Count
};

/** Calls of one kind and the processor time they took. */
struct CallMeter
{
  std::uint64_t mCalls = 0;
  std::chrono::nanoseconds mTime{ 0 };

  double Mean() const
  {
    return mCalls == 0
             ? 0.0
             : static_cast<double>(mTime.count()) / static_cast<double>(mCalls);
  }
};

/** A TeamLimiter whose calls are timed, for all of them together. */
class MeteredLimiter
{
private:
  template<typename Action>
  static auto Measure(MeteredCall aCall, Action aAction)
  {
    const auto start = std::chrono::steady_clock::now();
    auto result = aAction();
    const auto time = std::chrono::steady_clock::now() - start;
    CallMeter& meter = All()[static_cast<std::size_t>(aCall)];
    ++meter.mCalls;
    meter.mTime += time;
    return result;
  }

public:
  using Meters =
    std::array<CallMeter, static_cast<std::size_t>(MeteredCall::Count)>;

  MeteredLimiter(InstanceId aSelf,
                 const TeamLimiterSettings& aSettings,
                 std::uint64_t aSeed)
    : mLimiter(std::move(aSelf), aSettings, aSeed)
  {
  }

  void SetTeams(const std::vector<TeamLimit>& aTeams, Timestamp aNow)
  {
    mLimiter.SetTeams(aTeams, aNow);
  }

  void ObserveList(const InstanceList& aList, Timestamp aSent, Timestamp aNow)
  {
    Measure(MeteredCall::ObserveList, [&] {
      mLimiter.ObserveList(aList, aSent, aNow);
      return 0;
    });
  }

  AdmitVerdict Admit(const TeamName& aTeam,
                     Timestamp aNow,
                     AdmitAttempt aAttempt = AdmitAttempt::First)
  {
    return Measure(MeteredCall::Admit,
                   [&] { return mLimiter.Admit(aTeam, aNow, aAttempt); });
  }

  std::vector<LimitMessage> Receive(const LimitMessage& aMessage,
                                    Timestamp aNow)
  {
    return Measure(MeteredCall::Receive,
                   [&] { return mLimiter.Receive(aMessage, aNow); });
  }

  std::vector<LimitMessage> Tick(Timestamp aNow)
  {
    return Measure(MeteredCall::Tick, [&] { return mLimiter.Tick(aNow); });
  }

  void ResumeAfterPause(Timestamp aNow) { mLimiter.ResumeAfterPause(aNow); }

  TeamLimiterStatistics Statistics() const { return mLimiter.Statistics(); }

  static Meters& All()
  {
    static Meters sMeters;
    return sMeters;
  }

private:
  TeamLimiter mLimiter;
};

} // namespace medlarkeel
