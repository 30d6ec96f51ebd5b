#include "forwarding/directorydelta.h"

#include "forwarding/directoryfollower.h"
#include "forwarding/peerview.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <queue>
#include <random>

namespace medlarkeel {

namespace {

const Timestamp kStart{ Seconds(1000) };
const PoolName kPool("pool");
const InstanceId kLeaving("leaving");
const InstanceId kStaying("staying");

/** @return A position of a directory that states no era. */
DirectoryPosition
At(std::uint64_t aRevision)
{
  return { {}, aRevision };
}

BackendEntry
MakeBackendEntry(const InstanceId& aId, std::uint64_t aRevision)
{
  BackendEntry entry;
  entry.mId = aId;
  entry.mPool = kPool;
  entry.mEndpoint = { "10.0.0.1", 80 };
  entry.mZone = ZoneName("a");
  entry.mPosition = At(aRevision);
  return entry;
}

DirectoryFollower
MakeFollowerAtRevision(std::uint64_t aRevision)
{
  DirectoryFollower follower{ FollowerSettings() };
  follower.RecordRead(DirectoryChanges{ { MakeBackendEntry(kLeaving, 1),
                                          MakeBackendEntry(kStaying, 2) },
                                        At(aRevision) },
                      kStart);
  return follower;
}

bool
IsUsable(const DirectoryFollower& aFollower,
         const InstanceId& aId,
         Timestamp aNow)
{
  for (const ListedBackend* server : aFollower.Backends().Usable(kPool, aNow)) {
    if (server->mEntry.mId == aId) {
      return true;
    }
  }
  return false;
}

/** Renewals of many servers, which pass the links of the entries that read the
 * directory. Each fifth entry has a fast link. */
struct RenewalLoad
{
  /** Renewed servers; 0 for a few, whose renewals cost nothing. */
  std::size_t mServers = 0;
  /** Whether entries report the bandwidth of their links. */
  bool mReportsLinks = true;

  /** Link of the store: 1,000 Mbit/s for 300 entries. */
  static constexpr std::uint32_t kStoreMbps = 200;

  static std::uint32_t LinkMbps(std::size_t aEntry)
  {
    return aEntry % 5 == 0 ? 200 : 10;
  }
};

/**
 * Simulates entries that follow a directory and relay changes to each other in
 * virtual time. Reports and directory calls can be lost and entries can be
 * partitioned from the network. The decisions are made by the production
 * classes.
 */
class EntryFleetSimulation
{
public:
  EntryFleetSimulation(std::size_t aEntries,
                       std::uint32_t aZones,
                       Milliseconds aChangeBound,
                       double aReportLossRate,
                       double aCallLossRate,
                       std::size_t aPartitionedEntries,
                       std::uint64_t aSeed,
                       const RenewalLoad& aLoad = {})
    : mLoad(aLoad)
    , mReportLossRate(aReportLossRate)
    , mCallLossRate(aCallLossRate)
    , mRandom(aSeed)
  {
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < aEntries; ++i) {
      addresses.push_back("10.0.1." + std::to_string(i + 1));
    }
    if (mLoad.mServers > 0) {
      mRenewalInterval = Microseconds(kHeartbeat) / mLoad.mServers;
    }
    FollowerSettings settings = FollowerSettingsFor(aChangeBound, kHeartbeat);
    settings.mMaximumReplayedServers = mLoad.mServers > 0 ? 1 : 500;
    for (std::size_t i = 0; i < aEntries; ++i) {
      mNodes.push_back(
        { addresses[i],
          DirectoryFollower(settings),
          PeerView(PeerSettingsFor(aChangeBound),
                   addresses[i],
                   addresses,
                   kStart - Seconds(100),
                   aZones == 0 ? 0 : static_cast<std::uint32_t>(1 + i % aZones),
                   mLoad.mReportsLinks ? RenewalLoad::LinkMbps(i) : 0),
          0 });
    }
    std::uniform_int_distribution<std::size_t> anyEntry(0, aEntries - 1);
    for (std::size_t i = 0; i < aPartitionedEntries; ++i) {
      mPartitionedEntries.insert(anyEntry(mRandom));
    }
    for (std::size_t i = 0; i < aEntries; ++i) {
      Schedule(kStart + Milliseconds(i), [this, i]() { CallDirectory(i); });
      Schedule(kStart + Milliseconds(i), [this, i]() { Report(i); });
    }
    Schedule(kStart + Seconds(5), [this]() { mIsPartitionActive = true; });
  }

