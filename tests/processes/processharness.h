#pragma once

#include "../support/childprocess.h"
#include "../support/freeport.h"
#include "../support/waituntil.h"
#include "httpclient.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace medlarkeel {

/** Environment of the test programs: where the programs and files are. */
class ProcessHarness
{
public:
  ProcessHarness();
  /** Kills what still runs and removes the files. */
  ~ProcessHarness();
  ProcessHarness(const ProcessHarness&) = delete;
  ProcessHarness& operator=(const ProcessHarness&) = delete;

  /**
   * Starts one of the project's programs.
   *
   * @param aName Name of its log file.
   * @param aProgram File name of the program.
   */
  ChildProcess& Start(const std::string& aName,
                      const std::string& aProgram,
                      const std::vector<std::string>& aArguments);

  /** @return The path of the new file. */
  std::string WriteFile(const std::string& aName, const std::string& aText);

  std::string PathOf(const std::string& aName) const;

private:
  std::filesystem::path mFolder;
  std::vector<std::unique_ptr<ChildProcess>> mProcesses;
};

std::string
LocalUrl(std::uint16_t aPort, const std::string& aPath);

/** @return Whether GET on the path answers with 200 within the limit. */
bool
WaitReady(std::uint16_t aPort,
          const std::string& aPath,
          std::chrono::milliseconds aLimit = std::chrono::seconds(15));

/** @return The JSON object that the path answers with; empty on failure. */
nlohmann::json
GetJson(std::uint16_t aPort, const std::string& aPath);

/** Sends a JSON object. @return The status; 0 without a reply. */
int
SendJson(std::uint16_t aPort,
         const std::string& aMethod,
         const std::string& aPath,
         const nlohmann::json& aBody);

/** A streamed answer as its caller saw it. */
struct StreamedAnswer
{
  int mStatus = 0;
  std::string mBody;
  /** All "content" texts in the order of their arrival. */
  std::string mContent;
  /** Whether the connection marked the body's end. */
  bool mCleanEnd = false;
  /** Whether "[DONE]" arrived. */
  bool mDone = false;
  /** Whether an error event arrived. */
  bool mErrorEvent = false;
};

/** Takes a streamed answer to its end; aOnData may stop it by false. */
StreamedAnswer
ReadStream(const HttpCall& aCall, const DataReader& aOnData = nullptr);

/** @return A chat call whose answer's tokens carry the marker. */
HttpCall
ChatCall(std::uint16_t aPort,
         const std::string& aMarker,
         std::size_t aTokens,
         bool aStreams = true);

/** @return The content that fakeengine makes of such a call. */
std::string
ExpectedContent(const std::string& aMarker, std::size_t aTokens);

} // namespace medlarkeel
