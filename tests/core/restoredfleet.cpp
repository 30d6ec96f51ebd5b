#include "restoredfleet.h"

#include <algorithm>

namespace medlarkeel {

namespace {

const Timestamp kStart{ Seconds(1000) };
const PoolName kPool("pool");

constexpr Milliseconds kPeerCheckInterval{ 150 };
constexpr Milliseconds kWatchCheckInterval{ 5 };
constexpr Milliseconds kDocumentCheckInterval{ 50 };
constexpr Milliseconds kCallTimeoutMargin{ 400 };
/** Longest wait for a full read, as in the store's client. */
constexpr Milliseconds kReadTimeout{ 700 };

const std::string kDocumentKey = "document";

std::string
ServerKey(const std::string& aId)
{
  return "server." + aId;
}

std::string
ZoneKey(const std::string& aZone)
{
  return "evacuated." + aZone;
}

/** @return The change as the directory hands it out. */
DirectoryChange
At(DirectoryChange aChange, const DirectoryPosition& aPosition)
{
  if (auto* entry = std::get_if<BackendEntry>(&aChange)) {
    entry->mPosition = aPosition;
  } else if (auto* removal = std::get_if<BackendRemoval>(&aChange)) {
    removal->mPosition = aPosition;
  } else if (auto* zone = std::get_if<ZoneEvacuation>(&aChange)) {
    zone->mPosition = aPosition;
  }
  return aChange;
}

/** @return The documents and evacuations among changes. */
DirectoryChanges
DocumentsOf(const DirectoryChanges& aChanges)
{
  DirectoryChanges documents;
  documents.mPosition = aChanges.mPosition;
  for (const DirectoryChange& change : aChanges.mChanges) {
    if (std::holds_alternative<ForwardingDocumentPointer>(change) ||
        std::holds_alternative<ZoneEvacuation>(change)) {
      documents.mChanges.push_back(change);
    }
  }
  return documents;
}

} // namespace

void
DirectoryModel::Put(const std::string& aKey, const DirectoryChange& aChange)
{
  mRevision += 1;
  mItems[aKey] = { mRevision, aChange };
  mHistory.push_back({ mRevision, aChange });
}

void
DirectoryModel::Remove(const std::string& aKey, const DirectoryChange& aRemoval)
{
  if (mItems.erase(aKey) > 0) {
    mRevision += 1;
    mHistory.push_back({ mRevision, aRemoval });
  }
}

DirectoryChanges
DirectoryModel::Contents() const
{
  DirectoryChanges contents;
  contents.mPosition = { mEra, mRevision };
  for (const auto& [key, item] : mItems) {
    contents.mChanges.push_back(At(item.mChange, { mEra, item.mRevision }));
  }
  return contents;
}

DirectoryResult
DirectoryModel::ChangesAfter(std::uint64_t aRevision) const
{
  if (aRevision < mForgotten || aRevision > mRevision) {
    return DirectoryError::HistoryCompacted;
  }
  DirectoryChanges contents;
  contents.mPosition = { mEra, mRevision };
  const auto first =
    std::upper_bound(mHistory.begin(),
                     mHistory.end(),
                     aRevision,
                     [](std::uint64_t aAfter, const Event& aEvent) {
                       return aAfter < aEvent.mRevision;
                     });
  for (auto event = first; event != mHistory.end(); ++event) {
    contents.mChanges.push_back(At(event->mChange, { mEra, event->mRevision }));
  }
  return contents;
}

RestoredFleet::RestoredFleet(const RestoredFleetSettings& aSettings)
  : mSettings(aSettings)
  , mRandom(aSettings.mSeed)
  , mNow(kStart)
{
  mDirectory.mEra = DirectoryEra{ 1 };
  for (std::size_t i = 0; i < aSettings.mEntries; ++i) {
    mAddresses.push_back("10.0.1." + std::to_string(i + 1));
  }
  for (std::size_t i = 0; i < aSettings.mEntries; ++i) {
    StartEntry();
  }
  PublishDocument(1);
}

void
RestoredFleet::StartEntry()
{
  const std::size_t number = mNodes.size();
  if (number == mAddresses.size()) {
    mAddresses.push_back("10.0.1." + std::to_string(number + 1));
  }
  const bool isFirst = mNow == kStart;
  mNodes.push_back(
    { mAddresses[number],
      DirectoryFollower(
        FollowerSettingsFor(mSettings.mChangeBound, kHeartbeat)),
      DocumentFollower(DocumentFollowerSettings()),
      PeerView(PeerSettingsFor(mSettings.mChangeBound),
               mAddresses[number],
               mAddresses,
               isFirst ? kStart - Seconds(100) : mNow,
               mSettings.mZones == 0
                 ? 0
                 : static_cast<std::uint32_t>(1 + number % mSettings.mZones)),
      0 });
  const Timestamp start = mNow + Milliseconds(number);
  Schedule(start, [this, number]() { CallDirectory(number); });
  Schedule(start, [this, number]() { CallForDocuments(number); });
  Schedule(start, [this, number]() { Report(number); });
}

void
RestoredFleet::Schedule(Timestamp aAt, std::function<void()> aRun)
{
  mTasks.push({ aAt, mTaskCount++, std::move(aRun) });
}

void
RestoredFleet::At(Milliseconds aTime, std::function<void()> aTask)
{
  Schedule(kStart + aTime, std::move(aTask));
}

void
RestoredFleet::RunUntil(Milliseconds aTime)
{
  const Timestamp end = kStart + aTime;
  while (!mTasks.empty() && mTasks.top().mAt <= end) {
    const Task task = mTasks.top();
    mTasks.pop();
    mNow = task.mAt;
    task.mRun();
  }
  mNow = end;
}

Milliseconds
RestoredFleet::Elapsed() const
{
  return std::chrono::duration_cast<Milliseconds>(mNow - kStart);
}

bool
RestoredFleet::IsLost(double aRate)
{
  return std::uniform_real_distribution<double>(0.0, 1.0)(mRandom) < aRate;
}

void
RestoredFleet::AddServer(const std::string& aId, const std::string& aZone)
{
  Server server;
  server.mEntry.mId = InstanceId(aId);
  server.mEntry.mPool = kPool;
  server.mEntry.mEndpoint = { "10.0.2.1",
                              static_cast<std::uint16_t>(1 + mServers.size()) };
  server.mEntry.mZone = ZoneName(aZone);
  server.mEntry.mStartedAt = Elapsed();
  mServers[aId] = server;
  Renew(aId, 0);
}

void
RestoredFleet::WriteServer(const std::string& aId)
{
  if (!mIsStopped) {
    mDirectory.Put(ServerKey(aId), mServers.at(aId).mEntry);
  }
}

void
RestoredFleet::Renew(const std::string& aId, std::uint64_t aProcess)
{
  const Server& server = mServers.at(aId);
  if (server.mIsRunning && server.mProcess == aProcess) {
    WriteServer(aId);
    Schedule(mNow + kHeartbeat,
             [this, aId, aProcess]() { Renew(aId, aProcess); });
  }
}

void
RestoredFleet::Drain(const std::string& aId)
{
  mServers.at(aId).mEntry.mIsDraining = true;
  WriteServer(aId);
}

void
RestoredFleet::Leave(const std::string& aId)
{
  mServers.at(aId).mIsRunning = false;
  if (!mIsStopped) {
    mDirectory.Remove(ServerKey(aId), BackendRemoval{ InstanceId(aId), {} });
  }
}

void
RestoredFleet::RestartServer(const std::string& aId)
{
  Server& server = mServers.at(aId);
  server.mProcess += 1;
  server.mIsRunning = true;
  server.mEntry.mIsDraining = false;
  server.mEntry.mStartedAt = Elapsed();
  Renew(aId, server.mProcess);
}

void
RestoredFleet::SetEvacuated(const std::string& aZone, bool aIsEvacuated)
{
  const ZoneName zone(aZone);
  if (aIsEvacuated) {
    mEvacuated.insert(aZone);
    mDirectory.Put(ZoneKey(aZone), ZoneEvacuation{ zone, true, {} });
  } else {
    mEvacuated.erase(aZone);
    mDirectory.Remove(ZoneKey(aZone), ZoneEvacuation{ zone, false, {} });
  }
}

void
RestoredFleet::PublishDocument(std::uint64_t aVersion)
{
  auto document = std::make_shared<ForwardingDocument>();
  document->mVersion = aVersion;
  mDocumentVersion = aVersion;
  mDirectory.Put(kDocumentKey, ForwardingDocumentPointer(document));
}

void
RestoredFleet::Restore(bool aIsHistoryLost)
{
  const DirectoryEra era{ mDirectory.mEra.mValue + 1 };
  mDirectory = mCopy;
  mDirectory.mEra = era;
  if (aIsHistoryLost) {
    mDirectory.mHistory.clear();
    mDirectory.mForgotten = mDirectory.mRevision;
  }
  mIsStopped = false;
  Schedule(mNow + kRewritingDelay, [this, era]() {
    if (mDirectory.mEra == era && !mIsStopped) {
      WriteAgain();
    }
  });
}

void
RestoredFleet::WriteAgain()
{
  const auto document = std::get<ForwardingDocumentPointer>(
    mDirectory.mItems.at(kDocumentKey).mChange);
  if (document->mVersion < mDocumentVersion) {
    PublishDocument(mDocumentVersion);
  }
  for (const auto& [id, server] : mServers) {
    // The lease of a server that has left runs out.
    if (!server.mIsRunning) {
      mDirectory.Remove(ServerKey(id), BackendRemoval{ InstanceId(id), {} });
    }
    const std::string zone = server.mEntry.mZone.Text();
    const bool isEvacuated = mEvacuated.count(zone) != 0;
    if (isEvacuated != (mDirectory.mItems.count(ZoneKey(zone)) != 0)) {
      SetEvacuated(zone, isEvacuated);
    }
  }
}

void
RestoredFleet::CallDirectory(std::size_t aNode)
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
  const DirectoryCall call = node.mFollower.Next();
  const bool isRead = call.mKind == DirectoryCall::Kind::ReadAll;
  const Milliseconds wait = node.mFollower.Wait(mNow);
  if (IsCallLost(aNode)) {
    const Milliseconds after = mIsStopped ? mSettings.mAnswerTime
                               : isRead   ? kReadTimeout
                                          : wait + kCallTimeoutMargin;
    Schedule(mNow + after, [this, aNode, call]() {
      HandleAnswer(aNode, call, DirectoryError::Unreachable);
    });
  } else if (isRead) {
    // The answer is as old as the time that it takes.
    const DirectoryChanges contents = mDirectory.Contents();
    Schedule(mNow + mSettings.mAnswerTime, [this, aNode, call, contents]() {
      HandleAnswer(aNode, call, contents);
    });
  } else {
    Watch(aNode, call, mNow + wait);
  }
}