  /** Schedules the publication that servers drain. */
  void PublishDrain(Timestamp aAt, std::size_t aServers = 1)
  {
    mDrainAt = aAt;
    mDrainingServers = aServers;
  }

  void RunUntil(Timestamp aEnd)
  {
    while (!mTasks.empty() && mTasks.top().mAt <= aEnd) {
      const Task task = mTasks.top();
      mTasks.pop();
      mNow = task.mAt;
      task.mRun();
    }
    mNow = aEnd;
  }

  /** @return Number of entries that aren't partitioned and still use the
   * draining server. */
  std::size_t UnawareEntryCount() const
  {
    std::size_t count = 0;
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      const bool usesDrainingServer = UsesDrainingServer(mNodes[i].mFollower);
      count += usesDrainingServer && mPartitionedEntries.count(i) == 0 ? 1 : 0;
    }
    return count;
  }

  std::size_t DirectoryCallCount() const { return mCallCount; }

  /** Lets the directory refuse the calls of the first aEntries entries from
   * the fifth second on. */
  void RejectCallsOf(std::size_t aEntries) { mRejectedEntries = aEntries; }

private:
  struct Node
  {
    std::string mAddress;
    DirectoryFollower mFollower;
    PeerView mPeers;
    std::uint64_t mSequence = 0;
  };

  struct Task
  {
    Timestamp mAt;
    std::function<void()> mRun;
    bool operator<(const Task& aOther) const { return mAt > aOther.mAt; }
  };

  static constexpr Milliseconds kAnswerTime{ 5 };
  static constexpr Milliseconds kPeerCheckInterval{ 150 };
  static constexpr Milliseconds kCallTimeoutMargin{ 400 };
  static constexpr Milliseconds kHeartbeat{ 1200 };
  /** Interval of reports above which a reader reports after each answer. */
  static constexpr Milliseconds kMaximumReaderInterval{ 500 };
  /** Bytes of one renewal in an answer of the directory. */
  static constexpr std::uint64_t kRenewalBytes = 400;

  void Schedule(Timestamp aAt, std::function<void()> aRun)
  {
    mTasks.push({ aAt, std::move(aRun) });
  }

  bool IsLost(double aLossRate)
  {
    return std::uniform_real_distribution<double>(0.0, 1.0)(mRandom) <
           aLossRate;
  }

  /** @return Id of one of the servers that drain. */
  static InstanceId DrainingServer(std::size_t aIndex)
  {
    return aIndex == 0 ? kLeaving
                       : InstanceId("leaving-" + std::to_string(aIndex));
  }

  bool UsesDrainingServer(const DirectoryFollower& aFollower) const
  {
    const auto servers = aFollower.Backends().Usable(kPool, mNow);
    return std::any_of(servers.begin(), servers.end(), [](const auto* aServer) {
      return aServer->mEntry.mId != kStaying;
    });
  }

  bool IsPartitioned(std::size_t aNode) const
  {
    return mIsPartitionActive && mPartitionedEntries.count(aNode) != 0;
  }

  std::uint64_t RevisionAt(Timestamp aAt) const
  {
    constexpr std::uint64_t kFirstRevision = 100;
    return kFirstRevision +
           static_cast<std::uint64_t>((aAt - kStart) / mRenewalInterval);
  }

