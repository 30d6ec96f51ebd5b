#include "ticketrequest.h"

#include "jsonreader.h"

#include <algorithm>

namespace medlarkeel {

namespace {

const char* const kTicketPath = "/v1/idempotency-keys";
constexpr std::size_t kLargestBody = 4096; // bytes
constexpr std::size_t kDepth = 4;
constexpr int kCreated = 201;

Refusal
Refuse(RefusalReason aReason, const char* aDetail)
{
  Refusal refusal;
  refusal.mReason = aReason;
  refusal.mDetail = aDetail;
  return refusal;
}

bool
IsAuthenticated(const HttpRequest& aRequest, const DocumentView& aView)
{
  const auto header = aRequest.mHeaders.find("Authorization");
  if (header == aRequest.mHeaders.end()) {
    return false;
  }
  const auto key = BearerKey(header->second);
  return key && aView.Keys().Authenticate(*key).has_value();
}

} // namespace

bool
IsTicketRequest(const HttpRequest& aRequest)
{
  return aRequest.mMethod == "POST" && aRequest.mPath == kTicketPath;
}

TicketPoolResult
PoolOfTicketRequest(const HttpRequest& aRequest, const DocumentView& aView)
{
  if (!IsAuthenticated(aRequest, aView)) {
    return Refuse(RefusalReason::Unauthenticated, "the key is not valid");
  }
  ProblemList problems;
  const auto body =
    ParseJson(aRequest.mBody, JsonLimits{ kLargestBody, kDepth }, problems);
  if (!body || !body->is_object() || !body->contains("service") ||
      !(*body)["service"].is_string()) {
    return Refuse(RefusalReason::BadRequest,
                  "$.service: expected the name of a plain service");
  }
  const PoolName wanted((*body)["service"].get<std::string>());
  const auto& pools = aView.Document().mPools;
  const auto found =
    std::find_if(pools.begin(), pools.end(), [&](const Pool& aPool) {
      return aPool.mName == wanted && aPool.mKind == PoolKind::Service;
    });
  if (found == pools.end()) {
    return Refuse(RefusalReason::NoRoute, "there is no such plain service");
  }
  return wanted;
}

HttpResponse
TicketResponse(const IdempotencyKey& aKey)
{
  HttpResponse response;
  response.mStatus = kCreated;
  response.mHeaders["Content-Type"] = "application/json";
  response.mBody = nlohmann::json{ { "idempotencyKey", aKey.Text() } }.dump();
  return response;
}

} // namespace medlarkeel
