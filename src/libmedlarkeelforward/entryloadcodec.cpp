#include "entryloadcodec.h"

#include <algorithm>

namespace medlarkeel {

namespace {

using Json = nlohmann::json;

/** Unit in which prompt tokens are encoded. */
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
EncodeSamples(const PrefillSamples& aSamples)
{
  Json samples = Json::array();
  for (const auto& [pool, sample] : aSamples) {
    samples.push_back(pool);
    samples.push_back(Rounded(sample.mTokens));
    samples.push_back(Rounded(sample.mElapsedMs));
  }
  return samples;
}

PrefillSamples
DecodeSamples(const Json& aSamples)
{
  PrefillSamples samples;
  constexpr std::size_t kValues = 3;
  for (std::size_t i = 0; i + kValues <= aSamples.size(); i += kValues) {
    samples[aSamples.at(i).get<std::uint32_t>()] = {
      aSamples.at(i + 1).get<double>(), aSamples.at(i + 2).get<double>()
    };
  }
  return samples;
}

Json
EncodePriorityLoads(const PriorityLoads& aLoads)
{
  Json loads = Json::array();
  for (const auto& [group, load] : aLoads) {
    loads.push_back(group.mPool);
    loads.push_back(group.mIsShortPrompt);
    loads.push_back(group.mPriority.mTeamTier.mValue);
    loads.push_back(group.mPriority.mRouteTier.mValue);
    loads.push_back(load.mRequests);
    loads.push_back(load.mPrefillTokens / kTokenUnit);
  }
  return loads;
}

PriorityLoads
DecodePriorityLoads(const Json& aLoads)
{
  PriorityLoads loads;
  constexpr std::size_t kValues = 6;
  for (std::size_t i = 0; i + kValues <= aLoads.size(); i += kValues) {
    const LoadGroup group{ aLoads.at(i).get<std::uint32_t>(),
                           aLoads.at(i + 1).get<bool>(),
                           { TierRank{ aLoads.at(i + 2).get<int>() },
                             TierRank{ aLoads.at(i + 3).get<int>() } } };
    loads[group] = { aLoads.at(i + 4).get<std::uint32_t>(),
                     aLoads.at(i + 5).get<std::uint32_t>() * kTokenUnit };
  }
  return loads;
}

} // namespace

void
EncodeEntryLoad(const EntryLoad& aLoad, Json& aOut)
{
  aOut["l"] = EncodeLoads(aLoad.mServers);
  aOut["q"] = EncodeDemand(aLoad.mDemand);
  if (!aLoad.mPriorities.empty()) {
    aOut["i"] = EncodePriorityLoads(aLoad.mPriorities);
  }
  if (!aLoad.mPrefill.empty()) {
    aOut["e"] = EncodeSamples(aLoad.mPrefill);
  }
}

EntryLoad
DecodeEntryLoad(const Json& aValues)
{
  EntryLoad load;
  load.mServers = DecodeLoads(aValues.at("l"));
  load.mDemand = DecodeDemand(aValues.at("q"));
  if (aValues.contains("i")) {
    load.mPriorities = DecodePriorityLoads(aValues.at("i"));
  }
  if (aValues.contains("e")) {
    load.mPrefill = DecodeSamples(aValues.at("e"));
  }
  return load;
}

} // namespace medlarkeel
