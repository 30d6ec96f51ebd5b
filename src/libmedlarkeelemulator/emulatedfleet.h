#pragma once

#include "../libmedlarkeel/forwarding/admissioncontrol.h"
#include "../libmedlarkeel/forwarding/backendchooser.h"
#include "loadplan.h"

#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <vector>

namespace medlarkeel {

/** What became of the requests of one class. */
struct ClassOutcome
{
  std::size_t mAsked = 0;
  /** First event within the target, and no pause longer than allowed. */
  std::size_t mOnTime = 0;
  std::size_t mLate = 0;
  /** The caller left before the end. */
  std::size_t mGivenUp = 0;
  /** Turned away, and again when they came back. */
  std::size_t mRefused = 0;
  /** Times to the first event, in milliseconds. */
  std::vector<double> mFirstEventMs;

  double OnTimeShare() const;
  double RefusedShare() const;
};

/** What became of one request. */
struct RequestOutcome
{
  double mArrivedMs = 0.0;
  std::size_t mClass = 0;
  RequestPriority mPriority;
  std::uint32_t mPromptTokens = 0;
  /** Time of the first event; negative if there was none. */
  double mBegunMs = -1.0;
  bool mIsServed = false;
  /** Its entry had restarted shortly before, or restarted meanwhile. */
  bool mIsExcused = false;
};

/** The forecast of a first event, and when the event came. */
struct ForecastOutcome
{
  std::size_t mEntry = 0;
  bool mIsShortPrompt = false;
  /** Prompt tokens whose prefill was expected to precede the event. */
  double mTokens = 0.0;
  /** Expected time from sending the request to the event. */
  double mExpectedMs = 0.0;
  double mSentMs = 0.0;
  double mFirstEventMs = 0.0;

  /** @return Time from sending the request to the event. */
  double ActualMs() const { return mFirstEventMs - mSentMs; }
};

struct FleetOutcome
{
  std::vector<ClassOutcome> mClasses;
  /** In order of arrival. */
  std::vector<RequestOutcome> mRequests;
  /** In order of the first events. */
  std::vector<ForecastOutcome> mForecasts;
  /** Tokens of prompts that were read for callers who had left before their
   * first event. */
  std::uint64_t mReadInVain = 0;
  /** Tokens of shared parts that were read although a server had read them. */
  std::uint64_t mReadAgain = 0;

  /** @return The share that is on time over all classes, each weighted by the
   * prompt tokens that it asks for. */
  double OnTimeShare() const;
};

/** The decisions of the entries. */
struct FleetPolicy
{
  BackendChooserSettings mChooser;
  /** Nothing is turned away without them. */
  std::optional<AdmissionSettings> mAdmission = AdmissionSettings();
  /** Whether the document states the memory of the engines, which may select
   * another cost of servers. */
  bool mStatesEngineMemory = true;
};

/**
 * Entries and model engines in virtual time, without sockets. The entries run
 * the product's own choice and exchange what they know as their processes do.
 */
class EmulatedFleet
{
public:
  EmulatedFleet(const LoadPlan& aPlan,
                const FleetPolicy& aPolicy,
                std::uint64_t aSeed);

  /** Plays the whole plan. */
  FleetOutcome Play();

private:
  /** One entry: its choice and what it heard of the others. */
  struct Entry
  {
    std::string mAddress;
    std::unique_ptr<BackendChooser> mChooser;
    std::unique_ptr<PeerView> mPeers;
    std::unique_ptr<AdmissionControl> mAdmission;
    std::uint64_t mReports = 0;
    /** Time of the last restart; negative if there was none. */
    double mRestartedMs = -1.0;
  };

  struct Server
  {
    ListedBackend mListed;
    std::unique_ptr<EngineModel> mEngine;
    bool mIsWorking = false;
  };

  /** A request on its way. */
  struct Progress
  {
    BackendChoice mChoice;
    std::size_t mServer = 0;
    double mFirstMs = -1.0;
    double mLastEventMs = 0.0;
    /** Negative until the request is sent. */
    double mSentMs = -1.0;
    /** Expected time to the first event; negative without a forecast. */
    double mExpectedMs = -1.0;
    bool mIsRetry = false;
    double mLongestPauseMs = 0.0;
    bool mIsOver = false;
    bool mIsServed = false;
    bool mIsExcused = false;
  };

  struct Task
  {
    double mAtMs = 0.0;
    std::function<void()> mRun;
    bool operator<(const Task& aOther) const { return mAtMs > aOther.mAtMs; }
  };

  /** Makes the document that the entries have: a route for each class, and the
   * teams. */
  void MakeDocument();
  RequestPriority PriorityOfRequest(const PlannedRequest& aPlanned) const;
  /** Gives an entry the state of a process that has just started. */
  void Initialize(std::size_t aEntry, Timestamp aStartedAt);
  void Restart(std::size_t aEntry);
  /** @return Whether the entry has restarted shortly before. */
  bool IsOutOfTouch(const Entry& aEntry) const;
  Timestamp Now() const;
  void At(double aAtMs, std::function<void()> aRun);
  RequestOutcome OutcomeOf(std::size_t aNumber) const;
  void Exchange(std::size_t aEntry);
  void Arrive(std::size_t aNumber);
  /** @return Whether the request is sent; its caller comes back once. */
  bool IsAdmitted(std::size_t aNumber, const BackendChoice& aChoice);
  void Send(std::size_t aNumber, const BackendChoice& aChoice);
  /** @return Time after which a caller leaves that got no first event. */
  double PatienceMs(std::size_t aClass) const;
  void Work(std::size_t aServer);
  void TakeToken(const EngineToken& aToken);
  void RecordFirstEvent(std::size_t aNumber, double aSeenMs);
  void GiveUp(std::size_t aNumber);
  void RecordEnd(std::size_t aNumber, bool aIsComplete);

  LoadPlan mPlan;
  FleetPolicy mPolicy;
  std::uint64_t mSeed;
  ForwardingDocument mDocument;
  const ForwardPool* mPool = nullptr;
  std::mt19937_64 mRandom;
  std::vector<PlannedRequest> mArrivals;
  std::vector<Progress> mProgress;
  std::vector<Entry> mEntries;
  std::vector<Server> mServers;
  std::vector<const ListedBackend*> mUsable;
  std::priority_queue<Task> mTasks;
  FleetOutcome mOutcome;
  double mNowMs = 0.0;
};

} // namespace medlarkeel
