#include "serverlimits.h"

namespace medlarkeel {

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

LimitChange
ServerLimits::RecordStated(ProcessHash aProcess,
                           RequestRate aRate,
                           Timestamp aReceivedAt)
{
  const auto [place, isNew] = mLimits.try_emplace(aProcess);
  Limit& limit = place->second;
  const bool isAdded = isNew || limit.mHasEnded;
  const bool isChanged = limit.mRate != aRate;
  limit = { aRate, false, aReceivedAt };
  if (isAdded) {
    return LimitChange::Added;
  }
  return isChanged ? LimitChange::Changed : LimitChange::None;
}

LimitChange
ServerLimits::RecordNotStated(ProcessHash aProcess, Timestamp aSentAt)
{
  const auto found = mLimits.find(aProcess);
  if (found == mLimits.end() || found->second.mHasEnded ||
      aSentAt < found->second.mObservedAt) {
    return LimitChange::None;
  }
  found->second.mHasEnded = true;
  found->second.mObservedAt = aSentAt;
  return LimitChange::Ended;
}

std::optional<RequestRate>
ServerLimits::StatedRate(ProcessHash aProcess) const
{
  const auto found = mLimits.find(aProcess);
  if (found == mLimits.end() || found->second.mHasEnded) {
    return std::nullopt;
  }
  return found->second.mRate;
}

} // namespace medlarkeel