void
RestoredFleet::Watch(std::size_t aNode,
                     const DirectoryCall& aCall,
                     Timestamp aUntil)
{
  if (IsCut(aNode) || mIsStopped) {
    Schedule(aUntil + kCallTimeoutMargin, [this, aNode, aCall]() {
      HandleAnswer(aNode, aCall, DirectoryError::Unreachable);
    });
    return;
  }
  const DirectoryResult result =
    mDirectory.ChangesAfter(aCall.mPosition.mRevision);
  if (result && result.value().mChanges.empty() && mNow < aUntil) {
    Schedule(mNow + kWatchCheckInterval,
             [this, aNode, aCall, aUntil]() { Watch(aNode, aCall, aUntil); });
    return;
  }
  Schedule(mNow + mSettings.mAnswerTime, [this, aNode, aCall, result]() {
    HandleAnswer(aNode, aCall, result);
  });
}

void
RestoredFleet::CallForDocuments(std::size_t aNode)
{
  mCallCount += 1;
  const DocumentFollower& documents = mNodes[aNode].mDocuments;
  const DirectoryCall call = documents.Next();
  const bool isRead = call.mKind == DirectoryCall::Kind::ReadAll;
  if (IsCallLost(aNode)) {
    const Milliseconds after = mIsStopped ? mSettings.mAnswerTime
                               : isRead   ? kReadTimeout
                                        : documents.Wait() + kCallTimeoutMargin;
    Schedule(mNow + after, [this, aNode]() {
      HandleDocuments(aNode, DirectoryError::Unreachable);
    });
  } else if (isRead) {
    const DirectoryChanges contents = DocumentsOf(mDirectory.Contents());
    Schedule(mNow + mSettings.mAnswerTime,
             [this, aNode, contents]() { HandleDocuments(aNode, contents); });
  } else {
    WatchDocuments(aNode, call.mPosition, mNow + documents.Wait());
  }
}