  DirectoryChanges ChangesSince(std::uint64_t aSinceRevision) const
  {
    DirectoryChanges content;
    const bool isDrained = mNow >= mDrainAt;
    // The drains are changes in addition to the renewals.
    const std::uint64_t drainRevision = RevisionAt(mDrainAt) + 1;
    content.mPosition =
      At(RevisionAt(mNow) + (isDrained ? mDrainingServers : 0));
    content.mChanges = { MakeBackendEntry(kStaying,
                                          content.mPosition.mRevision) };
    for (std::size_t i = 0; i < mDrainingServers; ++i) {
      const std::uint64_t revision = isDrained ? drainRevision + i : 1 + i;
      if (aSinceRevision == 0 || (isDrained && aSinceRevision < revision)) {
        BackendEntry leaving = MakeBackendEntry(DrainingServer(i), revision);
        leaving.mIsDraining = isDrained;
        content.mChanges.emplace_back(leaving);
      }
    }
    return content;
  }

  void CallDirectory(std::size_t aNode)
  {
    Node& node = mNodes[aNode];
    const bool skipsCall =
      node.mFollower.CanSkipCall(mNow) &&
      node.mPeers.CanSkipDirectoryCall(
        node.mFollower.Digest(), node.mFollower.Position(), mNow);
    if (skipsCall) {
      node.mFollower.RecordPeerConfirmation(mNow);
      Schedule(mNow + kPeerCheckInterval,
               [this, aNode]() { CallDirectory(aNode); });
      return;
    }
    mCallCount += 1;
    const DirectoryCall step = node.mFollower.CallAt(mNow);
    const Milliseconds wait = node.mFollower.Wait(mNow);
    if (mNow >= kStart + Seconds(5) && aNode < mRejectedEntries) {
      Schedule(mNow + kAnswerTime, [this, aNode, step]() {
        HandleAnswer(aNode, step, DirectoryError::Refused);
      });
      return;
    }
    if (IsPartitioned(aNode) || IsLost(mCallLossRate)) {
      Schedule(mNow + wait + kCallTimeoutMargin, [this, aNode, step]() {
        HandleAnswer(aNode, step, DirectoryError::Unreachable);
      });
      return;
    }
    const bool isRead = step.mKind == DirectoryCall::Kind::ReadAll;
    const DirectoryChanges answer =
      ChangesSince(isRead ? 0 : step.mPosition.mRevision);
    const std::uint64_t renewals =
      isRead ? mLoad.mServers
             : answer.mPosition.mRevision - step.mPosition.mRevision;
    Schedule(
      mNow + kAnswerTime + TransferTime(aNode, renewals),
      [this, aNode, step, answer]() { HandleAnswer(aNode, step, answer); });
  }

  /** @return Time in which renewals pass the link of the store, one answer
   * after the other, and that of an entry. */
  Microseconds TransferTime(std::size_t aNode, std::uint64_t aRenewals)
  {
    constexpr std::uint64_t kBitsPerByte = 8;
    if (mLoad.mServers == 0) {
      return Microseconds(0);
    }
    const std::uint64_t bits = aRenewals * kRenewalBytes * kBitsPerByte;
    mStoreFreeAt = std::max(mStoreFreeAt, mNow) +
                   Microseconds(bits / RenewalLoad::kStoreMbps);
    return std::max(mStoreFreeAt - mNow,
                    Microseconds(bits / RenewalLoad::LinkMbps(aNode)));
  }

  void HandleAnswer(std::size_t aNode,
                    const DirectoryCall& aStep,
                    const DirectoryResult& aResult)
  {
    Node& node = mNodes[aNode];
    const FollowerUpdate update = aStep.mKind == DirectoryCall::Kind::ReadAll
                                    ? node.mFollower.RecordRead(aResult, mNow)
                                    : node.mFollower.RecordWatch(aResult, mNow);
    node.mPeers.SetHasLostDirectoryContact(node.mFollower.HasLostContact());
    const bool isReportLate =
      node.mPeers.Interval(mNow) > kMaximumReaderInterval;
    if ((!update.mBackends.empty() || isReportLate) &&
        node.mPeers.IsReader(mNow)) {
      SendDeltas(aNode, update.mDeltaParts);
      SendReports(aNode);
    }
    Schedule(mNow + node.mFollower.Next().mDelay,
             [this, aNode]() { CallDirectory(aNode); });
  }

