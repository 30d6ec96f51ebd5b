#include "refusalresponse.h"

#include <nlohmann/json.hpp>

#include <string>

namespace medlarkeel {

namespace {

std::string
RetryAfterSeconds(Milliseconds aDelay)
{
  const auto rounded = std::chrono::ceil<Seconds>(aDelay);
  return std::to_string(rounded.count());
}

} // namespace

std::string
ProblemText(const Refusal& aRefusal, const RequestId& aRequest)
{
  nlohmann::json problem;
  problem["type"] =
    std::string("urn:medlarkeel:refusal:") + ReasonCode(aRefusal.mReason);
  problem["title"] = ReasonCode(aRefusal.mReason);
  problem["status"] = HttpStatus(aRefusal.mReason);
  problem["detail"] = aRefusal.mDetail;
  problem["executed"] = ExecutedText(aRefusal.mExecuted);
  problem["requestId"] = aRequest.Text();
  if (aRefusal.mRetryAfter.count() > 0) {
    problem["retryAfterMs"] = aRefusal.mRetryAfter.count();
  }
  return problem.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpResponse
RefusalResponse(const Refusal& aRefusal, const RequestId& aRequest)
{
  HttpResponse response;
  response.mStatus = HttpStatus(aRefusal.mReason);
  response.mHeaders["Content-Type"] = "application/problem+json";
  response.mHeaders["X-Request-Id"] = aRequest.Text();
  if (aRefusal.mRetryAfter.count() > 0) {
    response.mHeaders["Retry-After"] = RetryAfterSeconds(aRefusal.mRetryAfter);
  }
  response.mBody = ProblemText(aRefusal, aRequest);
  return response;
}

} // namespace medlarkeel
