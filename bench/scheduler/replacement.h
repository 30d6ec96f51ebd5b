#pragma once

#include <cstdint>

namespace medlarkeel {

/** How callers make the keys of operations that may not be repeated. */
enum class KeyKind
{
  /** Obtained from an agent up to half a minute before the call. */
  Ticket,
  /** Obtained from an agent just before the call. */
  TicketAtCall,
  /** UUIDv7 made at the call. */
  TimeOrdered,
  /** Random text. */
  Opaque
};

struct ReplacementOutcome
{
  int mCalls = 0;
  int mRan = 0;
  /** Operations that ran more than once. */
  int mTwice = 0;
  /** Ended as unknown although nothing had run. */
  int mRefusedNotRun = 0;
  /** Ended as unknown after a run whose answer was lost. */
  int mRefusedRan = 0;
  /** Ended because no process would own the key in time. */
  int mNoOwner = 0;
};

/** @return The name as the report prints it. */
const char*
KeyKindName(KeyKind aKind);

/**
 * Plays confirmations against three replicas, one of which crashes and is
 * replaced; callers repeat for 30 s until they have a final answer.
 */
ReplacementOutcome
PlayReplacements(std::uint64_t aSeed, KeyKind aKind);

} // namespace medlarkeel
