#include "placementpage.h"

#include "placementjson.h"
#include "placementquery.h"

namespace medlarkeel {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;
constexpr const char* kJsonType = "application/json";

StatusPage
ErrorPage(const PlacementError& aError)
{
  return { aError.mIsInvalidQuery ? kBadRequest : kUnavailable,
           PlacementErrorJson(aError.mReason),
           kJsonType };
}

} // namespace

bool
IsPlacementTarget(const std::string& aTarget)
{
  return aTarget.substr(0, aTarget.find('?')) == "/placement";
}

StatusPage
PlacementPage(Forwarder& aForwarder, const std::string& aTarget)
{
  const ForwardingDocumentPointer document = aForwarder.Document();
  if (!document) {
    return ErrorPage({ "no configuration is known yet", false });
  }
  const std::size_t begin = std::min(aTarget.find('?'), aTarget.size() - 1);
  const auto query =
    ParsePlacementQuery(std::string_view(aTarget).substr(begin + 1));
  if (!query) {
    return ErrorPage(query.error());
  }
  const auto target = FindPlacementTarget(*document, query.value());
  if (!target) {
    return ErrorPage(target.error());
  }
  PlacementExplanation explanation =
    aForwarder.ExplainPlacement(target.value(), query.value().mPrompt);
  explanation.mFreshness.mDocumentVersion = document->mVersion;
  return { kOk, PlacementJson(explanation), kJsonType };
}

} // namespace medlarkeel
