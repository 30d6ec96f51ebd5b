#include "../../src/libmedlarkeelnet/bootclock.h"
#include "../support/waituntil.h"
#include "answertext.h"
#include "forwardfixture.h"

#include <boost/test/unit_test.hpp>

namespace medlarkeel {

namespace {

using Socket = boost::asio::ip::tcp::socket;

constexpr std::chrono::seconds kWaitTime{ 5 };

void
AnswerShortly(Socket& aSocket, const std::string& aRequest)
{
  WriteBytes(aSocket, AnswerTo(aRequest, 200, "yes"));
}

std::size_t
HeldBytes(ForwardFixture& aFixture)
{
  std::size_t held = 0;
  aFixture.Run(
    [&](Forwarder& aForwarder) { held = aForwarder.Memory().TotalBytes(); });
  return held;
}

/** Lets the running request of another caller hold the whole bound. */
void
FillMemory(ForwardFixture& aFixture)
{
  aFixture.Run([](Forwarder& aForwarder) {
    CallerMemory& memory = aForwarder.Memory();
    CallerUsage usage;
    usage.mPhase = CallerPhase::Running;
    usage.mHeldBytes = memory.BoundBytes();
    memory.Update(memory.Add(BootNow()), usage, BootNow());
  });
}

} // namespace

BOOST_AUTO_TEST_SUITE(callerlimits)

// The end of an idle connection was refused like a request, with a 503 and a
// count, when memory was short.
BOOST_AUTO_TEST_CASE(EndsOfIdleConnectionsAreNoRefusals)
{
  ForwardFixture fixture;
  fixture.AddBackend(AnswerShortly);
  fixture.Start();
  Caller idle(fixture.Port());
  idle.Send(ForwardFixture::RequestText("/once/x"));
  BOOST_TEST(idle.Read().Status() == 200);
  FillMemory(fixture);
  const std::size_t held = HeldBytes(fixture);
  idle.Close();
  BOOST_TEST(WaitUntil(kWaitTime, [&]() { return HeldBytes(fixture) < held; }));
  fixture.Run([](Forwarder& aForwarder) {
    BOOST_TEST(aForwarder.Counters().mRefusedForMemory == 0U);
    BOOST_TEST(aForwarder.Counters().mRejected == 0U);
  });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
