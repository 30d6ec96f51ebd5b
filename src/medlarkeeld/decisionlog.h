#pragma once

#include "decisionrecord.h"
#include "eventlog.h"

#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace medlarkeel {

/**
 * Writes events to the log and keeps the latest decisions on requests, so that
 * an operator can ask how one request was handled.
 */
class DecisionLog
{
public:
  /** @param aLog Gets every event; outlives this object. */
  explicit DecisionLog(EventLog& aLog)
    : mLog(aLog)
  {
  }

  /** Writes one event; a field "request" makes it a decision to keep. */
  void Write(Event aEvent, const EventFields& aFields);

  /** @return The decisions that are still kept on a request, oldest first. */
  std::vector<DecisionRecord> Find(const std::string& aRequest);

private:
  struct KeptDecision
  {
    std::string mRequest;
    DecisionRecord mRecord;
  };

  EventLog& mLog;
  std::mutex mMutex;
  std::deque<KeptDecision> mKept;
};

} // namespace medlarkeel
