#include "platformclient.h"

#include "httpclient.h"
#include "instancelistparser.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace medlarkeel {

namespace {

constexpr int kOk = 200;
constexpr int kNotModified = 304;
constexpr int kNotFound = 404;
/** Time that an answer may take beyond the wait asked for. */
constexpr Milliseconds kAnswerTime{ 2000 };

NetError
BadReply(const std::string& aDetail)
{
  return NetError{ NetErrorKind::BadReply, aDetail };
}

NetResult<std::optional<ConfigurationReading>>
ParseReading(const std::string& aBody)
{
  const auto parsed = nlohmann::json::parse(aBody, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("revision") ||
      !parsed["revision"].is_number_unsigned() ||
      !parsed.contains("document") || !parsed["document"].is_string()) {
    return BadReply("not a configuration reading");
  }
  ConfigurationReading reading;
  reading.mRevision = parsed["revision"].get<std::uint64_t>();
  reading.mText = parsed["document"].get<std::string>();
  return std::optional<ConfigurationReading>(std::move(reading));
}

} // namespace

PlatformClient::PlatformClient(std::string aBaseUrl)
  : mBaseUrl(std::move(aBaseUrl))
{
}

NetResult<std::optional<ConfigurationReading>>
PlatformClient::ReadConfiguration(
  std::uint64_t aAfter,
  Milliseconds aWait,
  const std::function<bool()>& aShouldStop) const
{
  HttpCall call;
  call.mUrl = mBaseUrl + "/configuration";
  if (aAfter > 0) {
    call.mUrl += "?after=" + std::to_string(aAfter) +
                 "&waitMs=" + std::to_string(aWait.count());
  }
  call.mTimeout = aWait + kAnswerTime;
  call.mShouldStop = aShouldStop;
  const auto replied = SendHttp(call);
  if (!replied) {
    return replied.error();
  }
  const HttpReply& reply = replied.value();
  if (reply.mStatus == kNotModified || reply.mStatus == kNotFound) {
    return std::optional<ConfigurationReading>();
  }
  if (reply.mStatus != kOk) {
    return BadReply("status " + std::to_string(reply.mStatus));
  }
  return ParseReading(reply.mBody);
}

NetResult<InstanceListReading>
PlatformClient::ReadInstances(const std::string& aKnownTag) const
{
  HttpCall call;
  call.mUrl = mBaseUrl + "/instances";
  call.mTimeout = kAnswerTime;
  if (!aKnownTag.empty()) {
    call.mHeaders["If-None-Match"] = aKnownTag;
  }
  const auto replied = SendHttp(call);
  if (!replied) {
    return replied.error();
  }
  const HttpReply& reply = replied.value();
  if (reply.mStatus == kNotModified && !aKnownTag.empty()) {
    return InstanceListReading{ aKnownTag, std::nullopt };
  }
  if (reply.mStatus != kOk) {
    return BadReply("status " + std::to_string(reply.mStatus));
  }
  const auto list = ParseInstanceList(reply.mBody);
  if (!list) {
    return BadReply(list.error().mDetail);
  }
  const auto tag = reply.mHeaders.find("ETag");
  return InstanceListReading{ tag == reply.mHeaders.end() ? std::string()
                                                          : tag->second,
                              list.value() };
}

} // namespace medlarkeel
