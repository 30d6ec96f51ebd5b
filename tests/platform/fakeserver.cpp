#include "fakeserver.h"

#include "../../src/libmedlarkeelforward/answertext.h"
#include "../support/loopback.h"

#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <future>

namespace medlarkeel {

namespace {

using boost::asio::ip::tcp;
using Error = boost::system::error_code;
using Json = nlohmann::json;

/** Interval in which the entry in the store is renewed. */
constexpr Milliseconds kRenewInterval{ 400 };

/** Time that an early answer lies before the rest of the body is read. */
constexpr Milliseconds kPauseBeforeRest{ 200 };

/** Priority of a request that names none. */
constexpr int kUsualPriority = 5;

constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;

std::string
EventText(const std::string& aRequestId, int aNumber, std::size_t aPadding)
{
  const std::string number = std::to_string(aNumber);
  return "id: " + number + "\ndata: " + aRequestId + "-" + number +
         std::string(aPadding, '.') + "\n\n";
}

std::size_t
BodySize(const std::string& aHead)
{
  const std::string length = FieldOf(aHead, "Content-Length");
  return static_cast<std::size_t>(ParseWholeNumber(length).value_or(0));
}

} // namespace

/** One connection to the server; it carries one request at a time. */
class FakeServer::Session : public std::enable_shared_from_this<Session>
{
public:
  Session(FakeServer& aServer, tcp::socket aSocket)
    : mServer(aServer)
    , mSocket(std::move(aSocket))
    , mTimer(aServer.mContext)
  {
  }

  void Read()
  {
    boost::asio::async_read_until(
      mSocket,
      boost::asio::dynamic_buffer(mInput),
      "\r\n\r\n",
      [self = shared_from_this()](const Error& aError, std::size_t aSize) {
        if (aError) {
          self->End();
          return;
        }
        self->mHead = self->mInput.substr(0, aSize);
        self->mInput.erase(0, aSize);
        self->ReadBody();
      });
  }

  int Priority() const
  {
    return static_cast<int>(
      ParseWholeNumber(FieldOf(mHead, "X-Request-Priority"))
        .value_or(kUsualPriority));
  }

  /** Starts to work on the request that waited. */
  void Work()
  {
    mIsRunning = true;
    mServer.mRunning += 1;
    Change([](ServedRequest& aRequest) { aRequest.mHasRun = true; });
    mFault = mServer.TakeFault();
    mTimer.expires_after(mServer.mSettings.mWork);
    mTimer.async_wait([self = shared_from_this()](const Error& aError) {
      if (!aError && self->mIsRunning) {
        self->Answer();
      }
    });
  }

  void End()
  {
    const auto self = shared_from_this();
    const auto place =
      std::find(mServer.mWaiting.begin(), mServer.mWaiting.end(), self);
    const bool hasWaited = place != mServer.mWaiting.end();
    if (hasWaited) {
      mServer.mWaiting.erase(place);
    }
    if (hasWaited || mIsRunning) {
      Change([](ServedRequest& aRequest) { aRequest.mWasCancelled = true; });
    }
    StopRunning();
    Error ignored;
    mSocket.close(ignored);
    mTimer.cancel();
    mServer.mSessions.erase(self);
  }

private:
  void ReadBody()
  {
    const std::size_t size = BodySize(mHead);
    if (size > mInput.size() && mServer.mFault != ServerFault::AnswerEarly) {
      mSocket.async_read_some(
        boost::asio::buffer(mBuffer),
        [self = shared_from_this()](const Error& aError, std::size_t aSize) {
          if (aError) {
            self->End();
            return;
          }
          self->mInput.append(self->mBuffer.data(), aSize);
          self->ReadBody();
        });
      return;
    }
    const std::size_t held = std::min(size, mInput.size());
    mUnreadBody = size - held;
    const std::string body = mInput.substr(0, held);
    mInput.erase(0, held);
    Record(body);
    Judge();
  }

  void Record(const std::string& aBody)
  {
    mId = FieldOf(mHead, "X-Request-Id");
    ServedRequest request;
    request.mId = mId;
    const std::size_t begin = mHead.find(' ') + 1;
    request.mTarget = mHead.substr(begin, mHead.find(' ', begin) - begin);
    request.mHead = mHead;
    request.mBody = aBody;
    request.mArrivedAt = std::chrono::steady_clock::now();
    request.mWasCold = mServer.IsCold();
    const std::lock_guard<std::mutex> lock(mServer.mMutex);
    mServer.mRequests.push_back(std::move(request));
    mRecord = &mServer.mRequests.back();
  }