  void Report(std::size_t aNode)
  {
    SendReports(aNode);
    Schedule(mNow + mNodes[aNode].mPeers.Interval(mNow),
             [this, aNode]() { Report(aNode); });
  }

  /** Sends the reports of an entry to their recipients. */
  void SendReports(std::size_t aNode)
  {
    const std::vector<AddressedReport> reports =
      mNodes[aNode].mPeers.Reports(OwnReport(aNode), mNow);
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      for (const AddressedReport& addressed : reports) {
        const std::vector<std::string>& targets = addressed.mTargets;
        const bool isTarget =
          std::find(targets.begin(), targets.end(), mNodes[i].mAddress) !=
          targets.end();
        const bool isLost =
          IsPartitioned(aNode) || IsPartitioned(i) || IsLost(mReportLossRate);
        if (isTarget && i != aNode && !isLost) {
          ReceiveReport(mNodes[i], addressed.mReport);
        }
      }
    }
  }

  void SendDeltas(std::size_t aNode, const std::vector<DirectoryDelta>& aDeltas)
  {
    const std::vector<std::string> targets =
      mNodes[aNode].mPeers.DeltaTargets(mNow);
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      const bool isTarget =
        std::find(targets.begin(), targets.end(), mNodes[i].mAddress) !=
        targets.end();
      for (const DirectoryDelta& delta : aDeltas) {
        const bool isLost =
          IsPartitioned(aNode) || IsPartitioned(i) || IsLost(mReportLossRate);
        if (isTarget && !isLost) {
          mNodes[i].mFollower.RecordRelayedDelta(delta, mNow);
        }
      }
    }
  }

  PeerReport OwnReport(std::size_t aNode)
  {
    Node& node = mNodes[aNode];
    PeerReport report;
    report.mAddress = node.mAddress;
    report.mSequence = ++node.mSequence;
    report.mHasLostDirectoryContact = node.mFollower.HasLostContact();
    report.mDirectoryDigest = node.mFollower.Digest();
    report.mDirectoryPosition = node.mFollower.Position();
    report.mDirectoryAge =
      std::chrono::duration_cast<Milliseconds>(node.mFollower.Age(mNow));
    if (node.mPeers.IsReader(mNow)) {
      report.mRecentDelta = node.mFollower.RecentDelta(mNow);
    }
    return report;
  }

  void ReceiveReport(Node& aNode, const PeerReport& aReport) const
  {
    if (aNode.mPeers.Record(aReport, mNow) && aReport.mRecentDelta) {
      aNode.mFollower.RecordRelayedDelta(*aReport.mRecentDelta, mNow);
      aNode.mFollower.RecordPeerState(
        aReport.mDirectoryPosition, aReport.mDirectoryDigest, mNow);
    }
  }

  RenewalLoad mLoad;
  /** Interval between two changes of the directory that aren't material, such
   * as renewed leases. */
  Microseconds mRenewalInterval = Milliseconds(20);
  double mReportLossRate;
  double mCallLossRate;
  std::mt19937_64 mRandom;
  std::vector<Node> mNodes;
  std::set<std::size_t> mPartitionedEntries;
  bool mIsPartitionActive = false;
  Timestamp mNow = kStart;
  Timestamp mDrainAt = kStart + Seconds(1000);
  std::size_t mDrainingServers = 1;
  /** When the store has sent all answers. */
  Timestamp mStoreFreeAt = kStart;
  std::priority_queue<Task> mTasks;
  std::size_t mCallCount = 0;
  std::size_t mRejectedEntries = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(directorydelta)

BOOST_AUTO_TEST_CASE(AppliesDeltaThatContinuesKnownRevision)
{
  DirectoryFollower follower = MakeFollowerAtRevision(10);
  const DirectoryDelta delta{ At(8),
                              At(20),
                              { BackendRemoval{ kLeaving, At(15) } } };
  BOOST_TEST(follower.RecordRelayedDelta(delta, kStart).has_value());
  BOOST_TEST(!IsUsable(follower, kLeaving, kStart));
  BOOST_TEST(IsUsable(follower, kStaying, kStart));
  BOOST_TEST(follower.Next().mPosition.mRevision == 20U);
}

