#pragma once

#include "admittedrequest.h"
#include "agentstream.h"
#include "attempttracker.h"
#include "entrycore.h"
#include "httpmessage.h"
#include "servereventcounter.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace medlarkeel {

class AgentChannels;

/** What a request's relay works with; outlives every relay. */
struct RelayEnvironment
{
  EntryCore& mCore;
  AgentChannels& mChannels;
  StreamWatchdog& mWatchdog;
};

/** What the caller gets next. */
struct RelayStep
{
  enum class Kind
  {
    Head,
    Data,
    KeepAlive,
    Finished,
    Refused,
    Aborted
  };

  Kind mKind = Kind::KeepAlive;
  std::string mData;
  Refusal mRefusal;
};

/**
 * Carries one request from its admission to the last byte: carries out what
 * the attempt tracker says and feeds it the agents' frames. Used by one thread
 * at a time.
 */
class RequestRelay
{
public:
  RequestRelay(RelayEnvironment aEnvironment, AdmittedRequest aRequest);
  ~RequestRelay();

  RequestRelay(const RequestRelay&) = delete;
  RequestRelay& operator=(const RequestRelay&) = delete;

  /** Blocks until there is something for the caller. */
  RelayStep Next();

  const AdmittedRequest& Request() const { return mRequest; }

  /** Status and content type of the answer; set once a Head step came. */
  int Status() const { return mStatus; }
  const std::string& ContentType() const { return mContentType; }

private:
  std::optional<RelayStep> CarryOutNext();
  std::optional<RelayStep> CarryOut(const AttemptAction& aAction);
  std::optional<RelayStep> End(RelayStep::Kind aKind, const Refusal& aRefusal);
  std::optional<RelayStep> Step();
  /** Runs an event of the tracker and queues what it says. */
  void Track(const std::function<AttemptActions()>& aEvent);
  std::optional<std::uint64_t> BeginAttempt(const InstanceId& aAgent);

  void ChooseAgent();
  void ConfirmGrant();
  void SendCommit(const SendCommit& aAction);
  void CancelAttempt(std::uint64_t aAttempt);
  wire::Reserve MakeReserve(std::uint64_t aAttempt) const;

  std::optional<RelayStep> ReadFrame();
  std::optional<RelayStep> HandleFrame(const wire::AgentFrame& aFrame);
  void HandleGranted(const wire::Granted& aGranted);
  void HandleRefused(const wire::Refused& aRefused);
  void HandleHead(const wire::Head& aHead);
  std::optional<RelayStep> HandleChunk(const wire::Chunk& aChunk);
  /** Measures the delay of a piece that goes to the caller. */
  void RecordPiece(Timestamp aNow);
  void HandleDone(const wire::Done& aDone);
  void HandleLost();
  void CheckCallerAndDeadline();
  RequestEnd OutcomeOf(RelayStep::Kind aKind, const Refusal& aRefusal) const;

  RelayEnvironment mEnvironment;
  const AdmittedRequest mRequest;
  AttemptTracker mTracker;
  std::deque<AttemptAction> mActions;
  std::unique_ptr<AgentStream> mStream;
  std::uint64_t mAttempt = 0;
  InstanceId mAgent;
  ChoiceRequest mChoiceRequest;
  Timestamp mReservedAt;
  Timestamp mCommittedAt;
  std::optional<Timestamp> mFirstByteAt;
  std::uint64_t mEvents = 0;
  ServerEventCounter mEventCounter;
  Timestamp mLastPieceAt;
  int mStatus = 0;
  std::string mContentType;
  std::optional<RelayStep> mEnded;
};

} // namespace medlarkeel
