#include "framedanswer.h"

#include "answertext.h"

#include <boost/test/unit_test.hpp>

#include <mutex>

namespace medlarkeel {

namespace {

using Socket = boost::asio::ip::tcp::socket;

const char* const kFirstEvent = "id: 1\ndata: a\n\n";

/** Two servers; the first request of all gets the first answer, each later one
 * the answer of continued runs. */
struct ContinuedStream : ForwardFixture
{
  ContinuedStream(const FakeBackend::Script& aFirst,
                  const FakeBackend::Script& aNext)
  {
    const auto script = [=](Socket& aSocket, const std::string& aRequest) {
      const bool isFirst = FieldOf(aRequest, "Last-Event-Id").empty();
      (isFirst ? aFirst : aNext)(aSocket, aRequest);
    };
    AddBackend(script);
    AddBackend(script);
    Start();
  }
};

/** Writes one whole event of an unfinished stream and breaks off. */
void
BreakAfterOneEvent(Socket& aSocket, const std::string& aRequest)
{
  const std::string whole =
    FramedAnswer(aRequest, Framing::Chunks, kFirstEvent);
  WriteBytes(aSocket, whole.substr(0, whole.size() - kLastChunk.size()));
  ShutDown(aSocket);
}

/** @return An answer that a caller of HTTP/1.0 gets. */
SeenAnswer
CallInOldVersion(const ForwardFixture& aFixture, const std::string& aPath)
{
  Caller caller(aFixture.Port());
  caller.Send(OldRequestText(aPath));
  return caller.Read();
}

} // namespace

BOOST_AUTO_TEST_SUITE(continuedstreams)

// A continued run that ends before its first event passes for the end of the
// whole stream.
BOOST_AUTO_TEST_CASE(EmptyContinuationWithoutLengthIsNoEnd)
{
  ContinuedStream fixture(BreakAfterOneEvent,
                          AnsweringInFraming(Framing::Close, ""));
  const SeenAnswer answer = fixture.Call("/resume/x");
  BOOST_TEST(answer.mBody == kFirstEvent);
  BOOST_TEST(!answer.mIsWhole);
  BOOST_TEST(!CallInOldVersion(fixture, "/resume/x").mIsClosedInOrder);
  BOOST_TEST(BrokenAnswers(fixture, AnswerFault::EndBeforeFirstEvent) > 0U);
}

// A caller that continues a stream itself gets an empty success.
BOOST_AUTO_TEST_CASE(EmptyAnswerWithoutLengthToACallerThatContinuesIsNoSuccess)
{
  ContinuedStream fixture(BreakAfterOneEvent,
                          AnsweringInFraming(Framing::Close, ""));
  const SeenAnswer answer = fixture.Call("/resume/x", "Last-Event-Id: 1\r\n");
  BOOST_TEST(answer.Status() == 502);
}

// A stream that broke off behind its last event can't be completed.
BOOST_AUTO_TEST_CASE(StatedEndOfAnEmptyContinuationCompletesTheStream)
{
  for (const Framing framing : { Framing::Length, Framing::Chunks }) {
    ContinuedStream fixture(BreakAfterOneEvent,
                            AnsweringInFraming(framing, ""));
    const SeenAnswer answer = fixture.Call("/resume/x");
    BOOST_TEST(answer.mBody == kFirstEvent);
    BOOST_TEST(answer.mIsWhole);
  }
}

// A run that sends only a comment passes for a complete stream, a first one or
// one that continues a stream.
BOOST_AUTO_TEST_CASE(CommentAloneIsNoStream)
{
  const char* const comment = ": wait\n\n";
  ContinuedStream continued(BreakAfterOneEvent,
                            AnsweringInFraming(Framing::Close, comment));
  BOOST_TEST(!continued.Call("/resume/x").mIsWhole);
  ContinuedStream first(AnsweringInFraming(Framing::Close, comment),
                        AnsweringInFraming(Framing::Close, comment));
  BOOST_TEST(!first.Call("/stream/x").mIsWhole);
}

// A server that begins anew makes events come twice.
BOOST_AUTO_TEST_CASE(RunThatBeginsAnewIsBroken)
{
  for (const Framing framing : kFramings) {
    ContinuedStream fixture(BreakAfterOneEvent,
                            AnsweringInFraming(framing, kTwoEvents));
    const SeenAnswer answer = fixture.Call("/resume/x");
    BOOST_TEST(answer.mBody == kFirstEvent);
    BOOST_TEST(!answer.mIsWhole);
    BOOST_TEST(fixture.Call("/resume/x", "Last-Event-Id: 1\r\n").Status() ==
               502);
    BOOST_TEST(BrokenAnswers(fixture, AnswerFault::EventOutOfOrder) > 0U);
  }
}

// Where a route has no streams that go on, a request that names an event it has
// is a new one.
BOOST_AUTO_TEST_CASE(StreamOfARouteThatIsNotResumableMayBeginAnew)
{
  ContinuedStream fixture(BreakAfterOneEvent,
                          AnsweringInFraming(Framing::Chunks, kTwoEvents));
  const SeenAnswer answer = fixture.Call("/stream/x", "Last-Event-Id: 1\r\n");
  BOOST_TEST(answer.mIsWhole);
  BOOST_TEST(answer.mBody == kTwoEvents);
}

// A run that continues behind an event without an id sends that event again.
BOOST_AUTO_TEST_CASE(StreamIsNotContinuedBehindAnEventWithoutAnId)
{
  const auto breakOff = [](Socket& aSocket, const std::string& aRequest) {
    const std::string whole = FramedAnswer(
      aRequest, Framing::Chunks, std::string(kFirstEvent) + "data: b\n\n");
    WriteBytes(aSocket, whole.substr(0, whole.size() - kLastChunk.size()));
    ShutDown(aSocket);
  };
  ContinuedStream fixture(
    breakOff, AnsweringInFraming(Framing::Chunks, "data: b\n\ndata: c\n\n"));
  const SeenAnswer answer = fixture.Call("/resume/x");
  BOOST_TEST(answer.mBody == std::string(kFirstEvent) + "data: b\n\n");
  BOOST_TEST(!answer.mIsWhole);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