  template<typename Task>
  void Change(const Task& aTask)
  {
    const std::lock_guard<std::mutex> lock(mServer.mMutex);
    aTask(*mRecord);
  }

  /** Refuses what must not run here, and lets the rest wait for its turn. */
  void Judge()
  {
    const std::string expected = FieldOf(mHead, "X-Expect-Instance");
    if (!expected.empty() && expected != mServer.mSettings.mId) {
      Refuse(kMisdirected);
      return;
    }
    if (mServer.mWaiting.size() >= mServer.mSettings.mSlots) {
      Refuse(kUnavailable);
      return;
    }
    mServer.mWaiting.push_back(shared_from_this());
    WatchForEnd();
    mServer.Admit();
  }

  /** Notices that the caller closes the connection while its request lasts. */
  void WatchForEnd()
  {
    mSocket.async_wait(
      tcp::socket::wait_read, [self = shared_from_this()](const Error& aError) {
        if (aError || !self->IsBusy()) {
          return;
        }
        Error error;
        const std::size_t size = self->mSocket.receive(
          boost::asio::buffer(self->mBuffer), tcp::socket::message_peek, error);
        if (error || size == 0) {
          self->End();
        }
      });
  }

  bool IsBusy() const
  {
    const auto self = shared_from_this();
    return mIsRunning ||
           std::find(mServer.mWaiting.begin(), mServer.mWaiting.end(), self) !=
             mServer.mWaiting.end();
  }

