#include "fleet.h"

#include "../../tests/core/fleetfixture.h"

#include "fleetview.h"
#include "gossippeers.h"
#include "instancelistparser.h"
#include "limitmessage.h"
#include "rangeownership.h"
#include "readerchoice.h"
#include "sha256.h"
#include "wireconversion.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <unordered_map>

namespace medlarkeel {

namespace {

using Json = nlohmann::json;

/** Peers of a process in the daemon. */
constexpr std::size_t kPeers = 6;
constexpr std::size_t kReadersPerRegion = 3;
constexpr std::size_t kFleetSizes[] = { 33, 100, 330, 1000, 3310 };

/** A fleet with an entry for every seven agents, as at the size ahead. */
FleetSize
SizeOf(std::size_t aProcesses)
{
  const std::size_t entries = std::max<std::size_t>(1, aProcesses * 410 / 3310);
  return FleetSize{ 6, 3, entries, aProcesses - entries, 11 };
}

InstanceList
ListOf(std::size_t aProcesses)
{
  InstanceList list = MakeFleet(SizeOf(aProcesses), 1);
  std::size_t port = 10'000;
  for (InstanceRecord& record : list.mInstances) {
    record.mAddress = "10.120.130.140:" + std::to_string(++port);
  }
  return list;
}

std::string
TextOf(const InstanceList& aList)
{
  Json instances = Json::array();
  for (const InstanceRecord& record : aList.mInstances) {
    const bool isAgent = record.mRole == InstanceRole::Agent;
    Json instance{ { "id", record.mId.Text() },
                   { "role", isAgent ? "agent" : "entry" },
                   { "state", "live" },
                   { "zone", record.mZone.Text() },
                   { "region", record.mRegion.Text() },
                   { "address", record.mAddress } };
    if (isAgent) {
      instance["pool"] = record.mPool.Text();
    }
    instances.push_back(std::move(instance));
  }
  return Json{
    { "revision", aList.mRevision }, { "instances", instances }
  }.dump();
}

/** The directed graph of the announcements of all processes. */
class PeerGraph
{
public:
  explicit PeerGraph(const InstanceList& aList)
    : mPeers(aList.mInstances.size())
  {
    std::unordered_map<InstanceId, std::size_t> index;
    for (const InstanceRecord& record : aList.mInstances) {
      index.emplace(record.mId, index.size());
    }
    for (std::size_t self = 0; self < mPeers.size(); ++self) {
      const InstanceId& id = aList.mInstances[self].mId;
      const RegionName& region = aList.mInstances[self].mRegion;
      for (const InstanceRecord& peer :
           ChooseGossipPeers(id, region, aList, kPeers)) {
        mPeers[self].push_back(index.at(peer.mId));
      }
      mIsReader.push_back(IsReader(id, aList, kReadersPerRegion));
      mRegions.push_back(aList.mInstances[self].mRegion);
    }
  }

  std::size_t MostIncoming() const
  {
    std::vector<std::size_t> incoming(mPeers.size());
    std::size_t most = 0;
    for (const auto& peers : mPeers) {
      for (const std::size_t peer : peers) {
        most = std::max(most, ++incoming[peer]);
      }
    }
    return most;
  }

  /** A change as it spreads from the readers, in rounds of announcements. */
  struct Spread
  {
    std::size_t mRounds = 0;
    /** Texts sent to a process that lacked them when the round began. */
    std::size_t mTexts = 0;
    std::size_t mMissed = 0;
  };

  Spread SpreadChange() const
  {
    std::vector<char> knows(mIsReader.begin(), mIsReader.end());
    std::vector<std::size_t> fresh;
    for (std::size_t self = 0; self < knows.size(); ++self) {
      if (mIsReader[self]) {
        fresh.push_back(self);
      }
    }
    Spread spread;
    while (!fresh.empty()) {
      fresh = Round(fresh, knows, spread);
    }
    spread.mMissed = static_cast<std::size_t>(
      std::count(knows.begin(), knows.end(), char{ 0 }));
    return spread;
  }

  /** @return Processes that no exchange with a reader's news ever reaches,
   *          in either direction, while all regions are apart. */
  std::size_t MissedWhileApart() const
  {
    std::vector<bool> knows = mIsReader;
    bool grows = true;
    while (grows) {
      grows = false;
      for (std::size_t self = 0; self < mPeers.size(); ++self) {
        for (const std::size_t peer : mPeers[self]) {
          if (mRegions[self] == mRegions[peer] && knows[self] != knows[peer]) {
            knows[self] = true;
            knows[peer] = true;
            grows = true;
          }
        }
      }
    }
    return static_cast<std::size_t>(
      std::count(knows.begin(), knows.end(), false));
  }

private:
  std::vector<std::size_t> Round(const std::vector<std::size_t>& aFresh,
                                 std::vector<char>& aKnows,
                                 Spread& aSpread) const
  {
    const std::vector<char> before = aKnows;
    std::vector<std::size_t> reached;
    for (const std::size_t self : aFresh) {
      for (const std::size_t peer : mPeers[self]) {
        aSpread.mTexts += before[peer] ? 0 : 1;
        if (!aKnows[peer]) {
          aKnows[peer] = 1;
          reached.push_back(peer);
        }
      }
    }
    aSpread.mRounds += reached.empty() ? 0 : 1;
    return reached;
  }

