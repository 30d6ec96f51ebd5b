#include "eventlog.h"

#include <spdlog/async.h>
#include <spdlog/async_logger.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <string_view>
#include <strings.h>

namespace medlarkeel {

namespace {

constexpr std::size_t kQueuedLines = 8192;
constexpr std::string_view kEmptyObject = "{}";

spdlog::level::level_enum
ConvertLevel(EventLevel aLevel)
{
  switch (aLevel) {
    case EventLevel::Info:
      return spdlog::level::info;
    case EventLevel::Warning:
      return spdlog::level::warn;
    case EventLevel::Error:
      return spdlog::level::err;
  }
  return spdlog::level::err;
}

/** @return The present time in UTC, in the manner of RFC 3339. */
std::string
PresentTime()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  const std::time_t seconds = milliseconds / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  const std::size_t size =
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::snprintf(text.data() + size,
                text.size() - size,
                ".%03dZ",
                static_cast<int>(milliseconds % 1000));
  return text.data();
}

bool
HoldsSecret(const std::string& aName)
{
  for (const char* secret :
       { "key", "apiKey", "authorization", "secret", "password" }) {
    if (strcasecmp(aName.c_str(), secret) == 0) {
      return true;
    }
  }
  return false;
}

EventFields
WithoutSecrets(EventFields aFields)
{
  for (auto& [name, value] : aFields.items()) {
    if (HoldsSecret(name)) {
      value = "[redacted]";
    }
  }
  return aFields;
}

std::string
Dump(const EventFields& aValue)
{
  constexpr int kCompact = -1;
  return aValue.dump(
    kCompact, ' ', false, EventFields::error_handler_t::replace);
}

} // namespace

std::string
FieldsText(const EventFields& aFields)
{
  for (const auto& [name, value] : aFields.items()) {
    if (HoldsSecret(name)) {
      return Dump(WithoutSecrets(aFields));
    }
  }
  return Dump(aFields);
}

EventLog::EventLog(std::string aNode,
                   std::shared_ptr<spdlog::sinks::sink> aSink)
  : mNodeText(Dump(std::move(aNode)))
  , mThread(std::make_shared<spdlog::details::thread_pool>(kQueuedLines, 1))
  , mLogger(std::make_shared<spdlog::async_logger>(
      "events",
      std::move(aSink),
      mThread,
      spdlog::async_overflow_policy::overrun_oldest))
{
  mLogger->set_pattern("%v");
}

EventLog::EventLog(std::string aNode)
  : EventLog(std::move(aNode),
             std::make_shared<spdlog::sinks::stderr_sink_mt>())
{
}

EventLog::~EventLog()
{
  // Joins the writing thread, which still uses the logger and its sink.
  mThread.reset();
}

void
EventLog::Write(Event aEvent, const EventFields& aFields)
{
  WriteText(aEvent, FieldsText(aFields));
}

void
EventLog::WriteText(Event aEvent, const std::string& aFieldsText)
{
  const EventEntry& entry = DescribeEvent(aEvent);
  std::string line = R"({"time":")" + PresentTime();
  line += R"(","event":)" + std::to_string(static_cast<int>(aEvent));
  line += std::string(R"(,"name":")") + entry.mName;
  line += std::string(R"(","level":")") + EventLevelText(entry.mLevel);
  line += R"(","node":)" + mNodeText;
  const bool hasFields = aFieldsText.size() > kEmptyObject.size();
  line += hasFields ? "," + aFieldsText.substr(1) : "}";
  mLogger->log(ConvertLevel(entry.mLevel), line);
}

std::size_t
EventLog::DroppedLines() const
{
  return mThread->overrun_counter();
}

} // namespace medlarkeel
