#pragma once

#include "adapterplacement.h"
#include "agentcore.h"
#include "backendorderclient.h"
#include "decisionlog.h"
#include "environmentdocument.h"
#include "instancelist.h"
#include "orderissuer.h"
#include "pausedetector.h"
#include "settings.h"
#include "teamlimiter.h"
#include "types.h"
#include "versionrollout.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace medlarkeel {

/** What the orders of one agent need; outlives the desk. */
struct OrderEnvironment
{
  AgentCore& mCore;
  DecisionLog& mLog;
  /** Takes one load out of the agents' shares of the weight store's rate. */
  std::function<AdmitVerdict()> mTakeLoad;
};

/**
 * Brings the model engine beside an agent to the state that the document and
 * the list ask for. Reads the engine's state and gives orders on a thread of
 * its own; OrderIssuer decides when.
 */
class OrderDesk
{
public:
  OrderDesk(const Settings& aSettings,
            Incarnation aIncarnation,
            OrderEnvironment aEnvironment);
  ~OrderDesk();

  OrderDesk(const OrderDesk&) = delete;
  OrderDesk& operator=(const OrderDesk&) = delete;

  /** Begins to give orders. */
  void Start();

  /** Gives no more orders; an order on its way is not waited for. */
  void Stop();

  void ApplyDocument(const EnvironmentDocument& aDocument);
  void ApplyList(const InstanceList& aList, Timestamp aSentAt);

  /** Forbids to decide on what was known before a pause. */
  void ResumeAfterPause();

private:
  /** What other threads have told the desk. */
  struct Inputs
  {
    std::optional<Pool> mPool;
    std::shared_ptr<const InstanceList> mList;
    /** When the last reading that shows this agent was asked for. */
    std::optional<Timestamp> mListedAt;
    bool mPaused = false;
  };

  void Run();
  /** @return Whether the desk goes on after the time. */
  bool SleepFor(Milliseconds aTime);
  Inputs TakeInputs();
  bool IsStopping();
  bool IsOwnRecord(const InstanceRecord& aRecord) const;

  void Step();
  void Prepare(const Inputs& aInputs, Timestamp aNow);
  void UpdateDesired(const Inputs& aInputs, Timestamp aNow);
  void PlaceAdapters(const Inputs& aInputs, Timestamp aNow);
  void FollowVersion(const Inputs& aInputs, Timestamp aNow);
  void KeepAdaptersInUse();
  void Handle(const WaitStep& aStep);
  void Handle(const ReadStateStep& aStep);
  void Handle(const DrainStep& aStep);
  void Handle(const SendOrderStep& aStep);
  bool MayLoad(const SendOrderStep& aStep);
  void SendOrder(const SendOrderStep& aStep);
  void TakeReading(const BackendReading& aReading, Timestamp aAsked);
  void EndDrain(const char* aWhy);
  void WriteOrder(Event aEvent,
                  const SendOrderStep& aStep,
                  const std::string& aWhy);

  const Settings mSettings;
  const Incarnation mIncarnation;
  const Timestamp mStarted;
  const OrderEnvironment mEnvironment;
  const BackendOrderClient mClient;

  std::mutex mMutex;
  std::condition_variable mWake;
  bool mStopping = false;
  Inputs mInputs;

  /** Only the desk's own thread uses what follows. */
  std::optional<OrderIssuer> mIssuer;
  AdapterPlacement mPlacement;
  VersionRollout mRollout;
  PauseDetector mPauses;
  std::optional<BackendState> mObserved;
  BackendState mDesired;
  std::set<AdapterName> mPlaced;
  Timestamp mNextPlacement{};
  Timestamp mNotBefore{};
  bool mDraining = false;
  bool mReloaded = false;
  bool mLoggedShortage = false;
  bool mLoggedSuperseded = false;
  std::thread mThread;
};

} // namespace medlarkeel
