#include "eventcatalogue.h"

#include <algorithm>
#include <iterator>

namespace medlarkeel {

namespace {

using Level = EventLevel;

constexpr EventEntry kEntries[] = {
  { Event::Started, "started", Level::Info, "The process serves." },
  { Event::Stopped, "stopped", Level::Info, "The process ends." },
  { Event::SettingsRejected,
    "settings-rejected",
    Level::Error,
    "The settings can't be used; the process ends." },
  { Event::ShutdownStep,
    "shutdown-step",
    Level::Info,
    "The graceful shutdown reached its next step." },
  { Event::PauseNoticed,
    "pause-noticed",
    Level::Warning,
    "The process didn't run for a while and checks what it knows anew." },
  { Event::SettingsReloaded,
    "settings-reloaded",
    Level::Info,
    "The settings were read again on request." },
  { Event::AcceptFailed,
    "accept-failed",
    Level::Error,
    "A caller's connection could not be accepted." },
  { Event::CallerMemoryShort,
    "caller-memory-short",
    Level::Warning,
    "Memory for callers is used up: requests that haven't begun are refused, "
    "and answers that nobody reads are cut; at most one line a second." },
  { Event::CallerRefused,
    "caller-refused",
    Level::Warning,
    "A caller's connection was closed at once, as its address or all callers "
    "have as many as are allowed; at most one line a second." },
  { Event::Ready,
    "ready",
    Level::Info,
    "The process takes requests for the first time; the time since its "
    "start." },
  { Event::NotReady,
    "not-ready",
    Level::Warning,
    "The process has started and can't take requests yet; what it waits for, "
    "and why the directory couldn't be read last; one line a second." },
  { Event::PortTaken,
    "port-taken",
    Level::Warning,
    "Another process holds a port of the settings; the start is tried again "
    "for ten seconds." },

  { Event::DocumentAccepted,
    "document-accepted",
    Level::Info,
    "An environment document is in force on this node." },
  { Event::DocumentRejected,
    "document-rejected",
    Level::Error,
    "An environment document has errors; the one before stays in force." },
  { Event::DocumentStale,
    "document-stale",
    Level::Warning,
    "The document in force couldn't be confirmed within the bound." },
  { Event::DocumentWithoutKeys,
    "document-without-keys",
    Level::Warning,
    "A document requires keys and has none; only public routes are served." },
  { Event::ListObserved,
    "list-observed",
    Level::Info,
    "The platform's list of instances changed." },
  { Event::ZoneChanged,
    "zone-changed",
    Level::Warning,
    "An availability zone was taken out of service or came back." },
  { Event::DirectoryLost,
    "directory-lost",
    Level::Warning,
    "Documents and the list can't be read; what is known stays in use." },
  { Event::DirectoryRegained,
    "directory-regained",
    Level::Info,
    "Documents and the list can be read again." },
  { Event::ItemUnreadable,
    "item-unreadable",
    Level::Warning,
    "A published item can't be used, and the last good one stays in use; or a "
    "part of the document can't, and the other parts are in force." },
  { Event::PeerReportLost,
    "peer-report-lost",
    Level::Warning,
    "A report to or from another entry was lost; the next one replaces it." },
  { Event::BackendLeaving,
    "backend-leaving",
    Level::Info,
    "A backend server said in an answer that it is shutting down; it gets no "
    "new requests." },
  { Event::BackendPaused,
    "backend-paused",
    Level::Warning,
    "A backend server asked for no requests for a time; they go elsewhere." },
  { Event::BackendLimit,
    "backend-limit",
    Level::Warning,
    "A backend server stated a limit on the requests of all entries, changed "
    "or ended it, or stated a value that can't be used and changes nothing." },
  { Event::DirectoryRestored,
    "directory-restored",
    Level::Warning,
    "The directory was restored from an older copy; what was withdrawn before "
    "and is in the copy is withheld for a time." },
  { Event::RequestRouted,
    "request-routed",
    Level::Info,
    "A backend server was chosen, out of which candidates and why." },
  { Event::RequestRefused,
    "request-refused",
    Level::Warning,
    "The caller got a refusal; it says whether the request was run." },
  { Event::RequestCancelled,
    "request-cancelled",
    Level::Info,
    "The caller left or a key was withdrawn; the work was cancelled." },
  { Event::StreamFailed,
    "stream-failed",
    Level::Error,
    "An answer was cut after its first byte; the caller saw an error." },
  { Event::RequestCompleted,
    "request-completed",
    Level::Info,
    "The caller got the whole answer." },
  { Event::BackendAttemptFailed,
    "backend-attempt-failed",
    Level::Warning,
    "One send to a backend server brought no answer to pass on; for a broken "
    "answer, why it is broken." },
  { Event::RequestTurnedAway,
    "request-turned-away",
    Level::Info,
    "A request wasn't sent because its servers are overloaded; the load, the "
    "expected time and when its caller should come back." },
  { Event::PermitDecided,
    "permit-decided",
    Level::Info,
    "A request needed a permit for a backend server that limits its requests: "
    "the outcome, who decided, and when to ask again." },
  { Event::ReservationGranted,
    "reservation-granted",
    Level::Info,
    "The agent granted a slot." },
  { Event::ReservationRefused,
    "reservation-refused",
    Level::Warning,
    "The agent took no reservation; nothing was run." },
  { Event::ReservationShed,
    "reservation-shed",
    Level::Warning,
    "A queued reservation gave way to a higher tier; nothing was run." },
  { Event::CommitRefused,
    "commit-refused",
    Level::Warning,
    "A commit came too late or from an older grant; nothing was run." },
  { Event::ClaimDecided,
    "claim-decided",
    Level::Info,
    "What became of a call that may run at most once." },
  { Event::PlacementDecided,
    "placement-decided",
    Level::Info,
    "What the backend server is to have, out of what and why." },
  { Event::OrderDecided,
    "order-decided",
    Level::Info,
    "An order to the backend server, with what it has and is to have." },
  { Event::OrderVoided,
    "order-voided",
    Level::Warning,
    "An order was decided and not sent." },
  { Event::OrderEnded,
    "order-ended",
    Level::Info,
    "What became of an order that was sent." },
  { Event::DrainBegan,
    "drain-began",
    Level::Info,
    "No new work until the backend server has changed." },
  { Event::DrainEnded,
    "drain-ended",
    Level::Info,
    "The backend server takes new work again." },
  { Event::AgentSuperseded,
    "agent-superseded",
    Level::Warning,
    "A later agent gives the orders to the backend server; this one gives none "
    "any more." },
  { Event::ShareMoved,
    "share-moved",
    Level::Info,
    "A part of a team's rate moved between nodes." },
  { Event::BreakerOpened,
    "breaker-opened",
    Level::Warning,
    "An agent failed too often; it gets no requests for a while." },
  { Event::BreakerClosed,
    "breaker-closed",
    Level::Info,
    "An agent answered its trial request; it gets requests again." }
};

} // namespace

const std::vector<EventEntry>&
EventCatalogue()
{
  static const std::vector<EventEntry> sEntries(std::begin(kEntries),
                                                std::end(kEntries));
  return sEntries;
}

const EventEntry&
DescribeEvent(Event aEvent)
{
  const std::vector<EventEntry>& entries = EventCatalogue();
  const auto place = std::find_if(
    entries.begin(), entries.end(), [aEvent](const EventEntry& aEntry) {
      return aEntry.mEvent == aEvent;
    });
  static const EventEntry sUnlisted{
    Event{}, "unlisted", EventLevel::Error, "Missing from the catalogue."
  };
  return place == entries.end() ? sUnlisted : *place;
}

const char*
EventLevelText(EventLevel aLevel)
{
  switch (aLevel) {
    case EventLevel::Info:
      return "info";
    case EventLevel::Warning:
      return "warning";
    case EventLevel::Error:
      return "error";
  }
  return "";
}

std::string
RenderEventCatalogue()
{
  std::string result = "# Events of the log\n\n"
                       "Each log line is one JSON object with `time`, `event` "
                       "(the number), `name`, `level`,\n`node` and the "
                       "event's own fields. Numbers are never reused.\n\n"
                       "| event | name | level | meaning |\n"
                       "|---|---|---|---|\n";
  for (const EventEntry& entry : EventCatalogue()) {
    result += "| " + std::to_string(static_cast<int>(entry.mEvent)) + " | " +
              entry.mName + " | " + EventLevelText(entry.mLevel) + " | " +
              entry.mMeaning + " |\n";
  }
  return result;
}

} // namespace medlarkeel
