#include "operatorpages.h"

namespace medlarkeel {

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

HttpResponse
Page(const char* aType, std::string aText)
{
  HttpResponse response;
  response.mHeaders["Content-Type"] = aType;
  response.mBody = std::move(aText);
  return response;
}

HttpResponse
TextPage(int aStatus, const std::string& aText)
{
  HttpResponse response = Page("text/plain", aText + "\n");
  response.mStatus = aStatus;
  return response;
}

} // namespace

std::optional<HttpResponse>
OperatorPage(const HttpRequest& aRequest, const NodePages& aPages)
{
  if (aRequest.mPath == "/healthz") {
    return TextPage(kOk, "ok");
  }
  if (aRequest.mPath == "/readyz") {
    const auto reason = aPages.mReasonNotReady();
    return reason ? TextPage(kUnavailable, *reason) : TextPage(kOk, "ready");
  }
  if (aRequest.mPath == "/metrics") {
    return Page("text/plain; version=0.0.4", aPages.mMetrics());
  }
  if (aRequest.mPath == "/status") {
    return Page("application/json", aPages.mStatus());
  }
  const std::string decisions = "/decisions/";
  if (aRequest.mPath.rfind(decisions, 0) == 0) {
    return Page("application/json",
                aPages.mDecisions(aRequest.mPath.substr(decisions.size())));
  }
  return std::nullopt;
}

} // namespace medlarkeel
