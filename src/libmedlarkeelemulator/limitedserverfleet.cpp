#include "limitedserverfleet.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace medlarkeel {

namespace {

/** Start of virtual time: late enough that no time is negative. */
const Timestamp kStart{ Seconds(1000) };

/** Start of entries that have known each other for long. */
const Timestamp kEntriesStarted{ Seconds(900) };

constexpr ProcessHash kServer = 7;

constexpr std::size_t kSeeds = 3;

/** Time for which the server works on a request. */
constexpr double kWorkMs = 20.0;

/** Time from the first statement of a limit until it binds. */
constexpr double kContactMs = 3000.0;

/** Time after which an entry that knows the limit counts. */
constexpr double kInformedMs = 500.0;

constexpr double kWindowMs = 4000.0;

constexpr double kMillisecondsPerSecond = 1000.0;

Microseconds
TimeOf(double aMilliseconds)
{
  return Microseconds(
    static_cast<std::int64_t>(aMilliseconds * kMillisecondsPerSecond));
}

std::string
AddressOf(std::size_t aEntry)
{
  constexpr std::size_t kHosts = 250;
  return "10.0." + std::to_string(aEntry / kHosts) + "." +
         std::to_string(1 + aEntry % kHosts);
}

std::vector<double>
WeightsOf(const LimitedServerPlan& aPlan)
{
  std::vector<double> weights;
  for (std::size_t i = 0; i < aPlan.mEntries; ++i) {
    weights.push_back(std::pow(static_cast<double>(i + 1), -aPlan.mSkew));
  }
  return weights;
}

} // namespace

LimitedServerFleet::LimitedServerFleet(const LimitedServerPlan& aPlan,
                                       LimitPolicy aPolicy,
                                       std::uint64_t aSeed)
  : mPlan(aPlan)
  , mRandom(aSeed)
{
  constexpr std::array<SendDecision, 4> kDecisions{
    &LimitedServerFleet::SendWithPermit,
    &LimitedServerFleet::SendAlways,
    &LimitedServerFleet::SendWithinWholeLimit,
    &LimitedServerFleet::SendWithinEqualShare
  };
  mSendDecision = kDecisions.at(static_cast<std::size_t>(aPolicy));
  const std::vector<double> weights = WeightsOf(aPlan);
  mEntryOfRequest = { weights.begin(), weights.end() };
  for (std::size_t i = 0; i < std::min(kSeeds, aPlan.mEntries); ++i) {
    mSeeds.push_back(AddressOf(i));
  }
  mEntries.resize(aPlan.mEntries);
  for (std::size_t i = 0; i < aPlan.mEntries; ++i) {
    mEntries[i].mAddress = AddressOf(i);
    mEntries[i].mZone = static_cast<std::uint32_t>(1 + i % aPlan.mZones);
    Start(i, true);
  }
}

Timestamp
LimitedServerFleet::Now() const
{
  return kStart + TimeOf(mNowMs);
}

void
LimitedServerFleet::At(double aAtMs, std::function<void()> aRun)
{
  mTasks.push({ aAtMs, std::move(aRun) });
}

double
LimitedServerFleet::Delay()
{
  return std::uniform_real_distribution<double>(0.0,
                                                mPlan.mMaximumDelayMs)(mRandom);
}

void
LimitedServerFleet::Start(std::size_t aEntry, bool aKnowsAll)
{
  Entry& entry = mEntries[aEntry];
  entry.mLife += 1;
  entry.mIsRunning = true;
  entry.mInformedAtMs.reset();
  entry.mOwnIssuer = PermitIssuer();
  std::vector<std::string> known = mSeeds;
  if (aKnowsAll) {
    for (std::size_t i = 0; i < mEntries.size(); ++i) {
      known.push_back(AddressOf(i));
    }
  }
  entry.mPeers = std::make_unique<PeerView>(PeerSettings(),
                                            entry.mAddress,
                                            known,
                                            aKnowsAll ? kEntriesStarted : Now(),
                                            entry.mZone);
  entry.mLimits = std::make_unique<ServerLimits>();
  entry.mPermits = std::make_unique<ServerPermits>(
    ServerPermitSettings(), entry.mAddress, *entry.mPeers, *entry.mLimits);
}

