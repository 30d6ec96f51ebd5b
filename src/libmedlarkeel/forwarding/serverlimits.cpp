#include "serverlimits.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace medlarkeel {

namespace {

/** Longer than the list of backend servers may be out of date. */
constexpr Microseconds kMinimumRetention = std::chrono::minutes(1);

} // namespace

const char*
LimitChangeText(LimitChange aChange)
{
  switch (aChange) {
    case LimitChange::None:
      return "none";
    case LimitChange::Added:
      return "added";
    case LimitChange::Changed:
      return "changed";
    case LimitChange::Ended:
      return "ended";
  }
  return "unknown";
}

ServerLimits::ServerLimits(const ServerLimitSettings& aSettings)
  : mSettings(aSettings)
{
}

LimitChange
ServerLimits::RecordStated(ProcessHash aProcess,
                           RequestRate aRate,
                           Timestamp aReceivedAt)
{
  const auto [place, isNew] = mLimits.try_emplace(aProcess);
  Limit& limit = place->second;
  LimitChange change = LimitChange::None;
  if (isNew || limit.mHasEnded) {
    change = LimitChange::Added;
  } else if (limit.mRate != aRate) {
    change = LimitChange::Changed;
  }
  if (change == LimitChange::None) {
    limit.mObservedAt = aReceivedAt;
  } else {
    limit = { aRate, false, aReceivedAt, aReceivedAt, std::nullopt };
  }
  return change;
}

LimitChange
ServerLimits::RecordNotStated(ProcessHash aProcess,
                              Timestamp aSentAt,
                              Timestamp aNow)
{
  const auto found = mLimits.find(aProcess);
  if (found == mLimits.end() || found->second.mHasEnded ||
      aSentAt < found->second.mObservedAt) {
    return LimitChange::None;
  }
  Limit& limit = found->second;
  limit = { limit.mRate, true, aSentAt, aNow, std::nullopt };
  return LimitChange::Ended;
}

LimitChange
ServerLimits::RecordReported(const ReportedLimit& aLimit, Timestamp aNow)
{
  const Timestamp observedAt = aNow - aLimit.mAge;
  const auto found = mLimits.find(aLimit.mProcess);
  const Timestamp changedAt = aLimit.mHasEnded ? observedAt : aNow;
  if (found == mLimits.end()) {
    mLimits[aLimit.mProcess] = {
      aLimit.mRate, aLimit.mHasEnded, observedAt, changedAt, std::nullopt
    };
    return aLimit.mHasEnded ? LimitChange::None : LimitChange::Added;
  }
  Limit& limit = found->second;
  const bool isSame =
    aLimit.mHasEnded == limit.mHasEnded && aLimit.mRate == limit.mRate;
  if (isSame) {
    if (observedAt > limit.mObservedAt + mSettings.mAgeTolerance) {
      limit.mObservedAt = observedAt;
    }
    return LimitChange::None;
  }
  if (observedAt <= limit.mObservedAt) {
    return LimitChange::None;
  }
  const bool hadEnded = limit.mHasEnded;
  limit = {
    aLimit.mRate, aLimit.mHasEnded, observedAt, changedAt, std::nullopt
  };
  if (aLimit.mHasEnded) {
    return hadEnded ? LimitChange::None : LimitChange::Ended;
  }
  return hadEnded ? LimitChange::Added : LimitChange::Changed;
}

std::optional<RequestRate>
ServerLimits::AllowedRate(ProcessHash aProcess, Timestamp aNow) const
{
  const auto found = mLimits.find(aProcess);
  if (found == mLimits.end()) {
    return std::nullopt;
  }
  const Limit& limit = found->second;
  if (!limit.mHasEnded) {
    return limit.mRate;
  }
  const Microseconds sinceEnd = aNow - limit.mChangedAt;
  if (sinceEnd >= mSettings.mReleaseTime) {
    return std::nullopt;
  }
  const double doublings =
    std::chrono::duration<double>(sinceEnd).count() /
    std::chrono::duration<double>(mSettings.mReleaseDoublingTime).count();
  const RequestRate first =
    std::max(limit.mRate, mSettings.mMinimumReleaseRate);
  return RequestRate{ first.mPerSecond * std::exp2(doublings) };
}

void
ServerLimits::RecordDenied(ProcessHash aProcess, Timestamp aNotBefore)
{
  const auto found = mLimits.find(aProcess);
  if (found != mLimits.end()) {
    found->second.mDeniedUntil = aNotBefore;
  }
}

std::optional<Timestamp>
ServerLimits::DeniedUntil(ProcessHash aProcess) const
{
  const auto found = mLimits.find(aProcess);
  return found == mLimits.end() ? std::nullopt : found->second.mDeniedUntil;
}

ReportedLimit
ServerLimits::ReportOf(ProcessHash aProcess,
                       const Limit& aLimit,
                       Timestamp aNow) const
{
  return { aProcess,
           aLimit.mRate,
           aLimit.mHasEnded,
           std::chrono::duration_cast<Milliseconds>(aNow -
                                                    aLimit.mObservedAt) };
}

std::optional<ReportedLimit>
ServerLimits::Find(ProcessHash aProcess, Timestamp aNow) const
{
  const auto found = mLimits.find(aProcess);
  if (found == mLimits.end()) {
    return std::nullopt;
  }
  return ReportOf(aProcess, found->second, aNow);
}

std::vector<ReportedLimit>
ServerLimits::TakeReport(Timestamp aNow)
{
  std::vector<ReportedLimit> changed;
  std::vector<ReportedLimit> unchanged;
  for (const auto& [process, limit] : mLimits) {
    const bool isRecent = aNow - limit.mChangedAt < mSettings.mChangeReportTime;
    (isRecent ? changed : unchanged).push_back(ReportOf(process, limit, aNow));
  }
  std::sort(unchanged.begin(),
            unchanged.end(),
            [](const ReportedLimit& aLeft, const ReportedLimit& aRight) {
              return aLeft.mProcess < aRight.mProcess;
            });
  const std::size_t count =
    std::min(unchanged.size(), mSettings.mUnchangedPerReport);
  for (std::size_t i = 0; i < count; ++i) {
    changed.push_back(unchanged[mReported++ % unchanged.size()]);
  }
  return changed;
}

void
ServerLimits::RemoveUnlisted(const std::function<bool(ProcessHash)>& aIsListed,
                             Timestamp aNow)
{
  for (auto entry = mLimits.begin(); entry != mLimits.end();) {
    const bool isKept = aNow - entry->second.mObservedAt < kMinimumRetention ||
                        aIsListed(entry->first);
    entry = isKept ? std::next(entry) : mLimits.erase(entry);
  }
}

} // namespace medlarkeel