BOOST_AUTO_TEST_CASE(IgnoresDeltaWithOnlyKnownRevisions)
{
  DirectoryFollower follower = MakeFollowerAtRevision(10);
  const DirectoryDelta older{ At(4),
                              At(10),
                              { BackendRemoval{ kLeaving, At(9) } } };
  BOOST_TEST(!follower.RecordRelayedDelta(older, kStart).has_value());
  BOOST_TEST(IsUsable(follower, kLeaving, kStart));
  BOOST_TEST(follower.Next().mPosition.mRevision == 10U);
}

/** Guards against entries that use a server until they have read the whole
 * list, because they missed an earlier delta. What they missed stays to be
 * read. */
BOOST_AUTO_TEST_CASE(DeltaAfterAGapAppliesAndLeavesThePosition)
{
  DirectoryFollower follower = MakeFollowerAtRevision(10);
  const DirectoryDelta later{ At(12),
                              At(20),
                              { BackendRemoval{ kLeaving, At(15) } } };
  BOOST_TEST(follower.RecordRelayedDelta(later, kStart).has_value());
  BOOST_TEST(!IsUsable(follower, kLeaving, kStart));
  BOOST_TEST(follower.Next().mPosition.mRevision == 10U);
  // A late answer from before the gap doesn't bring the server back.
  follower.RecordRead(DirectoryChanges{ { MakeBackendEntry(kLeaving, 1),
                                          MakeBackendEntry(kStaying, 2) },
                                        At(11) },
                      kStart);
  BOOST_TEST(!IsUsable(follower, kLeaving, kStart));
}

/** Guards against entries that read the whole list because their position is
 * old, though their list is that of a reader. */
BOOST_AUTO_TEST_CASE(EntryWithTheListOfAReaderIsAtItsPosition)
{
  DirectoryFollower follower = MakeFollowerAtRevision(10);
  follower.RecordPeerState(At(20), follower.Digest() + 1, kStart);
  BOOST_TEST(follower.Position().mRevision == 10U);
  follower.RecordPeerState(At(20), follower.Digest(), kStart);
  BOOST_TEST(follower.Position().mRevision == 20U);
  follower.RecordPeerState(At(15), follower.Digest(), kStart);
  BOOST_TEST(follower.Position().mRevision == 20U);
}

/** Guards against a server that is dropped because it was relayed while an
 * older list was being read. */
BOOST_AUTO_TEST_CASE(ServerRelayedDuringAFullReadStays)
{
  const InstanceId added("added");
  DirectoryFollower follower = MakeFollowerAtRevision(10);
  follower.RecordRelayedDelta(
    { At(10), At(20), { MakeBackendEntry(added, 18) } }, kStart);
  follower.RecordRead(
    DirectoryChanges{ { MakeBackendEntry(kStaying, 2) }, At(12) }, kStart);
  BOOST_TEST(IsUsable(follower, added, kStart));
  BOOST_TEST(!IsUsable(follower, kLeaving, kStart));
}

/** Applying changes again that are already known would revert later changes.
 * The delta starts before the known revision and contains an older evacuation.
 */
BOOST_AUTO_TEST_CASE(DoesNotReapplyKnownPartOfDelta)
{
  DirectoryFollower follower = MakeFollowerAtRevision(10);
  const ZoneName zone("b");
  const DirectoryDelta delta{ At(4),
                              At(20),
                              { ZoneEvacuation{ zone, true, At(6) },
                                BackendRemoval{ kLeaving, At(15) } } };
  BOOST_TEST(follower.RecordRelayedDelta(delta, kStart).has_value());
  BOOST_TEST(follower.Backends().EvacuatedZones().empty());
}

