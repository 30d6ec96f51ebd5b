#include "platform.h"

#include <gflags/gflags.h>

#include <string_view>

DEFINE_int32(port, 0, "port on the loopback address; 0 for a free one");
DEFINE_double(config_rate, 2000, "calls a second of the configuration service");
DEFINE_int32(list_lag_ms, 1000, "lag of the list of instances");

namespace medlarkeel {

namespace {

constexpr std::string_view kInstancePrefix = "/instances/";
constexpr std::string_view kViewPrefix = "/views/";

HttpResponse
DispatchInstance(Platform& aPlatform, const HttpRequest& aRequest)
{
  const std::string id = aRequest.mPath.substr(kInstancePrefix.size());
  if (aRequest.mMethod == "PUT") {
    return aPlatform.WriteInstance(id, ParseObject(aRequest.mBody));
  }
  return aPlatform.RemoveInstance(id);
}

HttpResponse
Dispatch(Platform& aPlatform, const HttpRequest& aRequest)
{
  const std::string route = aRequest.mMethod + " " + aRequest.mPath;
  if (route == "GET /configuration") {
    return aPlatform.ReadConfiguration(aRequest);
  }
  if (route == "PUT /configuration") {
    return aPlatform.WriteConfiguration(aRequest.mBody);
  }
  if (route == "GET /instances") {
    return aPlatform.ReadInstances(aRequest);
  }
  if (aRequest.mPath.rfind(kInstancePrefix, 0) == 0 &&
      (aRequest.mMethod == "PUT" || aRequest.mMethod == "DELETE")) {
    return DispatchInstance(aPlatform, aRequest);
  }
  if (aRequest.mMethod == "PUT" && aRequest.mPath.rfind(kViewPrefix, 0) == 0) {
    return aPlatform.WriteView(aRequest.mPath.substr(kViewPrefix.size()),
                               ParseObject(aRequest.mBody));
  }
  if (route == "POST /fault") {
    aPlatform.ApplyFault(ParseObject(aRequest.mBody));
    return JsonResponse(200, nlohmann::json::object());
  }
  if (route == "GET /stats") {
    return JsonResponse(200, aPlatform.Statistics());
  }
  return JsonResponse(404, { { "error", "no such path" } });
}

} // namespace

} // namespace medlarkeel

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  medlarkeel::Platform platform(FLAGS_config_rate,
                                std::chrono::milliseconds(FLAGS_list_lag_ms));
  return medlarkeel::ServeUntilSignal(
    FLAGS_port, [&](const medlarkeel::HttpRequest& aRequest) {
      return medlarkeel::Dispatch(platform, aRequest);
    });
}
