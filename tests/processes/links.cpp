#include "links.h"

#include "processharness.h"

#include <boost/asio/post.hpp>

#include <future>

namespace medlarkeel {

Links::Links()
  : mWork(boost::asio::make_work_guard(mContext))
  , mThread([this] { mContext.run(); })
{
}

Links::~Links()
{
  mContext.stop();
  mThread.join();
}

template<typename Change>
void
Links::Apply(Change aChange)
{
  std::packaged_task<void()> task(std::move(aChange));
  auto done = task.get_future();
  boost::asio::post(mContext, [&task] { task(); });
  done.get();
}

std::uint16_t
Links::Add(const std::string& aFrom,
           const std::string& aTo,
           std::uint16_t aTarget)
{
  const std::uint16_t port = FreePort();
  Apply([&] {
    mRelays[{ aFrom, aTo }] =
      std::make_unique<LinkRelay>(mContext, port, aTarget);
  });
  return port;
}

void
Links::SetCut(const Ends& aEnds, LinkDirection aDirection)
{
  const auto found = mRelays.find(aEnds);
  if (found != mRelays.end()) {
    found->second->SetCut(aDirection, true);
  }
}

void
Links::Cut(const std::string& aOne, const std::string& aOther)
{
  CutSending(aOne, aOther);
  CutSending(aOther, aOne);
}

void
Links::CutSending(const std::string& aSender, const std::string& aReceiver)
{
  Apply([&] {
    SetCut({ aSender, aReceiver }, LinkDirection::ToServer);
    SetCut({ aReceiver, aSender }, LinkDirection::FromServer);
  });
}

void
Links::Isolate(const std::string& aId)
{
  Apply([&] {
    for (const auto& [ends, relay] : mRelays) {
      if (ends.first == aId || ends.second == aId) {
        relay->SetCut(LinkDirection::ToServer, true);
        relay->SetCut(LinkDirection::FromServer, true);
      }
    }
  });
}

void
Links::Reset(const std::string& aOne, const std::string& aOther)
{
  Apply([&] {
    for (const auto& [ends, relay] : mRelays) {
      if (ends == Ends{ aOne, aOther } || ends == Ends{ aOther, aOne }) {
        relay->Reset();
      }
    }
  });
}

void
Links::Heal()
{
  Apply([&] {
    for (const auto& [ends, relay] : mRelays) {
      relay->SetCut(LinkDirection::ToServer, false);
      relay->SetCut(LinkDirection::FromServer, false);
    }
  });
}

} // namespace medlarkeel
