#include "peerreportcodec.h"

#include "../libmedlarkeel/settings.h"
#include "permitcodec.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace medlarkeel {

namespace {

using Json = nlohmann::json;

/** Kinds of changes that are told. */
constexpr int kBackend = 0;
constexpr int kRemoval = 1;
constexpr int kZone = 2;

/** Prompt tokens are told in units of this size. */
constexpr std::uint32_t kTokenUnit = 32;

/** Bytes of one load: the server's hash, requests and units of tokens. */
constexpr std::size_t kHashBytes = 4;
constexpr std::size_t kRequestBytes = 2;
constexpr std::size_t kUnitBytes = 2;
constexpr std::size_t kLoadBytes = kHashBytes + kRequestBytes + kUnitBytes;
constexpr std::uint32_t kMostInTwoBytes = 0xffff;
constexpr unsigned kBitsPerByte = 8;
constexpr std::uint32_t kByteMask = 0xff;

/** Whole numbers take fewer bytes. */
std::uint64_t
Rounded(double aTokens)
{
  return static_cast<std::uint64_t>(std::max(0.0, aTokens));
}

void
AppendNumber(Json::binary_t& aBytes, std::uint32_t aNumber, std::size_t aSize)
{
  for (std::size_t i = 0; i < aSize; ++i) {
    aBytes.push_back(
      static_cast<std::uint8_t>((aNumber >> (kBitsPerByte * i)) & kByteMask));
  }
}

std::uint32_t
ReadNumber(const Json::binary_t& aBytes, std::size_t& aPlace, std::size_t aSize)
{
  std::uint32_t number = 0;
  for (std::size_t i = 0; i < aSize; ++i) {
    number |= static_cast<std::uint32_t>(aBytes.at(aPlace++))
              << (kBitsPerByte * i);
  }
  return number;
}

Json
EncodeLoads(const ServerLoads& aLoads)
{
  Json::binary_t bytes;
  for (const auto& [server, load] : aLoads) {
    AppendNumber(bytes, server, kHashBytes);
    AppendNumber(
      bytes, std::min(load.mRequests, kMostInTwoBytes), kRequestBytes);
    AppendNumber(bytes,
                 std::min(load.mPrefillTokens / kTokenUnit, kMostInTwoBytes),
                 kUnitBytes);
  }
  return Json::binary(std::move(bytes));
}

ServerLoads
DecodeLoads(const Json& aLoads)
{
  const Json::binary_t& bytes = aLoads.get_binary();
  ServerLoads loads;
  std::size_t place = 0;
  while (place + kLoadBytes <= bytes.size()) {
    ServerLoad& load = loads[ReadNumber(bytes, place, kHashBytes)];
    load.mRequests = ReadNumber(bytes, place, kRequestBytes);
    load.mPrefillTokens = ReadNumber(bytes, place, kUnitBytes) * kTokenUnit;
  }
  return loads;
}

Json
EncodeChange(const BackendEntry& aEntry)
{
  Json started;
  if (aEntry.mStartedAt) {
    started = aEntry.mStartedAt->count();
  }
  return { kBackend,
           aEntry.mId.Text(),
           aEntry.mPool.Text(),
           aEntry.mEndpoint.mAddress,
           aEntry.mEndpoint.mPort,
           aEntry.mZone.Text(),
           aEntry.mIsDraining,
           aEntry.mColdRemaining.count(),
           aEntry.mSlots,
           started,
           aEntry.mRevision };
}

Json
EncodeChange(const BackendRemoval& aRemoval)
{
  return { kRemoval, aRemoval.mId.Text(), aRemoval.mRevision };
}

Json
EncodeChange(const ZoneEvacuation& aZone)
{
  return { kZone, aZone.mZone.Text(), aZone.mIsEvacuated, aZone.mRevision };
}

/** Reads the values of an array one after the other. */
class ArrayReader
{
public:
  explicit ArrayReader(const Json& aArray)
    : mArray(aArray)
  {
  }

  template<typename Value>
  Value Next()
  {
    return mArray.at(mPlace++).get<Value>();
  }

