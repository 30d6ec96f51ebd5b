#pragma once

#include "types.h"

#include <cstdint>

namespace medlarkeel {

/** Millionth parts of one admission; exact in all sums. */
using MicroTokens = std::int64_t;

constexpr MicroTokens kWholeToken = 1'000'000;

/** What a message of the team limits says. */
enum class LimitMessageKind : std::uint32_t
{
  /** Asks the owner of a slice for tokens. */
  Ask = 1,
  /** Answers an ask with a lease on tokens, possibly none. */
  Grant = 2,
  /** Gives back the unspent rest of a lease. */
  Return = 3,
  /** Asks the previous owner of a slice to hand it over. */
  Claim = 4,
  /** Hands over a slice with its tokens; the sender acts on it no more. */
  Handover = 5,
  /** Asks another member of the list for a promise; see OwnershipPeers. */
  PromiseAsk = 6,
  /** Answers with a promise, or without. */
  Promise = 7,
  /** Ends a promise that is needed no more. */
  PromiseEnd = 8,
  /** An heir asks whether an owner by an older list may still go on. */
  ClearanceAsk = 9,
  /** Answers with the time for which promises may still last. */
  Clearance = 10
};

/** A message between two instances that meter the same team. */
struct LimitMessage
{
  InstanceId mFrom;
  InstanceId mTo;
  LimitMessageKind mKind = LimitMessageKind::Ask;
  /**
   * Chosen by the asking side and repeated in the answer; PromiseEnd: name of
   * the promise.
   */
  std::uint64_t mTransferId = 0;
  TeamName mTeam;
  std::uint32_t mSlice = 0;
  /** Ask: wanted in all; Grant, Return, Handover: tokens that move. */
  MicroTokens mTokens = 0;
  /**
   * Ask: part for waiting requests; Handover: tokens still on lease;
   * PromiseAsk: name of the promise, the same for renewals.
   */
  MicroTokens mShare = 0;
  /** Grant, Promise: validity, counted by the asker from its sending. */
  Microseconds mLease{ 0 };
  /**
   * Grant without enough tokens: when to ask again; Clearance: time for which
   * promises by older lists may still last.
   */
  Microseconds mRetry{ 0 };
  /**
   * Grant, Promise: revision of the list that the sender last read, 0 for
   * none; Claim: revision since which the sender sees itself as the owner;
   * PromiseAsk, ClearanceAsk: the sender's newest revision.
   */
  std::uint64_t mListRevision = 0;
  /**
   * Grant, Promise: time since the request for that reading was sent;
   * Clearance: time since which every list has shown the sender.
   */
  Microseconds mListAge{ 0 };
};

} // namespace medlarkeel
