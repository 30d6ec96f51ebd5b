#pragma once

#include "refusal.h"
#include "types.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace medlarkeel {

/** Names a reservation inside one agent; given by the driver, never reused. */
struct ReservationId
{
  std::uint64_t mValue = 0;

  friend bool operator==(ReservationId aLeft, ReservationId aRight)
  {
    return aLeft.mValue == aRight.mValue;
  }
  friend bool operator<(ReservationId aLeft, ReservationId aRight)
  {
    return aLeft.mValue < aRight.mValue;
  }
};

/** Names a grant inside one incarnation of an agent; given by the scheduler. */
struct GrantId
{
  std::uint64_t mValue = 0;

  friend bool operator==(GrantId aLeft, GrantId aRight)
  {
    return aLeft.mValue == aRight.mValue;
  }
  friend bool operator<(GrantId aLeft, GrantId aRight)
  {
    return aLeft.mValue < aRight.mValue;
  }
};

/** A request that asks one backend server for a slot. */
struct Reservation
{
  ReservationId mId;
  TeamName mTeam;
  /** Empty on a route that is open to callers without a key. */
  KeyId mKey;
  ClassName mClass;
  /** Time after which the answer is worth nothing. */
  std::optional<Timestamp> mDeadline;
  bool mRepeatable = false;
  std::uint32_t mPromptTokens = 0;
  /** Largest output that the caller takes, in tokens; 0 when unknown. */
  std::uint32_t mMaxTokens = 0;
};

/** The slot is granted; the commit must arrive before the grant expires. */
struct GrantAction
{
  ReservationId mId;
  GrantId mGrant;
  Timestamp mExpires;
};

/** The reservation ends without a run; the refusal is final. */
struct RefuseAction
{
  ReservationId mId;
  Refusal mRefusal;
};

/**
 * Running work is to be cancelled at the engine. Its slot stays taken until
 * the driver reports the end by BackendScheduler::Finish.
 */
struct CutAction
{
  ReservationId mId;
  Refusal mRefusal;
};

using SchedulerAction = std::variant<GrantAction, RefuseAction, CutAction>;
using SchedulerActions = std::vector<SchedulerAction>;

enum class FinishKind
{
  Succeeded,
  /** The backend server answered that it failed. */
  Failed,
  /** The backend server was gone: unreachable, or the answer broke off. */
  Lost,
  Cancelled
};

} // namespace medlarkeel
