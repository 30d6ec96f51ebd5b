#include "nodecounters.h"

#include "bootclock.h"

#include <algorithm>

namespace medlarkeel {

namespace {

constexpr std::size_t kMostZoneChanges = 64;

} // namespace

void
NodeCounters::RecordEnd(const CountedEnd& aEnd)
{
  mMetrics.CountRequest(aEnd.mClass, aEnd.mOutcome, aEnd.mAttained);
  if (aEnd.mRefusal) {
    mMetrics.CountRefusal(aEnd.mRefusal->mReason, aEnd.mRefusal->mExecuted);
  }
  if (aEnd.mFirstByte) {
    mMetrics.ObserveFirstByte(aEnd.mClass, *aEnd.mFirstByte);
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  SetRunning(mRunning - 1);
  if (aEnd.mOutcome == RequestOutcome::Cancelled) {
    return;
  }
  ClassCounters& byClass = mClasses[aEnd.mClass];
  TeamCounters& byTeam = mTeams[aEnd.mTeam];
  ++byClass.mRequests;
  ++byTeam.mRequests;
  if (aEnd.mAttained) {
    ++byClass.mMetTarget;
    ++byTeam.mMetTarget;
  }
  if (aEnd.mRefusal) {
    ++byClass.mRefused[ReasonCode(aEnd.mRefusal->mReason)];
  }
}

void
NodeCounters::RecordRateRefusal(const ClassName& aClass,
                                const TeamName& aTeam,
                                const Refusal& aRefusal,
                                bool aInsideRate)
{
  mMetrics.CountRefusal(aRefusal.mReason, aRefusal.mExecuted);
  const std::lock_guard<std::mutex> lock(mMutex);
  ++mClasses[aClass].mRefused[ReasonCode(aRefusal.mReason)];
  TeamCounters& byTeam = mTeams[aTeam];
  ++byTeam.mRefusedForRate;
  if (aInsideRate) {
    ++byTeam.mRefusedInsideRate;
  }
}

void
NodeCounters::RecordEarlyRefusal(const Refusal& aRefusal)
{
  mMetrics.CountRefusal(aRefusal.mReason, aRefusal.mExecuted);
}

void
NodeCounters::RecordAdmitted(const TeamName& aTeam)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  ++mTeams[aTeam].mAdmitted;
  SetRunning(mRunning + 1);
}

void
NodeCounters::SetRunning(std::size_t aCount)
{
  mRunning = aCount;
  mMetrics.SetRunning(aCount);
}

void
NodeCounters::RecordBrokenAnswer(AnswerFault aFault)
{
  mMetrics.CountBrokenAnswer(aFault);
}

void
NodeCounters::RecordTokens(const ClassName& aClass,
                           TokenUse aUse,
                           std::size_t aCount)
{
  mMetrics.CountTokens(aClass, aUse, aCount);
  const std::lock_guard<std::mutex> lock(mMutex);
  ClassCounters& byClass = mClasses[aClass];
  (aUse == TokenUse::Useful ? byClass.mTokensUseful : byClass.mTokensWasted) +=
    aCount;
}

void
NodeCounters::ApplyDocument(const EnvironmentDocument& aDocument)
{
  mMetrics.SetDocumentVersion(aDocument.mVersion);
  const std::lock_guard<std::mutex> lock(mMutex);
  mServiceClasses = aDocument.mClasses;
  RecordZoneChanges(aDocument);
  mZones = aDocument.mZones;
}

void
NodeCounters::RecordZoneChanges(const EnvironmentDocument& aDocument)
{
  for (const ZoneEntry& zone : aDocument.mZones) {
    const auto before =
      std::find_if(mZones.begin(), mZones.end(), [&](const ZoneEntry& aOld) {
        return aOld.mName == zone.mName;
      });
    if (before != mZones.end() && before->mState != zone.mState) {
      mZoneChanges.push_back({ zone.mName,
                               zone.mState,
                               static_cast<std::uint64_t>(WallNow().count()),
                               aDocument.mVersion });
    }
  }
  if (mZoneChanges.size() > kMostZoneChanges) {
    mZoneChanges.erase(mZoneChanges.begin(),
                       mZoneChanges.end() - kMostZoneChanges);
  }
}

void
NodeCounters::Fill(NodeStatus& aStatus)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  for (const ServiceClass& serviceClass : mServiceClasses) {
    ClassStatus status;
    status.mName = serviceClass.mName;
    status.mTier = serviceClass.mTier;
    status.mAttainmentTarget = serviceClass.mAttainment;
    status.mCounters = mClasses[serviceClass.mName];
    aStatus.mClasses.push_back(std::move(status));
  }
  for (const auto& [team, counters] : mTeams) {
    aStatus.mTeams.push_back({ team, counters });
  }
  aStatus.mZones = mZones;
  aStatus.mZoneChanges = mZoneChanges;
}

} // namespace medlarkeel