LimitedServerOutcome
LimitedServerFleet::Play()
{
  for (const EntryFault& fault : mPlan.mFaults) {
    At(fault.mFromMs, [this, fault]() { Apply(fault); });
    At(fault.mFromMs + fault.mForMs, [this, fault]() { End(fault); });
  }
  for (std::size_t i = 0; i < mEntries.size(); ++i) {
    RunAt(i, Delay(), [this, i]() { Report(i); });
  }
  ScheduleRequest();
  while (!mTasks.empty() && mTasks.top().mAtMs < mPlan.mDurationMs) {
    const Task task = mTasks.top();
    mTasks.pop();
    mNowMs = task.mAtMs;
    task.mRun();
  }
  return Outcome();
}

void
LimitedServerFleet::Apply(const EntryFault& aFault)
{
  Entry& entry = mEntries[aFault.mEntry];
  switch (aFault.mKind) {
    case EntryFaultKind::Restart:
    case EntryFaultKind::Join:
      entry.mIsRunning = false;
      entry.mLife += 1;
      return;
    case EntryFaultKind::Freeze:
      entry.mIsFrozen = true;
      return;
    case EntryFaultKind::Cut:
      entry.mIsCut = true;
      return;
  }
}

void
LimitedServerFleet::End(const EntryFault& aFault)
{
  Entry& entry = mEntries[aFault.mEntry];
  switch (aFault.mKind) {
    case EntryFaultKind::Restart:
    case EntryFaultKind::Join: {
      entry.mDelayed.clear();
      Start(aFault.mEntry, false);
      const std::size_t number = aFault.mEntry;
      RunAt(number, mNowMs, [this, number]() { Report(number); });
      return;
    }
    case EntryFaultKind::Freeze: {
      entry.mIsFrozen = false;
      for (const auto& task : std::exchange(entry.mDelayed, {})) {
        task();
      }
      return;
    }
    case EntryFaultKind::Cut:
      entry.mIsCut = false;
      return;
  }
}

void
LimitedServerFleet::RunAt(std::size_t aEntry,
                          double aAtMs,
                          std::function<void()> aRun)
{
  const int life = mEntries[aEntry].mLife;
  auto run = [this, aEntry, life, aRun = std::move(aRun)]() {
    if (mEntries[aEntry].mLife == life) {
      aRun();
    }
  };
  At(aAtMs, [this, aEntry, run = std::move(run)]() {
    Entry& entry = mEntries[aEntry];
    if (entry.mIsFrozen) {
      entry.mDelayed.emplace_back(run);
    } else {
      run();
    }
  });
}

void
LimitedServerFleet::ScheduleRequest()
{
  std::exponential_distribution<double> gap(mPlan.mRequestsPerSecond /
                                            kMillisecondsPerSecond);
  At(mNowMs + gap(mRandom), [this]() {
    const std::size_t entry = mEntryOfRequest(mRandom);
    if (mEntries[entry].mIsRunning) {
      RunAt(entry, mNowMs, [this, entry]() { TakeRequest(entry); });
    }
    ScheduleRequest();
  });
}

void
LimitedServerFleet::TakeRequest(std::size_t aEntry)
{
  const Entry& entry = mEntries[aEntry];
  if (!entry.mLimits->AllowedRate(kServer, Now())) {
    Send(aEntry);
  } else if (Now() < entry.mLimits->DeniedUntil(kServer).value_or(Now())) {
    mOutcome.mSentElsewhere += 1;
  } else {
    (this->*mSendDecision)(aEntry);
  }
}

void
LimitedServerFleet::SendAlways(std::size_t aEntry)
{
  Send(aEntry);
}

void
LimitedServerFleet::SendWithinWholeLimit(std::size_t aEntry)
{
  SendWithin(aEntry, 1.0);
}

void
LimitedServerFleet::SendWithinEqualShare(std::size_t aEntry)
{
  SendWithin(aEntry,
             1.0 /
               static_cast<double>(mEntries[aEntry].mPeers->EntryCount(Now())));
}

