#pragma once

#include "types.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace medlarkeel {

enum class InstanceRole
{
  Entry,
  Agent
};

enum class InstanceState
{
  Live,
  Leaving
};

/** One process of the system as the platform lists it. */
struct InstanceRecord
{
  InstanceId mId;
  InstanceRole mRole = InstanceRole::Entry;
  InstanceState mState = InstanceState::Live;
  ZoneName mZone;
  RegionName mRegion;
  /** IP number and port of the process's gRPC endpoint. */
  std::string mAddress;
  /** Pool of the backend server beside an agent; empty for an entry. */
  PoolName mPool;
};

/** The platform's list as one reading gave it. */
struct InstanceList
{
  std::uint64_t mRevision = 0;
  std::vector<InstanceRecord> mInstances;
  /** Listed instances that could not be used. */
  std::size_t mUnusable = 0;
};

} // namespace medlarkeel
