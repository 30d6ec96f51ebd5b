#pragma once

#include "forwarding/documentfollower.h"
#include "forwarding/peerview.h"

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace medlarkeel {

/** Contents of a directory whose revisions go back when it is restored. */
struct DirectoryModel
{
  struct Event
  {
    std::uint64_t mRevision = 0;
    DirectoryChange mChange;
  };

  DirectoryEra mEra;
  std::uint64_t mRevision = 100;
  /** Changes up to this revision can't be read any more. */
  std::uint64_t mForgotten = 0;
  std::map<std::string, Event> mItems;
  std::vector<Event> mHistory;

  void Put(const std::string& aKey, const DirectoryChange& aChange);
  void Remove(const std::string& aKey, const DirectoryChange& aRemoval);

  /** @return The whole contents. */
  DirectoryChanges Contents() const;

  /** @return The changes after a revision, or that they aren't available. */
  DirectoryResult ChangesAfter(std::uint64_t aRevision) const;
};

/** Sizes and faults of one simulation. */
struct RestoredFleetSettings
{
  std::size_t mEntries = 6;
  /** Number of availability zones of the entries; 0 for none. */
  std::uint32_t mZones = 0;
  Milliseconds mChangeBound{ 2000 };
  double mReportLossRate = 0.0;
  double mCallLossRate = 0.0;
  /** Time that an answer of the directory takes. */
  Milliseconds mAnswerTime{ 5 };
  /** Entries, from the first on, that are cut off from the directory and from
   * the other entries during the cut. */
  std::size_t mCutEntries = 0;
  std::uint64_t mSeed = 1;
};

/**
 * Entries that follow a directory which is restored from older copies, in
 * virtual time. Backend servers renew their entries every 1,200 ms. The
 * operator writes again after a restore what was lost. The decisions are made
 * by the production classes.
 */
class RestoredFleet
{
public:
  static constexpr Milliseconds kHeartbeat{ 1200 };
  /** Time after a restore at which the operator writes again. */
  static constexpr Milliseconds kRewritingDelay{ 1500 };

  explicit RestoredFleet(const RestoredFleetSettings& aSettings);

  /** Runs a task at a time after the start of the simulation. */
  void At(Milliseconds aTime, std::function<void()> aTask);

  /** Runs until a time after the start of the simulation. */
  void RunUntil(Milliseconds aTime);

  /** @return Time since the start of the simulation. */
  Milliseconds Elapsed() const;

  void AddServer(const std::string& aId, const std::string& aZone);
  /** The server publishes that it drains. */
  void Drain(const std::string& aId);
  /** The server removes its entry and ends. */
  void Leave(const std::string& aId);
  /** The server's process is replaced by one with the same id. */
  void RestartServer(const std::string& aId);
  void SetEvacuated(const std::string& aZone, bool aIsEvacuated);
  void PublishDocument(std::uint64_t aVersion);

  /** Stores a copy of the directory for Restore(). */
  void TakeCopy() { mCopy = mDirectory; }

  /** Lets calls fail until Restore(). */
  void StopDirectory() { mIsStopped = true; }

  /** Replaces the directory by the copy in a new era. */
  void Restore(bool aIsHistoryLost = false);

  void SetIsCut(bool aIsCut) { mIsCut = aIsCut; }

  /** Starts an entry; its number is the next one. */
  void StartEntry();

  std::size_t EntryCount() const { return mNodes.size(); }
  const DirectoryFollower& Follower(std::size_t aEntry) const
  {
    return mNodes[aEntry].mFollower;
  }

  /** @return Ids of the servers that an entry uses. */
  std::set<std::string> UsableAt(std::size_t aEntry) const;

  /** @return Number of entries from aFirst up to aEnd that use a server;
   * entries that are cut off don't count while they are. */
  std::size_t UserCount(const std::string& aId,
                        std::size_t aFirst,
                        std::size_t aEnd) const;

  std::size_t UserCount(const std::string& aId) const
  {
    return UserCount(aId, 0, mNodes.size());
  }

  /** @return Whether all entries use the same servers and the same document and
   * have the same digest. */
  bool IsAgreed() const;

  /** @return Number of calls of the directory so far. */
  std::size_t CallCount() const { return mCallCount; }

private:
  struct Node
  {
    std::string mAddress;
    DirectoryFollower mFollower;
    DocumentFollower mDocuments;
    PeerView mPeers;
    std::uint64_t mSequence = 0;
  };

  struct Server
  {
    BackendEntry mEntry;
    /** Incremented when the process ends, to end its renewals. */
    std::uint64_t mProcess = 0;
    bool mIsRunning = true;
  };

  struct Task
  {
    Timestamp mAt;
    std::uint64_t mOrder;
    std::function<void()> mRun;
    bool operator<(const Task& aOther) const
    {
      return mAt != aOther.mAt ? mAt > aOther.mAt : mOrder > aOther.mOrder;
    }
  };

  void Schedule(Timestamp aAt, std::function<void()> aRun);
  bool IsLost(double aRate);
  bool IsCut(std::size_t aEntry) const
  {
    return mIsCut && aEntry < mSettings.mCutEntries;
  }
  void WriteServer(const std::string& aId);
  void Renew(const std::string& aId, std::uint64_t aProcess);
  /** The operator writes again what differs from its last state. */
  void WriteAgain();
  void CallDirectory(std::size_t aNode);
  void Watch(std::size_t aNode, const DirectoryCall& aCall, Timestamp aUntil);
  /** Makes the calls for documents and evacuations. */
  void CallForDocuments(std::size_t aNode);
  void WatchDocuments(std::size_t aNode,
                      const DirectoryPosition& aFrom,
                      Timestamp aUntil);
  void HandleDocuments(std::size_t aNode, const DirectoryResult& aResult);
  void ReadMissingDocument(std::size_t aNode);
  /** @return Whether a call of an entry that is made now gets no answer. */
  bool IsCallLost(std::size_t aNode)
  {
    return IsCut(aNode) || mIsStopped || IsLost(mSettings.mCallLossRate);
  }
  void HandleAnswer(std::size_t aNode,
                    const DirectoryCall& aCall,
                    const DirectoryResult& aResult);
  void Report(std::size_t aNode);
  void SendReports(std::size_t aNode);
  PeerReport OwnReport(std::size_t aNode);
  void ReceiveReport(std::size_t aNode, const PeerReport& aReport);

  RestoredFleetSettings mSettings;
  std::mt19937_64 mRandom;
  std::vector<std::string> mAddresses;
  std::vector<Node> mNodes;
  std::map<std::string, Server> mServers;
  std::set<std::string> mEvacuated;
  std::uint64_t mDocumentVersion = 0;
  DirectoryModel mDirectory;
  DirectoryModel mCopy;
  bool mIsStopped = false;
  bool mIsCut = false;
  Timestamp mNow;
  std::uint64_t mTaskCount = 0;
  std::size_t mCallCount = 0;
  std::priority_queue<Task> mTasks;
};

} // namespace medlarkeel
