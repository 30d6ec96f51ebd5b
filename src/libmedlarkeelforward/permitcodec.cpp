#include "permitcodec.h"

#include <cmath>
#include <nlohmann/json.hpp>

#include <stdexcept>

namespace medlarkeel {

namespace {

using Json = nlohmann::json;

/** First values of the messages. */
constexpr int kRequest = 1;
constexpr int kReply = 2;

/** Outcomes in replies, by their place. */
constexpr PermitOutcome kReplyOutcomes[] = { PermitOutcome::Granted,
                                             PermitOutcome::Denied,
                                             PermitOutcome::Declined };

Json
Encode(const PermitRequest& aRequest)
{
  return { kRequest, aRequest.mId, EncodeLimit(aRequest.mLimit) };
}

Json
Encode(const PermitReply& aReply)
{
  int outcome = 0;
  while (kReplyOutcomes[outcome] != aReply.mOutcome) {
    ++outcome;
  }
  return { kReply,
           aReply.mId,
           EncodeLimit(aReply.mLimit),
           outcome,
           aReply.mRetryDelay.count() };
}

PermitMessage
Decode(const Json& aMessage)
{
  constexpr std::size_t kOutcomePlace = 3;
  constexpr std::size_t kDelayPlace = 4;
  const auto id = aMessage.at(1).get<std::uint64_t>();
  const ReportedLimit limit = DecodeLimit(aMessage.at(2));
  switch (aMessage.at(0).get<int>()) {
    case kRequest:
      return PermitRequest{ id, limit };
    case kReply: {
      const auto outcome = aMessage.at(kOutcomePlace).get<std::size_t>();
      const auto delay = aMessage.at(kDelayPlace).get<std::int64_t>();
      if (outcome >= std::size(kReplyOutcomes) || delay < 0) {
        throw std::invalid_argument("invalid permit reply");
      }
      return PermitReply{
        id, kReplyOutcomes[outcome], Milliseconds(delay), limit
      };
    }
    default:
      throw std::invalid_argument("unknown permit message");
  }
}

} // namespace

bool
IsPermitMessage(std::string_view aBytes)
{
  /** Type of a CBOR item, in the upper three bits of its first byte. */
  constexpr unsigned kTypeMask = 0xe0;
  constexpr unsigned kArrayType = 0x80;
  return !aBytes.empty() &&
         (static_cast<unsigned char>(aBytes[0]) & kTypeMask) == kArrayType;
}

Json
EncodeLimit(const ReportedLimit& aLimit)
{
  return { aLimit.mProcess,
           aLimit.mRate.mPerSecond,
           aLimit.mHasEnded,
           aLimit.mAge.count() };
}

ReportedLimit
DecodeLimit(const Json& aLimit)
{
  constexpr std::size_t kAgePlace = 3;
  ReportedLimit limit;
  limit.mProcess = aLimit.at(0).get<ProcessHash>();
  limit.mRate = RequestRate{ aLimit.at(1).get<double>() };
  limit.mHasEnded = aLimit.at(2).get<bool>();
  limit.mAge = Milliseconds(aLimit.at(kAgePlace).get<std::int64_t>());
  const bool isValid =
    std::isfinite(limit.mRate.mPerSecond) &&
    (limit.mHasEnded || !(limit.mRate < kMinimumRequestRate)) &&
    limit.mAge.count() >= 0;
  if (!isValid) {
    throw std::invalid_argument("invalid limit");
  }
  return limit;
}

std::string
EncodePermitMessage(const PermitMessage& aMessage)
{
  std::string bytes;
  Json::to_cbor(
    std::visit([](const auto& aKind) { return Encode(aKind); }, aMessage),
    bytes);
  return bytes;
}

std::optional<PermitMessage>
DecodePermitMessage(std::string_view aBytes)
{
  try {
    return Decode(Json::from_cbor(aBytes));
  } catch (const std::exception&) {
    return std::nullopt; // Counted by the caller.
  }
}

} // namespace medlarkeel
