#pragma once

#include "../libmedlarkeel/types.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarkeel {

/** Names of the header fields that callers and backend servers use. */
struct WireProtocol
{
  /** Names a request; backend servers repeat it in their answer. */
  std::string mRequestId;
  /** Milliseconds that the caller, or the server, has left. */
  std::string mTimeLeft;
  /** Authentication scheme with the space behind it. */
  std::string mKeyScheme;
  /** Team of the caller, for backend servers. */
  std::string mTeam;
  /** Backend server that alone may run the request. */
  std::string mExpectedBackend;
  /** Present in answers to requests that did not run. */
  std::string mNotRun;
  /** Present in the answers of backend servers that are shutting down. */
  std::string mLeaving;
  /** Requests per second that a backend server accepts from all entries. */
  std::string mRequestLimit;
  /** Rank of the request at the backend server, 0 first. */
  std::string mPriority;
  /** Greatest rank that backend servers know. */
  int mMostPriority = 9;
  /** Parts of the prompt. */
  std::string mPromptParts;
  /** Sizes of prompt and output in tokens. */
  std::string mPromptSize;
  /** Path at which servers of model pools tell their state; empty without one.
   */
  std::string mStatusPath;
  /** Reads from the answer when the server's process started, by wall clock. */
  std::optional<Milliseconds> (*mReadStartTime)(std::string_view aBody) =
    nullptr;
  /** Fields of callers that are not passed on. */
  std::vector<std::string> mReserved;
};

} // namespace medlarkeel
