#include "answerstream.h"

namespace medlarkeel {

namespace {

NetError
BrokenAnswer(AnswerFault aFault)
{
  return { NetErrorKind::BadReply, AnswerFaultName(aFault), aFault };
}

/** Passes the body of one answer on and finds what is wrong with it. */
class AnswerBody
{
public:
  AnswerBody(const AnswerLimits& aLimits, const DataReader& aOnData)
    : mLimits(aLimits)
    , mOnData(aOnData)
  {
  }

  void SetHeaders(const HttpHeaders& aHeaders)
  {
    const auto type = aHeaders.find("Content-Type");
    mIsEventStream = type != aHeaders.end() &&
                     ClassifyContentTypes(type->second) == StreamType::Stated;
  }

  /** @return Whether to go on. */
  bool Add(std::string_view aBytes)
  {
    mBodyBytes += aBytes.size();
    const std::optional<std::size_t> limit =
      mIsEventStream ? mLimits.mStreamBytes : mLimits.mBodyBytes;
    if (limit && mBodyBytes > *limit) {
      mFault = AnswerFault::BodyTooLarge;
      return false;
    }
    if (!mIsEventStream) {
      return mOnData(aBytes);
    }
    const std::string events = mFramer.Push(aBytes);
    if (!events.empty() && !mOnData(events)) {
      return false;
    }
    if (mFramer.IsOutOfOrder()) {
      mFault = AnswerFault::EventOutOfOrder;
    } else if (mFramer.BufferedBytes() > mLimits.mEventBytes) {
      mFault = AnswerFault::EventTooLarge;
    }
    return !mFault;
  }

  /** @return Why the body was stopped, if it was. */
  std::optional<AnswerFault> Fault() const { return mFault; }

  std::optional<AnswerFault> FaultAtEnd(TransferEnd aEnd) const
  {
    return FindEndFault(aEnd, mIsEventStream ? &mFramer : nullptr);
  }

private:
  const AnswerLimits& mLimits;
  const DataReader& mOnData;
  EventFramer mFramer;
  std::size_t mBodyBytes = 0;
  bool mIsEventStream = false;
  std::optional<AnswerFault> mFault;
};

} // namespace

NetResult<void>
StreamAnswer(const HttpCall& aCall,
             const AnswerLimits& aLimits,
             const HeadReader& aOnHead,
             const DataReader& aOnData)
{
  AnswerBody body(aLimits, aOnData);
  const auto end = StreamHttp(
    aCall,
    [&](int aStatus, const HttpHeaders& aHeaders) {
      body.SetHeaders(aHeaders);
      aOnHead(aStatus, aHeaders);
    },
    [&](std::string_view aBytes) { return body.Add(aBytes); });
  if (const auto fault = body.Fault()) {
    return BrokenAnswer(*fault);
  }
  if (!end) {
    return end.error();
  }
  if (const auto fault = body.FaultAtEnd(end.value())) {
    return BrokenAnswer(*fault);
  }
  if (NeedsProcess(end.value()) && !AcceptsConnections(aCall.mUrl)) {
    return BrokenAnswer(AnswerFault::ServerEnded);
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace medlarkeel