void
RestoredFleet::WatchDocuments(std::size_t aNode,
                              const DirectoryPosition& aFrom,
                              Timestamp aUntil)
{
  if (IsCut(aNode) || mIsStopped) {
    Schedule(aUntil + kCallTimeoutMargin, [this, aNode]() {
      HandleDocuments(aNode, DirectoryError::Unreachable);
    });
    return;
  }
  DirectoryResult result = mDirectory.ChangesAfter(aFrom.mRevision);
  if (result) {
    result = DocumentsOf(result.value());
  }
  if (result && result.value().mChanges.empty() && mNow < aUntil) {
    // The next check begins where this one has ended.
    const DirectoryPosition checked = result.value().mPosition;
    Schedule(mNow + kDocumentCheckInterval, [this, aNode, checked, aUntil]() {
      WatchDocuments(aNode, checked, aUntil);
    });
    return;
  }
  Schedule(mNow + mSettings.mAnswerTime,
           [this, aNode, result]() { HandleDocuments(aNode, result); });
}

void
RestoredFleet::HandleDocuments(std::size_t aNode,
                               const DirectoryResult& aResult)
{
  Node& node = mNodes[aNode];
  node.mDocuments.RecordAnswer(aResult);
  if (aResult) {
    node.mFollower.RecordDocuments(aResult.value(), mNow);
  }
  Schedule(mNow + node.mDocuments.Next().mDelay,
           [this, aNode]() { CallForDocuments(aNode); });
}

