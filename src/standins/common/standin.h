#pragma once

#include "httpserver.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdint>
#include <cstdio>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace medlarkeel {

inline HttpResponse
JsonResponse(int aStatus, const nlohmann::json& aBody)
{
  HttpResponse result;
  result.mStatus = aStatus;
  result.mHeaders["Content-Type"] = "application/json";
  result.mBody = aBody.dump();
  return result;
}

/** @return The body as a JSON object; an empty one if it is none. */
inline nlohmann::json
ParseObject(const std::string& aText)
{
  nlohmann::json result = nlohmann::json::parse(aText, nullptr, false);
  return result.is_object() ? result : nlohmann::json::object();
}

/** Remembers the headers and bodies that reached a stand-in. */
class SeenTexts
{
public:
  void Add(const HttpRequest& aRequest)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    for (const auto& [name, value] : aRequest.mHeaders) {
      mNames.insert(name);
      Keep(value);
    }
    Keep(aRequest.mBody);
    Keep(aRequest.mPath);
  }

  /** @return The names of all headers seen. */
  nlohmann::json HeaderNames() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mNames;
  }

  /** @return Whether any header value, path or body held the text. */
  bool Contains(const std::string& aText) const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    for (const std::string& text : mTexts) {
      if (text.find(aText) != std::string::npos) {
        return true;
      }
    }
    return false;
  }

private:
  static constexpr std::size_t kLongestList = 20000;

  void Keep(const std::string& aText)
  {
    if (mTexts.size() < kLongestList) {
      mTexts.insert(aText);
    }
  }

  mutable std::mutex mMutex;
  std::set<std::string, LessIgnoringCase> mNames;
  std::set<std::string> mTexts;
};

/** Serves until SIGTERM or SIGINT. @return The program's exit code. */
inline int
ServeUntilSignal(std::int32_t aPort, HttpServer::Handler aHandler)
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  HttpServerOptions options;
  options.mPort = static_cast<std::uint16_t>(aPort);
  options.mBodyLimit = 4U << 20U;
  const auto server = HttpServer::Start(options, std::move(aHandler));
  if (!server.has_value()) {
    std::fprintf(stderr, "%s\n", server.error().mDetail.c_str());
    return 1;
  }
  std::printf("listening on port %d\n", server.value()->Port());
  std::fflush(stdout);
  int signal = 0;
  sigwait(&signals, &signal);
  std::_Exit(0);
}

} // namespace medlarkeel
