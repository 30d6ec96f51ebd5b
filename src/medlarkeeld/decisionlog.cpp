#include "decisionlog.h"

#include "bootclock.h"

#include <utility>

namespace medlarkeel {

namespace {

constexpr std::size_t kMostKept = 4096;

} // namespace

void
DecisionLog::Write(Event aEvent, const EventFields& aFields)
{
  const std::string text = FieldsText(aFields);
  mLog.WriteText(aEvent, text);
  const auto request = aFields.find("request");
  if (request == aFields.end() || !request->is_string()) {
    return;
  }
  KeptDecision decision;
  decision.mRequest = request->get<std::string>();
  decision.mRecord.mAtUnixMs = static_cast<std::uint64_t>(WallNow().count());
  decision.mRecord.mEvent = static_cast<int>(aEvent);
  decision.mRecord.mText =
    std::string(DescribeEvent(aEvent).mName) + " " + text;
  const std::lock_guard<std::mutex> lock(mMutex);
  mKept.push_back(std::move(decision));
  if (mKept.size() > kMostKept) {
    mKept.pop_front();
  }
}

std::vector<DecisionRecord>
DecisionLog::Find(const std::string& aRequest)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::vector<DecisionRecord> found;
  for (const KeptDecision& decision : mKept) {
    if (decision.mRequest == aRequest) {
      found.push_back(decision.mRecord);
    }
  }
  return found;
}

} // namespace medlarkeel
