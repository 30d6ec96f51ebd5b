#include "answerstream.h"

#include "forwarding/answerbody.h"
#include "processconnection.h"

namespace medlarkeel {

namespace {

NetError
BrokenAnswer(AnswerFault aFault)
{
  return { NetErrorKind::BadReply, AnswerFaultName(aFault), aFault };
}

/** Passes the body of one answer on and finds what is wrong with it. */
class BodyReader
{
public:
  BodyReader(const AnswerLimits& aLimits, const DataReader& aOnData)
    : mLimits(aLimits)
    , mOnData(aOnData)
  {
  }

  void Begin(const HttpCall& aCall, int aStatus, const HttpHeaders& aHeaders)
  {
    AnswerForm form;
    form.mIsStreamExpected = mLimits.mIsStreamExpected;
    form.mStatus = aStatus;
    const auto types = aHeaders.find("Content-Type");
    form.mContentTypes = types == aHeaders.end() ? "" : types->second;
    form.mIsHeadOnly = aCall.mMethod == "HEAD";
    mBody = AnswerBody(form);
  }

  /** @return Whether to go on. */
  bool Add(std::string_view aBytes)
  {
    mBodyBytes += aBytes.size();
    const std::string passed = mBody.Push(aBytes);
    const std::optional<std::size_t> limit =
      mBody.IsEventStream() ? mLimits.mStreamBytes : mLimits.mBodyBytes;
    if (limit && mBodyBytes > *limit) {
      mFault = AnswerFault::BodyTooLarge;
      return false;
    }
    if (!passed.empty() && !mOnData(passed)) {
      return false;
    }
    mFault = mBody.Fault(mLimits.mEventBytes);
    return !mFault;
  }

  /** @return Why the body was stopped, if it was. */
  std::optional<AnswerFault> Fault() const { return mFault; }

  /** @return Success only for a complete body. */
  NetResult<void> End(TransferEnd aEnd)
  {
    const BodyEnd end = mBody.End(aEnd);
    if (end.mFault) {
      return BrokenAnswer(*end.mFault);
    }
    if (!end.mBytes.empty() && !mOnData(end.mBytes)) {
      return NetError{ NetErrorKind::StoppedByReader, "stopped by the reader" };
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

private:
  const AnswerLimits& mLimits;
  const DataReader& mOnData;
  AnswerBody mBody;
  std::size_t mBodyBytes = 0;
  std::optional<AnswerFault> mFault;
};

} // namespace

NetResult<void>
StreamAnswer(HttpCall aCall,
             const AnswerLimits& aLimits,
             const HeadReader& aOnHead,
             const DataReader& aOnData)
{
  BodyReader body(aLimits, aOnData);
  aCall.mProcess = std::make_shared<ProcessConnection>(aCall.mUrl);
  const auto end = StreamHttp(
    aCall,
    [&](int aStatus, const HttpHeaders& aHeaders) {
      body.Begin(aCall, aStatus, aHeaders);
      aOnHead(aStatus, aHeaders);
    },
    [&](std::string_view aBytes) { return body.Add(aBytes); });
  if (const auto fault = body.Fault()) {
    return BrokenAnswer(*fault);
  }
  if (!end) {
    return end.error();
  }
  BOOST_OUTCOME_TRY(body.End(end.value()));
  if (NeedsProcess(end.value()) && !aCall.mProcess->IsRunning()) {
    return BrokenAnswer(AnswerFault::ServerEnded);
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace medlarkeel