void
RestoredFleet::ReadMissingDocument(std::size_t aNode)
{
  Node& node = mNodes[aNode];
  const auto& newest = node.mFollower.NewestDocument();
  const std::uint64_t version = newest ? newest->mVersion : 0;
  if (!node.mDocuments.TakeReadDue(version, mNow)) {
    return;
  }
  mCallCount += 1;
  if (!IsCallLost(aNode)) {
    const DirectoryChanges contents = DocumentsOf(mDirectory.Contents());
    Schedule(mNow + mSettings.mAnswerTime, [this, aNode, contents]() {
      mNodes[aNode].mFollower.RecordDocuments(contents, mNow);
    });
  }
}

void
RestoredFleet::HandleAnswer(std::size_t aNode,
                            const DirectoryCall& aCall,
                            const DirectoryResult& aResult)
{
  Node& node = mNodes[aNode];
  const FollowerUpdate update = aCall.mKind == DirectoryCall::Kind::ReadAll
                                  ? node.mFollower.RecordRead(aResult, mNow)
                                  : node.mFollower.RecordWatch(aResult, mNow);
  node.mPeers.SetHasLostDirectoryContact(node.mFollower.HasLostContact());
  node.mFollower.Backends().RemoveExpired(mNow);
  const bool isForOthers = update.mHasNewDocument ||
                           !update.mBackends.empty() || !update.mZones.empty();
  if (isForOthers && node.mPeers.IsReader(mNow)) {
    SendReports(aNode);
  }
  Schedule(mNow + node.mFollower.Next().mDelay,
           [this, aNode]() { CallDirectory(aNode); });
}