void
LimitedServerFleet::SendWithin(std::size_t aEntry, double aShare)
{
  Entry& entry = mEntries[aEntry];
  const RequestRate limit =
    entry.mLimits->AllowedRate(kServer, Now()).value_or(RequestRate());
  const PermitDecision decision = entry.mOwnIssuer.Decide(
    kServer, RequestRate{ limit.mPerSecond * aShare }, Now());
  HandlePermitResult(
    aEntry,
    { decision.mIsGranted ? PermitOutcome::Granted : PermitOutcome::Denied,
      decision.mRetryDelay,
      entry.mAddress });
}

void
LimitedServerFleet::SendWithPermit(std::size_t aEntry)
{
  Entry& entry = mEntries[aEntry];
  const PermitAttempt attempt = entry.mPermits->Request(kServer, Now());
  if (attempt.mResult) {
    HandlePermitResult(aEntry, *attempt.mResult);
    return;
  }
  const PermitRequest request = attempt.mRequest;
  RunAt(aEntry,
        mNowMs +
          static_cast<double>(ServerPermitSettings().mReplyTimeout.count()),
        [this, aEntry, request]() {
          const auto result =
            mEntries[aEntry].mPermits->HandleTimeout(request.mId, Now());
          if (result) {
            HandlePermitResult(aEntry, *result);
          }
        });
  mOutcome.mPermitMessages += 1;
  Deliver(aEntry, attempt.mIssuer, [this, aEntry, request](Entry& aIssuer) {
    const PermitReply reply =
      aIssuer.mPermits->Answer(mEntries[aEntry].mAddress, request, Now());
    const std::string issuer = aIssuer.mAddress;
    mOutcome.mPermitMessages += 1;
    const auto number = static_cast<std::size_t>(&aIssuer - mEntries.data());
    Deliver(number,
            mEntries[aEntry].mAddress,
            [this, aEntry, issuer, reply](Entry& aRequester) {
              const auto result =
                aRequester.mPermits->HandleReply(issuer, reply, Now());
              if (result) {
                HandlePermitResult(aEntry, *result);
              }
            });
  });
}

void
LimitedServerFleet::HandlePermitResult(std::size_t aEntry,
                                       const PermitResult& aResult)
{
  Entry& entry = mEntries[aEntry];
  if (aResult.mOutcome == PermitOutcome::Granted) {
    Send(aEntry);
  } else if (aResult.mOutcome == PermitOutcome::Declined) {
    SendWithPermit(aEntry);
  } else {
    entry.mLimits->RecordDenied(kServer, Now() + aResult.mRetryDelay);
    mOutcome.mSentElsewhere += 1;
  }
}

std::optional<RequestRate>
LimitedServerFleet::StatedRate(double aAtMs) const
{
  std::optional<RequestRate> rate;
  for (const StatedLimit& limit : mPlan.mLimits) {
    if (limit.mFromMs <= aAtMs) {
      rate = limit.mRate;
    }
  }
  return rate;
}

void
LimitedServerFleet::Send(std::size_t aEntry)
{
  const Timestamp sentAt = Now();
  const double arrivesAtMs = mNowMs + Delay();
  const std::optional<double> informedAtMs = mEntries[aEntry].mInformedAtMs;
  mArrivals.push_back(
    { arrivesAtMs, informedAtMs && *informedAtMs + kInformedMs <= mNowMs });
  const std::optional<RequestRate> limit = StatedRate(arrivesAtMs + kWorkMs);
  RunAt(aEntry,
        arrivesAtMs + kWorkMs + Delay(),
        [this, aEntry, limit, sentAt]() { TakeAnswer(aEntry, limit, sentAt); });
}

void
LimitedServerFleet::TakeAnswer(std::size_t aEntry,
                               std::optional<RequestRate> aLimit,
                               Timestamp aSentAt)
{
  Entry& entry = mEntries[aEntry];
  if (!aLimit) {
    entry.mLimits->RecordNotStated(kServer, aSentAt, Now());
    return;
  }
  entry.mLimits->RecordStated(kServer, *aLimit, Now());
  if (!entry.mInformedAtMs) {
    entry.mInformedAtMs = mNowMs;
  }
}

