#pragma once

#include "directorynews.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace medlarkeel {

/** What an entry has in progress at a backend server. */
struct ServerLoad
{
  std::uint32_t mRequests = 0;
  /** Estimated prompt tokens that the server hasn't read yet. */
  std::uint32_t mUnreadTokens = 0;
};

/** Prompt tokens that were to be read lately, weighted by age. */
struct PromptDemand
{
  double mShortTokens = 0.0;
  double mLongTokens = 0.0;
};

/** Loads by the hash of the backend server's id. */
using ServerLoads = std::unordered_map<std::uint32_t, ServerLoad>;

/** @return The hash by which entries name a backend server to each other. */
std::uint32_t
ServerHash(const InstanceId& aId);

/** @return The hash by which entries name an availability zone to each other;
 * never 0. */
std::uint32_t
ZoneHash(const ZoneName& aZone);

/** A shared part of a prompt that was sent to a backend server. */
struct SentPart
{
  /** Hash of the server's id. */
  std::uint32_t mServer = 0;
  /** Lower half of the part's id. */
  std::uint32_t mPart = 0;
};

/** An entry and its availability zone. */
struct ZoneMember
{
  /** IP number. */
  std::string mAddress;
  /** Hash of the zone's name. */
  std::uint32_t mZone = 0;
  /** Time since an entry of that zone heard of it. */
  Milliseconds mAge{ 0 };
};

/** What several entries have in progress together. */
struct LoadSum
{
  /** Age of the oldest part. */
  Milliseconds mAge{ 0 };
  ServerLoads mLoads;
  PromptDemand mDemand;
  /** Parts that they sent lately. */
  std::vector<SentPart> mSent;
};

/** What one entry tells the others. */
struct PeerReport
{
  /** IP number of the sender. */
  std::string mAddress;
  /** Rises with each report of one life of a process, and between lives. */
  std::uint64_t mSequence = 0;
  ServerLoads mLoads;
  PromptDemand mDemand;
  /** Digest of the directory as the sender knows it. */
  std::uint64_t mDirectoryDigest = 0;
  /** Revision up to which the sender knows the directory. */
  std::uint64_t mDirectoryRevision = 0;
  /** The sender doesn't reach the directory. */
  bool mIsDirectoryLost = false;
  /** Time since the sender last heard from the directory. */
  Milliseconds mDirectoryAge{ 0 };
  /** Last shared parts of prompts that were sent since the last report. */
  std::vector<SentPart> mSent;
  /** Hash of the sender's availability zone. */
  std::uint32_t mZone = 0;
  /** In a large fleet: sum over the sender's zone, for other zones; or over
   * the other zones, for its own. */
  std::optional<LoadSum> mSum;
  /** In a large fleet: entries that go with that sum. */
  std::vector<ZoneMember> mMembers;
  /** The sender reports to all it knows, as it may not know all yet. */
  bool mIsForAll = false;
  /** What the sender learned from the directory lately. */
  std::optional<DirectoryNews> mNews;
  /** Servers that told the sender that they are shutting down. */
  std::vector<BootHash> mLeaving;
  /** IP numbers of entries that the sender knows; may be left out. */
  std::vector<std::string> mKnown;
};

/** A report and whom it is for. */
struct AddressedReport
{
  PeerReport mReport;
  std::vector<std::string> mTargets;
};

