#pragma once

#include "../libmedlarkeel/forwarding/admissioncontrol.h"
#include "../libmedlarkeel/forwarding/backendchooser.h"
#include "../libmedlarkeel/forwarding/callerdescriptors.h"
#include "../libmedlarkeel/forwarding/callermemory.h"
#include "../libmedlarkeel/forwarding/directoryfollower.h"
#include "../libmedlarkeel/forwarding/documentfollower.h"
#include "../libmedlarkeel/forwarding/placementexplanation.h"
#include "../libmedlarkeel/forwarding/receivebuffers.h"
#include "../libmedlarkeel/forwarding/recentmaximum.h"
#include "../libmedlarkeel/forwarding/retryschedule.h"
#include "../libmedlarkeel/forwarding/serverlimits.h"
#include "../libmedlarkeel/forwarding/shutdownadmission.h"
#include "../libmedlarkeel/retrybudget.h"
#include "../libmedlarkeelnet/eventlog.h"
#include "backendconnections.h"
#include "forwardcounters.h"
#include "forwardsettings.h"
#include "peerchannel.h"
#include "permitclient.h"
#include "wireprotocol.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <random>
#include <unordered_map>

namespace medlarkeel {

class CallerConnection;

/**
 * An entry that sends requests straight to backend servers: what all its
 * connections share. One thread runs it.
 */
class Forwarder
{
public:
  /** @param aDirectories Where documents and backend servers are published. */
  Forwarder(boost::asio::io_context& aContext,
            const ForwardSettings& aSettings,
            WireProtocol aProtocol,
            DirectorySources aDirectories,
            EventLog& aLog);

  /** Listens and begins to follow the directory. */
  void Start();

  /** Ends gracefully: no work is given up before the shutdown bound is near. */
  void Stop();

  /**
   * @param aTimeLimit Longest time that a request may take.
   * @return Whether the request can end before the process does.
   */
  bool CanEndBeforeShutdown(const ForwardRoute& aRoute,
                            Milliseconds aTimeLimit) const;

  /** Records how long a request of a route took. */
  void RecordDuration(const ForwardRoute& aRoute, Milliseconds aDuration);

  /** @return Whether the balancer may send new connections. */
  bool IsReady() const { return MissingForReadiness().empty(); }

  /** @return What an entry that isn't ready waits for, or that it ends; empty
   * if it is ready. */
  std::string MissingForReadiness() const;

  /** @return Whether the process ends, so that connections are closed. */
  bool IsStopping() const { return mIsStopping; }

  boost::asio::io_context& Context() { return mContext; }
  const WireProtocol& Protocol() const { return mProtocol; }
  ForwardingDocumentPointer Document() const { return mFollower.Document(); }
  BackendList& Backends() { return mFollower.Backends(); }
  BackendChooser& Chooser() { return mChooser; }
  ServerLimits& Limits() { return mLimits; }
  PermitClient& Permits() { return mPermits; }

  /** Sends a report to the other entries soon. */
  void NotifyPeers() { mPeerChannel.SendSoon(); }

  /**
   * @param aUsable Servers of the pool, of which none accepts a request now.
   * @param aEarliest When the first of them accepts one.
   * @return Time after which a refused caller should retry.
   */
  Milliseconds RetryDelay(const PoolName& aPool,
                          const std::vector<const ListedBackend*>& aUsable,
                          Timestamp aEarliest);

  /** Tells the chooser what the other entries said last; before a choice. */
  void RefreshChooser();

  /** Explains where a request would go now. No state changes, and no other
   * process is called. */
  PlacementExplanation ExplainPlacement(
    const PlacementTarget& aTarget,
    const std::optional<PromptDescription>& aPrompt);

  BackendConnections& Connections() { return mConnections; }
  ForwardCounters& Counters() { return mCounters; }
  EventLog& Log() { return mLog; }

  /** @return Time since the directory was last heard of. */
  Milliseconds DirectoryAge() const;

  /** @return What decides which requests for a pool are turned away. */
  AdmissionControl& Admission(const PoolName& aPool);

  /** @return The retry budget of a pool. */
  RetryBudget& Budget(const PoolName& aPool);

  /** @return Requests that this entry may send to a cold server within a
   * second. */
  std::size_t ColdLimit(const ForwardPool& aPool,
                        const InstanceId& aServer) const;

  /** @return A number from 0 to 1, for shares and jitter. */
  double Random();

  /** @return The memory that is held for callers. */
  CallerMemory& Memory() { return mMemory; }

  /** Releases what connections hold that others need the memory of. */
  void EvictCallers(const std::vector<CallerId>& aCallers);

  /** Logs that memory for callers is short, at most once a second. */
  void LogMemoryPressure();

  /** Sets the counters that show a state. */
  void UpdateGauges();

