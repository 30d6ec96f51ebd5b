#pragma once

#include "forwarding/answerend.h"
#include "refusal.h"
#include "types.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace medlarkeel {

/** How a request ended, as its caller saw it. */
enum class RequestOutcome
{
  Completed,
  Refused,
  Failed,
  Cancelled
};

/** Whether tokens that an engine made reached a caller. */
enum class TokenUse
{
  Useful,
  Wasted
};

/**
 * Counts what one process does, for Prometheus. Threads may share it. Classes
 * beyond the first 64 are counted together as "other", so that the number of
 * time series is bounded.
 */
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /**
   * Counts a request that has ended.
   *
   * @param aClass The request's class.
   * @param aOutcome How it ended.
   * @param aAttained Whether it met its class's service level.
   */
  void CountRequest(const ClassName& aClass,
                    RequestOutcome aOutcome,
                    bool aAttained);
  void CountRefusal(RefusalReason aReason, Executed aExecuted);
  /** @param aDelay Time from the request's arrival to the first byte. */
  void ObserveFirstByte(const ClassName& aClass, Microseconds aDelay);
  /** @param aGap Time between two pieces of one answer. */
  void ObserveTokenGap(const ClassName& aClass, Microseconds aGap);
  void CountTokens(const ClassName& aClass, TokenUse aUse, std::size_t aCount);
  void CountControlBytesSent(std::size_t aBytes);
  /** Counts a late or doubled frame that no caller gets. */
  void CountDroppedFrame();
  void CountBrokenAnswer(AnswerFault aFault);
  void SetRunning(std::size_t aCount);
  void SetQueued(std::size_t aCount);
  /** Sets what arriving requests hold, and how many of them were ended for
   * their memory since the start. */
  void SetUploads(std::size_t aHeldBytes, std::size_t aCut);
  void SetDocumentVersion(std::uint64_t aVersion);

  /** @return The text that GET /metrics answers with. */
  std::string Render() const;

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace medlarkeel
