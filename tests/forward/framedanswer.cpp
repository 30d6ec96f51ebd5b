#include "framedanswer.h"

#include "answertext.h"

namespace medlarkeel {

std::string
FramedAnswer(const std::string& aRequest,
             Framing aFraming,
             const std::string& aBody,
             const std::string& aExtra)
{
  const std::string head =
    "HTTP/1.1 200 OK\r\nRequest: " + FieldOf(aRequest, "Request") +
    "\r\nProof: p1\r\n" + aExtra;
  switch (aFraming) {
    case Framing::Length:
      return head + "Content-Length: " + std::to_string(aBody.size()) +
             "\r\n\r\n" + aBody;
    case Framing::Chunks:
      return head + "Transfer-Encoding: chunked\r\n\r\n" + Chunk(aBody) +
             "0\r\n\r\n";
    case Framing::Close:
      break;
  }
  return head + "\r\n" + aBody;
}

FakeBackend::Script
AnsweringInFraming(Framing aFraming,
                   const std::string& aBody,
                   const std::string& aExtra)
{
  return
    [=](boost::asio::ip::tcp::socket& aSocket, const std::string& aRequest) {
      WriteBytes(aSocket, FramedAnswer(aRequest, aFraming, aBody, aExtra));
      if (aFraming == Framing::Close) {
        ShutDown(aSocket);
      }
    };
}

std::uint64_t
BrokenAnswers(ForwardFixture& aFixture, AnswerFault aFault)
{
  std::uint64_t count = 0;
  aFixture.Run([&](Forwarder& aForwarder) {
    count =
      aForwarder.Counters().mBrokenAnswers[static_cast<std::size_t>(aFault)];
  });
  return count;
}

bool
IsComplete(const SeenAnswer& aAnswer, bool aIsOldCaller)
{
  const bool hasLength = !aAnswer.Field("Content-Length").empty();
  return aIsOldCaller && !hasLength ? aAnswer.mIsClosedInOrder
                                    : aAnswer.mIsWhole;
}

std::string
OldRequestText(const std::string& aPath)
{
  return "POST " + aPath +
         " HTTP/1.0\r\nHost: host\r\nRequest: r-1\r\n"
         "Authorization: Key secret\r\nContent-Length: 0\r\n\r\n";
}

} // namespace medlarkeel
