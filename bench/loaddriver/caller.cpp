#include "caller.h"

#include "httpclient.h"

#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string_view>

namespace medlarkeel {

namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr int kOk = 200;
constexpr std::chrono::seconds kCallLimit{ 20 };

double
MillisecondsSince(Clock::time_point aStart)
{
  return std::chrono::duration<double, std::milli>(Clock::now() - aStart)
    .count();
}

/** Reads server-sent events and checks each token. */
class AnswerReader
{
public:
  AnswerReader(std::string aMarker, Clock::time_point aStart)
    : mMarker(std::move(aMarker))
    , mStart(aStart)
  {
  }

  bool Take(std::string_view aData)
  {
    mBuffer += aData;
    std::size_t end = 0;
    while ((end = mBuffer.find("\n\n")) != std::string::npos) {
      TakeEvent(mBuffer.substr(0, end));
      mBuffer.erase(0, end + 2);
    }
    return true;
  }

  void Fill(Outcome& aOutcome) const
  {
    aOutcome.mTokens = mTokens;
    aOutcome.mForeign = mForeign;
    aOutcome.mWhole = mDone && mStopped && !mForeign;
    aOutcome.mFirstByte = mFirst;
    aOutcome.mLastByte = mLast;
  }

  const std::string& Rest() const { return mBuffer; }

private:
  void TakeEvent(const std::string& aEvent)
  {
    constexpr std::string_view kPrefix = "data: ";
    if (aEvent.rfind(kPrefix, 0) != 0) {
      return;
    }
    const std::string data = aEvent.substr(kPrefix.size());
    if (data == "[DONE]") {
      mDone = true;
      return;
    }
    const json chunk = json::parse(data, nullptr, false);
    if (!chunk.is_object() || !chunk.contains("choices")) {
      return;
    }
    const json& choice = chunk["choices"][0];
    mStopped = mStopped || choice["finish_reason"] == "stop";
    const std::string text = choice["delta"].value("content", "");
    if (!text.empty()) {
      TakeToken(text);
    }
  }

  void TakeToken(const std::string& aText)
  {
    mLast = MillisecondsSince(mStart);
    mFirst = mTokens == 0 ? mLast : mFirst;
    mForeign =
      mForeign || aText != mMarker + "#" + std::to_string(mTokens) + " ";
    ++mTokens;
  }

  const std::string mMarker;
  const Clock::time_point mStart;
  std::string mBuffer;
  std::uint64_t mTokens = 0;
  double mFirst = 0;
  double mLast = 0;
  bool mDone = false;
  bool mStopped = false;
  bool mForeign = false;
};

HttpCall
MakeCall(const ClassLoad& aClass,
         const std::string& aMarker,
         const CallTarget& aTarget)
{
  HttpCall call;
  call.mMethod = aClass.mMethod;
  call.mUrl = "http://" + aTarget.mAddress + aClass.mPath;
  call.mTimeout = kCallLimit;
  if (!aTarget.mKey.empty()) {
    call.mHeaders["Authorization"] = "Bearer " + aTarget.mKey;
  }
  if (!aTarget.mIdempotencyKey.empty()) {
    call.mHeaders["Idempotency-Key"] = aTarget.mIdempotencyKey;
  }
  call.mHeaders["X-Medlarkeel-Class"] = aClass.mName;
  if (aClass.mMethod == "GET") {
    call.mUrl += aMarker;
    return call;
  }
  call.mHeaders["Content-Type"] = "application/json";
  json body = { { "id", aMarker } };
  if (!aClass.mModel.empty()) {
    const json message = { { "role", "user" },
                           { "content", "write a text " + aMarker } };
    body = { { "model", aClass.mModel },
             { "stream", true },
             { "messages", json::array({ message }) } };
    if (aTarget.mMaxTokens > 0) {
      body["max_tokens"] = aTarget.mMaxTokens;
    }
  }
  call.mBody = body.dump();
  return call;
}

void
ReadProblem(const std::string& aText, Outcome& aOutcome)
{
  const json problem = json::parse(aText, nullptr, false);
  if (problem.is_object()) {
    aOutcome.mReason = problem.value("title", "");
    aOutcome.mExecuted = problem.value("executed", "");
  }
  if (aOutcome.mReason.empty()) {
    aOutcome.mReason = "status-" + std::to_string(aOutcome.mStatus);
  }
}

void
CheckServiceReply(const ClassLoad& aClass,
                  const std::string& aText,
                  const std::string& aMarker,
                  Outcome& aOutcome)
{
  const json reply = json::parse(aText, nullptr, false);
  const bool isCall = reply.is_object();
  const char* const field = aClass.mMethod == "GET" ? "path" : "id";
  const std::string echoed = isCall ? reply.value(field, "") : "";
  const std::size_t place = echoed.rfind(aMarker);
  const bool own =
    place != std::string::npos && place + aMarker.size() == echoed.size();
  aOutcome.mForeign = isCall && !own;
  aOutcome.mWhole = own;
}

} // namespace

Outcome
CallOnce(const ClassLoad& aClass,
         const std::string& aMarker,
         const CallTarget& aTarget)
{
  const HttpCall call = MakeCall(aClass, aMarker, aTarget);
  const auto start = Clock::now();
  Outcome outcome;
  AnswerReader reader(aMarker, start);
  std::string text;
  const bool streams = !aClass.mModel.empty();
  const auto result = StreamHttp(
    call,
    [&](int aStatus, const HttpHeaders&) { outcome.mStatus = aStatus; },
    [&](std::string_view aData) {
      if (streams && outcome.mStatus == kOk) {
        return reader.Take(aData);
      }
      text += aData;
      return true;
    });
  const bool ended = result && result.value() != TransferEnd::Close;
  if (streams && outcome.mStatus == kOk) {
    reader.Fill(outcome);
    outcome.mWhole = outcome.mWhole && ended;
  } else if (outcome.mStatus == kOk) {
    outcome.mFirstByte = MillisecondsSince(start);
    outcome.mLastByte = outcome.mFirstByte;
    CheckServiceReply(aClass, text, aMarker, outcome);
  } else if (outcome.mStatus != 0) {
    ReadProblem(text, outcome);
  }
  if (!outcome.mWhole && outcome.mReason.empty()) {
    outcome.mReason = outcome.mStatus == 0 ? "no-reply" : "broken-answer";
  }
  return outcome;
}

std::string
FetchTicket(const std::string& aService, const CallTarget& aTarget)
{
  HttpCall call;
  call.mMethod = "POST";
  call.mUrl = "http://" + aTarget.mAddress + "/v1/idempotency-keys";
  call.mHeaders["Authorization"] = "Bearer " + aTarget.mKey;
  call.mHeaders["Content-Type"] = "application/json";
  call.mBody = json{ { "service", aService } }.dump();
  const auto reply = SendHttp(call);
  if (!reply.has_value()) {
    return "";
  }
  const json body = json::parse(reply.value().mBody, nullptr, false);
  return body.is_object() ? body.value("idempotencyKey", "") : "";
}

std::string
MakeUuid(std::uint64_t aNumber)
{
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
  const auto time = static_cast<std::uint64_t>(now.count());
  std::array<char, 128> text{};
  std::snprintf(text.data(),
                text.size(),
                "%08llx-%04llx-7%03llx-8000-%012llx",
                static_cast<unsigned long long>(time >> 16U & 0xffffffffU),
                static_cast<unsigned long long>(time & 0xffffU),
                static_cast<unsigned long long>(aNumber >> 48U & 0xfffU),
                static_cast<unsigned long long>(aNumber & 0xffffffffffffU));
  return text.data();
}

} // namespace medlarkeel