BOOST_AUTO_TEST_CASE(ReaderRelaysOnlyMaterialChanges)
{
  DirectoryFollower follower = MakeFollowerAtRevision(10);
  follower.RecordWatch(
    DirectoryChanges{ { MakeBackendEntry(kStaying, 11) }, At(11) }, kStart);
  BOOST_TEST(follower.RecentDelta(kStart)->mChanges.empty());
  BackendEntry draining = MakeBackendEntry(kLeaving, 12);
  draining.mIsDraining = true;
  follower.RecordWatch(DirectoryChanges{ { draining }, At(12) }, kStart);
  const auto delta = follower.RecentDelta(kStart);
  BOOST_REQUIRE(delta.has_value());
  BOOST_TEST(delta->mFrom.mRevision == 10U);
  BOOST_TEST(delta->mTo.mRevision == 12U);
  BOOST_TEST(delta->mChanges.size() == 1U);
  DirectoryFollower other = MakeFollowerAtRevision(10);
  BOOST_TEST(other.RecordRelayedDelta(*delta, kStart).has_value());
  BOOST_TEST(other.Digest() == follower.Digest());
}

// A server that is cold again while cold is warm for entries that don't read
// the directory.
BOOST_AUTO_TEST_CASE(ReaderRelaysAnExtendedColdTime)
{
  const auto coldEntry = [](std::uint64_t aRevision, int aRemaining) {
    BackendEntry entry = MakeBackendEntry(kStaying, aRevision);
    entry.mColdRemaining = Milliseconds(aRemaining);
    return entry;
  };
  DirectoryFollower reader = MakeFollowerAtRevision(10);
  DirectoryFollower other = MakeFollowerAtRevision(10);
  const auto relay = [&](std::uint64_t aRevision, int aRemaining, int aAt) {
    const Timestamp now = kStart + Milliseconds(aAt);
    const FollowerUpdate update = reader.RecordWatch(
      DirectoryChanges{ { coldEntry(aRevision, aRemaining) }, At(aRevision) },
      now);
    if (const auto delta = reader.RecentDelta(now)) {
      other.RecordRelayedDelta(*delta, now);
    }
    BOOST_TEST(reader.Digest() == other.Digest());
    return update.mBackends.size();
  };
  relay(11, 3000, 0);
  relay(12, 1800, 1200);
  BOOST_TEST(relay(13, 3000, 2000) == 1U);
  BOOST_TEST(relay(14, 1800, 3200) == 0U);
  const Timestamp end = kStart + Milliseconds(5000);
  BOOST_CHECK(reader.Backends().Find(kStaying)->mColdUntil == end);
  BOOST_CHECK(other.Backends().Find(kStaying)->mColdUntil == end);
}

/** A relayed delta arrives while a directory call is in progress. The answer is
 * older than the delta and must not revert it. */
BOOST_AUTO_TEST_CASE(LateAnswerDoesNotRevertRelayedChanges)
{
  DirectoryFollower follower = MakeFollowerAtRevision(10);
  const ZoneName zone("b");
  const DirectoryDelta delta{ At(10),
                              At(20),
                              { ZoneEvacuation{ zone, true, At(12) },
                                ZoneEvacuation{ zone, false, At(18) },
                                BackendRemoval{ kLeaving, At(19) } } };
  follower.RecordRelayedDelta(delta, kStart);
  follower.RecordWatch(DirectoryChanges{ { ZoneEvacuation{ zone, true, At(12) },
                                           MakeBackendEntry(kLeaving, 13) },
                                         At(14) },
                       kStart);
  BOOST_TEST(follower.Backends().EvacuatedZones().empty());
  BOOST_TEST(!IsUsable(follower, kLeaving, kStart));
  BOOST_TEST(follower.Next().mPosition.mRevision == 20U);
}

/** Each entry reads documents itself, so a delta continues across them, and an
 * entry that applies it has no document by that. */
