#include "serverpermits.h"

#include <algorithm>
#include <utility>

namespace medlarkeel {

const char*
PermitOutcomeText(PermitOutcome aOutcome)
{
  switch (aOutcome) {
    case PermitOutcome::Granted:
      return "granted";
    case PermitOutcome::Denied:
      return "denied";
    case PermitOutcome::Declined:
      return "declined";
    case PermitOutcome::TimedOut:
      return "timed-out";
  }
  return "unknown";
}

ServerPermits::ServerPermits(const ServerPermitSettings& aSettings,
                             std::string aOwn,
                             PeerView& aPeers,
                             ServerLimits& aLimits)
  : mSettings(aSettings)
  , mOwn(std::move(aOwn))
  , mPeers(aPeers)
  , mLimits(aLimits)
  , mIssuer(aSettings.mIssuer)
{
}

std::string
ServerPermits::IssuerFor(ProcessHash aProcess, Timestamp aNow) const
{
  for (const std::string& address : mPeers.RankedIssuers(aProcess, aNow)) {
    const auto state = mIssuers.find(address);
    if (state == mIssuers.end() || state->second.mAvoidedUntil <= aNow) {
      return address;
    }
  }
  return mOwn;
}

PermitAttempt
ServerPermits::Request(ProcessHash aProcess, Timestamp aNow)
{
  PermitAttempt attempt;
  attempt.mIssuer = IssuerFor(aProcess, aNow);
  if (attempt.mIssuer == mOwn) {
    attempt.mResult = Decide(aProcess, mOwn, aNow);
    return attempt;
  }
  attempt.mRequest.mId = ++mLastId;
  attempt.mRequest.mLimit =
    mLimits.Find(aProcess, aNow)
      .value_or(ReportedLimit{ aProcess, {}, true, Milliseconds(0) });
  mPending[attempt.mRequest.mId] = { attempt.mIssuer };
  return attempt;
}

PermitResult
ServerPermits::Decide(ProcessHash aProcess,
                      const std::string& aRequester,
                      Timestamp aNow)
{
  const std::optional<RequestRate> limit = mLimits.AllowedRate(aProcess, aNow);
  if (!limit) {
    return { PermitOutcome::Granted, Milliseconds(0), mOwn };
  }
  mIssuer.RecordRequester(aProcess, aRequester, aNow);
  const double share = mPeers.IssuableShare(
    aProcess, mIssuer.RequesterCount(aProcess, aNow), aNow);
  const PermitDecision decision =
    mIssuer.Decide(aProcess, RequestRate{ limit->mPerSecond * share }, aNow);
  return { decision.mIsGranted ? PermitOutcome::Granted : PermitOutcome::Denied,
           std::min(decision.mRetryDelay, MaximumRetryDelay(*limit, aNow)),
           mOwn };
}

Milliseconds
ServerPermits::MaximumRetryDelay(RequestRate aLimit, Timestamp aNow) const
{
  const auto interval = std::chrono::duration_cast<Milliseconds>(
    std::chrono::duration<double>(1.0 / aLimit.mPerSecond));
  return mPeers.IsDiscovering(aNow)
           ? std::max(interval, mSettings.mMinimumRetryDelay)
           : std::max(interval, mSettings.mIssuer.mMaximumRetryDelay);
}

PermitReply
ServerPermits::Answer(const std::string& aSender,
                      const PermitRequest& aRequest,
                      Timestamp aNow)
{
  mLimits.RecordReported(aRequest.mLimit, aNow);
  const ProcessHash process = aRequest.mLimit.mProcess;
  PermitReply reply;
  reply.mId = aRequest.mId;
  if (mPeers.IsDiscovering(aNow)) {
    reply.mOutcome = PermitOutcome::Declined;
  } else {
    const PermitResult result = Decide(process, aSender, aNow);
    reply.mOutcome = result.mOutcome;
    reply.mRetryDelay = result.mRetryDelay;
  }
  reply.mLimit = mLimits.Find(process, aNow).value_or(aRequest.mLimit);
  return reply;
}

std::optional<PermitResult>
ServerPermits::HandleReply(const std::string& aSender,
                           const PermitReply& aReply,
                           Timestamp aNow)
{
  const auto pending = mPending.find(aReply.mId);
  const bool isExpected =
    pending != mPending.end() && pending->second.mIssuer == aSender;
  if (!isExpected) {
    return std::nullopt;
  }
  mPending.erase(pending);
  mLimits.RecordReported(aReply.mLimit, aNow);
  IssuerState& issuer = mIssuers[aSender];
  issuer.mTimeouts = 0;
  issuer.mHeardAt = aNow;
  PermitResult result{ aReply.mOutcome, aReply.mRetryDelay, aSender };
  if (aReply.mOutcome == PermitOutcome::Declined) {
    issuer.mAvoidedUntil = aNow + mSettings.mDeclinedTime;
    result.mRetryDelay = Milliseconds(0);
  }
  return result;
}

std::optional<PermitResult>
ServerPermits::HandleTimeout(std::uint64_t aId, Timestamp aNow)
{
  const auto pending = mPending.find(aId);
  if (pending == mPending.end()) {
    return std::nullopt;
  }
  const std::string address = pending->second.mIssuer;
  mPending.erase(pending);
  IssuerState& issuer = mIssuers[address];
  issuer.mTimeouts += 1;
  const bool isSilent = aNow - issuer.mHeardAt >= mSettings.mMinimumSilence;
  if (isSilent && issuer.mTimeouts >= mSettings.mMaximumTimeouts) {
    issuer.mTimeouts = 0;
    issuer.mAvoidedUntil = aNow + mSettings.mAvoidTime;
  }
  return PermitResult{ PermitOutcome::TimedOut,
                       mSettings.mDelayAfterTimeout,
                       address };
}

void
ServerPermits::RecordReport(const std::string& aAddress, Timestamp aNow)
{
  const auto issuer = mIssuers.find(aAddress);
  if (issuer != mIssuers.end()) {
    issuer->second.mHeardAt = aNow;
  }
}

} // namespace medlarkeel
