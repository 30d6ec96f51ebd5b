#pragma once

#include "fakestore.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <list>
#include <mutex>
#include <vector>

namespace medlarkeel {

/** What a backend server of the stand-ins does to its next answers. */
enum class ServerFault : std::uint8_t
{
  None,
  /** Runs, and closes the connection without an answer. */
  LoseAnswer,
  /** Runs, and cuts the answer in the middle. */
  CutAnswer,
  /** Runs, and ends a stream inside an event as the framing ends an answer. */
  EndInsideEvent,
  /** Runs, and sends bytes that are no answer. */
  GarbleAnswer,
  /** Runs, and sends a second answer behind the first. */
  ExtraAnswer,
  /** Runs, and answers 500. */
  Fail,
  /** Reads the request and answers nothing while the connection lasts. */
  KeepSilent,
  /** Answers before it has read the whole body, which it reads later. */
  AnswerEarly
};

/** How streams of a stand-in are framed. */
enum class StreamFraming : std::uint8_t
{
  Chunks,
  Length,
  /** The stream ends with its connection. */
  Close
};

struct FakeServerSettings
{
  std::string mId = "i-1";
  std::string mService = "desk";
  std::string mZone = "zone-0";
  /** Requests at once; as many more wait. */
  std::size_t mSlots = 6;
  /** Time until a plain answer, or until the first event. */
  Milliseconds mWork{ 5 };
  /** Events of an answer of a stream. */
  int mEvents = 5;
  Milliseconds mEventPause{ 20 };
  /** Bytes that are added to the data of each event. */
  std::size_t mEventPadding = 0;
  StreamFraming mFraming = StreamFraming::Chunks;
  /** Time for which the server is cold after its start. */
  Milliseconds mCold{ 0 };
};

/** What a backend server saw of one request. */
struct ServedRequest
{
  using Time = std::chrono::steady_clock::time_point;

  std::string mId;
  std::string mTarget;
  std::string mHead;
  std::string mBody;
  Time mArrivedAt;
  Time mEndedAt;
  /** Status of the answer; 0 while there is none. */
  int mStatus = 0;
  bool mHasRun = false;
  /** Whether the connection was closed while the request waited or ran. */
  bool mWasCancelled = false;
  bool mWasCold = false;
};

/**
 * Stand-in of a backend server of the platform, plain or with streams of
 * events: registers itself in the store and renews its entry, runs a number of
 * requests at once and the urgent ones first, says of what it refuses that it
 * didn't run, and answers with its stamp.
 */
class FakeServer
{
public:
  FakeServer(FakeStore& aStore, const FakeServerSettings& aSettings);
  ~FakeServer();
  FakeServer(const FakeServer&) = delete;
  FakeServer& operator=(const FakeServer&) = delete;

  /** Does this to the next answers. */
  void SetFault(ServerFault aFault, int aAnswers);

  /** Sets the request limit that answers state, as the text of its field; an
   * empty text for none. */
  void SetRequestLimit(const std::string& aText);

  /** Publishes that the server leaves; it goes on serving. */
  void Drain();

  /** Ends all connections and takes no new one; the entry stays. */
  void Crash();

  /** Starts anew under the same id, at the same address, cold. */
  void Restart();

  /** @return Everything that arrived, in order of arrival. */
  std::vector<ServedRequest> Requests() const;

  /** @return The body of a whole answer. */
  static std::string PlainBody(const std::string& aRequestId);

  /** @return The body of a whole stream. */
  std::string StreamBody(const std::string& aRequestId) const;

private:
  class Session;
  friend class Session;

  void Accept();
  void Run(const std::function<void()>& aTask);
  void Publish();
  void RenewLater();
  /** Lets the most urgent waiting request run if there is room. */
  void Admit();
  /** @return The fault of the next answer. */
  ServerFault TakeFault();
  bool IsCold() const;

  FakeStore& mStore;
  FakeServerSettings mSettings;
  boost::asio::io_context mContext;
  boost::asio::ip::tcp::acceptor mAcceptor;
  Endpoint mAddress;
  boost::asio::steady_timer mRenewTimer;
  std::string mState = "ready";
  std::string mRequestLimit;
  std::uint64_t mSequence = 0;
  std::int64_t mBornMs = 0;
  std::chrono::steady_clock::time_point mStartedAt;
  bool mIsUp = true;
  std::set<std::shared_ptr<Session>> mSessions;
  std::vector<std::shared_ptr<Session>> mWaiting;
  std::size_t mRunning = 0;
  ServerFault mFault = ServerFault::None;
  int mFaultyAnswers = 0;
  mutable std::mutex mMutex;
  std::list<ServedRequest> mRequests;
  std::thread mThread;
};

} // namespace medlarkeel