BOOST_AUTO_TEST_CASE(DocumentsAreNotRelayed)
{
  DirectoryFollower reader = MakeFollowerAtRevision(10);
  DirectoryFollower other = MakeFollowerAtRevision(10);
  auto document = std::make_shared<ForwardingDocument>();
  document->mVersion = 3;
  reader.RecordWatch(DirectoryChanges{ { ForwardingDocumentPointer(document),
                                         BackendRemoval{ kLeaving, At(12) } },
                                       At(12) },
                     kStart);
  const auto delta = reader.RecentDelta(kStart);
  BOOST_REQUIRE(delta.has_value());
  BOOST_TEST(delta->mChanges.size() == 1U);
  other.RecordRelayedDelta(*delta, kStart);
  BOOST_TEST(other.NewestDocument() == nullptr);
  BOOST_TEST(!IsUsable(other, kLeaving, kStart));
  BOOST_TEST(other.Digest() == reader.Digest());
}

BOOST_AUTO_TEST_CASE(DeltaExpiresAndIsBounded)
{
  DirectoryDeltaLog log;
  log.Restart(At(1));
  for (std::uint64_t i = 1; i < 500; ++i) {
    log.Add(
      At(i), At(i + 1), { BackendRemoval{ kLeaving, At(i + 1) } }, kStart);
    const auto delta = log.RecentDelta(kStart);
    BOOST_REQUIRE(delta.has_value());
    BOOST_TEST(delta->mTo.mRevision == i + 1);
    BOOST_TEST(delta->mChanges.size() ==
               delta->mTo.mRevision - delta->mFrom.mRevision);
    BOOST_TEST(delta->mChanges.size() <= 40U);
  }
  BOOST_TEST(!log.RecentDelta(kStart + Seconds(60)).has_value());
}

BOOST_AUTO_TEST_CASE(AnswerWithManyChangesIsRelayedInParts)
{
  constexpr std::uint64_t kChanges = 100;
  DirectoryDeltaLog log;
  log.Restart(At(10));
  std::vector<RelayedChange> changes;
  for (std::uint64_t i = 0; i < kChanges; ++i) {
    // Two changes have one position.
    changes.emplace_back(BackendRemoval{ kLeaving, At(11 + i / 2) });
  }
  std::vector<DirectoryDelta> parts = log.Add(At(10), At(70), changes, kStart);
  const auto recent = log.RecentDelta(kStart);
  BOOST_REQUIRE(recent.has_value());
  parts.push_back(*recent);
  DirectoryPosition position = At(10);
  std::size_t count = 0;
  for (const DirectoryDelta& part : parts) {
    BOOST_TEST((part.mFrom == position));
    BOOST_TEST(part.mChanges.size() <= 40U);
    for (const RelayedChange& change : part.mChanges) {
      BOOST_TEST(PositionOf(change).IsAfter(part.mFrom));
      BOOST_TEST(PositionOf(change).IsAtMost(part.mTo));
    }
    position = part.mTo;
    count += part.mChanges.size();
  }
  BOOST_TEST((position == At(70)));
  BOOST_TEST(count == kChanges);
}

/** Guards against entries that keep using a draining server for longer than the
 * bound of a change. Reports and directory calls are lost, and up to two
 * entries, which can be directory readers, are partitioned. */
BOOST_AUTO_TEST_CASE(DrainReachesAllConnectedEntriesWithinChangeBound)
{
  constexpr double kReportLossRate = 0.3;
  constexpr double kCallLossRate = 0.03;
  constexpr std::size_t kPartitionedEntries = 2;
  struct Fleet
  {
    std::size_t mEntries;
    std::uint32_t mZones;
    Milliseconds mBound;
    /** Number of simulated random schedules. */
    std::uint64_t mRuns;
  };
  for (const Fleet fleet : { Fleet{ 10, 0, Milliseconds(2000), 40 },
                             Fleet{ 30, 3, Milliseconds(3000), 5 },
                             Fleet{ 100, 5, Milliseconds(4000), 2 } }) {
    for (std::uint64_t seed = 1; seed <= fleet.mRuns; ++seed) {
      EntryFleetSimulation model(fleet.mEntries,
                                 fleet.mZones,
                                 fleet.mBound,
                                 kReportLossRate,
                                 kCallLossRate,
                                 kPartitionedEntries,
                                 seed);
      const Timestamp drain = kStart + Seconds(10) + Milliseconds(seed * 77);
      model.PublishDrain(drain);
      model.RunUntil(drain + fleet.mBound);
      BOOST_TEST(model.UnawareEntryCount() == 0U);
    }
  }
}

