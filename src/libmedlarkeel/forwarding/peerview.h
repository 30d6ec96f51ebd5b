#pragma once

#include "directorydelta.h"
#include "entryload.h"
#include "serverlimits.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace medlarkeel {

/** @return The hash that identifies a backend server in peer reports. */
std::uint32_t
ServerHash(const InstanceId& aId);

/** @return The hash that identifies an availability zone in peer reports; never
 * 0. */
std::uint32_t
ZoneHash(const ZoneName& aZone);

/** A shared part of a prompt that an entry sent to a backend server. */
struct SentPart
{
  /** Hash of the server's id. */
  std::uint32_t mServer = 0;
  /** Lower 32 bits of the part's id. */
  std::uint32_t mPart = 0;
};

/** An entry and its availability zone. */
struct ZoneMember
{
  /** IP address of the entry. */
  std::string mAddress;
  /** Hash of the zone's name; see ZoneHash(). */
  std::uint32_t mZone = 0;
  /** Time since an entry of that zone last received a report from it. */
  Milliseconds mAge{ 0 };
};

/** The combined load of several entries. */
struct LoadSum
{
  /** Age of the oldest report in the sum. */
  Milliseconds mAge{ 0 };
  EntryLoad mLoad;
  /** Shared parts of prompts that these entries sent recently. */
  std::vector<SentPart> mSent;
  /** Received reports in the sum; a report on another zone counts once. Not
   * sent to other entries. */
  std::size_t mReports = 0;
};

/** The state that one entry sends to its peers, the other entries. */
struct PeerReport
{
  /** IP address of the sender. */
  std::string mAddress;
  /** Increases with each report, also across restarts of the process. */
  std::uint64_t mSequence = 0;
  EntryLoad mLoad;
  /** Digest of the sender's copy of the directory, without the document. */
  std::uint64_t mDirectoryDigest = 0;
  /** Version of the newest document that the sender has read; 0 without one. */
  std::uint64_t mDocumentVersion = 0;
  /** Position of the sender's copy; its era is the latest that the sender
   * knows.
   */
  DirectoryPosition mDirectoryPosition;
  /** Time since that era became known to an entry. */
  Milliseconds mEraAge{ 0 };
  /** Whether the sender has lost contact with the directory. */
  bool mHasLostDirectoryContact = false;
  /** Time since the sender's last answer of the directory. */
  Milliseconds mDirectoryAge{ 0 };
  /** Last shared part of each prompt sent since the previous report. */
  std::vector<SentPart> mSent;
  /** Hash of the sender's availability zone. */
  std::uint32_t mZone = 0;
  /** Bandwidth of the sender's own link, in Mbit/s; 0 when it isn't known. */
  std::uint32_t mLinkMbps = 0;
  /** Set by the zone aggregators of a large fleet. A report to another zone has
   * the sum over the sender's zone; a report within the sender's zone has the
   * sum over the other zones. */
  std::optional<LoadSum> mSum;
  /** Used in large fleets: entries of the zones that the sum covers, or, in a
   * report to a new entry, all known entries. */
  std::vector<ZoneMember> mMembers;
  /** The sender reports to all entries that it knows, since there may be
   * entries that it hasn't discovered yet. */
  bool mIsBroadcast = false;
  /** The recent changes that the sender received from the directory. */
  std::optional<DirectoryDelta> mRecentDelta;
  /** Processes of backend servers that announced their shutdown to the sender.
   */
  std::vector<ProcessHash> mShuttingDownProcesses;
  /** Request limits of backend servers that the sender knows. */
  std::vector<ReportedLimit> mLimits;
  /** IP addresses of entries that the sender knows. Optional. */
  std::vector<std::string> mKnownAddresses;
};

/** A report and its recipients. */
struct AddressedReport
{
  PeerReport mReport;
  /** IP addresses of the recipients. */
  std::vector<std::string> mTargets;
};

