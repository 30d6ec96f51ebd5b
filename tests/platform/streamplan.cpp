#include "streamplan.h"

#include <sstream>

namespace medlarkeel {

bool
StatesStream(PlannedType aType)
{
  return aType == PlannedType::EventStream ||
         aType == PlannedType::WithParameters || aType == PlannedType::Two;
}

std::string
StreamPlan::Path() const
{
  std::ostringstream path;
  path << static_cast<int>(mFraming) << ' ' << static_cast<int>(mFlaw) << ' '
       << static_cast<int>(mType) << ' ' << static_cast<int>(mLineEnd) << ' '
       << mIsOldServer << ' ' << mIsOpaque << ' ' << mPadding << ' ' << mEvents
       << ' ' << mPause.count() << ' ' << mKey;
  std::string text = path.str();
  for (char& character : text) {
    character = character == ' ' ? '/' : character;
  }
  return text;
}

std::string
StreamPlan::LineEnd() const
{
  switch (mLineEnd) {
    case PlannedLineEnd::LineFeed:
      break;
    case PlannedLineEnd::Both:
      return "\r\n";
    case PlannedLineEnd::CarriageReturn:
      return "\r";
  }
  return "\n";
}

std::string
StreamPlan::Event(int aNumber) const
{
  const std::string number = std::to_string(aNumber);
  const std::string padding(static_cast<std::size_t>(mPadding), '.');
  return "id: " + number + LineEnd() + "data: " + mKey + '-' + number + " of " +
         std::to_string(mEvents) + padding + LineEnd() + LineEnd();
}

std::string
StreamPlan::HalfEvent(int aNumber) const
{
  constexpr std::size_t kStep = 7;
  const std::string event = Event(aNumber);
  const std::size_t place = mKey.size() * static_cast<std::size_t>(mEvents);
  return event.substr(0, 1 + place * kStep % (event.size() - 1));
}

std::string
StreamPlan::Comment() const
{
  return ": wait" + LineEnd() + LineEnd();
}

std::string
StreamPlan::EventWithComment(int aNumber) const
{
  constexpr int kCommentInterval = 4;
  const bool hasComment = aNumber % kCommentInterval == 0;
  return (hasComment ? Comment() : "") + Event(aNumber);
}

std::string
StreamPlan::Body() const
{
  if (mIsOpaque) {
    return OpaqueBody();
  }
  std::string body;
  for (int i = 1; i <= mEvents; ++i) {
    body += EventWithComment(i);
  }
  return body;
}

std::string
StreamPlan::OpaqueBody() const
{
  return "{\"key\": \"" + mKey + std::string(mPadding, '.') + "\"}";
}

std::string
StreamPlan::TypeFields() const
{
  const std::string stated = "Content-Type: text/event-stream";
  switch (mType) {
    case PlannedType::EventStream:
      return stated + "\r\n";
    case PlannedType::WithParameters:
      return stated + "; charset=utf-8\r\n";
    case PlannedType::Two:
      return "Content-Type: text/plain\r\n" + stated + "\r\n";
    case PlannedType::Missing:
      return "";
    case PlannedType::Empty:
      return "Content-Type:\r\n";
    case PlannedType::Other:
      break;
  }
  return "Content-Type: application/json\r\n";
}

std::optional<StreamPlan>
ParseStreamPlan(const std::string& aPath)
{
  std::string text = aPath;
  for (char& character : text) {
    character = character == '/' ? ' ' : character;
  }
  std::istringstream input(text);
  std::string prefix;
  int framing = 0;
  int flaw = 0;
  int type = 0;
  int lineEnd = 0;
  int pause = 0;
  StreamPlan plan;
  input >> prefix >> framing >> flaw >> type >> lineEnd >> plan.mIsOldServer >>
    plan.mIsOpaque >> plan.mPadding >> plan.mEvents >> pause >> plan.mKey;
  if (input.fail()) {
    return std::nullopt;
  }
  plan.mFraming = static_cast<PlannedFraming>(framing);
  plan.mFlaw = static_cast<StreamFlaw>(flaw);
  plan.mType = static_cast<PlannedType>(type);
  plan.mLineEnd = static_cast<PlannedLineEnd>(lineEnd);
  plan.mPause = std::chrono::milliseconds(pause);
  return plan;
}

} // namespace medlarkeel