  void Refuse(int aStatus)
  {
    Change([aStatus](ServedRequest& aRequest) { aRequest.mStatus = aStatus; });
    Write(HeadText(aStatus) + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  }

  std::string HeadText(int aStatus) const
  {
    return "HTTP/1.1 " + std::to_string(aStatus) +
           " Answer\r\nX-Request-Id: " + mId +
           "\r\nX-Response-Stamp: " + mServer.mSettings.mId + "." + mId +
           "\r\nKeep-Alive: timeout=5\r\n" +
           (mServer.mRequestLimit.empty()
              ? ""
              : "Server-Limit: " + mServer.mRequestLimit + "\r\n");
  }

  void Answer()
  {
    const int status = mFault == ServerFault::Fail ? kServerError : kOk;
    switch (mFault) {
      case ServerFault::KeepSilent:
        return;
      case ServerFault::LoseAnswer:
        FinishRun(0);
        End();
        return;
      case ServerFault::GarbleAnswer:
        FinishRun(0);
        Write("\x01\x02 these bytes are no answer \r\n\r\n");
        return;
      case ServerFault::None:
      case ServerFault::CutAnswer:
      case ServerFault::EndInsideEvent:
      case ServerFault::ExtraAnswer:
      case ServerFault::Fail:
      case ServerFault::AnswerEarly:
        break;
    }
    const bool isStream = mServer.mSettings.mEvents > 0 && status == kOk;
    if (isStream) {
      mNextEvent =
        1 + static_cast<int>(
              ParseWholeNumber(FieldOf(mHead, "Last-Event-Id")).value_or(0));
      mOutput = HeadText(status) + "Content-Type: text/event-stream\r\n" +
                FramingField() + "\r\n";
      SendEvent();
      return;
    }
    const std::string body = PlainBody(mId);
    std::string text = HeadText(status) +
                       "Content-Length: " + std::to_string(body.size()) +
                       "\r\n\r\n" + body;
    FinishRun(status);
    if (mFault == ServerFault::CutAnswer) {
      text.resize(text.size() - body.size() / 2);
      mClosesAfterWrite = true;
    }
    if (mFault == ServerFault::ExtraAnswer) {
      text += "HTTP/1.1 200 Answer\r\nX-Request-Id: other\r\n"
              "X-Response-Stamp: other\r\nContent-Length: 5\r\n\r\nother";
    }
    Write(text);
  }

  /** @return The event at which a fault ends the stream. */
  int LastEventOfFault() const { return 1 + mServer.mSettings.mEvents / 2; }

  std::string Event(int aNumber) const
  {
    return EventText(mId, aNumber, mServer.mSettings.mEventPadding);
  }

  std::string HalfEvent() const
  {
    const std::string event = Event(mNextEvent);
    return event.substr(0, event.size() / 2);
  }

  /** @return The header field that states the framing of a stream. */
  std::string FramingField() const
  {
    if (mServer.mSettings.mFraming == StreamFraming::Chunks) {
      return "Transfer-Encoding: chunked\r\n";
    }
    if (mServer.mSettings.mFraming == StreamFraming::Close) {
      return "Connection: close\r\n";
    }
    std::size_t size = 0;
    for (int i = mNextEvent; i <= mServer.mSettings.mEvents; ++i) {
      const std::size_t event = Event(i).size();
      const bool isLast =
        mFault == ServerFault::EndInsideEvent && i == LastEventOfFault();
      size += isLast ? event / 2 : event;
      if (isLast) {
        break;
      }
    }
    return "Content-Length: " + std::to_string(size) + "\r\n";
  }

  /** @return The bytes of a stream in its framing. */
  std::string Framed(const std::string& aBytes) const
  {
    const bool isChunked = mServer.mSettings.mFraming == StreamFraming::Chunks;
    return isChunked ? Chunk(aBytes) : aBytes;
  }

  /** Ends a stream as its framing ends an answer. */
  void EndStream()
  {
    if (mServer.mSettings.mFraming == StreamFraming::Chunks) {
      mOutput += kLastChunk;
    }
    mClosesAfterWrite = mServer.mSettings.mFraming == StreamFraming::Close;
    Write(std::move(mOutput));
  }

  void SendEvent()
  {
    const bool isLast = mNextEvent > mServer.mSettings.mEvents;
    const bool isFaulty = mNextEvent == LastEventOfFault();
    if (isLast) {
      FinishRun(kOk);
      EndStream();
      return;
    }
    if (isFaulty && mFault == ServerFault::CutAnswer) {
      FinishRun(0);
      mClosesAfterWrite = true;
      Write(mOutput + "20\r\nid: ");
      return;
    }
    if (isFaulty && mFault == ServerFault::EndInsideEvent) {
      FinishRun(0);
      mOutput += Framed(HalfEvent());
      EndStream();
      return;
    }
    mOutput += Framed(Event(mNextEvent));
    mNextEvent += 1;
    boost::asio::async_write(
      mSocket,
      boost::asio::buffer(mOutput),
      [self = shared_from_this()](const Error& aError, std::size_t) {
        self->mOutput.clear();
        if (aError) {
          self->End();
          return;
        }
        self->mTimer.expires_after(self->mServer.mSettings.mEventPause);
        self->mTimer.async_wait([self](const Error& aTimerError) {
          if (!aTimerError && self->mIsRunning) {
            self->SendEvent();
          }
        });
      });
  }

  void FinishRun(int aStatus)
  {
    Change([aStatus](ServedRequest& aRequest) {
      aRequest.mStatus = aStatus;
      aRequest.mEndedAt = std::chrono::steady_clock::now();
    });
    StopRunning();
  }

  void StopRunning()
  {
    if (mIsRunning) {
      mIsRunning = false;
      mServer.mRunning -= 1;
      mServer.Admit();
    }
  }

  void Write(std::string aText)
  {
    mOutput = std::move(aText);
    boost::asio::async_write(
      mSocket,
      boost::asio::buffer(mOutput),
      [self = shared_from_this()](const Error& aError, std::size_t) {
        if (aError || self->mClosesAfterWrite) {
          self->End();
          return;
        }
        if (self->mUnreadBody == 0) {
          self->Read();
          return;
        }
        self->mTimer.expires_after(kPauseBeforeRest);
        self->mTimer.async_wait([self](const Error& aTimerError) {
          if (!aTimerError) {
            self->ReadRestOfBody();
          }
        });
      });
  }

  /** Reads what is due of a body whose request was answered early. */
  void ReadRestOfBody()
  {
    if (mUnreadBody == 0) {
      Read();
      return;
    }
    mSocket.async_read_some(
      boost::asio::buffer(mBuffer),
      [self = shared_from_this()](const Error& aError, std::size_t aSize) {
        if (aError) {
          self->End();
          return;
        }
        const std::size_t taken = std::min(aSize, self->mUnreadBody);
        self->mUnreadBody -= taken;
        const std::string bytes(self->mBuffer.data(), taken);
        self->Change(
          [&bytes](ServedRequest& aRequest) { aRequest.mBody += bytes; });
        self->mInput.append(self->mBuffer.data() + taken, aSize - taken);
        self->ReadRestOfBody();
      });
  }

  FakeServer& mServer;
  tcp::socket mSocket;
  boost::asio::steady_timer mTimer;
  std::string mInput;
  std::string mHead;
  std::string mId;
  std::string mOutput;
  std::array<char, 4096> mBuffer{};
  ServedRequest* mRecord = nullptr;
  ServerFault mFault = ServerFault::None;
  std::size_t mUnreadBody = 0;
  int mNextEvent = 1;
  bool mIsRunning = false;
  bool mClosesAfterWrite = false;
};

FakeServer::FakeServer(FakeStore& aStore, const FakeServerSettings& aSettings)
  : mStore(aStore)
  , mSettings(aSettings)
  , mAcceptor(mContext, { boost::asio::ip::make_address("127.0.0.1"), 0 })
  , mAddress{ "127.0.0.1", mAcceptor.local_endpoint().port() }
  , mRenewTimer(mContext)
  , mBornMs(std::chrono::duration_cast<Milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count())
  , mStartedAt(std::chrono::steady_clock::now())
{
  Publish();
  Accept();
  RenewLater();
  mThread = std::thread([this]() { mContext.run(); });
}

FakeServer::~FakeServer()
{
  mContext.stop();
  mThread.join();
  mStore.Remove("servers/" + mSettings.mId);
}

void
FakeServer::Accept()
{
  mAcceptor.async_accept([this](const Error& aError, tcp::socket aSocket) {
    if (!aError && mIsUp) {
      auto session = std::make_shared<Session>(*this, std::move(aSocket));
      mSessions.insert(session);
      session->Read();
    }
    Accept();
  });
}

void
FakeServer::Run(const std::function<void()>& aTask)
{
  std::promise<void> done;
  boost::asio::post(mContext, [&]() {
    aTask();
    done.set_value();
  });
  done.get_future().wait();
}

bool
FakeServer::IsCold() const
{
  return std::chrono::steady_clock::now() < mStartedAt + mSettings.mCold;
}

void
FakeServer::Publish()
{
  const auto left = std::chrono::duration_cast<Milliseconds>(
    mStartedAt + mSettings.mCold - std::chrono::steady_clock::now());
  mSequence += 1;
  mStore.Put(
    "servers/" + mSettings.mId,
    { { "service", mSettings.mService },
      { "address", mAddress.mAddress + ":" + std::to_string(mAddress.mPort) },
      { "zone", mSettings.mZone },
      { "version", "1" },
      { "slots", mSettings.mSlots },
      { "state", mState },
      { "cold-remaining-ms", std::max<std::int64_t>(0, left.count()) },
      { "sequence", mSequence },
      { "born", mBornMs } });
}

void
FakeServer::RenewLater()
{
  mRenewTimer.expires_after(kRenewInterval);
  mRenewTimer.async_wait([this](const Error& aError) {
    if (aError) {
      return;
    }
    if (mIsUp) {
      Publish();
    }
    RenewLater();
  });
}

void
FakeServer::Admit()
{
  while (mRunning < mSettings.mSlots && !mWaiting.empty()) {
    const auto next =
      std::min_element(mWaiting.begin(),
                       mWaiting.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return aLeft->Priority() < aRight->Priority();
                       });
    const std::shared_ptr<Session> session = *next;
    mWaiting.erase(next);
    session->Work();
  }
}

ServerFault
FakeServer::TakeFault()
{
  if (mFaultyAnswers == 0) {
    return ServerFault::None;
  }
  const ServerFault fault = mFault;
  mFaultyAnswers -= 1;
  if (mFaultyAnswers == 0) {
    mFault = ServerFault::None;
  }
  return fault;
}

void
FakeServer::SetFault(ServerFault aFault, int aAnswers)
{
  Run([&]() {
    mFault = aFault;
    mFaultyAnswers = aAnswers;
  });
}

void
FakeServer::SetRequestLimit(const std::string& aText)
{
  Run([this, &aText]() { mRequestLimit = aText; });
}

void
FakeServer::Drain()
{
  Run([&]() {
    mState = "draining";
    Publish();
  });
}

void
FakeServer::Crash()
{
  Run([&]() {
    mIsUp = false;
    const auto sessions = mSessions;
    for (const auto& session : sessions) {
      session->End();
    }
  });
}

void
FakeServer::Restart()
{
  Run([&]() {
    mIsUp = true;
    mState = "ready";
    mSequence = 0;
    mBornMs += 1;
    mStartedAt = std::chrono::steady_clock::now();
    Publish();
  });
}

std::vector<ServedRequest>
FakeServer::Requests() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return { mRequests.begin(), mRequests.end() };
}

std::string
FakeServer::PlainBody(const std::string& aRequestId)
{
  return "answer to " + aRequestId;
}

std::string
FakeServer::StreamBody(const std::string& aRequestId) const
{
  std::string body;
  for (int i = 1; i <= mSettings.mEvents; ++i) {
    body += EventText(aRequestId, i, mSettings.mEventPadding);
  }
  return body;
}

} // namespace medlarkeel
