#pragma once

#include "backendorder.h"
#include "neterror.h"
#include "orderissuer.h"
#include "types.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace medlarkeel {

/** The state of a model engine as one reading gave it. */
struct BackendReading
{
  BackendState mState;
  /** Highest fencing number that the engine has seen, if it tells. */
  std::optional<std::uint64_t> mFencingNumber;
  /** Whether the engine carries an order out at present. */
  bool mIsLoading = false;
};

/** Reads the state of one model engine and sends orders to it over HTTP. */
class BackendOrderClient
{
public:
  /**
   * @param aBaseUrl "http://" and the engine's IP number and port.
   * @param aShouldStop Asked at short intervals; true ends a call.
   */
  BackendOrderClient(std::string aBaseUrl, std::function<bool()> aShouldStop);

  /** @return The state, or why it can't be read. */
  NetResult<BackendReading> ReadState() const;

  /**
   * Sends an order and waits until it has taken effect.
   *
   * @param aNumber The order's fencing number.
   * @param aTimeout Longest time to wait.
   */
  OrderResult Send(const BackendOrder& aOrder,
                   std::uint64_t aNumber,
                   Milliseconds aTimeout) const;

private:
  const std::string mBaseUrl;
  const std::function<bool()> mShouldStop;
};

} // namespace medlarkeel
