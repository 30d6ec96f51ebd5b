#include "loopbackplatform.h"

#include <boost/test/unit_test.hpp>

#include <optional>

namespace medlarkeel {

namespace {

std::string
MetricsOf(const EntryProcess& aEntry)
{
  Caller caller(aEntry.mStatus, aEntry.mAddress.c_str());
  caller.Send("GET /metrics HTTP/1.1\r\nHost: entry\r\n\r\n");
  return caller.Read().mBody;
}

/** Waits for a text in what an entry logs. */
bool
WaitForLog(const EntryProcess& aEntry, const std::string& aText)
{
  return WaitUntil(std::chrono::seconds(10), [&]() {
    return aEntry.mProcess->Log().find(aText) != std::string::npos;
  });
}

} // namespace

BOOST_AUTO_TEST_SUITE(readiness)

/** Guards against an entry that serves nothing and doesn't say why. */
BOOST_AUTO_TEST_CASE(EntryThatIsNotReadySaysWhatIsMissing)
{
  LoopbackPlatform platform;
  platform.AddDesk("desk-1");
  platform.Store().SetTrouble(StoreTrouble::Refusing);
  const EntryProcess& entry = platform.StartEntry();
  BOOST_TEST(WaitForLog(entry, R"("error":"refused")"));
  BOOST_TEST(WaitForLog(entry, R"("missing":"the list of backend servers")"));
  std::string metrics = MetricsOf(entry);
  BOOST_TEST(metrics.find("forward_ready 0") != std::string::npos);
  BOOST_TEST(metrics.find("errors_total{error=\"refused\"} 0") ==
             std::string::npos);
  platform.Store().SetTrouble(StoreTrouble::None);
  BOOST_TEST(LoopbackPlatform::WaitReady(entry));
  BOOST_TEST(WaitForLog(entry, R"("name":"ready")"));
  metrics = MetricsOf(entry);
  BOOST_TEST(metrics.find("forward_ready 1") != std::string::npos);
  BOOST_TEST(metrics.find("usable_servers{pool=\"desk\"} 1") !=
             std::string::npos);
}

/** Guards against a process that ends, because the one before it or another one
 * still holds a port of its own. */
BOOST_AUTO_TEST_CASE(StartWaitsForPortsThatAreTaken)
{
  using boost::asio::ip::tcp;
  LoopbackPlatform platform;
  platform.AddDesk("desk-1");
  EntryProcess& entry = platform.StartEntry();
  BOOST_REQUIRE(LoopbackPlatform::WaitReady(entry));
  for (const std::uint16_t port :
       { entry.mCallers, entry.mReadiness, entry.mStatus }) {
    BOOST_TEST_CONTEXT("port " << port)
    {
      entry.mProcess->Kill();
      boost::asio::io_context context;
      std::optional<tcp::acceptor> holder;
      holder.emplace(
        context,
        tcp::endpoint(boost::asio::ip::make_address(entry.mAddress), port));
      platform.Restart(entry);
      BOOST_TEST(WaitForLog(entry, R"("name":"port-taken")"));
      holder.reset();
      BOOST_TEST(LoopbackPlatform::WaitReady(entry));
      BOOST_TEST(entry.mProcess->IsRunning());
      std::filesystem::remove(platform.Folder() / (entry.mName + ".log"));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
