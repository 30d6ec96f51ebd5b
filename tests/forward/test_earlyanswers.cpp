#include "framedanswer.h"

#include "answertext.h"

#include <boost/asio/read.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>

namespace medlarkeel {

namespace {

using Socket = boost::asio::ip::tcp::socket;

constexpr int kOk = 200;
constexpr int kBadGateway = 502;
constexpr int kInternalError = 500;

constexpr int kMostAsks = 3;

constexpr std::size_t kUpload = 600'000;
/** The limit of a body. */
constexpr std::size_t kLargestUpload = 4'194'304;

const char* const kRoutes[] = { "/once/x",
                                "/again/x",
                                "/stream/x",
                                "/resume/x" };
const char* const kStreamType = "Content-Type: text/event-stream\r\n";
const char* const kPlainType = "Content-Type: application/json\r\n";
const char* const kJson = "{\"a\":1}";

/** How a server ends the connection of its answer. */
enum class Ending
{
  /** With a reset. */
  Reset,
  /** Closes it with a part of the upload unread, which resets it as well. */
  CloseUnread,
  /** In order; the rest of the upload is read. */
  Shutdown,
  /** In order, and resets it when more of the upload comes. */
  ShutdownUnread
};

/** Who sends the upload. */
enum class Sender
{
  WithLength,
  WithChunks,
  /** An HTTP/1.0 caller. */
  Old
};

struct Upload
{
  Sender mSender;
  std::size_t mSize;
};

constexpr Upload kUploads[] = { { Sender::WithLength, kUpload },
                                { Sender::WithChunks, kLargestUpload },
                                { Sender::Old, kLargestUpload } };

/** When an answer begins, and how it ends. */
struct Course
{
  /** Bytes of the upload that are read before the answer. */
  std::size_t mReadBytes;
  Ending mEnding;
  /** Pause between the last bytes of the answer and its end. */
  Milliseconds mPause;
};

constexpr Course kBrokenCourses[] = {
  { 0, Ending::Reset, Milliseconds(0) },
  { 0, Ending::CloseUnread, Milliseconds(20) },
  { 60'000, Ending::CloseUnread, Milliseconds(0) },
  { 60'000, Ending::Reset, Milliseconds(20) }
};

constexpr Course kSoundCourses[] = {
  { 0, Ending::Shutdown, Milliseconds(20) },
  { 60'000, Ending::ShutdownUnread, Milliseconds(0) }
};

/** An answer that begins when a part of the upload has arrived. */
struct EarlyForm
{
  const char* mPath;
  Upload mUpload;
  Framing mFraming;
  Course mCourse;

  bool IsStream() const
  {
    return std::string(mPath) == kRoutes[2] || std::string(mPath) == kRoutes[3];
  }
  bool IsOldCaller() const { return mUpload.mSender == Sender::Old; }
  std::string Body() const { return IsStream() ? kTwoEvents : kJson; }

  /** @return The answer, or its head and a part of its body. */
  std::string Answer(const std::string& aRequest, bool aIsWhole) const
  {
    std::string answer =
      FramedAnswer(aRequest,
                   mFraming,
                   Body(),
                   std::string(IsStream() ? kStreamType : kPlainType) +
                     "Connection: close\r\n");
    if (!aIsWhole) {
      // A part of a stream ends between two events.
      answer.resize(answer.find(IsStream() ? "id: 2" : ":1}"));
    }
    return answer;
  }

  std::string Request() const
  {
    const std::string body(mUpload.mSize, 'x');
    std::string text = ForwardFixture::RequestText(mPath, "", body);
    if (mUpload.mSender == Sender::Old) {
      text.replace(text.find("HTTP/1.1"), 8, "HTTP/1.0");
    } else if (mUpload.mSender == Sender::WithChunks) {
      const std::string field =
        "Content-Length: " + std::to_string(body.size());
      text.replace(
        text.find(field), field.size(), "Transfer-Encoding: chunked");
      text.erase(text.size() - body.size());
      constexpr std::size_t kChunk = 100'000;
      for (std::size_t i = 0; i < body.size(); i += kChunk) {
        text += Chunk(body.substr(i, kChunk));
      }
      text += kLastChunk;
    }
    return text;
  }

  std::string Description() const
  {
    return std::string(mPath) + " sender " +
           std::to_string(static_cast<int>(mUpload.mSender)) + " framing " +
           std::to_string(static_cast<int>(mFraming)) + " after " +
           std::to_string(mCourse.mReadBytes) + " ending " +
           std::to_string(static_cast<int>(mCourse.mEnding)) + " pause " +
           std::to_string(mCourse.mPause.count());
  }
};

void
End(Socket& aSocket, Ending aEnding)
{
  boost::system::error_code ignored; // The entry may have closed it.
  if (aEnding == Ending::Shutdown || aEnding == Ending::ShutdownUnread) {
    aSocket.shutdown(Socket::shutdown_send, ignored);
  }
  if (aEnding == Ending::Shutdown) {
    return;
  }
  if (aEnding == Ending::Reset) {
    aSocket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  }
  aSocket.close(ignored);
}

FakeBackend::Script
Answering(const EarlyForm& aForm, bool aIsWhole)
{
  return [=](Socket& aSocket, const std::string& aRequest) {
    WriteBytes(aSocket, aForm.Answer(aRequest, aIsWhole));
    std::this_thread::sleep_for(aForm.mCourse.mPause);
    End(aSocket, aForm.mCourse.mEnding);
  };
}

SeenAnswer
Ask(const ForwardFixture& aFixture, const EarlyForm& aForm)
{
  Caller caller(aFixture.Port());
  caller.Send(aForm.Request());
  return caller.Read();
}

template<typename Courses, typename Check>
void
ForEachForm(const Courses& aCourses, const Check& aCheck)
{
  for (const char* const path : kRoutes) {
    for (const Upload& upload : kUploads) {
      for (const Framing framing : kFramings) {
        for (const Course& course : aCourses) {
          aCheck({ path, upload, framing, course });
        }
      }
    }
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(earlyanswers)

// A part of an answer passes for a complete one since the failed write of the
// upload takes the error of the reset, so that the connection seems closed.
BOOST_AUTO_TEST_CASE(ResetDuringTheUploadLeavesNoAnswerComplete)
{
  ForEachForm(kBrokenCourses, [](const EarlyForm& aForm) {
    ForwardFixture fixture;
    const FakeBackend& server =
      fixture.AddBackend(Answering(aForm, false), aForm.mCourse.mReadBytes);
    fixture.Start();
    SeenAnswer answer = Ask(fixture, aForm);
    // A connection that isn't made in time shows nothing of the answer.
    for (int i = 1; i < kMostAsks && server.Requests().empty(); ++i) {
      answer = Ask(fixture, aForm);
    }
    BOOST_TEST(
      !(answer.Status() == kOk && IsComplete(answer, aForm.IsOldCaller())),
      aForm.Description());
    BOOST_TEST(!server.Requests().empty(), aForm.Description());
  });
}

// A sound answer breaks since its request hasn't been written.
BOOST_AUTO_TEST_CASE(SoundAnswerDuringTheUploadIsWhole)
{
  ForEachForm(kSoundCourses, [](const EarlyForm& aForm) {
    ForwardFixture fixture;
    fixture.AddBackend(Answering(aForm, true), aForm.mCourse.mReadBytes);
    fixture.Start();
    const SeenAnswer answer = Ask(fixture, aForm);
    BOOST_TEST(answer.Status() == kOk, aForm.Description());
    BOOST_TEST(IsComplete(answer, aForm.IsOldCaller()), aForm.Description());
    BOOST_TEST(answer.mBody == aForm.Body(), aForm.Description());
  });
}

// The second attempt sends a part of the upload, or its answer is joined with
// the part of the first one.
BOOST_AUTO_TEST_CASE(SecondAttemptAfterAnEarlyResetIsWhole)
{
  for (const Upload& upload : kUploads) {
    for (const Framing framing : kFramings) {
      const EarlyForm form{ "/again/x", upload, framing, kBrokenCourses[3] };
      ForwardFixture fixture;
      std::atomic<int> attempts{ 0 };
      std::atomic<std::size_t> received{ 0 };
      const auto serve = [&](Socket& aSocket, const std::string& aRequest) {
        if (++attempts == 1) {
          Answering(form, false)(aSocket, aRequest);
          return;
        }
        const std::size_t read =
          aRequest.size() - aRequest.find("\r\n\r\n") - 4;
        std::string rest(upload.mSize - read, ' ');
        boost::system::error_code ignored; // Shows in the number of bytes.
        received =
          read + boost::asio::read(aSocket, boost::asio::buffer(rest), ignored);
        WriteBytes(aSocket, form.Answer(aRequest, true));
        End(aSocket, Ending::Shutdown);
      };
      fixture.AddBackend(serve, form.mCourse.mReadBytes);
      fixture.AddBackend(serve, form.mCourse.mReadBytes);
      fixture.Start();
      const SeenAnswer answer = Ask(fixture, form);
      BOOST_TEST(attempts == 2, form.Description());
      BOOST_TEST(received == upload.mSize, form.Description());
      BOOST_TEST(answer.Status() == kOk, form.Description());
      BOOST_TEST(answer.mBody == form.Body(), form.Description());
      BOOST_TEST(IsComplete(answer, form.IsOldCaller()), form.Description());
    }
  }
}

// An answer whose status is none of HTTP reaches the caller, or is taken for an
// interim one, so that the caller waits until the time limit.
BOOST_AUTO_TEST_CASE(AnswerOfAnInvalidStatusIsBroken)
{
  const char* const statuses[] = { "000", "0",   "",    "20",  "099", "2000",
                                   "600", "999", "-20", "2x0", "0200" };
  for (const char* const status : statuses) {
    for (const bool isOldCaller : { false, true }) {
      for (const Framing framing : kFramings) {
        const char* const path = isOldCaller ? "/resume/x" : "/once/x";
        ForwardFixture fixture;
        fixture.AddBackend([&](Socket& aSocket, const std::string& aRequest) {
          std::string text = FramedAnswer(aRequest, framing, kTwoEvents);
          text.replace(text.find("200"), 3, status);
          WriteBytes(aSocket, text);
          if (framing == Framing::Close) {
            End(aSocket, Ending::Shutdown);
          }
        });
        fixture.Start();
        Caller caller(fixture.Port());
        caller.Send(isOldCaller ? OldRequestText(path)
                                : ForwardFixture::RequestText(path));
        const SeenAnswer answer = caller.Read();
        const std::string form = std::string(status) + " on " + path +
                                 " framing " +
                                 std::to_string(static_cast<int>(framing));
        BOOST_TEST(answer.Status() == kBadGateway, form);
        BOOST_TEST(BrokenAnswers(fixture, AnswerFault::InvalidHead) > 0U, form);
      }
    }
  }
}

// An answer breaks since its status is unusual.
BOOST_AUTO_TEST_CASE(AnswerOfAnUnusualStatusIsWhole)
{
  for (const int status : { 299, 399, 450, 499, 599 }) {
    ForwardFixture fixture;
    fixture.AddBackend([&](Socket& aSocket, const std::string& aRequest) {
      WriteBytes(aSocket, AnswerTo(aRequest, status, kJson));
    });
    fixture.Start();
    for (const char* const path : { kRoutes[0], kRoutes[2] }) {
      const SeenAnswer answer = fixture.Call(path);
      BOOST_TEST(answer.Status() == status, path);
      BOOST_TEST(answer.mBody == kJson, path);
      if (status >= kInternalError) {
        break; // The server is used less from now on.
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