  bool NextIsNull() const { return mArray.at(mPlace).is_null(); }

private:
  const Json& mArray;
  std::size_t mPlace = 1;
};

RelayedChange
DecodeChange(const Json& aChange)
{
  ArrayReader reader(aChange);
  switch (aChange.at(0).get<int>()) {
    case kBackend: {
      BackendEntry entry;
      entry.mId = InstanceId(reader.Next<std::string>());
      entry.mPool = PoolName(reader.Next<std::string>());
      entry.mEndpoint.mAddress = reader.Next<std::string>();
      entry.mEndpoint.mPort = reader.Next<std::uint16_t>();
      entry.mZone = ZoneName(reader.Next<std::string>());
      entry.mIsDraining = reader.Next<bool>();
      entry.mColdRemaining = Milliseconds(reader.Next<std::int64_t>());
      entry.mSlots = reader.Next<std::uint32_t>();
      if (reader.NextIsNull()) {
        reader.Next<std::nullptr_t>();
      } else {
        entry.mStartedAt = Milliseconds(reader.Next<std::int64_t>());
      }
      entry.mRevision = reader.Next<std::uint64_t>();
      if (!IsIpNumber(entry.mEndpoint.mAddress)) {
        throw std::invalid_argument("invalid address");
      }
      return entry;
    }
    case kRemoval: {
      BackendRemoval removal;
      removal.mId = InstanceId(reader.Next<std::string>());
      removal.mRevision = reader.Next<std::uint64_t>();
      return removal;
    }
    case kZone: {
      ZoneEvacuation zone;
      zone.mZone = ZoneName(reader.Next<std::string>());
      zone.mIsEvacuated = reader.Next<bool>();
      zone.mRevision = reader.Next<std::uint64_t>();
      return zone;
    }
    default:
      throw std::invalid_argument("unknown change");
  }
}

Json
EncodeNews(const DirectoryDelta& aNews)
{
  Json changes = Json::array();
  for (const RelayedChange& change : aNews.mChanges) {
    changes.push_back(std::visit(
      [](const auto& aChange) { return EncodeChange(aChange); }, change));
  }
  return { { "f", aNews.mFrom },
           { "t", aNews.mTo },
           { "c", std::move(changes) } };
}

DirectoryDelta
DecodeNews(const Json& aNews)
{
  DirectoryDelta news;
  news.mFrom = aNews.at("f").get<std::uint64_t>();
  news.mTo = aNews.at("t").get<std::uint64_t>();
  for (const Json& change : aNews.at("c")) {
    news.mChanges.push_back(DecodeChange(change));
  }
  return news;
}

Json
EncodeParts(const std::vector<SentPart>& aParts)
{
  Json parts = Json::array();
  for (const SentPart& part : aParts) {
    parts.push_back(part.mServer);
    parts.push_back(part.mPart);
  }
  return parts;
}

std::vector<SentPart>
DecodeParts(const Json& aParts)
{
  std::vector<SentPart> parts;
  for (std::size_t i = 0; i + 1 < aParts.size(); i += 2) {
    parts.push_back({ aParts.at(i).get<std::uint32_t>(),
                      aParts.at(i + 1).get<std::uint32_t>() });
  }
  return parts;
}

Json
EncodeDemand(const PromptDemand& aDemand)
{
  return { Rounded(aDemand.mShortPromptDemand),
           Rounded(aDemand.mLongPromptDemand) };
}

PromptDemand
DecodeDemand(const Json& aDemand)
{
  return { aDemand.at(0).get<double>(), aDemand.at(1).get<double>() };
}

Json
EncodeSum(const LoadSum& aSum)
{
  return { { "g", aSum.mAge.count() },
           { "l", EncodeLoads(aSum.mLoads) },
           { "q", EncodeDemand(aSum.mDemand) },
           { "p", EncodeParts(aSum.mSent) } };
}

LoadSum
DecodeSum(const Json& aSum)
{
  return { Milliseconds(aSum.at("g").get<std::int64_t>()),
           DecodeLoads(aSum.at("l")),
           DecodeDemand(aSum.at("q")),
           DecodeParts(aSum.at("p")) };
}

Json
EncodeMembers(const std::vector<ZoneMember>& aMembers)
{
  Json members = Json::array();
  for (const ZoneMember& member : aMembers) {
    members.push_back(member.mAddress);
    members.push_back(member.mZone);
    members.push_back(member.mAge.count());
  }
  return members;
}

std::vector<ZoneMember>
DecodeMembers(const Json& aMembers)
{
  std::vector<ZoneMember> members;
  constexpr std::size_t kValues = 3;
  for (std::size_t i = 0; i + kValues <= aMembers.size(); i += kValues) {
    members.push_back({ aMembers.at(i).get<std::string>(),
                        aMembers.at(i + 1).get<std::uint32_t>(),
                        Milliseconds(aMembers.at(i + 2).get<std::int64_t>()) });
    if (!IsIpNumber(members.back().mAddress)) {
      throw std::invalid_argument("invalid address");
    }
  }
  return members;
}

} // namespace

