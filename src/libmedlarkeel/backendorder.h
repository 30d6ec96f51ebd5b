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

/** One order to a backend server. */
struct BackendOrder
{
  OrderKind mKind = OrderKind::LoadVersion;
  /** The version, role or adapter. */
  std::string mSubject;
};

} // namespace medlarkeel
