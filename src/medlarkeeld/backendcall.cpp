#include "backendcall.h"

namespace medlarkeel {

namespace {

HttpCall
MakeCall(const std::string& aBaseUrl, const BackendRequest& aRequest)
{
  HttpCall call;
  call.mMethod = aRequest.mMethod;
  call.mUrl = aBaseUrl + aRequest.mPath;
  call.mHeaders["Content-Type"] = aRequest.mContentType;
  call.mHeaders["X-Request-Id"] = aRequest.mRequest.Text();
  if (!aRequest.mKey.IsEmpty()) {
    call.mHeaders["Idempotency-Key"] = aRequest.mKey.Text();
  }
  call.mBody = aRequest.mBody;
  call.mTimeout = aRequest.mTimeout;
  call.mConnection = aRequest.mConnection;
  return call;
}

CallEnd
EndOf(const NetError& aError)
{
  switch (aError.mKind) {
    case NetErrorKind::ConnectFailed:
      return CallEnd::NotRun;
    case NetErrorKind::StoppedByReader:
      return CallEnd::Stopped;
    default:
      return CallEnd::Broken;
  }
}

} // namespace

CallResult
CallBackend(const std::string& aBaseUrl,
            const BackendRequest& aRequest,
            const std::function<bool()>& aShouldStop,
            BackendCallObserver& aObserver)
{
  const HeadReader onHead = [&](int aStatus, const HttpHeaders& aHeaders) {
    const auto type = aHeaders.find("Content-Type");
    aObserver.CallAnswered(aStatus, type == aHeaders.end() ? "" : type->second);
  };
  const DataReader onData = [&](std::string_view aBytes) {
    return aObserver.DataArrived(aBytes);
  };
  HttpCall call = MakeCall(aBaseUrl, aRequest);
  call.mShouldStop = aShouldStop;
  const auto ended =
    StreamAnswer(std::move(call), aRequest.mLimits, onHead, onData);
  if (ended) {
    return { CallEnd::Complete, std::nullopt };
  }
  return { EndOf(ended.error()), ended.error().mFault };
}

} // namespace medlarkeel
