#pragma once

#include "links.h"
#include "processharness.h"

#include <future>
#include <map>
#include <string>
#include <vector>

namespace medlarkeel {

/** A caller key of the fleet's document. */
struct CallerKey
{
  std::string mId;
  std::string mSecret;

  /** @return The value of the Authorization header. */
  std::string Authorization() const;
  nlohmann::json Entry() const;
};

/** One backend server with the agent beside it. */
struct BackendPair
{
  std::string mId;
  std::string mPool;
  ChildProcess* mBackend = nullptr;
  ChildProcess* mAgent = nullptr;
  nlohmann::json mAgentSettings;
  /** What the backend server was started with. */
  std::string mProgram;
  std::vector<std::string> mArguments;
  std::uint16_t mBackendPort = 0;
  std::uint16_t mAgentHttpPort = 0;
};

struct EntryProcess
{
  std::string mId;
  ChildProcess* mProcess = nullptr;
  std::uint16_t mPort = 0;
};

/**
 * A small environment of real processes: the platform's stand-in, entries, and
 * backend servers with their agents in the availability zones xela-a and
 * xela-b.
 */
class Fleet
{
public:
  /** @param aLinks Carries what the processes send each other; none lets them
   * reach each other directly. */
  explicit Fleet(Links* aLinks = nullptr);

  /** @return The document to be; change it, then Publish it. */
  nlohmann::json& Document() { return mDocument; }

  /** Sets how many requests a backend server of the pool runs at once. */
  void SetConcurrency(const std::string& aPool, int aWarm, int aCold);

  /** Gives the document the next version and hands it to the platform. */
  void Publish();

  EntryProcess& AddEntry(const std::string& aZone = "xela-a");
  BackendPair& AddEngine(std::vector<std::string> aArguments = {},
                         const std::string& aZone = "xela-a");
  BackendPair& AddService(std::vector<std::string> aArguments = {},
                          const std::string& aZone = "xela-a");

  /** Adds a server of planned answers (StreamPlan) to the pool of models or to
   * that of plain services. */
  BackendPair& AddStreamServer(bool aIsModel);

  /** Sets what the settings of agents to come have beyond the usual. */
  void SetAgentSettings(const nlohmann::json& aPatch)
  {
    mAgentSettings = aPatch;
  }

  /** Starts another agent beside the pair's backend server, at ports of its
   * own, and lists it in place of the first. @return The successor. */
  ChildProcess& ReplaceAgent(BackendPair& aPair);

  /** Starts the stand-in of the weight store. @return Its port. */
  std::uint16_t AddWeightStore(std::vector<std::string> aArguments);

  /** Waits until all processes are ready; fails the test otherwise. */
  void RequireReady();

  /** Waits until every agent of a plain service has accepted an operation that
   * runs at most once: a newcomer must first be sure that no other process ran
   * it. */
  void RequireConfirmations() const;

  /** Sets how long the processes added from now on may take to end. */
  void SetShutdownBound(std::chrono::milliseconds aBound)
  {
    mShutdownBound = aBound;
  }

  /** Sets how long the list is believed, for processes added from now on. */
  void SetEvidenceValid(std::chrono::milliseconds aTime)
  {
    mEvidenceValid = aTime;
  }

  /** Starts a backend server again that was killed. */
  void RestartBackend(BackendPair& aPair);

  /** Takes an instance out of the platform's list. */
  void Unlist(const std::string& aId) const;
  void SetState(const std::string& aId, const std::string& aState) const;

  const CallerKey& Key() const { return mKey; }
  std::uint16_t PlatformPort() const { return mPlatformPort; }

  /** @return A chat call with the fleet's key. */
  HttpCall Chat(const std::string& aMarker, std::size_t aTokens) const;

  /** @return The same call at another entry. */
  static HttpCall At(const EntryProcess& aEntry, HttpCall aCall);

  /** @return A call of the operation that may run at most once. */
  HttpCall Confirm(const std::string& aId,
                   const std::string& aIdempotencyKey) const;

  /** Prints the end of every process's log. */
  void PrintLogs() const;

private:
  BackendPair& AddPair(const std::string& aProgram,
                       const std::string& aPool,
                       const std::string& aKind,
                       std::vector<std::string> aArguments,
                       const std::string& aZone);
  nlohmann::json SettingsOf(const std::string& aId,
                            const std::string& aRole,
                            const std::string& aZone,
                            std::uint16_t aHttpPort);
  void ListDaemon(const std::string& aId,
                  const nlohmann::json& aSettings,
                  const std::string& aPool) const;
  std::uint16_t PlatformPortFor(const std::string& aId);
  void ShowThroughLinks(const std::string& aId, std::uint16_t aGrpcPort);
  void WriteView(const std::string& aViewer,
                 const std::string& aId,
                 std::uint16_t aGrpcPort);
  ChildProcess& StartDaemon(const std::string& aId,
                            const nlohmann::json& aSettings,
                            const std::string& aPool);

  ProcessHarness mHarness;
  Links* const mLinks;
  /** Platform's port and own gRPC port of each daemon. */
  std::map<std::string, std::pair<std::uint16_t, std::uint16_t>> mLinkedPorts;
  CallerKey mKey{ "alfa1", "s3cretOfAlfa1" };
  std::uint16_t mPlatformPort = FreePort();
  nlohmann::json mDocument;
  nlohmann::json mAgentSettings = nlohmann::json::object();
  std::vector<std::unique_ptr<BackendPair>> mPairs;
  std::vector<std::unique_ptr<EntryProcess>> mEntries;
  std::map<std::string, ChildProcess*> mProcesses;
  std::chrono::milliseconds mShutdownBound{ 20000 };
  std::chrono::milliseconds mEvidenceValid{ 3000 };
};

/** @return A new UUID of version 7, the kind of key whose age can be told. */
std::string
NewIdempotencyKey();

/** Makes a streamed call on a thread of its own. */
std::future<StreamedAnswer>
BeginStream(const HttpCall& aCall);

/** @return Whether the answer is the whole one to its own request. */
bool
IsWhole(const StreamedAnswer& aAnswer,
        const std::string& aMarker,
        std::size_t aTokens);

/** @return A number of the backend server's statistics. */
int
Statistic(const BackendPair& aPair, const char* aName);

/** @return Whether the number reached the least within ten seconds. */
bool
WaitForStatistic(const BackendPair& aPair, const char* aName, int aLeast);

/** @return How many lines of the process's log hold the text. */
int
CountLogged(const ChildProcess& aProcess, const std::string& aText);

} // namespace medlarkeel
