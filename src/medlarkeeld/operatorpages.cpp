#include "operatorpages.h"

namespace medlarkeel {

namespace {

constexpr int kUnavailable = 503;

HttpResponse
TextPage(int aStatus, const std::string& aText)
{
  HttpResponse response;
  response.mStatus = aStatus;
  response.mHeaders["Content-Type"] = "text/plain";
  response.mBody = aText + "\n";
  return response;
}

} // namespace

std::optional<HttpResponse>
OperatorPage(const HttpRequest& aRequest, const NodePages& aPages)
{
  if (aRequest.mPath == "/healthz") {
    return TextPage(200, "ok");
  }
  if (aRequest.mPath == "/readyz") {
    return aPages.mReasonNotReady
             ? TextPage(kUnavailable, *aPages.mReasonNotReady)
             : TextPage(200, "ready");
  }
  return std::nullopt;
}

} // namespace medlarkeel
