#include "deliverywatch.h"

#include "../libmedlarkeelnet/bootclock.h"
#include "connectionend.h"

#include <utility>

namespace medlarkeel {

namespace {

/** Time between two checks. */
constexpr Milliseconds kInterval{ 200 };

/** Time without an acknowledgement after which a request is given up. With two
 * intervals, it is shorter than the time-out of the system. */
constexpr Milliseconds kStallTime{ 1000 };

} // namespace

DeliveryWatch::DeliveryWatch(boost::asio::io_context& aContext,
                             BackendConnectionPointer aConnection)
  : mTimer(aContext)
  , mConnection(std::move(aConnection))
{
}

void
DeliveryWatch::Start(std::function<void()> aStalled)
{
  mStalled = std::move(aStalled);
  mProgressAt = BootNow();
  if (const auto state = DeliveryOf(mConnection->mSocket.native_handle())) {
    mAcknowledged = state->mAcknowledged;
  }
  CheckLater();
}

void
DeliveryWatch::Stop()
{
  mStalled = nullptr;
  mTimer.cancel();
}

void
DeliveryWatch::CheckLater()
{
  mTimer.expires_after(kInterval);
  mTimer.async_wait(
    [self = shared_from_this()](const boost::system::error_code& aError) {
      if (!aError && self->mStalled) {
        self->Check();
      }
    });
}

void
DeliveryWatch::Check()
{
  const auto state = DeliveryOf(mConnection->mSocket.native_handle());
  if (!state || state->mIsComplete) {
    Stop();
    return;
  }
  const Timestamp now = BootNow();
  if (state->mAcknowledged != mAcknowledged) {
    mAcknowledged = state->mAcknowledged;
    mProgressAt = now;
  } else if (now - mProgressAt >= kStallTime) {
    const auto stalled = std::exchange(mStalled, nullptr);
    stalled();
    return;
  }
  CheckLater();
}

} // namespace medlarkeel
