#include "backendorderclient.h"

#include "httpclient.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace medlarkeel {

namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr Milliseconds kReadTimeout{ 1000 };

NetResult<BackendReading>
ParseReading(const std::string& aBody)
{
  try {
    const nlohmann::json state = nlohmann::json::parse(aBody);
    BackendReading reading;
    reading.mState.mVersion = state.at("version").get<std::string>();
    reading.mState.mRole = state.value("role", "");
    for (const auto& adapter : state.at("adapters")) {
      reading.mState.mAdapters.emplace(adapter.get<std::string>());
    }
    if (state.contains("fencing")) {
      reading.mFencingNumber = state["fencing"].get<std::uint64_t>();
    }
    reading.mIsLoading = !state.value("loading", "").empty();
    return reading;
  } catch (const nlohmann::json::exception& problem) {
    return NetError{ NetErrorKind::BadReply, problem.what() };
  }
}

OrderResult
ResultOf(int aStatus)
{
  if (aStatus == kOk) {
    return OrderResult::Accepted;
  }
  return aStatus == kConflict ? OrderResult::RefusedAsOld : OrderResult::Failed;
}

} // namespace

BackendOrderClient::BackendOrderClient(std::string aBaseUrl,
                                       std::function<bool()> aShouldStop)
  : mBaseUrl(std::move(aBaseUrl))
  , mShouldStop(std::move(aShouldStop))
{
}

NetResult<BackendReading>
BackendOrderClient::ReadState() const
{
  HttpCall call;
  call.mUrl = mBaseUrl + "/state";
  call.mTimeout = kReadTimeout;
  call.mShouldStop = mShouldStop;
  const auto reply = SendHttp(call);
  if (!reply) {
    return reply.error();
  }
  if (reply.value().mStatus != kOk) {
    return NetError{ NetErrorKind::BadReply,
                     "status " + std::to_string(reply.value().mStatus) };
  }
  return ParseReading(reply.value().mBody);
}

OrderResult
BackendOrderClient::Send(const BackendOrder& aOrder,
                         std::uint64_t aNumber,
                         Milliseconds aTimeout) const
{
  const nlohmann::json body = { { "kind", OrderKindText(aOrder.mKind) },
                                { "name", aOrder.mSubject },
                                { "fencing", aNumber } };
  HttpCall call;
  call.mMethod = "POST";
  call.mUrl = mBaseUrl + "/orders";
  call.mHeaders["Content-Type"] = "application/json";
  call.mBody = body.dump();
  call.mTimeout = aTimeout;
  call.mShouldStop = mShouldStop;
  const auto reply = SendHttp(call);
  return reply ? ResultOf(reply.value().mStatus) : OrderResult::TimedOut;
}

} // namespace medlarkeel
