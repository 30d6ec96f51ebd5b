#pragma once

#include "../libmedlarkeel/forwarding/answerbody.h"
#include "../libmedlarkeel/forwarding/attemptdecision.h"
#include "answertext.h"
#include "deliverywatch.h"
#include "forwarder.h"
#include "messageparser.h"
#include "processwatch.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace medlarkeel {

class CallerConnection;
struct CheckedProcess;

/** What callers of a process that shuts down are told. */
constexpr const char* kShutdownReason = "the entry is shutting down";

/** Time after which callers that are refused during a shutdown should retry. It
 * is short because other entries serve them. */
constexpr Milliseconds kShutdownRetryDelay{ 50 };

/**
 * One request from its arrival to its final answer: chooses backend servers,
 * sends the request, judges answers and passes one of them on.
 */
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(Forwarder& aForwarder,
           std::shared_ptr<CallerConnection> aCaller,
           MessageHead aHead,
           std::string aBody,
           bool aKeepOpen);

  void Start();

  /** Ends the request because its caller has left. */
  void Cancel();

  /** Ends the request with an answer because the process ends. */
  void EndForShutdown();

  /** Goes on reading the answer after the caller has taken what it got. */
  void ResumeReading();

  /** @return Bytes of the request and of answers that are held. */
  std::size_t HeldBytes() const;

