#pragma once

#include <string>
#include <vector>

namespace medlarkeel {

/**
 * Numbered events of the log. A number is never reused; docs/EVENTS.md is
 * rendered from the catalogue.
 */
enum class Event
{
  Started = 100,
  Stopped = 101,
  SettingsRejected = 102,
  ShutdownStep = 103,
  PauseNoticed = 104,
  SettingsReloaded = 105,
  AcceptFailed = 106,
  CallerMemoryShort = 107,
  CallerRefused = 108,
  Ready = 109,
  NotReady = 110,
  PortTaken = 111,

  DocumentAccepted = 200,
  DocumentRejected = 201,
  DocumentStale = 202,
  DocumentWithoutKeys = 203,

  ListObserved = 300,
  ZoneChanged = 301,
  DirectoryLost = 302,
  DirectoryRegained = 303,
  ItemUnreadable = 304,
  PeerReportLost = 305,
  BackendLeaving = 306,
  BackendPaused = 307,
  BackendLimit = 308,
  DirectoryRestored = 309,

  RequestRouted = 400,
  RequestRefused = 401,
  RequestCancelled = 402,
  StreamFailed = 403,
  RequestCompleted = 404,
  BackendAttemptFailed = 405,
  RequestTurnedAway = 406,
  PermitDecided = 407,

  ReservationGranted = 500,
  ReservationRefused = 501,
  ReservationShed = 502,
  CommitRefused = 503,
  ClaimDecided = 504,

  PlacementDecided = 600,
  OrderDecided = 601,
  OrderVoided = 602,
  OrderEnded = 603,
  DrainBegan = 604,
  DrainEnded = 605,
  AgentSuperseded = 606,

  ShareMoved = 700,

  BreakerOpened = 800,
  BreakerClosed = 801
};

enum class EventLevel
{
  Info,
  Warning,
  Error
};

/** What the catalogue says about one event. */
struct EventEntry
{
  Event mEvent;
  const char* mName;
  EventLevel mLevel;
  const char* mMeaning;
};

/** @return All events, in the order of their numbers. */
const std::vector<EventEntry>&
EventCatalogue();

/** @return The entry of an event; one named "unlisted" if it has none. */
const EventEntry&
DescribeEvent(Event aEvent);

/** @return "info", "warning" or "error". */
const char*
EventLevelText(EventLevel aLevel);

/** @return The catalogue as the Markdown text of docs/EVENTS.md. */
std::string
RenderEventCatalogue();

} // namespace medlarkeel
