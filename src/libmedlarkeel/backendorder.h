#pragma once

#include "types.h"

#include <cstdint>
#include <set>
#include <string>

namespace medlarkeel {

/**
 * Orders the orders to one backend server: those of a later incarnation of
 * its agent come after all of an earlier one, without a disk.
 */
struct FencingToken
{
  Incarnation mIncarnation;
  std::uint64_t mCounter = 0;

  friend bool operator==(FencingToken aLeft, FencingToken aRight)
  {
    return aLeft.mIncarnation == aRight.mIncarnation &&
           aLeft.mCounter == aRight.mCounter;
  }
  friend bool operator<(FencingToken aLeft, FencingToken aRight)
  {
    if (aLeft.mIncarnation == aRight.mIncarnation) {
      return aLeft.mCounter < aRight.mCounter;
    }
    return aLeft.mIncarnation < aRight.mIncarnation;
  }
};

/**
 * Makes the number by which a backend server orders tokens. An incarnation is
 * the microsecond of the start, and an order takes longer than one, so the
 * numbers of a later incarnation are higher.
 */
inline std::uint64_t
FencingNumber(FencingToken aToken)
{
  return aToken.mIncarnation.mValue + aToken.mCounter;
}

/** What a backend server has loaded, or is to have. */
struct BackendState
{
  std::string mVersion;
  std::string mRole;
  std::set<AdapterName> mAdapters;
};

enum class OrderKind
{
  LoadVersion,
  ChangeRole,
  LoadAdapter,
  UnloadAdapter
};

/** @return The kind in kebab case, as backend servers and the log have it. */
const char*
OrderKindText(OrderKind aKind);

/** One order to a backend server. */
struct BackendOrder
{
  OrderKind mKind = OrderKind::LoadVersion;
  /** The version, role or adapter. */
  std::string mSubject;
};

} // namespace medlarkeel
