#include "../../platform/storeclient.h"
#include "../../platform/wireprotocol.h"
#include "../libmedlarkeelforward/forwarder.h"
#include "../libmedlarkeelforward/placementpage.h"

#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <limits>
#include <malloc.h>
#include <thread>

DEFINE_string(link_mbps,
              "",
              "bandwidth of the machine's link, in Mbit/s; replaces linkMbps "
              "of the settings");
DEFINE_string(settings,
              "",
              "settings file; MEDLARKEEL_CONFIG names it when empty");

namespace medlarkeel {

namespace {

constexpr int kSettingsRejected = 2;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

std::string
SettingsPath()
{
  if (!FLAGS_settings.empty()) {
    return FLAGS_settings;
  }
  const char* path = std::getenv("MEDLARKEEL_CONFIG");
  return path == nullptr ? "" : path;
}

ForwardSettingsResult
ReadSettings()
{
  std::ifstream file(SettingsPath());
  const std::string text((std::istreambuf_iterator<char>(file)),
                         std::istreambuf_iterator<char>());
  return ParseForwardSettings(text);
}

StatusPage
ReadinessPage(const Forwarder& aForwarder)
{
  const std::string missing = aForwarder.MissingForReadiness();
  return missing.empty()
           ? StatusPage{ 200, "ready\n" }
           : StatusPage{ kUnavailable, "not ready: " + missing + "\n" };
}

/** Answers monitoring and operators. */
StatusPage
MetricsPage(Forwarder& aForwarder, const std::string& aPath)
{
  if (IsPlacementTarget(aPath)) {
    return PlacementPage(aForwarder, aPath);
  }
  if (aPath != "/metrics") {
    return { kNotFound, "no such page\n" };
  }
  aForwarder.UpdateGauges();
  return { 200,
           RenderForwardCounters(aForwarder.Counters(),
                                 aForwarder.Log().DroppedLines()) };
}

/** Keeps answering signals until the process ends. */
void
WaitForSignal(boost::asio::signal_set& aSignals,
              Forwarder& aForwarder,
              EventLog& aLog)
{
  aSignals.async_wait(
    [&](const boost::system::error_code& aError, int aSignal) {
      if (aError) {
        return;
      }
      if (aSignal == SIGHUP) {
        const ForwardSettingsResult settings = ReadSettings();
        aLog.Write(Event::SettingsReloaded,
                   { { "valid", settings.has_value() },
                     { "effect", "none before the next start" } });
      } else {
        aForwarder.Stop();
      }
      WaitForSignal(aSignals, aForwarder, aLog);
    });
}

/** Lets memory of large bodies return to the machine as soon as it is freed.
 * By default the allocator keeps blocks of up to 32 MB once some were freed. */
void
ReturnLargeBlocks()
{
#ifdef __GLIBC__
  constexpr int kLargeBlock = 131'072;
  mallopt(M_MMAP_THRESHOLD, kLargeBlock);
#endif
}

/** Serves until the process is asked to end.
 *
 * @throws boost::system::system_error if an address can't be listened on. */
void
Serve(const ForwardSettings& aSettings, EventLog& aLog)
{
  boost::asio::io_context context(1);
  boost::asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
  const DirectorySources directories{
    std::make_shared<platform::StoreClient>(context, aSettings.mDirectory),
    std::make_shared<platform::StoreClient>(
      context, aSettings.mDirectory, platform::kDocumentKeys)
  };
  Forwarder forwarder(
    context, aSettings, platform::PlatformProtocol(), directories, aLog);
  const StatusServer readiness(
    context, aSettings.mReadiness, [&](const std::string&) {
      return ReadinessPage(forwarder);
    });
  const StatusServer metrics(
    context, aSettings.mMetrics, [&](const std::string& aPath) {
      return MetricsPage(forwarder, aPath);
    });
  WaitForSignal(signals, forwarder, aLog);
  forwarder.Start();
  aLog.Write(Event::Started, { { "zone", aSettings.mZone.Text() } });
  context.run();
  aLog.Write(Event::Stopped);
}

/** Serves as soon as its ports are free, which the entry's previous process may
 * still hold. */
void
ServeOncePortsAreFree(const ForwardSettings& aSettings, EventLog& aLog)
{
  constexpr std::chrono::seconds kMaximumWait{ 10 };
  constexpr Milliseconds kPause{ 100 };
  const auto end = std::chrono::steady_clock::now() + kMaximumWait;
  bool hasLogged = false;
  while (true) {
    try {
      Serve(aSettings, aLog);
      return;
    } catch (const boost::system::system_error& error) {
      if (error.code() != boost::asio::error::address_in_use ||
          std::chrono::steady_clock::now() >= end) {
        throw;
      }
      if (!hasLogged) {
        aLog.Write(Event::PortTaken, { { "error", error.what() } });
        hasLogged = true;
      }
    }
    std::this_thread::sleep_for(kPause);
  }
}

int
Run(const ForwardSettings& aSettings)
{
  ReturnLargeBlocks();
  std::signal(SIGPIPE, SIG_IGN);
  EventLog log(aSettings.mNode.Text(),
               std::make_shared<spdlog::sinks::stdout_sink_mt>());
  ServeOncePortsAreFree(aSettings, log);
  return 0;
}

} // namespace

} // namespace medlarkeel

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage("an entry that sends requests to backend servers");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  const medlarkeel::ForwardSettingsResult settings = medlarkeel::ReadSettings();
  if (!settings) {
    for (const medlarkeel::DocumentProblem& problem : settings.error()) {
      std::cerr << medlarkeel::ProblemText(problem) << '\n';
    }
    return medlarkeel::kSettingsRejected;
  }
  try {
    medlarkeel::ForwardSettings known = settings.value();
    const double link = std::strtod(FLAGS_link_mbps.c_str(), nullptr);
    if (link >= 1.0 && link < std::numeric_limits<std::uint32_t>::max()) {
      known.mLinkMbps = static_cast<std::uint32_t>(link);
    }
    return medlarkeel::Run(known);
  } catch (const std::exception& error) {
    std::cerr << "the process can't run: " << error.what() << '\n';
    return 1;
  }
}
