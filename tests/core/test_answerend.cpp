#include "forwarding/answerend.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <set>
#include <string>

namespace medlarkeel {

namespace {

constexpr TransferEnd kStatedEnds[] = { TransferEnd::Length,
                                        TransferEnd::LastChunk,
                                        TransferEnd::Close };

constexpr TransferEnd kBrokenEnds[] = { TransferEnd::CloseBeforeHead,
                                        TransferEnd::CloseInHead,
                                        TransferEnd::CloseInBody,
                                        TransferEnd::Reset };

EventFramer
FramerOf(const std::string& aBody)
{
  EventFramer framer;
  framer.Push(aBody);
  return framer;
}

} // namespace

BOOST_AUTO_TEST_SUITE(answerend)

// A stream that ends inside an event passes for a complete one (review/1).
RC_BOOST_PROP(StreamIsCompleteOnlyBetweenEvents, ())
{
  const auto lineEnd = *rc::gen::element<std::string>("\n", "\r", "\r\n");
  const auto count = *rc::gen::inRange(1, 6);
  std::string body;
  std::set<std::size_t> ends;
  for (int i = 0; i < count; ++i) {
    for (const std::string& line : { "id: " + std::to_string(i),
                                     std::string("data: x"),
                                     std::string() }) {
      body.append(line).append(lineEnd);
    }
    ends.insert(body.size());
  }
  const auto size = *rc::gen::inRange<std::size_t>(1, body.size() + 1);
  const EventFramer framer = FramerOf(body.substr(0, size));
  for (const TransferEnd end : kStatedEnds) {
    RC_ASSERT(FindEndFault(end, &framer).has_value() ==
              (ends.count(size) == 0));
  }
}

BOOST_AUTO_TEST_CASE(UnstatedEndsAreFaultsOfEachBody)
{
  const EventFramer framer = FramerOf("data: x\n\n");
  for (const TransferEnd end : kBrokenEnds) {
    BOOST_TEST(FindEndFault(end, &framer).has_value());
    BOOST_TEST(FindEndFault(end, nullptr).has_value());
  }
  for (const TransferEnd end : kStatedEnds) {
    BOOST_TEST(!FindEndFault(end, nullptr).has_value());
  }
}

// A run that ends before its first event passes for a complete stream.
BOOST_AUTO_TEST_CASE(OnlyAStatedEndMayStandBeforeTheFirstEvent)
{
  const EventFramer empty;
  BOOST_CHECK(FindEndFault(TransferEnd::Close, &empty) ==
              AnswerFault::EndBeforeFirstEvent);
  BOOST_TEST(!FindEndFault(TransferEnd::Length, &empty).has_value());
  BOOST_TEST(!FindEndFault(TransferEnd::LastChunk, &empty).has_value());
}

BOOST_AUTO_TEST_CASE(EachFaultHasANameOfItsOwn)
{
  std::set<std::string> names;
  for (std::size_t i = 0; i < kAnswerFaultCount; ++i) {
    names.insert(AnswerFaultName(static_cast<AnswerFault>(i)));
  }
  BOOST_TEST(names.size() == kAnswerFaultCount);
  BOOST_TEST(names.count("unknown") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