void
LimitedServerFleet::Report(std::size_t aEntry)
{
  Entry& entry = mEntries[aEntry];
  PeerReport own;
  own.mAddress = entry.mAddress;
  own.mSequence = ++entry.mSequence;
  own.mLimits = entry.mLimits->TakeReport(Now());
  for (const AddressedReport& addressed : entry.mPeers->Reports(own, Now())) {
    for (const std::string& target : addressed.mTargets) {
      mOutcome.mReports += 1;
      Deliver(aEntry, target, [this, addressed](Entry& aReceiver) {
        if (!aReceiver.mPeers->Record(addressed.mReport, Now())) {
          return;
        }
        aReceiver.mPermits->RecordReport(addressed.mReport.mAddress, Now());
        for (const ReportedLimit& limit : addressed.mReport.mLimits) {
          aReceiver.mLimits->RecordReported(limit, Now());
        }
      });
    }
  }
  const auto interval =
    static_cast<double>(entry.mPeers->Interval(Now()).count());
  RunAt(aEntry, mNowMs + interval, [this, aEntry]() { Report(aEntry); });
}

void
LimitedServerFleet::Deliver(std::size_t aSender,
                            const std::string& aTarget,
                            const std::function<void(Entry&)>& aTake)
{
  const auto target = std::find_if(
    mEntries.begin(), mEntries.end(), [&aTarget](const Entry& aEntry) {
      return aEntry.mAddress == aTarget;
    });
  const bool isLost = std::bernoulli_distribution(mPlan.mLossShare)(mRandom) ||
                      target == mEntries.end() || !target->mIsRunning ||
                      target->mIsCut || mEntries[aSender].mIsCut;
  if (isLost) {
    return;
  }
  const auto number =
    static_cast<std::size_t>(std::distance(mEntries.begin(), target));
  RunAt(number, mNowMs + Delay(), [this, number, aTake]() {
    aTake(mEntries[number]);
  });
}

double
LimitedServerFleet::BindingRate(double aAtMs) const
{
  const bool isBinding = StatedRate(aAtMs) &&
                         StatedRate(aAtMs - kContactMs / 2) &&
                         StatedRate(aAtMs - kContactMs);
  return isBinding ? StatedRate(aAtMs)->mPerSecond : 0.0;
}

double
LimitedServerFleet::HighestExcess(bool aOfInformedOnly) const
{
  /** Requests beyond the limit that each window may have. */
  constexpr double kAllowedBeyond = 5.0;
  double highest = 0.0;
  std::vector<double> times;
  for (const Arrival& arrival : mArrivals) {
    if (arrival.mIsOfInformed || !aOfInformedOnly) {
      times.push_back(arrival.mAtMs);
    }
  }
  std::sort(times.begin(), times.end());
  for (auto first = times.begin(); first != times.end(); ++first) {
    const double middleMs = *first + kWindowMs / 2;
    const double endMs = *first + kWindowMs;
    const double rates[] = { BindingRate(*first),
                             BindingRate(middleMs),
                             BindingRate(endMs) };
    const double lowest = *std::min_element(std::begin(rates), std::end(rates));
    if (lowest <= 0.0 || endMs > mPlan.mDurationMs) {
      continue;
    }
    // The limit may change within the window: the higher one allows more.
    const double rate = *std::max_element(std::begin(rates), std::end(rates));
    const auto count = std::lower_bound(first, times.end(), endMs) - first;
    highest = std::max(highest,
                       (static_cast<double>(count) - kAllowedBeyond) /
                         (rate * kWindowMs / kMillisecondsPerSecond));
  }
  return highest;
}

LimitedServerOutcome
LimitedServerFleet::Outcome() const
{
  constexpr double kStepMs = 10.0;
  LimitedServerOutcome outcome = mOutcome;
  for (double atMs = 0.0; atMs < mPlan.mDurationMs; atMs += kStepMs) {
    outcome.mAllowed += BindingRate(atMs) * kStepMs / kMillisecondsPerSecond;
  }
  outcome.mRequests = static_cast<std::size_t>(std::count_if(
    mArrivals.begin(), mArrivals.end(), [this](const Arrival& aArrival) {
      return BindingRate(aArrival.mAtMs) > 0.0;
    }));
  outcome.mHighestExcess = HighestExcess(false);
  outcome.mHighestExcessOfInformed = HighestExcess(true);
  return outcome;
}

} // namespace medlarkeel
