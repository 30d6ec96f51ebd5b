#pragma once

#include "eventcatalogue.h"

#include <nlohmann/json.hpp>
#include <spdlog/sinks/sink.h>

#include <cstddef>
#include <memory>
#include <string>

namespace spdlog {
class async_logger;
namespace details {
class thread_pool;
}
}

namespace medlarkeel {

using EventFields = nlohmann::ordered_json;

/** @return The fields as a JSON object on one line, without secrets. */
std::string
FieldsText(const EventFields& aFields);

/**
 * Writes numbered events as JSON lines. Threads may share it. Writing never
 * blocks: when the sink is slower than the events, the oldest are dropped and
 * counted. Fields whose name says that they hold a secret are redacted.
 */
class EventLog
{
public:
  /**
   * @param aNode Instance id that each line carries.
   * @param aSink Where the lines go.
   */
  EventLog(std::string aNode, std::shared_ptr<spdlog::sinks::sink> aSink);

  /** Writes to the standard error stream. */
  explicit EventLog(std::string aNode);

  /** Writes out what is queued. */
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  /**
   * Writes one line.
   *
   * @param aEvent The event, which gives number, name and level.
   * @param aFields An object with the event's own fields, or nothing.
   */
  void Write(Event aEvent, const EventFields& aFields = EventFields::object());

  /** Writes one line whose fields are already text, see FieldsText. */
  void WriteText(Event aEvent, const std::string& aFieldsText);

  /** @return The number of lines lost to a slow sink. */
  std::size_t DroppedLines() const;

private:
  /** The instance id as a JSON string. */
  std::string mNodeText;
  std::shared_ptr<spdlog::details::thread_pool> mThread;
  std::shared_ptr<spdlog::async_logger> mLogger;
};

} // namespace medlarkeel
