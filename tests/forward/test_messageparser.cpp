#include "answertext.h"
#include "messageparser.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace medlarkeel {

BOOST_AUTO_TEST_SUITE(messageparser)

RC_BOOST_PROP(AnySplitGivesTheSameMessage, ())
{
  const std::string body =
    *rc::gen::container<std::string>(rc::gen::inRange<char>('a', 'z'));
  std::string bytes = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                      "chunked\r\n\r\n" +
                      Chunk(body) + std::string(kLastChunk);
  RequestParser parser;
  std::string input;
  ParseState state = ParseState::NeedMore;
  while (!bytes.empty()) {
    const auto size =
      std::min(*rc::gen::inRange<std::size_t>(1, 20), bytes.size());
    input += bytes.substr(0, size);
    bytes.erase(0, size);
    state = Feed(parser, input);
    RC_ASSERT(state != ParseState::Invalid);
  }
  RC_ASSERT(state == ParseState::Done);
  RC_ASSERT(parser.Body() == body);
  RC_ASSERT(parser.Head().mTarget == "/x");
}

/** Beast asserts in debug builds that such a chunk has come whole. */
BOOST_AUTO_TEST_CASE(EmptyChunkedBodyMayComeByteByByte)
{
  RequestParser parser;
  std::string input;
  ParseState state = ParseState::NeedMore;
  for (const char byte :
       std::string("GET /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "0\r\n\r\n")) {
    BOOST_CHECK(state == ParseState::NeedMore);
    input += byte;
    state = Feed(parser, input);
  }
  BOOST_CHECK(state == ParseState::Done);
}

RC_BOOST_PROP(NoBytesCrashTheParser, (const std::string& aBytes))
{
  RequestParser parser;
  std::string input = aBytes;
  FindHeadFault(aBytes);
  Feed(parser, input);
}

BOOST_AUTO_TEST_CASE(ForwardedHeadDropsFieldsOfTheConnection)
{
  MessageHead head;
  head.mStatus = 200;
  head.mReason = "OK";
  head.mFields = { { "Connection", "close, X-Hop" }, { "x-hop", "1" },
                   { "Keep-Alive", "timeout=5" },    { "X-Kept", "2" },
                   { "Content-Length", "9" },        { "TE", "trailers" } };
  BOOST_TEST(ForwardedHead(head, BodyFraming::Chunked, 0, true) ==
             "HTTP/1.1 200 OK\r\nX-Kept: 2\r\n"
             "Transfer-Encoding: chunked\r\n\r\n");
}

BOOST_AUTO_TEST_CASE(OwnAnswerSaysWhenToComeBack)
{
  const std::string text =
    TextOf({ 503, "no server", Milliseconds(250), "Request: r\r\n" });
  BOOST_TEST(text.find("HTTP/1.1 503 Service Unavailable\r\n") == 0U);
  BOOST_TEST(text.find("Retry-After: 0.250\r\n") != std::string::npos);
  BOOST_TEST(text.find("Connection: close\r\n") != std::string::npos);
  BOOST_TEST(text.find("Request: r\r\n") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