/** Guards against a leaving server that large fleets use for seconds, because
 * the renewals of thousands of servers don't pass the link of a directory
 * reader. */
BOOST_AUTO_TEST_CASE(LeavingReachesALargeFleetWithinASecond)
{
  constexpr std::size_t kEntries = 60;
  constexpr std::size_t kServers = 3000;
  constexpr Milliseconds kGoal{ 1000 };
  const auto unawareWith = [kGoal](const RenewalLoad& aLoad) {
    EntryFleetSimulation model(
      kEntries, 3, Milliseconds(3000), 0.0, 0.0, 0, 1, aLoad);
    const Timestamp drain = kStart + Seconds(10);
    model.PublishDrain(drain);
    model.RunUntil(drain + kGoal);
    return model.UnawareEntryCount();
  };
  BOOST_TEST(unawareWith({ kServers, true }) == 0U);
  // Readers that are chosen without regard to their links.
  BOOST_TEST(unawareWith({ kServers, false }) > 0U);
}

/** Guards against hundreds of servers that leave at once and that most entries
 * use until they have read the whole list, because the changes are too many for
 * a report. */
BOOST_AUTO_TEST_CASE(LeavingOfManyServersReachesALargeFleetWithinASecond)
{
  constexpr std::size_t kEntries = 60;
  constexpr std::size_t kServers = 3000;
  constexpr std::size_t kLeavingServers = 390;
  EntryFleetSimulation model(kEntries,
                             3,
                             Milliseconds(3000),
                             0.0,
                             0.0,
                             0,
                             1,
                             RenewalLoad{ kServers, true });
  const Timestamp drain = kStart + Seconds(10);
  model.PublishDrain(drain, kLeavingServers);
  model.RunUntil(drain + Seconds(1));
  BOOST_TEST(model.UnawareEntryCount() == 0U);
}

/** Guards against entries that retry continuously while the directory refuses
 * their calls. It refuses 33 of 100 entries for nine seconds. These must
 * rely on their peers, and another entry of their zone must become a reader. */
BOOST_AUTO_TEST_CASE(RejectedEntriesDoNotCallContinuously)
{
  constexpr std::size_t kEntries = 100;
  constexpr std::size_t kRejectedEntries = 33;
  // On average half a call per half second for nine seconds.
  constexpr std::size_t kMaximumCallsPerEntry = 9;
  const auto callCountFor = [](std::size_t aRejectedEntries) {
    EntryFleetSimulation model(kEntries, 5, Milliseconds(4000), 0.0, 0.0, 0, 1);
    model.RejectCallsOf(aRejectedEntries);
    model.RunUntil(kStart + Seconds(14));
    return model.DirectoryCallCount();
  };
  BOOST_TEST(callCountFor(kRejectedEntries) <=
             callCountFor(0) + kMaximumCallsPerEntry * kRejectedEntries);
}

/** Guards against a change that makes all entries call the directory: it may
 * add at most one call for each fourth entry. */
BOOST_AUTO_TEST_CASE(ChangeIsRelayedWithoutCallsOfAllEntries)
{
  constexpr std::size_t kEntries = 100;
  const auto callCountFor = [](bool aHasChange) {
    EntryFleetSimulation model(kEntries, 5, Milliseconds(4000), 0.0, 0.0, 0, 1);
    const Timestamp drain = kStart + Seconds(8);
    if (aHasChange) {
      model.PublishDrain(drain);
    }
    model.RunUntil(drain + Seconds(4));
    return model.DirectoryCallCount();
  };
  BOOST_TEST(callCountFor(true) <= callCountFor(false) + kEntries / 4);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