struct PeerSettings
{
  /** Entries up to which each reports to each other one. Beyond, entries report
   * within their zone, and one of each zone exchanges sums with the others. */
  std::size_t mMeshEntries = 40;
  /** Shortest time between two reports to one peer: a fraction of the time
   * that prompts wait at a loaded server. */
  Milliseconds mLeastInterval{ 200 };
  /** Added for each entry, so that the traffic of an entry stays bounded. */
  Milliseconds mIntervalPerEntry{ 8 };
  /** Time after which the load of a silent peer isn't counted, or three
   * intervals if they are longer. */
  Milliseconds mLoadLife{ 1500 };
  /** Time after which a silent peer isn't taken for one that follows the
   * directory. */
  Milliseconds mReaderLife{ 5000 };
  /** Time after which a silent member of a zone is no longer reported to, and
   * not told of to other zones: a few rounds in which entries are named. */
  Milliseconds mMemberLife{ 10'000 };
  /** Time after which another entry of a zone is tried for its sums. */
  Milliseconds mSpeakerLife{ 1500 };
  /** Time after which a silent peer isn't counted as an entry: longer than
   * partitions, during which it goes on using its share of limits. */
  Milliseconds mPeerLife{ 60'000 };
  /** Age up to which a peer's knowledge of the directory is fresh. */
  Milliseconds mFreshDirectory{ 1200 };
  /** Entries that follow the directory themselves, so that the others notice a
   * change although some are cut off or replaced. */
  std::size_t mDirectoryReaders = 4;
  /** The same for each zone of a large fleet; when it falls silent, the others
   * of its zone call until another one takes its place. */
  std::size_t mZoneReaders = 1;
  /** Entries that are assumed before all can have been heard of. */
  std::size_t mAssumedEntries = 32;
  /** Time after the start in which more entries than were heard of are
   * assumed: entries that start together know a few seeds only, whose reports
   * come within a second and whose addresses may be three seconds old. */
  Milliseconds mLearnTime{ 3000 };
};

/** @param aChangeBound Time in which a change of the directory must be in
 * force. */
PeerSettings
PeerSettingsFor(Milliseconds aChangeBound);

/** What an entry knows of the others: how many there are and their loads. */
class PeerView
{
public:
  /**
   * @param aOwn The own IP number.
   * @param aSeeds IP numbers of entries that may be up.
   * @param aStartedAt When this entry started.
   * @param aZone Hash of its availability zone; 0: reports to all.
   */
  PeerView(const PeerSettings& aSettings,
           std::string aOwn,
           std::vector<std::string> aSeeds,
           Timestamp aStartedAt,
           std::uint32_t aZone = 0);

  /** Takes a report over. @return Whether it is newer than the known one. */
  bool Record(const PeerReport& aReport, Timestamp aNow);

  /** @return The entries that are known, but for this one. */
  std::vector<std::string> Targets(Timestamp aNow) const;

  /**
   * @param aOwn What this entry does itself.
   * @return The reports of this round. Parts of sums are handed out once.
   */
  std::vector<AddressedReport> Reports(const PeerReport& aOwn, Timestamp aNow);

  /** @return Whether this entry exchanges sums for its zone. */
  bool IsSpeaker(Timestamp aNow) const;

  /** @return Pause between two rounds of reports. */
  Milliseconds Interval(Timestamp aNow) const;

  /** @return Entries that share the limits of the fleet, this one included. */
  std::size_t EntryCount(Timestamp aNow) const;

  /**
   * Tells whether this entry is among the few that may send to a server. Where
   * entries may be up that weren't heard of, fewer take themselves for one of
   * the first than there are.
   *
   * @param aCount How many may be among the first.
   */
  bool IsAmongFirst(const InstanceId& aServer,
                    std::size_t aCount,
                    Timestamp aNow) const;

  /**
   * Tells whether calling the directory would bring nothing new. Only the
   * entries that follow the directory count: the others learn from them.
   *
   * @param aDigest Digest of what this entry knows.
   * @param aRevision Revision up to which it knows the directory.
   * @return Whether others follow the directory, heard from it just now, and
   * know the same, and none of them knows something newer.
   */
  bool MayRelyOnOthers(std::uint64_t aDigest,
                       std::uint64_t aRevision,
                       Timestamp aNow) const;

  /** Notes whether this entry reaches the directory. */
  void SetDirectoryLost(bool aIsLost) { mIsDirectoryLost = aIsLost; }

  /** @return Whether this entry is one that follows the directory. */
  bool IsReader(Timestamp aNow) const;

  /** @return What all other entries do together. */
  LoadSum Others(Timestamp aNow) const;

  /** @return The sum of the other entries' demand. */
  PromptDemand OtherDemand(Timestamp aNow) const;

  /** @return The sum of what the other entries have in progress. */
  ServerLoads OtherLoads(Timestamp aNow) const;

private:
  /**
   * @param aKnown Entries that were heard of, this one included.
   * @return Entries that may be up besides.
   */
  std::size_t UnknownCount(std::size_t aKnown, Timestamp aNow) const;

  std::size_t ReaderCount(Timestamp aNow) const;

  /** @return Live peers that reach the directory, as far as is known. */
  std::vector<std::string> PossibleReaders(Timestamp aNow) const;

  /** @return The other entries that follow the directory. */
  std::set<std::string> Readers(Timestamp aNow) const;

  /** @return The peers that were heard of lately. */
  std::vector<std::string> LivePeers(Timestamp aNow) const;

  Microseconds LoadLife(Timestamp aNow) const;

  /** @return Whether each entry reports to each other one. */
  bool IsMesh(Timestamp aNow) const;

  /** @return How many other entries are known. */
  std::size_t KnownCount(Timestamp aNow) const;

  /** @return Entries that are or may be of the own zone and may be up. */
  std::vector<std::string> ZoneMembers(Timestamp aNow) const;

  /** @return One entry of each other zone that is taken for its speaker. */
  std::vector<std::string> OtherSpeakers(Timestamp aNow) const;

  /** Keeps parts that have to be passed on. */
  void RecordParts(const PeerReport& aReport);
  LoadSum SumOfPeers(Timestamp aNow, bool aOwnZoneOnly) const;
  /** @return What the other zones have in progress. */
  LoadSum SumOfZones(Timestamp aNow) const;
  PeerReport ReportForZone(const PeerReport& aOwn, Timestamp aNow);
  PeerReport ReportForOthers(const PeerReport& aOwn, Timestamp aNow);
  /** @return A report that names all entries to those that have just begun. */
  PeerReport ReportForNewcomers(const PeerReport& aOwn, Timestamp aNow) const;

  /** @return How many of the targets come before this entry for a key. */
  std::size_t CountBefore(std::uint64_t aKey,
                          const std::vector<std::string>& aTargets) const;

  struct Peer
  {
    Timestamp mHeardAt;
    std::uint64_t mSequence = 0;
    ServerLoads mLoads;
    PromptDemand mDemand;
    std::uint32_t mZone = 0;
    std::optional<LoadSum> mSum;
    /** When the sum was told. */
    Timestamp mSumAt;
    std::uint64_t mDirectoryDigest = 0;
    std::uint64_t mDirectoryRevision = 0;
    bool mIsDirectoryLost = false;
    /** When the peer last heard from the directory. */
    Timestamp mDirectoryHeardAt;
  };

  PeerSettings mSettings;
  std::string mOwn;
  std::vector<std::string> mSeeds;
  Timestamp mStartedAt;
  std::uint32_t mZone;
  /** Parts to pass on, heard in the own zone and from other zones. */
  std::vector<SentPart> mZoneParts;
  std::vector<SentPart> mOtherParts;
  /** Entries of other zones that may know few others. */
  std::set<std::string> mNewcomers;
  std::uint64_t mRounds = 0;
  bool mIsDirectoryLost = false;
  std::map<std::string, Peer> mPeers;
};

} // namespace medlarkeel