private:
  using Error = boost::system::error_code;

  /** One send to a backend server. */
  struct Attempt
  {
    BackendChoice mChoice;
    BackendConnectionPointer mConnection;
    std::unique_ptr<AnswerParser> mParser;
    std::string mInput;
    /** Head of the request as it is sent. */
    std::string mRequestHead;
    AnswerBody mBody;
    /** What is passed on only when the answer is complete. */
    std::string mHeldBody;
    std::array<char, 16384> mBuffer{};
    bool mIsRequestWritten = false;
    bool mHasHead = false;
    bool mHasFirstByte = false;
    /** The answer belongs to an earlier request on the connection. */
    bool mIsForeign = false;
    /** Nothing is read until the caller has taken what it got. */
    bool mIsPaused = false;
    /** How a failed answer counts once it is complete. */
    std::optional<AttemptOutcome> mFailure;
    /** Why the answer is broken, for AttemptOutcome::Broken. */
    std::optional<AnswerFault> mFault;
    /** Expected time to the first event; only of the attempt that admission was
     * decided for. */
    std::optional<Milliseconds> mForecast;
    /** When the server's process started, if its entry has it. */
    std::optional<Milliseconds> mProcessStartedAt;
    /** Observes the process while it sends an answer that ends with its
     * connection. */
    std::shared_ptr<ProcessWatch> mWatch;
    /** Observes whether the request arrives. */
    std::shared_ptr<DeliveryWatch> mDelivery;
    Timestamp mBegunAt;
    /** When the request was written to the connection. */
    Timestamp mSentAt;
    Timestamp mFirstByteAt;
    /** Interim answers, and those to other requests, that were skipped. */
    int mOtherAnswers = 0;
    /** Body bytes of skipped answers. */
    std::size_t mForeignBytes = 0;
  };
  using AttemptPointer = std::shared_ptr<Attempt>;

  bool FindRoute();
  bool CheckKey();
  bool ReadTimeLimit();
  void ReadPrompt();
  void PickPool();
  void StartTimer();
  void TryBackend();
  /** Requests a permit for a server that limits its requests. Without one, the
   * request goes to another server or is refused. */
  void RequestPermit(const BackendChoice& aChoice);
  void HandlePermitResult(const BackendChoice& aChoice,
                          const PermitResult& aResult);
  void StartAttempt(const BackendChoice& aChoice);
  /** @return Whether the request may be sent; it is refused if not. */
  bool IsAdmitted(const BackendChoice& aChoice);
  /** Adds the tiers of the request and the load at its admission. */
  void AddAdmissionFields(EventFields& aFields) const;
  void SendRequest(const AttemptPointer& aAttempt);
  std::string RequestHeadText(const Attempt& aAttempt) const;
  void ReadAnswer(const AttemptPointer& aAttempt);
  void TakeBytes(const AttemptPointer& aAttempt,
                 const Error& aError,
                 std::size_t aSize);
  /** Handles the end of the connection to the server.
   *
   * @param aIsClosed Whether it was closed, not reset. */
  void HandleConnectionEnd(const AttemptPointer& aAttempt, bool aIsClosed);
  bool TakeHead(const AttemptPointer& aAttempt);
  /** @return Whether one more answer before the right one is allowed. */
  bool SkipsOtherAnswer(const AttemptPointer& aAttempt);
  /** Notes what a server says of itself in the head of an answer. */
  void RecordServerState(const Attempt& aAttempt, const MessageHead& aHead);
  /** Records the request limit that the answer states, or that it states none.
   */
  void RecordRequestLimit(const Attempt& aAttempt, const MessageHead& aHead);
  void TakeBody(const AttemptPointer& aAttempt, ParseState aState);
  void RecordFirstByte(Attempt& aAttempt);
  /** Records the error of an attempt's forecast.
   *
   * @param aActual Time from sending the request to its first event. */
  void RecordForecastError(const Attempt& aAttempt,
                           Microseconds aActual,
                           Timestamp aNow);
  /** Records the error of the forecast if an attempt that ends without a first
   * event has taken longer than expected. */
  void RecordLateForecast(const Attempt& aAttempt);
  /** @return Whether the answer's events are passed on as they arrive. */
  bool PassesEvents(const Attempt& aAttempt) const;
  /** Passes complete events on.
   *
   * @param aFault Why the answer breaks off behind them, if it does. */
  void PassEvents(const AttemptPointer& aAttempt,
                  const std::string& aEvents,
                  bool aIsEnd,
                  std::optional<AnswerFault> aFault);
  /** Takes the end of an answer that is passed on only when it is complete. */
  void EndHeldAnswer(const AttemptPointer& aAttempt,
                     std::optional<AnswerFault> aFault);
  /** Finishes an answer whose transfer has ended without a fault, after a check
   * of the server's process if its end needs one. */
  void CompleteAnswer(const AttemptPointer& aAttempt);
  /** @return The process that answers. */
  CheckedProcess ProcessOf(const Attempt& aAttempt) const;
  /** Asks the server whether its process still runs. */
  void CheckProcess(const AttemptPointer& aAttempt);
  /** Finishes an answer, or ends it as broken if the process has ended. */
  void FinishIfRunning(const AttemptPointer& aAttempt, bool aIsRunning);
  /** Passes a complete answer on, or decides what follows on a failure. */
  void FinishAnswer(const AttemptPointer& aAttempt);
  void EndAttempt(const AttemptPointer& aAttempt, AttemptOutcome aOutcome);
  /** Ends an attempt whose answer is broken. */
  void EndBroken(const AttemptPointer& aAttempt, AnswerFault aFault);
  void Follow(NextStep aStep, AttemptOutcome aOutcome);
  void PassWhole(const MessageHead& aHead, const std::string& aBody);
  void ReleaseAttempt(const AttemptPointer& aAttempt, bool aIsReusable);
  void Refuse(int aStatus, const std::string& aReason);
  void Reject(int aStatus, const std::string& aReason);
  /** @return Whether the answer ends with its head. */
  bool IsHeadOnly() const { return mHead.mMethod == "HEAD"; }
  void SendOwnAnswer(int aStatus,
                     const std::string& aReason,
                     std::optional<Milliseconds> aRetryAfter);
  void CutStream(const std::string& aReason);
  void TimeOut();
  void Finish(bool aKeepOpen);
  /** Marks the request as done and releases its body; handlers that are still
   * to be called keep this object, but need nothing of it. */
  void End();
  /** Adds how the answer ended and, for a stream, how far it came. */
  void AddAnswerFields(EventFields& aFields) const;
  /** Adds the type of an answer and how its end was judged. */
  static void AddBodyFields(const Attempt& aAttempt, EventFields& aFields);
  void LogEnd(Event aEvent, int aStatus, const std::string& aReason);
  Milliseconds Elapsed() const;
  /** @return Time until the request is given up. */
  Milliseconds TimeLeft() const;
  /** Refuses a request that can't end before the process does. */
  void RefuseForShutdown();
  /** Refuses a request that can't be served before the next document. */
  void RefuseForDocument(const std::string& aReason);
  Milliseconds RetryTime();
  /** @return A random time up to the one given. */
  Milliseconds SpreadDelay(Milliseconds aLongest);
  /** Notes at the chooser how an attempt has failed. */
  void RecordFailure(const Attempt& aAttempt, AttemptOutcome aOutcome);
  bool TakesRetry();

  Forwarder& mForwarder;
  std::shared_ptr<CallerConnection> mCaller;
  MessageHead mHead;
  /** Shared by all attempts; null once it can't be sent again. */
  std::shared_ptr<const std::string> mBody;
  /** The body as long as anything holds it, also a write that goes on. */
  std::weak_ptr<const std::string> mBodyInUse;
  std::size_t mHeadBytes = 0;
  bool mKeepOpen;
  ForwardingDocumentPointer mDocument;
  const ForwardRoute* mRoute = nullptr;
  const ForwardTeam* mTeam = nullptr;
  const ForwardPool* mPool = nullptr;
  std::string mRequestId;
  std::optional<PromptDescription> mPrompt;
  Timestamp mArrived;
  Timestamp mGiveUpAt;
  /** How long the caller waits in all, as it said; else the route's time. */
  Milliseconds mTimeLimit{ 0 };
  boost::asio::steady_timer mTimer;
  AttemptHistory mHistory;
  std::set<InstanceId> mTried;
  AttemptPointer mAttempt;
  std::optional<BackendChoice> mLastChoice;
  /** Decides on partial refusals; the same for each choice of a server. */
  std::optional<double> mRefusalSample;
  /** The last decision on admission; nothing if none was needed. */
  std::optional<AdmissionDecision> mAdmission;
  /** Forecast for the attempt that is sent next; nothing if admission wasn't
   * decided for it. */
  std::optional<Milliseconds> mNextForecast;
  /** Forecast minus actual time, once the first event has arrived. */
  std::optional<Milliseconds> mForecastError;
  /** When a refused caller should come back, if that is known. */
  std::optional<Milliseconds> mRetryDelay;
  /** Whether the head of the answer has been passed on. */
  bool mHasAnswered = false;
  bool mIsChunked = true;
  bool mIsDone = false;
  /** Id of the last event that the caller has; empty if it has none. */
  std::string mLastEventId;
  /** Runs at other servers that continued the stream. */
  int mContinuations = 0;
  /** How the transfer of a complete answer ended. */
  std::optional<TransferEnd> mTransferEnd;
  /** Type of a complete answer and how its end was judged. */
  EventFields mBodyFields = EventFields::object();
  Microseconds mFirstByteAfter{ 0 };
};

} // namespace medlarkeel
