#pragma once

#include "agentchannels.h"
#include "configurationholder.h"
#include "controlplane.h"
#include "decisionlog.h"
#include "eventlog.h"
#include "httpmessage.h"
#include "httpserver.h"
#include "nodecounters.h"
#include "pausedetector.h"
#include "platformwatcher.h"
#include "settings.h"

#include <grpcpp/server.h>

#include <atomic>
#include <map>
#include <memory>

namespace medlarkeel {

/** A process of the system: what entries and agents have in common. */
class Node
{
public:
  explicit Node(const Settings& aSettings);
  virtual ~Node();

  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /**
   * Serves until a signal asks for the end, then shuts down gracefully.
   *
   * @return The exit code.
   */
  int Run();

protected:
  /** Connects the parts; called before anything is served. */
  virtual void Wire() = 0;
  virtual std::vector<grpc::Service*> Services() = 0;
  virtual HttpResponse Handle(const HttpRequest& aRequest) = 0;
  virtual void Tick() = 0;
  /** Ends all work within the bound; false when some was cut. */
  virtual bool Drain(Timestamp aBound) = 0;
  virtual void ResumeAfterPause(Microseconds aGap) = 0;
  virtual void ApplyList(const InstanceList& aList,
                         Timestamp aSentAt,
                         Timestamp aReceivedAt) = 0;
  virtual ControlHooks Hooks() = 0;
  /** @return Whether new work can be taken; the reason when not. */
  virtual std::optional<std::string> ReasonNotReady() = 0;

  const Settings mSettings;
  const Incarnation mIncarnation;
  EventLog mLog;
  DecisionLog mDecisions;
  NodeCounters mCounters;
  AgentChannels mChannels;
  ConfigurationHolder mConfiguration;
  std::unique_ptr<ControlPlane> mControl;
  /** Used by the server's thread until the server ends. */
  std::optional<Timestamp> mUploadsLoggedAt;
  /** mHttp for the server's own threads, which begin before it is set; null
   * until then. */
  std::atomic<const HttpServer*> mServingHttp{ nullptr };
  std::unique_ptr<HttpServer> mHttp;
  std::atomic<bool> mShuttingDown{ false };

private:
  bool Start();
  bool StartGrpc();
  bool StartHttp();
  void Loop();
  int Shutdown();
  HttpResponse Serve(const HttpRequest& aRequest);
  /** Logs that requests were ended for their memory, at most once a second;
   * called on the monitor's thread only. */
  void LogUploadsCut(const UploadState& aState);
  NodeStatus Status();
  void LogList(const InstanceList& aList);
  void LogStaleness();
  void LogZones(const std::vector<ZoneEntry>& aZones);
  void LogRejection(const RejectedDocument& aRejected);
  void LogDocument(const DocumentViewPtr& aView);
  void GossipWhenDue(Timestamp aNow);
  void CountControlBytes();

  const Timestamp mStarted;
  PauseDetector mPauses;
  Timestamp mNextGossip;
  std::map<ZoneName, ZoneState> mLoggedZones;
  std::uint64_t mLoggedRevision = 0;
  bool mLoggedStale = false;
  std::uint64_t mCountedControlBytes = 0;
  std::atomic<bool> mDocumentChanged{ false };
  std::unique_ptr<PeerService> mPeerService;
  std::unique_ptr<grpc::Server> mGrpc;
  std::unique_ptr<PlatformWatcher> mWatcher;
};

/** Blocks the signals that end the process; call before any thread starts. */
void
BlockEndSignals();

} // namespace medlarkeel
