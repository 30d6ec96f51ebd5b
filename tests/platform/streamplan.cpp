#include "streamplan.h"

#include <sstream>

namespace medlarkeel {

std::string
StreamPlan::Path() const
{
  std::ostringstream path;
  path << static_cast<int>(mFraming) << ' ' << static_cast<int>(mFlaw) << ' '
       << mEvents << ' ' << mPause.count() << ' ' << mKey;
  std::string text = path.str();
  for (char& character : text) {
    character = character == ' ' ? '/' : character;
  }
  return text;
}

std::string
StreamPlan::Event(int aNumber) const
{
  const std::string number = std::to_string(aNumber);
  return "id: " + number + "\ndata: " + mKey + '-' + number + " of " +
         std::to_string(mEvents) + "\n\n";
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
  int pause = 0;
  StreamPlan plan;
  input >> prefix >> framing >> flaw >> plan.mEvents >> pause >> plan.mKey;
  if (input.fail()) {
    return std::nullopt;
  }
  plan.mFraming = static_cast<PlannedFraming>(framing);
  plan.mFlaw = static_cast<StreamFlaw>(flaw);
  plan.mPause = std::chrono::milliseconds(pause);
  return plan;
}

} // namespace medlarkeel
