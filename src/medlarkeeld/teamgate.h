#pragma once

#include "documentview.h"
#include "instancelist.h"
#include "teamlimiter.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <vector>

namespace medlarkeel {

/**
 * The team limiter of one entry behind one mutex. Waits a bounded time for
 * tokens that are on their way from other entries.
 */
class TeamGate
{
public:
  using Sender = std::function<void(std::vector<LimitMessage>)>;

  /** @param aSender Sends messages without blocking. */
  TeamGate(const InstanceId& aSelf,
           const TeamLimiterSettings& aSettings,
           std::uint64_t aSeed,
           Sender aSender);

  /** Admits or refuses one request of a team. */
  AdmitVerdict Admit(const TeamName& aTeam);

  void ApplyDocument(const DocumentView& aView);
  void SetLimits(const std::vector<TeamLimit>& aLimits);
  void ApplyList(const InstanceList& aList,
                 Timestamp aSentAt,
                 Timestamp aReceivedAt);

  /** @return Messages to send in answer. */
  std::vector<LimitMessage> Receive(const LimitMessage& aMessage);

  /** Does all timed work; called at short intervals. */
  void Tick();

  void ResumeAfterPause();

  /** See TeamLimiter::IsWithinReach(). */
  bool IsWithinReach();

private:
  std::mutex mMutex;
  std::condition_variable mAnswered;
  /** Messages received so far. */
  std::uint64_t mAnswers = 0;
  TeamLimiter mLimiter;
  const Sender mSender;
};

} // namespace medlarkeel
