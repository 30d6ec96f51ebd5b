#include "streamcaller.h"

#include <thread>

namespace medlarkeel {

namespace {

constexpr int kOk = 200;

/** Reads the events of one answer and compares them with the plan. */
class EventCheck
{
public:
  EventCheck(const StreamPlan& aPlan, int aEvents)
    : mPlan(aPlan)
    , mEvents(aEvents)
  {
  }

  /** @return What is wrong with the bytes, or an empty text. */
  std::string Take(const std::string& aBody)
  {
    const std::string comment = mPlan.Comment();
    std::size_t begin = 0;
    while (begin < aBody.size()) {
      const std::string expected = mPlan.Event(mEvents + 1);
      const bool isEvent = aBody.compare(begin, expected.size(), expected) == 0;
      const bool isComment = aBody.compare(begin, comment.size(), comment) == 0;
      const std::string rest = aBody.substr(begin);
      if (isEvent) {
        mEvents += 1;
        begin += expected.size();
      } else if (isComment) {
        begin += comment.size();
      } else {
        mRest = rest;
        const bool isCut = expected.compare(0, rest.size(), rest) == 0 ||
                           comment.compare(0, rest.size(), rest) == 0;
        return isCut ? "" : "event other than the next one: " + rest;
      }
    }
    return "";
  }

  int Events() const { return mEvents; }
  bool EndsInsideEvent() const { return !mRest.empty(); }

private:
  const StreamPlan& mPlan;
  int mEvents;
  std::string mRest;
};

} // namespace

StreamCaller::StreamCaller(std::string aName)
  : mName(std::move(aName))
{
}

StreamResult
StreamCaller::Ask(const EntryProcess& aEntry, const StreamCall& aCall)
{
  StreamResult result;
  if (mEntry != aEntry.mName) {
    mConnection.reset();
    mEntry = aEntry.mName;
  }
  while (result.mAnswers < aCall.mMostAnswers && !result.mIsComplete) {
    const std::string id = mName + "-" + std::to_string(++mRequests);
    std::string fields =
      "X-Model: m\r\nX-Token-Usage: 300,50\r\nX-Prompt-Prefix: " + id +
      ":300\r\n";
    if (result.mEvents > 0) {
      fields += "Last-Event-Id: " + std::to_string(result.mEvents) + "\r\n";
    }
    const std::string path =
      (aCall.mIsResumable ? "/resume/" : aCall.mRoute) + aCall.mPlan.Path();
    std::string request = LoopbackPlatform::RequestText(id, path, fields);
    if (aCall.mIsOldVersion) {
      request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
    }
    if (!mConnection) {
      mConnection.emplace(aEntry.mCallers, aEntry.mAddress.c_str());
    }
    result.mAnswers += 1;
    result.mRequestId = id;
    SeenAnswer answer;
    if (mConnection->IsConnected()) {
      mConnection->Send(request);
      std::this_thread::sleep_for(aCall.mReadDelay);
      answer = mConnection->Read();
    }
    TakeAnswer(answer, id, aCall, result);
    const bool isKept = answer.mIsWhole && !aCall.mIsOldVersion &&
                        answer.Field("Connection") != "close";
    if (!isKept) {
      mConnection.reset();
    }
    const bool mayGoOn = result.mEvents == 0 || aCall.mIsResumable;
    if (!result.mViolation.empty() || !mayGoOn) {
      break;
    }
  }
  return result;
}

void
StreamCaller::TakeAnswer(const SeenAnswer& aAnswer,
                         const std::string& aId,
                         const StreamCall& aCall,
                         StreamResult& aResult) const
{
  aResult.mStatus = aAnswer.Status();
  if (aResult.mStatus != kOk) {
    return;
  }
  const StreamPlan& plan = aCall.mPlan;
  const bool isOwn = aAnswer.Field("X-Request-Id") == aId;
  const bool hasLength = !aAnswer.Field("Content-Length").empty();
  aResult.mIsComplete = aCall.mIsOldVersion && !hasLength
                          ? aAnswer.mIsClosedInOrder
                          : aAnswer.mIsWhole;
  if (plan.mIsOpaque) {
    if (!isOwn || (aResult.mIsComplete && aAnswer.mBody != plan.OpaqueBody())) {
      aResult.mViolation = aId + " " + plan.Path() + ": another body";
    }
    return;
  }
  EventCheck check(plan, aResult.mEvents);
  std::string violation =
    isOwn ? check.Take(aAnswer.mBody) : "an answer to another request";
  aResult.mEvents = check.Events();
  const bool isShort =
    aResult.mEvents < plan.mEvents || check.EndsInsideEvent();
  if (violation.empty() && aResult.mIsComplete && isShort) {
    violation = "ends as complete after event " +
                std::to_string(aResult.mEvents) + " of " +
                std::to_string(plan.mEvents);
  }
  if (!violation.empty()) {
    aResult.mViolation = aId + " " + plan.Path() + ": " + violation;
  }
}

} // namespace medlarkeel
