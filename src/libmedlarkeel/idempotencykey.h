#pragma once

#include "types.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace medlarkeel {

/** Wall clock time; the core never reads it. */
using WallTime =
  std::chrono::time_point<std::chrono::system_clock, Milliseconds>;

/**
 * An idempotency key that an agent has issued. Only the incarnation that it
 * names accepts it, so no other process can have run it.
 */
struct Ticket
{
  InstanceId mInstance;
  Incarnation mIncarnation;
  /** On the boot clock of the issuing instance. */
  Timestamp mIssued;
  std::uint64_t mCounter = 0;
};

/** @return The ticket as the key that callers present. */
IdempotencyKey
FormatTicket(const Ticket& aTicket);

/** @return The ticket; nothing for any other key. */
std::optional<Ticket>
ParseTicket(const IdempotencyKey& aKey);

/** @return When a key was made, if it is a UUID of version 7. */
std::optional<WallTime>
TimeOfUuidV7(const IdempotencyKey& aKey);

} // namespace medlarkeel