  std::vector<std::vector<std::size_t>> mPeers;
  std::vector<bool> mIsReader;
  std::vector<RegionName> mRegions;
};

wire::PeerMessage
EmptyMessage()
{
  wire::PeerMessage message;
  message.set_sender("agent-1234");
  message.set_incarnation(1'796'000'000'000'000ULL);
  return message;
}

wire::PeerMessage
StampedMessage()
{
  wire::PeerMessage message = EmptyMessage();
  const DocumentStamp stamp{ 16'000, 160'000, Sha256Hex("text") };
  FillStamp(stamp, Milliseconds(1500), *message.mutable_configuration());
  return message;
}

wire::PeerMessage
LimitsMessage()
{
  wire::PeerMessage message = EmptyMessage();
  LimitMessage limit;
  limit.mFrom = InstanceId("entry-123");
  limit.mTo = InstanceId("entry-234");
  limit.mKind = LimitMessageKind::Grant;
  limit.mTransferId = 123'456;
  limit.mTeam = TeamName("team-11234");
  limit.mTokens = 3 * kWholeToken;
  limit.mLease = Seconds(5);
  limit.mListRevision = 16'000;
  limit.mListAge = Milliseconds(600);
  FillLimit(limit, *message.add_limits());
  return message;
}

double
Bytes(const wire::PeerMessage& aMessage)
{
  return static_cast<double>(aMessage.ByteSizeLong());
}

/** What one reading of the list costs, unchanged or with one change. */
template<typename Observer>
Cost
MeasureReadings(Observer& aObserver, InstanceList aList, bool aChanges)
{
  Timestamp now{ Seconds(1000) };
  return MeasureCost([&] {
    now += Seconds(1);
    if (aChanges) {
      InstanceState& state = aList.mInstances.back().mState;
      state = state == InstanceState::Live ? InstanceState::Leaving
                                           : InstanceState::Live;
      ++aList.mRevision;
    }
    aObserver.ObserveList(aList, now, now);
  });
}

/** The ownership of an agent's claims, with the interface of the others. */
class AgentOwnership
{
public:
  explicit AgentOwnership(const InstanceRecord& aAgent)
    : mOwnership(aAgent.mId, {}, { InstanceRole::Agent, aAgent.mPool })
  {
  }

  void ObserveList(const InstanceList& aList, Timestamp aSentAt, Timestamp aNow)
  {
    mOwnership.Observe(aList, aSentAt, aNow);
  }

private:
  RangeOwnership mOwnership;
};

std::vector<Figure>
ReadingFigures(const FleetSize& aSize, const InstanceList& aList)
{
  FleetView view(SettingsOfEntry(aSize, 0));
  view.SetZones(MakeZones(aSize), Timestamp{ Seconds(1) });
  AgentOwnership ownership(aList.mInstances.back());
  const Cost same = MeasureReadings(view, aList, false);
  const Cost changed = MeasureReadings(view, aList, true);
  const Cost owned = MeasureReadings(ownership, aList, true);
  return { { "entry_unchanged_us", same.mMicroseconds },
           { "entry_changed_us", changed.mMicroseconds },
           { "agent_changed_us", owned.mMicroseconds } };
}

} // namespace

std::vector<MeasuredRow>
MeasureGossip()
{
  std::vector<MeasuredRow> rows;
  for (const std::size_t processes : kFleetSizes) {
    const InstanceList list = ListOf(processes);
    const InstanceRecord& self = list.mInstances.back();
    const Cost choose = MeasureCost(
      [&] { ChooseGossipPeers(self.mId, self.mRegion, list, kPeers); });
    const PeerGraph graph(list);
    const PeerGraph::Spread spread = graph.SpreadChange();
    const double texts =
      static_cast<double>(spread.mTexts) / static_cast<double>(processes);
    rows.push_back(
      { "gossip",
        "processes",
        processes,
        { { "choose_us", choose.mMicroseconds },
          { "most_incoming", static_cast<double>(graph.MostIncoming()) },
          { "rounds", static_cast<double>(spread.mRounds) },
          { "texts_per_process", texts },
          { "not_reached", static_cast<double>(spread.mMissed) },
          { "not_reached_apart",
            static_cast<double>(graph.MissedWhileApart()) } } });
  }
  return rows;
}

std::vector<MeasuredRow>
MeasureMessages()
{
  const wire::PeerMessage plain = StampedMessage();
  wire::PeerMessage load = plain;
  LoadSnapshot snapshot;
  snapshot.mRunning = 14;
  snapshot.mQueued = 3;
  snapshot.mLimit = 16;
  snapshot.mQueueDelay = Milliseconds(120);
  FillLoad(snapshot, *load.mutable_load());
  const std::string text = load.SerializeAsString();
  const Cost encode = MeasureCost([&] { load.SerializeAsString(); });
  const Cost decode = MeasureCost([&] {
    wire::PeerMessage message;
    message.ParseFromString(text);
  });
  return { { "message",
             "messages",
             1,
             { { "stamp_bytes", Bytes(plain) },
               { "load_bytes", Bytes(load) },
               { "limit_bytes", Bytes(LimitsMessage()) },
               { "encode_us", encode.mMicroseconds },
               { "decode_us", decode.mMicroseconds } } } };
}

std::vector<MeasuredRow>
MeasureLists()
{
  std::vector<MeasuredRow> rows;
  for (const std::size_t processes : kFleetSizes) {
    const InstanceList list = ListOf(processes);
    const std::string text = TextOf(list);
    const Cost parse = MeasureCost([&] { ParseInstanceList(text).value(); });
    const std::size_t heap = HeapOf([&] {
      return std::make_unique<InstanceList>(ParseInstanceList(text).value());
    });
    MeasuredRow row{ "list", "processes", processes, {} };
    row.mFigures = ReadingFigures(SizeOf(processes), list);
    row.mFigures.push_back({ "text_bytes", static_cast<double>(text.size()) });
    row.mFigures.push_back({ "parse_us", parse.mMicroseconds });
    row.mFigures.push_back({ "heap_bytes", static_cast<double>(heap) });
    rows.push_back(std::move(row));
  }
  return rows;
}

} // namespace medlarkeel
