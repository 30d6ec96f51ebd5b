#pragma once

#include "loadreport.h"
#include "types.h"

#include <optional>
#include <string>
#include <vector>

namespace medlarkeel {

/** A backend server that may get a new request, with what is known of it. */
struct Candidate
{
  InstanceId mId;
  PoolName mPool;
  ZoneName mZone;
  RegionName mRegion;
  /** IP number and port of the agent beside the backend server. */
  std::string mAddress;
  /** Adapters that it holds; absent when not known. */
  std::optional<std::vector<AdapterName>> mAdapters;
  /** Last load report; a hint that is mLoadAge old. */
  LoadSnapshot mLoad;
  /** Age of mLoad; absent when it never reported. */
  std::optional<Microseconds> mLoadAge;
  /** Share of a full backend server's work it may get, in (0, 1]. */
  double mWeight = 1.0;
  bool mSameZone = false;
  bool mSameRegion = false;
};

} // namespace medlarkeel
