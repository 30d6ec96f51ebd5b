#pragma once

#include "../libmedlarkeel/forwarding/serverpermits.h"

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace medlarkeel {

/** How entries keep to the limit of a backend server. */
enum class LimitPolicy
{
  /** Permits from one issuer, as in the product. */
  Permits,
  /** The limit isn't known. */
  Ignored,
  /** Each entry applies the whole limit to its own requests. */
  WholeLimitPerEntry,
  /** Each entry applies the limit divided by the number of entries. */
  EqualShares
};

/** A limit that the server states from a time on. */
struct StatedLimit
{
  double mFromMs = 0.0;
  /** Nothing if the server states no limit from then on. */
  std::optional<RequestRate> mRate;
};

enum class EntryFaultKind
{
  /** The process ends and starts again at the end of the fault. */
  Restart,
  /** The process stands still. What it receives waits. */
  Freeze,
  /** The entry and the other entries don't reach each other. */
  Cut,
  /** The entry starts at the end of the fault. */
  Join
};

struct EntryFault
{
  EntryFaultKind mKind = EntryFaultKind::Restart;
  std::size_t mEntry = 0;
  double mFromMs = 0.0;
  double mForMs = 0.0;
};

/** Entries before one backend server that limits its requests. */
struct LimitedServerPlan
{
  std::size_t mEntries = 3;
  std::size_t mZones = 3;
  /** Requests per second, of all entries, that would go to the server. */
  double mRequestsPerSecond = 10.0;
  /** Exponent of a Zipf distribution of the requests over the entries; 0 for
   * equal numbers. */
  double mSkew = 0.0;
  /** Maximum time of a message on the way, in one direction. */
  double mMaximumDelayMs = 2.0;
  /** Share of the messages between entries that are lost. */
  double mLossShare = 0.0;
  double mDurationMs = 30'000.0;
  std::vector<StatedLimit> mLimits;
  std::vector<EntryFault> mFaults;
};

/** What reached the server while its limit applied: from three seconds after it
 * was stated first. */
struct LimitedServerOutcome
{
  /** Requests that arrived, and those that the limit allowed in this time. */
  std::size_t mRequests = 0;
  double mAllowed = 0.0;
  /** Maximum of the requests in 4 s, less 5, divided by the requests that the
   * limit allows in that time. */
  double mHighestExcess = 0.0;
  /** The same of entries that had received an answer with the limit half a
   * second before they sent the request. */
  double mHighestExcessOfInformed = 0.0;
  /** Requests that the entries couldn't send to the server. */
  std::size_t mSentElsewhere = 0;
  std::size_t mPermitMessages = 0;
  std::size_t mReports = 0;

  /** @return Share of the limit that was used. */
  double Use() const
  {
    return mAllowed > 0.0 ? static_cast<double>(mRequests) / mAllowed : 0.0;
  }
};

/**
 * Entries and one limited backend server in virtual time, without sockets. The
 * entries run the product's own decisions on limits and exchange its messages.
 */
class LimitedServerFleet
{
public:
  LimitedServerFleet(const LimitedServerPlan& aPlan,
                     LimitPolicy aPolicy,
                     std::uint64_t aSeed);

  /** Plays the whole plan. */
  LimitedServerOutcome Play();

private:
  struct Entry
  {
    std::string mAddress;
    std::uint32_t mZone = 0;
    /** Increases with each start of the process. */
    int mLife = 0;
    bool mIsRunning = true;
    bool mIsFrozen = false;
    bool mIsCut = false;
    std::uint64_t mSequence = 0;
    std::unique_ptr<PeerView> mPeers;
    std::unique_ptr<ServerLimits> mLimits;
    std::unique_ptr<ServerPermits> mPermits;
    /** Issues this entry's own permits, for the policies without messages. */
    PermitIssuer mOwnIssuer;
    std::optional<double> mInformedAtMs;
    /** What arrived while the process stood still. */
    std::vector<std::function<void()>> mDelayed;
  };

  /** A request that reached the server. */
  struct Arrival
  {
    double mAtMs = 0.0;
    /** Whether its entry had received an answer with the limit. */
    bool mIsOfInformed = false;
  };

  struct Task
  {
    double mAtMs = 0.0;
    std::function<void()> mRun;
    bool operator<(const Task& aOther) const { return mAtMs > aOther.mAtMs; }
  };

  using SendDecision = void (LimitedServerFleet::*)(std::size_t aEntry);

  Timestamp Now() const;
  void At(double aAtMs, std::function<void()> aRun);
  double Delay();
  void Start(std::size_t aEntry, bool aKnowsAll);
  void Apply(const EntryFault& aFault);
  void End(const EntryFault& aFault);
  void ScheduleRequest();
  void TakeRequest(std::size_t aEntry);
  void SendWithPermit(std::size_t aEntry);
  void SendAlways(std::size_t aEntry);
  void SendWithinWholeLimit(std::size_t aEntry);
  void SendWithinEqualShare(std::size_t aEntry);
  void SendWithin(std::size_t aEntry, double aShare);
  void HandlePermitResult(std::size_t aEntry, const PermitResult& aResult);
  void Send(std::size_t aEntry);
  void TakeAnswer(std::size_t aEntry,
                  std::optional<RequestRate> aLimit,
                  Timestamp aSentAt);
  void Report(std::size_t aEntry);
  /** Delivers a message between entries, unless it is lost. */
  void Deliver(std::size_t aSender,
               const std::string& aTarget,
               const std::function<void(Entry&)>& aTake);
  /** Runs a task of an entry's process, later if it stands still, or never if
   * the process ends before. */
  void RunAt(std::size_t aEntry, double aAtMs, std::function<void()> aRun);
  std::optional<RequestRate> StatedRate(double aAtMs) const;
  LimitedServerOutcome Outcome() const;
  /** @return The highest excess in any window; see LimitedServerOutcome. */
  double HighestExcess(bool aOfInformedOnly) const;
  /** @return The limit at a time if it binds, else 0. */
  double BindingRate(double aAtMs) const;

  LimitedServerPlan mPlan;
  SendDecision mSendDecision;
  std::mt19937_64 mRandom;
  std::discrete_distribution<std::size_t> mEntryOfRequest;
  std::vector<std::string> mSeeds;
  std::vector<Entry> mEntries;
  std::vector<Arrival> mArrivals;
  std::priority_queue<Task> mTasks;
  LimitedServerOutcome mOutcome;
  double mNowMs = 0.0;
};

} // namespace medlarkeel
