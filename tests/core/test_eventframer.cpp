#include "forwarding/eventframer.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace medlarkeel {

BOOST_AUTO_TEST_SUITE(eventframer)

BOOST_AUTO_TEST_CASE(PartialEventIsBuffered)
{
  EventFramer framer;
  BOOST_TEST(framer.Push("id: 1\ndata: a\n\nid: 2\nda") ==
             "id: 1\ndata: a\n\n");
  BOOST_TEST(framer.LastEventId() == "1");
  BOOST_TEST(framer.HasPartialEvent());
  BOOST_TEST(framer.Push("ta: b\n\n") == "id: 2\ndata: b\n\n");
  BOOST_TEST(framer.LastEventId() == "2");
  BOOST_TEST(!framer.HasPartialEvent());
}

BOOST_AUTO_TEST_CASE(LinesMayEndWithCarriageReturnAndLineFeed)
{
  EventFramer framer;
  BOOST_TEST(framer.Push("id:7\r\ndata: a\r\n\r\n") ==
             "id:7\r\ndata: a\r\n\r\n");
  BOOST_TEST(framer.LastEventId() == "7");
}

// Streams whose lines end with a carriage return are held back to their end.
BOOST_AUTO_TEST_CASE(LinesMayEndWithCarriageReturn)
{
  EventFramer framer;
  BOOST_TEST(framer.Push("id:7\rdata: a\r\rid:8") == "id:7\rdata: a\r\r");
  BOOST_TEST(framer.LastEventId() == "7");
  BOOST_TEST(framer.HasPartialEvent());
}

// The line feed of an event's last line counts as the begin of another event,
// or an event without it as a complete one.
BOOST_AUTO_TEST_CASE(LineFeedThatArrivesLaterBelongsToTheEvent)
{
  EventFramer framer;
  BOOST_TEST(framer.Push("data: a\r\n\r") == "");
  BOOST_TEST(framer.HasPartialEvent());
  BOOST_TEST(framer.Push("\n") == "data: a\r\n\r\n");
  BOOST_TEST(!framer.HasPartialEvent());
}

// An event is held back after the carriage return that ends it.
BOOST_AUTO_TEST_CASE(CarriageReturnAmongPairsEndsAnEventAtTheNextByte)
{
  EventFramer framer;
  BOOST_TEST(framer.Push("data: a\r\n\r") == "");
  BOOST_TEST(framer.Push("d") == "data: a\r\n\r");
  BOOST_TEST(framer.HasPartialEvent());
  BOOST_TEST(framer.Push("ata: b\n\n") == "data: b\n\n");
}

// A server that begins anew makes events come twice.
BOOST_AUTO_TEST_CASE(EventsEndBeforeAnIdThatIsNotGreater)
{
  for (const char* const id : { "1", "2", "02" }) {
    EventFramer framer("2");
    const std::string second = std::string("id: ") + id + "\ndata: b\n\n";
    BOOST_TEST(framer.Push("id: 3\ndata: a\n\n" + second) ==
               "id: 3\ndata: a\n\n");
    BOOST_TEST(framer.IsOutOfOrder());
    BOOST_TEST(framer.LastEventId() == "3");
    BOOST_TEST(framer.Push("id: 4\ndata: c\n\n") == "");
    EventFramer continued("2");
    BOOST_TEST(continued.Push(second) == "");
    BOOST_TEST(!continued.HasEvents());
  }
}

// A stream is continued behind an earlier event than the last one.
BOOST_AUTO_TEST_CASE(EventWithoutAnIdLeavesNoIdToContinueFrom)
{
  EventFramer framer;
  framer.Push("id: 1\ndata: a\n\ndata: b\n\n");
  BOOST_TEST(framer.LastEventId() == "");
  framer.Push("id: 1\ndata: c\n\n");
  BOOST_TEST(framer.IsOutOfOrder());
}

// Ids of many digits count as equal.
BOOST_AUTO_TEST_CASE(LargeIdsAreCompared)
{
  EventFramer framer;
  const char* const events = "id: 99999999999999999998\ndata: a\n\n"
                             "id: 99999999999999999999\ndata: b\n\n"
                             "id: 100000000000000000000\ndata: c\n\n";
  BOOST_TEST(framer.Push(events) == events);
  BOOST_TEST(framer.Push("id: 99999999999999999999\ndata: b\n\n") == "");
  BOOST_TEST(framer.IsOutOfOrder());
}

// Ids that are no numbers have no order.
BOOST_AUTO_TEST_CASE(OpaqueIdsAreInOrder)
{
  EventFramer framer("b");
  const char* const events = "id: b\ndata: a\n\nid: a\ndata: b\n\n";
  BOOST_TEST(framer.Push(events) == events);
  BOOST_TEST(!framer.IsOutOfOrder());
}

// A comment passes for the first event of a stream.
BOOST_AUTO_TEST_CASE(CommentIsForwardedButNoEvent)
{
  EventFramer framer;
  BOOST_TEST(framer.Push(": wait\r\n\r\nretry: 10\n\n") ==
             ": wait\r\n\r\nretry: 10\n\n");
  BOOST_TEST(!framer.HasEvents());
  BOOST_TEST(!framer.HasPartialEvent());
  framer.Push("data: a\r\n\r\n");
  BOOST_TEST(framer.HasEvents());
}

// Events may be lost, repeated or forwarded in part if the network splits the
// body inside an event or a delimiter.
RC_BOOST_PROP(AnySplitReturnsTheSameBytesAsCompleteEvents, ())
{
  const auto count = *rc::gen::inRange(1, 8);
  const auto lineEnd = *rc::gen::element<std::string>("\n", "\r", "\r\n");
  const std::string eventEnd = lineEnd + lineEnd;
  std::string body;
  for (int i = 0; i < count; ++i) {
    body.append("id: ").append(std::to_string(i)).append(lineEnd);
    body.append("data: x").append(eventEnd);
  }
  EventFramer framer;
  std::string forwarded;
  std::size_t begin = 0;
  while (begin < body.size()) {
    const auto size = *rc::gen::inRange<std::size_t>(1, 9);
    const std::string events = framer.Push(body.substr(begin, size));
    const bool isComplete =
      events.empty() ||
      events.substr(events.size() - eventEnd.size()) == eventEnd;
    RC_ASSERT(isComplete);
    forwarded += events;
    begin += size;
  }
  RC_ASSERT(forwarded == body);
  RC_ASSERT(framer.LastEventId() == std::to_string(count - 1));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
