#pragma once

#include "answerstream.h"
#include "httpmessage.h"
#include "refusal.h"
#include "types.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace medlarkeel {

class PreparedConnection;

/** A call to the backend server beside this agent. */
struct BackendRequest
{
  std::string mMethod;
  std::string mPath;
  std::string mContentType;
  std::string mBody;
  RequestId mRequest;
  IdempotencyKey mKey;
  /** Longest time the whole call may take. */
  Milliseconds mTimeout{ 0 };
  /** Connection made for this call ahead of it, or none. */
  std::shared_ptr<PreparedConnection> mConnection;
  AnswerLimits mLimits;
};

enum class CallEnd
{
  /** The answer is complete. */
  Complete,
  /** The connection failed before the backend server could have run it. */
  NotRun,
  /** The call failed after the request was sent. */
  Broken,
  /** The observer ended the call. */
  Stopped
};

/** How a call ended. */
struct CallResult
{
  CallEnd mEnd = CallEnd::NotRun;
  /** Why the answer is broken, if that is known. */
  std::optional<AnswerFault> mFault;
};

/** Observes a call on the thread that makes it. */
class BackendCallObserver
{
public:
  virtual ~BackendCallObserver() = default;

  virtual void CallAnswered(int aStatus, const std::string& aContentType) = 0;
  /** Event streams arrive in complete events.
   *
   * @return Whether to go on. */
  virtual bool DataArrived(std::string_view aBytes) = 0;
};

/**
 * Makes the call and blocks until it has ended.
 *
 * @param aBaseUrl "http://" and the backend server's IP number and port.
 * @param aShouldStop Asked at short intervals; true ends the call.
 */
CallResult
CallBackend(const std::string& aBaseUrl,
            const BackendRequest& aRequest,
            const std::function<bool()>& aShouldStop,
            BackendCallObserver& aObserver);

} // namespace medlarkeel
