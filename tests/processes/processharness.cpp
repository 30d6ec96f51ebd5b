#include "processharness.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace medlarkeel {

namespace {

std::string
MakeFolder()
{
  std::string pattern =
    (std::filesystem::temp_directory_path() / "medlarkeel-XXXXXX").string();
  BOOST_REQUIRE(mkdtemp(pattern.data()) != nullptr);
  return pattern;
}

void
ReadEvent(const std::string& aData, StreamedAnswer& aAnswer)
{
  if (aData == "[DONE]") {
    aAnswer.mDone = true;
    return;
  }
  const auto event = nlohmann::json::parse(aData, nullptr, false);
  if (!event.is_object() || !event.contains("choices")) {
    return;
  }
  aAnswer.mContent += event["choices"][0]["delta"].value("content", "");
}

void
ReadEvents(StreamedAnswer& aAnswer)
{
  std::istringstream lines(aAnswer.mBody);
  for (std::string line; std::getline(lines, line);) {
    if (line.rfind("event: error", 0) == 0) {
      aAnswer.mErrorEvent = true;
    }
    if (line.rfind("data: ", 0) == 0) {
      ReadEvent(line.substr(6), aAnswer);
    }
  }
}

} // namespace

ProcessHarness::ProcessHarness()
  : mFolder(MakeFolder())
{
}

ProcessHarness::~ProcessHarness()
{
  mProcesses.clear();
  std::error_code ignored;
  std::filesystem::remove_all(mFolder, ignored);
}

ChildProcess&
ProcessHarness::Start(const std::string& aName,
                      const std::string& aProgram,
                      const std::vector<std::string>& aArguments)
{
  const char* binaries = std::getenv("MEDLARKEEL_BIN");
  BOOST_REQUIRE(binaries != nullptr);
  mProcesses.push_back(std::make_unique<ChildProcess>(
    std::string(binaries) + "/" + aProgram, aArguments, PathOf(aName)));
  return *mProcesses.back();
}

std::string
ProcessHarness::WriteFile(const std::string& aName, const std::string& aText)
{
  std::string path = PathOf(aName);
  std::ofstream(path) << aText;
  return path;
}

std::string
ProcessHarness::PathOf(const std::string& aName) const
{
  return (mFolder / aName).string();
}

std::string
LocalUrl(std::uint16_t aPort, const std::string& aPath)
{
  return "http://127.0.0.1:" + std::to_string(aPort) + aPath;
}

bool
WaitReady(std::uint16_t aPort,
          const std::string& aPath,
          std::chrono::milliseconds aLimit)
{
  return WaitUntil(aLimit, [&] {
    HttpCall call;
    call.mUrl = LocalUrl(aPort, aPath);
    const auto reply = SendHttp(call);
    return reply.has_value() && reply.value().mStatus == 200;
  });
}

nlohmann::json
GetJson(std::uint16_t aPort, const std::string& aPath)
{
  HttpCall call;
  call.mUrl = LocalUrl(aPort, aPath);
  const auto reply = SendHttp(call);
  if (!reply.has_value()) {
    return nlohmann::json::object();
  }
  auto result = nlohmann::json::parse(reply.value().mBody, nullptr, false);
  return result.is_object() ? result : nlohmann::json::object();
}

int
SendJson(std::uint16_t aPort,
         const std::string& aMethod,
         const std::string& aPath,
         const nlohmann::json& aBody)
{
  HttpCall call;
  call.mMethod = aMethod;
  call.mUrl = LocalUrl(aPort, aPath);
  call.mBody = aBody.dump();
  const auto reply = SendHttp(call);
  return reply.has_value() ? reply.value().mStatus : 0;
}

StreamedAnswer
ReadStream(const HttpCall& aCall, const DataReader& aOnData)
{
  StreamedAnswer result;
  const auto onHead = [&result](int aStatus, const HttpHeaders&) {
    result.mStatus = aStatus;
  };
  const auto onData = [&](std::string_view aData) {
    result.mBody.append(aData);
    return !aOnData || aOnData(aData);
  };
  const auto end = StreamHttp(aCall, onHead, onData);
  result.mCleanEnd = end && end.value() != TransferEnd::Close;
  ReadEvents(result);
  return result;
}

HttpCall
ChatCall(std::uint16_t aPort,
         const std::string& aMarker,
         std::size_t aTokens,
         bool aStreams)
{
  HttpCall result;
  result.mMethod = "POST";
  result.mUrl = LocalUrl(aPort, "/v1/chat/completions");
  result.mTimeout = std::chrono::seconds(60);
  result.mHeaders["Content-Type"] = "application/json";
  const nlohmann::json message = { { "role", "user" },
                                   { "content", "Draft for " + aMarker } };
  result.mBody =
    nlohmann::json({ { "model", "proclamation" },
                     { "stream", aStreams },
                     { "max_tokens", aTokens },
                     { "messages", nlohmann::json::array({ message }) } })
      .dump();
  return result;
}

std::string
ExpectedContent(const std::string& aMarker, std::size_t aTokens)
{
  std::string result;
  for (std::size_t token = 0; token < aTokens; ++token) {
    result += aMarker + "#" + std::to_string(token) + " ";
  }
  return result;
}

} // namespace medlarkeel
