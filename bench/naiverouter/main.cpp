#include "httpserver.h"
#include "relayedstream.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <map>
#include <mutex>
#include <sstream>
#include <vector>

DEFINE_int32(port, 0, "port on the loopback address");
DEFINE_string(document, "", "the environment's document, for teams and rates");
DEFINE_string(engines, "", "IP:PORT@ZONE of each engine");
DEFINE_string(services, "", "IP:PORT@ZONE of each plain service");
DEFINE_double(entries, 2, "routers that share a team's rate");

namespace medlarkeel {

namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds kIdleLimit{ 5 };
constexpr std::chrono::seconds kCallLimit{ 20 };

/** Token bucket in floating point. */
struct ShareBucket
{
  double mRate = 0;  // requests per second
  double mBurst = 0; // requests
  double mHeld = 0;
  Clock::time_point mLast = Clock::now();
};

/** Admits a fixed share of each team's rate. */
class StaticShares
{
public:
  explicit StaticShares(const json& aDocument)
  {
    for (const json& team : aDocument.at("teams")) {
      ShareBucket bucket;
      bucket.mRate = team.at("rate").get<double>() / FLAGS_entries;
      bucket.mBurst = team.at("burst").get<double>() / FLAGS_entries;
      bucket.mHeld = bucket.mBurst;
      for (const json& key : team.at("keys")) {
        mTeamOfKey[key.at("id")] = mBuckets.size();
      }
      mBuckets.push_back(bucket);
    }
  }

  /** @return The status of a refusal, 0 if there is none. */
  int Admit(const HttpRequest& aRequest)
  {
    const auto header = aRequest.mHeaders.find("Authorization");
    const std::string key =
      header == aRequest.mHeaders.end() ? "" : header->second;
    const std::size_t begin = key.find('_') + 1;
    const std::size_t end = key.find('_', begin);
    const auto team = mTeamOfKey.find(key.substr(begin, end - begin));
    if (team == mTeamOfKey.end()) {
      return 401;
    }
    const std::lock_guard<std::mutex> lock(mMutex);
    ShareBucket& bucket = mBuckets[team->second];
    const auto now = Clock::now();
    const std::chrono::duration<double> passed = now - bucket.mLast;
    bucket.mLast = now;
    bucket.mHeld =
      std::min(bucket.mBurst, bucket.mHeld + passed.count() * bucket.mRate);
    if (bucket.mHeld < 1) {
      return 429;
    }
    bucket.mHeld -= 1;
    return 0;
  }

private:
  std::mutex mMutex;
  std::map<std::string, std::size_t> mTeamOfKey;
  std::vector<ShareBucket> mBuckets;
};

/** Hands out addresses in turn. */
class RoundRobin
{
public:
  explicit RoundRobin(const std::string& aText)
  {
    std::istringstream stream(aText);
    std::string item;
    while (std::getline(stream, item, ',')) {
      mAddresses.push_back(item.substr(0, item.find('@')));
    }
  }

  const std::string& Next() { return mAddresses[mTurn++ % mAddresses.size()]; }

private:
  std::vector<std::string> mAddresses;
  std::atomic<std::size_t> mTurn{ 0 };
};

HttpResponse
Refuse(int aStatus, const char* aReason)
{
  HttpResponse response;
  response.mStatus = aStatus;
  response.mHeaders["Content-Type"] = "application/problem+json";
  response.mBody = json{ { "title", aReason } }.dump();
  return response;
}

/** Routes by turn, first come first served, without limits of queues. */
class NaiveRouter
{
public:
  explicit NaiveRouter(const json& aDocument)
    : mShares(aDocument)
    , mEngines(FLAGS_engines)
    , mServices(FLAGS_services)
  {
  }

  HttpResponse Handle(const HttpRequest& aRequest)
  {
    const int refusal = mShares.Admit(aRequest);
    if (refusal != 0) {
      return Refuse(refusal,
                    refusal == 429 ? "team-rate-exceeded" : "unauthenticated");
    }
    const bool isChat = aRequest.mPath == "/v1/chat/completions";
    HttpCall call;
    call.mMethod = aRequest.mMethod;
    call.mUrl =
      "http://" + (isChat ? mEngines : mServices).Next() + aRequest.mTarget;
    call.mBody = aRequest.mBody;
    call.mTimeout = kCallLimit;
    call.mIdleTimeout = kIdleLimit;
    for (const char* name : { "Content-Type", "Idempotency-Key" }) {
      const auto header = aRequest.mHeaders.find(name);
      if (header != aRequest.mHeaders.end()) {
        call.mHeaders[name] = header->second;
      }
    }
    return Relay(std::move(call));
  }

private:
  static HttpResponse Relay(HttpCall aCall)
  {
    auto stream = std::make_unique<RelayedStream>(std::move(aCall));
    HttpHeaders headers;
    const int status = stream->WaitForHead(headers);
    if (status == 0) {
      return Refuse(502, "backend-failed");
    }
    HttpResponse response;
    response.mStatus = status;
    response.mHeaders["Content-Type"] = headers["Content-Type"];
    response.mStream = std::move(stream);
    return response;
  }

  StaticShares mShares;
  RoundRobin mEngines;
  RoundRobin mServices;
};

} // namespace

} // namespace medlarkeel

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::ifstream file(FLAGS_document);
  medlarkeel::NaiveRouter router(nlohmann::json::parse(file));
  medlarkeel::HttpServerOptions options;
  options.mPort = static_cast<std::uint16_t>(FLAGS_port);
  const auto server = medlarkeel::HttpServer::Start(
    options, [&](const medlarkeel::HttpRequest& aRequest) {
      return router.Handle(aRequest);
    });
  if (!server.has_value()) {
    std::fprintf(stderr, "%s\n", server.error().mDetail.c_str());
    return 1;
  }
  int signal = 0;
  sigwait(&signals, &signal);
  std::_Exit(0);
}