std::string
EncodePeerReport(const PeerReport& aReport)
{
  Json report{ { "a", aReport.mAddress },
               { "s", aReport.mSequence },
               { "l", EncodeLoads(aReport.mLoads) },
               { "q", EncodeDemand(aReport.mDemand) },
               { "d", aReport.mDirectoryDigest },
               { "r", aReport.mDirectoryRevision },
               { "g", aReport.mDirectoryAge.count() } };
  if (aReport.mZone != 0) {
    report["z"] = aReport.mZone;
  }
  if (aReport.mIsBroadcast) {
    report["w"] = true;
  }
  if (aReport.mHasLostDirectoryContact) {
    report["o"] = true;
  }
  if (!aReport.mSent.empty()) {
    report["p"] = EncodeParts(aReport.mSent);
  }
  if (aReport.mSum) {
    report["u"] = EncodeSum(*aReport.mSum);
  }
  if (!aReport.mMembers.empty()) {
    report["m"] = EncodeMembers(aReport.mMembers);
  }
  if (aReport.mRecentDelta) {
    report["n"] = EncodeNews(*aReport.mRecentDelta);
  }
  if (!aReport.mShuttingDownProcesses.empty()) {
    report["v"] = aReport.mShuttingDownProcesses;
  }
  for (const ReportedLimit& limit : aReport.mLimits) {
    report["b"].push_back(EncodeLimit(limit));
  }
  if (!aReport.mKnownAddresses.empty()) {
    report["k"] = aReport.mKnownAddresses;
  }
  std::string bytes;
  Json::to_cbor(report, bytes);
  return bytes;
}

std::optional<PeerReport>
DecodePeerReport(std::string_view aBytes)
{
  try {
    const Json report = Json::from_cbor(aBytes);
    PeerReport decoded;
    decoded.mAddress = report.at("a").get<std::string>();
    decoded.mSequence = report.at("s").get<std::uint64_t>();
    if (!IsIpNumber(decoded.mAddress)) {
      return std::nullopt;
    }
    decoded.mLoads = DecodeLoads(report.at("l"));
    decoded.mDemand = DecodeDemand(report.at("q"));
    decoded.mDirectoryDigest = report.at("d").get<std::uint64_t>();
    decoded.mDirectoryRevision = report.at("r").get<std::uint64_t>();
    decoded.mDirectoryAge = Milliseconds(report.at("g").get<std::int64_t>());
    decoded.mZone = report.value("z", 0U);
    decoded.mIsBroadcast = report.value("w", false);
    decoded.mHasLostDirectoryContact = report.value("o", false);
    if (report.contains("p")) {
      decoded.mSent = DecodeParts(report.at("p"));
    }
    if (report.contains("u")) {
      decoded.mSum = DecodeSum(report.at("u"));
    }
    if (report.contains("m")) {
      decoded.mMembers = DecodeMembers(report.at("m"));
    }
    if (report.contains("n")) {
      decoded.mRecentDelta = DecodeNews(report.at("n"));
    }
    if (report.contains("v")) {
      decoded.mShuttingDownProcesses =
        report.at("v").get<std::vector<ProcessHash>>();
    }
    if (report.contains("b")) {
      for (const Json& limit : report.at("b")) {
        decoded.mLimits.push_back(DecodeLimit(limit));
      }
    }
    if (report.contains("k")) {
      decoded.mKnownAddresses = report.at("k").get<std::vector<std::string>>();
    }
    return decoded;
  } catch (const std::exception&) {
    return std::nullopt; // Counted by the caller.
  }
}

} // namespace medlarkeel
