#pragma once

#include "limitmessage.h"
#include "types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace medlarkeel {

/** Tokens on lease from the owner of a slice. */
struct HeldLease
{
  std::uint64_t mId = 0;
  std::uint32_t mSlice = 0;
  InstanceId mOwner;
  MicroTokens mTokens = 0;
  Timestamp mExpiresAt;
};

/** An ask that has had no answer yet. */
struct PendingAsk
{
  std::uint64_t mId = 0;
  std::uint32_t mSlice = 0;
  /** Tokens for requests that wait. */
  MicroTokens mWaiting = 0;
  Timestamp mSentAt;
};

/**
 * What one instance borrows for one team: leases, open asks, and the demand
 * by which asks are sized.
 */
class TeamAccount
{
public:
  /** Counts a request, for the estimate of the demand. */
  void RecordArrival(Timestamp aNow);

  /** Spends one leased token, if there is one. */
  bool SpendHeld(Timestamp aNow);

  /** Notes that one more request waits for a token. */
  void Want(MicroTokens aLimit);

  /** @return Tokens that waiting requests want and no ask covers. */
  MicroTokens Wanted() const { return mWanted; }

  /** @return Tokens to ask for beyond the waiting requests. */
  MicroTokens Prefetch(Timestamp aNow) const;

  /** Moves all that is wanted into an ask. */
  void AddAsk(const PendingAsk& aAsk);

  /** Drops what is wanted, when nobody can be asked. */
  void GiveUp() { mWanted = 0; }

  /** @return The open ask with this id, which is open no more. */
  std::optional<PendingAsk> CloseAsk(std::uint64_t aId);

  /** @return Asks sent before the given time, which are open no more. */
  std::vector<PendingAsk> CloseAsksBefore(Timestamp aTime);

  /** @return Whether an ask is open at the given slice. */
  bool HasAskAt(std::uint32_t aSlice) const;
  bool HasAsk() const { return !mAsks.empty(); }

  /** Puts the uncovered part of an ask back to what is wanted. */
  void WantAgain(MicroTokens aTokens) { mWanted += aTokens; }

  void AddLease(HeldLease aLease);

  /** @return Leases that end before the given time; they are dropped. */
  std::vector<HeldLease> DropLeasesBefore(Timestamp aTime);

  bool HasLease() const { return !mLeases.empty(); }
  Timestamp LastUsed() const { return mLastUsed; }

  /** Drops all open asks, after a pause. */
  void ForgetAsks();

private:
  MicroTokens Held(Timestamp aNow) const;

  std::vector<HeldLease> mLeases;
  std::vector<PendingAsk> mAsks;
  MicroTokens mWanted = 0;
  /** Requests per second, with exponential decay. */
  double mDemand = 0.0;
  Timestamp mLastUsed;
};

} // namespace medlarkeel
