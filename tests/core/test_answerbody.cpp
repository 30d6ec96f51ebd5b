#include "forwarding/answerbody.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace medlarkeel {

namespace {

constexpr int kOk = 200;
constexpr int kNoContent = 204;
constexpr int kNotFound = 404;

constexpr const char* kEventType = "text/event-stream";

AnswerForm
Form(const std::string& aTypes, bool aIsStreamExpected, int aStatus = kOk)
{
  AnswerForm form;
  form.mContentTypes = aTypes;
  form.mIsStreamExpected = aIsStreamExpected;
  form.mStatus = aStatus;
  return form;
}

/** @return Whether a body that ends so is complete. */
bool
IsComplete(const AnswerForm& aForm,
           const std::string& aBody,
           TransferEnd aEnd = TransferEnd::Length)
{
  AnswerBody body(aForm);
  body.Push(aBody);
  return !body.End(aEnd).mFault;
}

/** @return What a body shows, the same whether it comes whole or in bytes. */
std::optional<BodyKind>
DetectBodyKind(std::string_view aBytes)
{
  BodyKindDetector whole;
  const std::optional<BodyKind> kind = whole.Push(aBytes);
  BodyKindDetector bytewise;
  std::optional<BodyKind> last;
  for (std::size_t i = 0; i < aBytes.size() && !last; ++i) {
    last = bytewise.Push(aBytes.substr(i, 1));
  }
  BOOST_CHECK(kind == last);
  BOOST_TEST(whole.MayBeEvents() == bytewise.MayBeEvents());
  return kind;
}

} // namespace

BOOST_AUTO_TEST_SUITE(answerbody)

BOOST_AUTO_TEST_CASE(TypesOfAllFieldsAreRead)
{
  BOOST_CHECK(ClassifyContentTypes("") == StreamType::Missing);
  BOOST_CHECK(ClassifyContentTypes(" , ;x") == StreamType::Missing);
  BOOST_CHECK(ClassifyContentTypes("text/event-stream") == StreamType::Stated);
  BOOST_CHECK(ClassifyContentTypes(" Text/Event-Stream; charset=utf-8, "
                                   "text/event-stream") == StreamType::Stated);
  BOOST_CHECK(ClassifyContentTypes("text/event-streams") == StreamType::Other);
  BOOST_CHECK(ClassifyContentTypes("application/json, text/event-stream") ==
              StreamType::Ambiguous);
}

BOOST_AUTO_TEST_CASE(BytesShowTheKindOfABody)
{
  for (const char* const text : { "data:",
                                  "id: 1",
                                  ": x",
                                  "\r\n\r\nretry: 5",
                                  "event\n",
                                  "version: 3\r\ndata: a" }) {
    BOOST_CHECK(DetectBodyKind(text) == BodyKind::Events);
  }
  for (const char* const text :
       { "{", "[1]", "<html>", "\"a\"", "plain text", "data is", "ok\n" }) {
    BOOST_CHECK(DetectBodyKind(text) == BodyKind::Opaque);
  }
  for (const char* const text : { "", "\n", "da", "ok", "version: 3" }) {
    BOOST_CHECK(!DetectBodyKind(text));
  }
}

// A stream without events passes for a complete one, or a failure without a
// body for a broken one.
BOOST_AUTO_TEST_CASE(EmptyBodyIsCompleteUnlessAStreamEndsWithItsConnection)
{
  for (const std::string& types :
       { std::string(kEventType), std::string(), std::string("text/plain") }) {
    BOOST_TEST(IsComplete(Form(types, true), ""));
    BOOST_TEST(!IsComplete(Form(types, true), "", TransferEnd::Close));
    BOOST_TEST(
      IsComplete(Form(types, true, kNotFound), "", TransferEnd::Close));
    BOOST_TEST(
      IsComplete(Form(types, true, kNoContent), "", TransferEnd::Length));
  }
  BOOST_TEST(IsComplete(Form("text/plain", false), "", TransferEnd::Close));
}

// Bytes whose kind shows late are lost, doubled or passed on too early.
RC_BOOST_PROP(AnySplitPassesOnTheWholeBody, ())
{
  const auto body =
    *rc::gen::element<std::string>("id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
                                   "version: 3\r\nid: 1\r\ndata: a\r\n\r\n",
                                   "\n\n: wait\n\ndata: a\n\n",
                                   "{\"data\": 1}",
                                   "data and more");
  const auto types = *rc::gen::element<std::string>(
    "", "text/plain", "application/json, text/event-stream");
  AnswerBody answer(Form(types, true));
  std::string passed;
  for (std::size_t begin = 0; begin < body.size();) {
    const auto size = *rc::gen::inRange<std::size_t>(1, 5);
    passed += answer.Push(body.substr(begin, size));
    begin += size;
  }
  const BodyEnd end = answer.End(TransferEnd::Close);
  RC_ASSERT(!end.mFault);
  RC_ASSERT(passed + end.mBytes == body);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
