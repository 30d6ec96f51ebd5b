#include "peerreportcodec.h"

#include "../libmedlarkeel/settings.h"
#include "entryloadcodec.h"
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

/** Adds an era to a report or its delta. All positions of one of them are of
 * that era. */
void
EncodeEra(DirectoryEra aEra, Json& aValues)
{
  if (aEra.mValue != 0) {
    aValues["y"] = aEra.mValue;
  }
}

/** @return The era; 0 in reports of versions of the program that send none. */
DirectoryEra
DecodeEra(const Json& aValues)
{
  return { aValues.value("y", std::uint64_t(0)) };
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
           aEntry.mPosition.mRevision };
}

Json
EncodeChange(const BackendRemoval& aRemoval)
{
  return { kRemoval, aRemoval.mId.Text(), aRemoval.mPosition.mRevision };
}

Json
EncodeChange(const ZoneEvacuation& aZone)
{
  return {
    kZone, aZone.mZone.Text(), aZone.mIsEvacuated, aZone.mPosition.mRevision
  };
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
DecodeChange(const Json& aChange, DirectoryEra aEra)
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
      entry.mPosition = { aEra, reader.Next<std::uint64_t>() };
      if (!IsIpNumber(entry.mEndpoint.mAddress)) {
        throw std::invalid_argument("invalid address");
      }
      return entry;
    }
    case kRemoval: {
      BackendRemoval removal;
      removal.mId = InstanceId(reader.Next<std::string>());
      removal.mPosition = { aEra, reader.Next<std::uint64_t>() };
      return removal;
    }
    case kZone: {
      ZoneEvacuation zone;
      zone.mZone = ZoneName(reader.Next<std::string>());
      zone.mIsEvacuated = reader.Next<bool>();
      zone.mPosition = { aEra, reader.Next<std::uint64_t>() };
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
  Json news{ { "f", aNews.mFrom.mRevision },
             { "t", aNews.mTo.mRevision },
             { "c", std::move(changes) } };
  EncodeEra(aNews.mTo.mEra, news);
  return news;
}

DirectoryDelta
DecodeNews(const Json& aNews)
{
  DirectoryDelta news;
  const DirectoryEra era = DecodeEra(aNews);
  news.mFrom = { era, aNews.at("f").get<std::uint64_t>() };
  news.mTo = { era, aNews.at("t").get<std::uint64_t>() };
  for (const Json& change : aNews.at("c")) {
    news.mChanges.push_back(DecodeChange(change, era));
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
EncodeSum(const LoadSum& aSum)
{
  Json sum{ { "g", aSum.mAge.count() }, { "p", EncodeParts(aSum.mSent) } };
  EncodeEntryLoad(aSum.mLoad, sum);
  return sum;
}

LoadSum
DecodeSum(const Json& aSum)
{
  return { Milliseconds(aSum.at("g").get<std::int64_t>()),
           DecodeEntryLoad(aSum),
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
               { "d", aReport.mDirectoryDigest },
               { "r", aReport.mDirectoryPosition.mRevision },
               { "g", aReport.mDirectoryAge.count() } };
  EncodeEntryLoad(aReport.mLoad, report);
  EncodeEra(aReport.mDirectoryPosition.mEra, report);
  if (aReport.mEraAge.count() != 0) {
    report["h"] = aReport.mEraAge.count();
  }
  if (aReport.mDocumentVersion != 0) {
    report["c"] = aReport.mDocumentVersion;
  }
  if (aReport.mLinkMbps != 0) {
    report["j"] = aReport.mLinkMbps;
  }
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
    decoded.mLoad = DecodeEntryLoad(report);
    decoded.mDirectoryDigest = report.at("d").get<std::uint64_t>();
    decoded.mDirectoryPosition = { DecodeEra(report),
                                   report.at("r").get<std::uint64_t>() };
    decoded.mEraAge = Milliseconds(report.value("h", std::int64_t(0)));
    decoded.mDirectoryAge = Milliseconds(report.at("g").get<std::int64_t>());
    decoded.mDocumentVersion = report.value("c", std::uint64_t(0));
    decoded.mLinkMbps = report.value("j", 0U);
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
      for (const std::string& address : decoded.mKnownAddresses) {
        if (!IsIpNumber(address)) {
          return std::nullopt;
        }
      }
    }
    return decoded;
  } catch (const std::exception&) {
    return std::nullopt; // Counted by the caller.
  }
}

std::string
EncodeDirectoryDelta(const DirectoryDelta& aDelta)
{
  std::string bytes;
  Json::to_cbor({ { "n", EncodeNews(aDelta) } }, bytes);
  return bytes;
}

bool
IsDirectoryDelta(std::string_view aBytes)
{
  /** First byte of a CBOR map with one entry; reports have more. */
  constexpr unsigned char kSingleEntryMap = 0xa1;
  return !aBytes.empty() &&
         static_cast<unsigned char>(aBytes[0]) == kSingleEntryMap;
}

std::optional<DirectoryDelta>
DecodeDirectoryDelta(std::string_view aBytes)
{
  try {
    return DecodeNews(Json::from_cbor(aBytes).at("n"));
  } catch (const std::exception&) {
    return std::nullopt; // Counted by the caller.
  }
}

} // namespace medlarkeel