void
RestoredFleet::Report(std::size_t aNode)
{
  SendReports(aNode);
  Schedule(mNow + mNodes[aNode].mPeers.Interval(mNow),
           [this, aNode]() { Report(aNode); });
}

void
RestoredFleet::SendReports(std::size_t aNode)
{
  const std::vector<AddressedReport> reports =
    mNodes[aNode].mPeers.Reports(OwnReport(aNode), mNow);
  for (const AddressedReport& addressed : reports) {
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      const std::vector<std::string>& targets = addressed.mTargets;
      const bool isTarget =
        std::find(targets.begin(), targets.end(), mNodes[i].mAddress) !=
        targets.end();
      const bool isLost =
        IsCut(aNode) || IsCut(i) || IsLost(mSettings.mReportLossRate);
      if (isTarget && i != aNode && !isLost) {
        ReceiveReport(i, addressed.mReport);
      }
    }
  }
}

PeerReport
RestoredFleet::OwnReport(std::size_t aNode)
{
  Node& node = mNodes[aNode];
  PeerReport report;
  report.mAddress = node.mAddress;
  report.mSequence = ++node.mSequence;
  report.mHasLostDirectoryContact = node.mFollower.HasLostContact();
  report.mDirectoryDigest = node.mFollower.Digest();
  if (const auto& document = node.mFollower.NewestDocument()) {
    report.mDocumentVersion = document->mVersion;
  }
  report.mDirectoryPosition = node.mFollower.Position();
  report.mEraAge = node.mFollower.EraAge(mNow);
  report.mDirectoryAge =
    std::chrono::duration_cast<Milliseconds>(node.mFollower.Age(mNow));
  if (node.mPeers.IsReader(mNow)) {
    report.mRecentDelta = node.mFollower.RecentDelta(mNow);
  }
  return report;
}

void
RestoredFleet::ReceiveReport(std::size_t aNode, const PeerReport& aReport)
{
  Node& node = mNodes[aNode];
  if (!node.mPeers.Record(aReport, mNow)) {
    return;
  }
  node.mFollower.RecordPeerEra(
    aReport.mDirectoryPosition.mEra, aReport.mEraAge, mNow);
  node.mDocuments.RecordPeerVersion(aReport.mDocumentVersion, mNow);
  ReadMissingDocument(aNode);
  if (aReport.mRecentDelta) {
    node.mFollower.RecordRelayedDelta(*aReport.mRecentDelta, mNow);
    node.mFollower.RecordPeerState(
      aReport.mDirectoryPosition, aReport.mDirectoryDigest, mNow);
  }
}

std::set<std::string>
RestoredFleet::UsableAt(std::size_t aEntry) const
{
  std::set<std::string> ids;
  const BackendList& backends = mNodes[aEntry].mFollower.Backends();
  for (const ListedBackend* server : backends.Usable(kPool, mNow)) {
    ids.insert(server->mEntry.mId.Text());
  }
  return ids;
}

std::size_t
RestoredFleet::UserCount(const std::string& aId,
                         std::size_t aFirst,
                         std::size_t aEnd) const
{
  std::size_t count = 0;
  for (std::size_t i = aFirst; i < aEnd; ++i) {
    count += !IsCut(i) && UsableAt(i).count(aId) != 0 ? 1 : 0;
  }
  return count;
}

bool
RestoredFleet::IsAgreed() const
{
  const auto versionAt = [this](std::size_t aEntry) {
    const auto& document = mNodes[aEntry].mFollower.NewestDocument();
    return document ? document->mVersion : 0;
  };
  for (std::size_t i = 1; i < mNodes.size(); ++i) {
    if (UsableAt(i) != UsableAt(0) || versionAt(i) != versionAt(0) ||
        mNodes[i].mFollower.Digest() != mNodes[0].mFollower.Digest()) {
      return false;
    }
  }
  return true;
}

} // namespace medlarkeel