  /** Resumes paused connections as soon as there is memory for them. */
  void WatchPaused();

  /** @return Whether there is a descriptor for a connection to a server. */
  bool MayOpenServerConnection() const
  {
    return mDescriptors.MayOpen(mConnections.Count());
  }

  /** Notes that a connection has ended. */
  void Remove(const std::shared_ptr<CallerConnection>& aConnection);

private:
  void Listen();
  void Accept();
  void TakeCaller(boost::asio::ip::tcp::socket aSocket);
  /** Sets the receive buffer of connections that are yet to come. */
  /** @return Whether a connection from an address may be kept. */
  bool AddDescriptor(const std::string& aAddress);
  /** Closes the oldest connection that keeps one from an address out and whose
   * request's head has been missing for a second.
   * @return Whether there was one. */
  bool CloseUnfinishedCaller(const std::string& aAddress);
  void SizeQueuedReceiveBuffers();
  void ResumeCallers();
  /** Returns freed memory to the machine after a load. */
  void TrimMemory();
  Milliseconds TimeSinceStart() const;
  /** Logs when the entry is ready for the first time. */
  void RecordReadiness();
  /** Logs each second what is missing until then. */
  void LogMissingReadiness();
  void RecordDirectoryFailure(DirectoryError aError);
  void CallDirectory();
  void CallDirectoryLater(Milliseconds aDelay);
  /** Follows the documents and evacuations. */
  void FollowDocuments();
  void CallForDocuments();
  void TakeDocuments(const DirectoryResult& aResult);
  /** Reads the documents; refused while they are being read. */
  void ReadDocuments(const DirectorySource::Handler& aHandler);
  /** Reads the documents if another entry has one that is missing here. */
  void ReadMissingDocument();
  void TakeReading(const DirectoryResult& aResult, ReadFreshness aFreshness);
  void TakeChanges(const DirectoryResult& aResult);
  void TakeAnswer(const DirectoryResult& aResult, const FollowerUpdate& aNews);
  void TakeReport(const PeerReport& aReport);
  void TakeDelta(const DirectoryDelta& aDelta);
  void RecordPeerLimits(const PeerReport& aReport);
  void FillReport(PeerReport& aReport);
  void TakeNews(const FollowerUpdate& aNews);
  /** Takes the next step of a shutdown that is due. */
  void ContinueShutdown();
  void CloseIdleCallers();
  /** Answers what is still running. */
  void EndRequests();

  boost::asio::io_context& mContext;
  ForwardSettings mSettings;
  WireProtocol mProtocol;
  DirectorySources mDirectories;
  EventLog& mLog;
  DirectoryFollower mFollower;
  DocumentFollower mDocumentFollower;
  BackendChooser mChooser;
  ServerLimits mLimits;
  PeerView mPeers;
  ForwardCounters mCounters;
  PeerChannel mPeerChannel;
  PermitClient mPermits;
  BackendConnections mConnections;
  std::unordered_map<PoolName, RetryBudget> mBudgets;
  std::unordered_map<PoolName, AdmissionControl> mAdmissions;
  /** Retries of callers that were refused because of request limits. */
  std::unordered_map<PoolName, RetrySchedule> mRetrySchedules;
  CallerMemory mMemory;
  CallerDescriptors mDescriptors;
  ReceiveBuffers mReceiveBuffers;
  /** Receive buffer of connections that are yet to come, in bytes. */
  std::size_t mQueuedReceiveBuffer = 0;
  std::map<CallerId, std::shared_ptr<CallerConnection>> mCallers;
  boost::asio::steady_timer mPauseTimer;
  bool mIsWatchingPaused = false;
  /** When the refusal of a connection was last logged. */
  std::optional<Timestamp> mRefusalLoggedAt;
  /** When a lack of memory was last logged. */
  std::optional<Timestamp> mPressureLoggedAt;
  /** Most bytes that were held since memory was last returned. */
  std::size_t mMostHeld = 0;
  boost::asio::steady_timer mTrimTimer;
  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::steady_timer mReadinessTimer;
  boost::asio::steady_timer mDirectoryTimer;
  boost::asio::steady_timer mDocumentTimer;
  boost::asio::steady_timer mStopTimer;
  std::mt19937_64 mRandom;
  /** When the chooser was last told what the others do. */
  Timestamp mRefreshedAt;
  /** Durations of requests, by the name of their route. */
  std::unordered_map<std::string, RecentMaximum> mDurations;
  Timestamp mStartedAt;
  bool mHasBeenReady = false;
  /** Why the last failed call to the directory failed. */
  std::optional<DirectoryError> mLastDirectoryError;
  /** Whether the documents are being read. */
  bool mIsReadingDocuments = false;
  bool mIsStopping = false;
  bool mHasEndedRequests = false;
  Timestamp mStopAt;
};

} // namespace medlarkeel