/** Sizes and times of the exchange of reports between entries. */
struct PeerSettings
{
  /** Fleet size up to which each entry reports to every other one. In a larger
   * fleet, entries report within their zone, and the aggregator of each zone
   * exchanges load sums with the aggregators of the other zones. */
  std::size_t mMaximumMeshEntries = 40;
  /** Minimum time between two reports to one peer. It is a fraction of the time
   * that prompts wait at a loaded backend server. */
  Milliseconds mMinimumInterval{ 200 };
  /** Minimum report interval per entry. The interval grows with the number of
   * entries, which bounds the traffic of each entry. */
  Milliseconds mMinimumIntervalPerEntry{ 8 };
  /** Time without a report after which the load of a peer isn't counted. Three
   * report intervals apply instead if they are longer. */
  Milliseconds mLoadTimeout{ 1500 };
  /** Time without a report after which a peer no longer counts as a directory
   * reader. */
  Milliseconds mDirectoryReaderTimeout{ 5000 };
  /** Time without a report after which a member of a zone receives no more
   * reports and is no longer listed to other zones. It spans a few of the
   * rounds whose reports list entries. */
  Milliseconds mZoneMemberTimeout{ 10'000 };
  /** Time without a load sum from the aggregator of another zone after which
   * the sums are sent to other entries of that zone. */
  Milliseconds mZoneAggregatorTimeout{ 1500 };
  /** Time without a report after which a peer isn't counted as an entry. It is
   * longer than network partitions, since a peer that is cut off continues to
   * use its share of the limits. */
  Milliseconds mPeerTimeout{ 60'000 };
  /** Maximum age at which a peer's copy of the directory counts as fresh. */
  Milliseconds mMaximumDirectoryAge{ 1200 };
  /** Number of directory readers, the entries that call the
   * directory themselves. Several are needed so that the other entries still
   * notice a change when some readers are cut off or replaced. */
  std::size_t mDirectoryReaders = 4;
  /** Number of directory readers in each zone of a large fleet. When all of
   * them stop reporting, the other entries of the zone call the directory
   * themselves until others replace them. */
  std::size_t mDirectoryReadersPerZone = 2;
  /** Fleet size that is assumed until the discovery of entries is complete. */
  std::size_t mAssumedEntries = 32;
  /** Time after the start during which undiscovered entries are assumed.
   * Entries that start together only know a few seeds, whose reports arrive
   * within a second and whose addresses may be three seconds old. */
  Milliseconds mDiscoveryTime{ 3000 };
};

/**
 * @param aChangeBound Time within which a change of the directory must take
 * effect.
 * @return The default settings with a freshness limit that keeps this bound.
 */
PeerSettings
PeerSettingsFor(Milliseconds aChangeBound);

/** An entry's view of its peers: their number, loads and directory state. */
class PeerView
{
public:
  /**
   * @param aOwn IP address of this entry.
   * @param aSeeds IP addresses of entries that may be running.
   * @param aStartedAt When this entry started.
   * @param aZone Hash of this entry's availability zone. With 0 the entry
   * reports to all others at any fleet size.
   * @param aLinkMbps Bandwidth of this entry's own link, in Mbit/s; 0 when it
   * isn't known.
   */
  PeerView(const PeerSettings& aSettings,
           std::string aOwn,
           std::vector<std::string> aSeeds,
           Timestamp aStartedAt,
           std::uint32_t aZone = 0,
           std::uint32_t aLinkMbps = 0);

  /** Stores a report, unless it is this entry's own or older than the stored
   * one.
   * @return Whether the report was stored. */
  bool Record(const PeerReport& aReport, Timestamp aNow);

  /** @return IP addresses of all known entries except this one. */
  std::vector<std::string> Targets(Timestamp aNow) const;

  /** @return IP addresses of the entries that rely on the directory readers
   * among which this entry is. */
  std::vector<std::string> DeltaTargets(Timestamp aNow) const;

  /**
   * Builds the reports of the next round. Each prompt part in a load sum is
   * included in one round only.
   *
   * @param aOwn This entry's own state.
   * @return The reports of this round with their recipients.
   */
  std::vector<AddressedReport> Reports(const PeerReport& aOwn, Timestamp aNow);

  /** @return Whether this entry is the aggregator of its zone, which exchanges
   * load sums with other zones. */
  bool IsZoneAggregator(Timestamp aNow) const;

  /** @return Time between two rounds of reports. */
  Milliseconds Interval(Timestamp aNow) const;

  /** @return Number of entries that share the limits of the fleet, including
   * this one and assumed ones. */
  std::size_t EntryCount(Timestamp aNow) const;

  /**
   * Ranks the entries by rendezvous hash to select those that may send to a
   * backend server. While there may be undiscovered entries, on average fewer
   * than aCount entries consider themselves selected.
   *
   * @param aCount Number of entries that may send to the server.
   * @return Whether this entry is selected.
   */
  bool IsSelectedForServer(const InstanceId& aServer,
                           std::size_t aCount,
                           Timestamp aNow) const;

  /** @return Whether entries may be running that this one hasn't discovered. */
  bool IsDiscovering(Timestamp aNow) const;

  /** @return Number of entries that seem to be running, including this one. */
  std::size_t RunningCount(Timestamp aNow) const;

  /**
   * Ranks the entries by rendezvous hash as issuers of permits for a backend
   * server.
   *
   * @return IP addresses of this entry and of all that seem to be running, in
   * rank order.
   */
  std::vector<std::string> RankedIssuers(ProcessHash aProcess,
                                         Timestamp aNow) const;

  /**
   * Gives the part of a server's limit that this entry may issue permits for.
   * The entry that ranks first among all known ones issues for the entries that
   * seem to be running. Any other one issues only for those that ask it, since
   * the first one may still issue permits for the others.
   *
   * @param aRequesters Number of entries that ask this one for permits,
   * including this one if it uses permits itself.
   * @return A share of 1 at most.
   */
  double IssuableShare(ProcessHash aProcess,
                       std::size_t aRequesters,
                       Timestamp aNow) const;

  /**
   * Checks whether this entry's copy of the directory is up to date, so that it
   * can skip a call. Only the reports of directory readers count, since the
   * other entries get their state from the readers.
   *
   * @param aDigest Digest of this entry's copy of the directory.
   * @param aPosition Position of this entry's copy.
   * @return Whether a reader with fresh state has the same digest and no reader
   * with fresh state has another digest and a later position or era. Always
   * false if this entry is a reader itself.
   */
  bool CanSkipDirectoryCall(std::uint64_t aDigest,
                            const DirectoryPosition& aPosition,
                            Timestamp aNow) const;

  /** @param aIsLost Whether this entry has lost contact with the directory. */
  void SetHasLostDirectoryContact(bool aIsLost)
  {
    mHasLostDirectoryContact = aIsLost;
  }

  /** @return Whether this entry is a directory reader. */
  bool IsReader(Timestamp aNow) const;

  /** @return The combined load of all peers, without prompt parts. */
  LoadSum TotalPeerLoad(Timestamp aNow) const;

  /** @return The combined prompt demand of all peers. */
  PromptDemand PeerDemand(Timestamp aNow) const;

  /** @return The combined server loads of all peers. */
  ServerLoads PeerLoads(Timestamp aNow) const;

private:
  /**
   * @param aKnown Number of known entries, including this one.
   * @return Assumed number of entries that aren't discovered yet.
   */
  std::size_t UndiscoveredCount(std::size_t aKnown, Timestamp aNow) const;

  /** @return Number of directory readers: in the fleet if all entries report to
   * each other, otherwise in each zone. */
  std::size_t ReaderCount(Timestamp aNow) const;

  /** @return Live peers that haven't reported lost contact with the directory.
   */
  std::vector<std::string> ReaderCandidates(Timestamp aNow) const;

  /** Order in which entries become directory readers, the greatest first. All
   * renewals of all backend servers pass a reader's link, so the fastest links
   * come first. */
  using ReaderRank = std::pair<std::uint32_t, std::uint64_t>;
  static ReaderRank ReaderRankOf(const std::string& aAddress,
                                 std::uint32_t aLinkMbps);

  /** @return The directory readers among the peers. */
  std::set<std::string> PeerReaders(Timestamp aNow) const;

  /** @return Peers that sent a report recently: of the fleet if all entries
   * report to each other, otherwise of this entry's zone. */
  std::vector<std::string> LivePeers(Timestamp aNow) const;

  struct Peer;
  /** @return Whether the peer seems to be running: it sent a report, or is
   * listed by others if it doesn't report to this entry. */
  bool IsRunning(const Peer& aPeer, Timestamp aNow) const;

  /** @return Age after which reported loads aren't counted. */
  Microseconds LoadTimeout(Timestamp aNow) const;

  /** @return Whether this entry reports to all others instead of to its zone.
   */
  bool IsMesh(Timestamp aNow) const;

  /** @return Number of known entries except this one; see Targets(). */
  std::size_t KnownPeerCount(Timestamp aNow) const;

  /** @return Other entries that may be running and are, or may be, in this
   * entry's zone. */
  std::vector<std::string> ZoneMembers(Timestamp aNow) const;

  /** @return For each other zone, the entry that is presumed to be its
   * aggregator.
   */
  std::vector<std::string> OtherZoneAggregators(Timestamp aNow) const;

  /** Queues the prompt parts of a report that this entry forwards if it is the
   * zone aggregator. */
  void QueueParts(const PeerReport& aReport);
  /** @return The sum of the loads that peers reported for themselves. */
  LoadSum SumOfPeers(Timestamp aNow, bool aOwnZoneOnly) const;
  /** @return The sum of the loads of all other zones. */
  LoadSum SumOfZones(Timestamp aNow) const;
  /** @return The report for this entry's zone. */
  PeerReport ReportForZone(const PeerReport& aOwn, Timestamp aNow);
  /** @return The report of a zone aggregator for the other zones. */
  PeerReport ReportForOtherZones(const PeerReport& aOwn, Timestamp aNow);
  /** @return A report that lists all known entries, for entries that have just
   * started. */
  PeerReport ReportForNewEntries(const PeerReport& aOwn, Timestamp aNow) const;

  /** @return How many of the targets rank before this entry in the rendezvous
   * hash order of a key. */
  std::size_t CountRankedBefore(std::uint64_t aKey,
                                const std::vector<std::string>& aTargets) const;

  struct Peer
  {
    Timestamp mHeardAt;
    std::uint64_t mSequence = 0;
    EntryLoad mLoad;
    std::uint32_t mZone = 0;
    std::uint32_t mLinkMbps = 0;
    std::optional<LoadSum> mSum;
    /** When the sum was received. */
    Timestamp mSumAt;
    std::uint64_t mDirectoryDigest = 0;
    DirectoryPosition mDirectoryPosition;
    bool mHasLostDirectoryContact = false;
    /** When the peer last received an answer of the directory. */
    Timestamp mDirectoryHeardAt;
  };

  PeerSettings mSettings;
  std::string mOwn;
  std::vector<std::string> mSeeds;
  Timestamp mStartedAt;
  std::uint32_t mZone;
  std::uint32_t mLinkMbps;
  /** Prompt parts sent in this entry's zone, to forward to other zones. */
  std::vector<SentPart> mOwnZoneParts;
  /** Prompt parts sent in other zones, to forward within this entry's zone. */
  std::vector<SentPart> mOtherZoneParts;
  /** Entries of other zones that may know few other entries. */
  std::set<std::string> mNewEntries;
  /** Number of report rounds so far. */
  std::uint64_t mRounds = 0;
  bool mHasLostDirectoryContact = false;
  /** Known entries by IP address. */
  std::map<std::string, Peer> mPeers;
};

} // namespace medlarkeel
