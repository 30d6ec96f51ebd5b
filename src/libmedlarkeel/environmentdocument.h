#pragma once

#include "types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace medlarkeel {

enum class ZoneState
{
  In,
  Out
};

/** An availability zone and whether it is in service. */
struct ZoneEntry
{
  ZoneName mName;
  RegionName mRegion;
  ZoneState mState = ZoneState::In;
};

/** A class of requests with its tier and service level. */
struct ServiceClass
{
  ClassName mName;
  TierRank mTier;
  std::optional<Milliseconds> mFirstByteTarget;
  std::optional<Milliseconds> mCompletionTarget;
  std::optional<Milliseconds> mTokenGapTarget;
  /** Share of requests that are to meet the targets, in [0, 1]. */
  double mAttainment = 0.95;
  /** Time from arrival after which an answer is worth nothing. */
  std::optional<Milliseconds> mDeadline;
  /** Share of dispatches owed to this class while it waits, in [0, 1). */
  double mFloorShare = 0.0;
};

enum class PoolKind
{
  Model,
  Service
};

/** The backend servers that serve one model or one plain service. */
struct Pool
{
  PoolName mName;
  PoolKind mKind = PoolKind::Model;
  std::string mVersion;
  std::vector<AdapterName> mAdapters;
  /** Requests that a warm backend server runs at once. */
  std::size_t mConcurrency = 8;
  /** Requests that a backend server in a cold start runs at once. */
  std::size_t mColdStartConcurrency = 1;
  /** How long a cold start lasts at least. */
  Milliseconds mColdStartTime{ 0 };
  /** How long after its first call callers repeat an idempotency key. */
  Milliseconds mRepeatWindow{ 60000 };
  /** Reservations that may wait at one backend server. */
  std::size_t mQueueLimit = 64;
  /** Whether its backend servers refuse orders with an old fencing token. */
  bool mHonoursFencing = false;
};

/** A caller key as the document holds it: never the key itself. */
struct KeyEntry
{
  KeyId mId;
  std::string mSalt;
  /** SHA-256 of salt and secret, in lower-case hexadecimal. */
  std::string mSecretHash;
};

enum class WithdrawnStreams
{
  Finish,
  Cut
};

/** A tenant with its keys and its limits over the whole fleet. */
struct Team
{
  TeamName mName;
  /** Requests per second. */
  double mRate = 0.0;
  /** Requests. */
  double mBurst = 0.0;
  std::vector<KeyEntry> mKeys;
  /** Classes that the team may use; empty means all. */
  std::vector<ClassName> mClasses;
};

/** Maps a method and path to a pool and a class. */
struct Route
{
  std::string mMethod;
  std::string mPath;
  PoolName mPool;
  ClassName mClass;
  /** Whether the route serves callers without a key. */
  bool mOpen = false;
  /** Whether a run may be repeated without harm. */
  bool mRepeatable = true;
};

/** The one document of an environment, as operators write it. */
struct EnvironmentDocument
{
  std::uint64_t mVersion = 0;
  std::string mEnvironment;
  std::vector<ZoneEntry> mZones;
  std::vector<ServiceClass> mClasses;
  std::vector<Pool> mPools;
  std::vector<Team> mTeams;
  std::vector<Route> mRoutes;
  /** Limit of all requests without a key, in requests per second. */
  double mOpenRate = 0.0;
  double mOpenBurst = 0.0;
  /** Loads from the weight store over the fleet, per second; 0 for no limit. */
  double mWeightStoreRate = 0.0;
  /** Loads from the weight store at once. */
  double mWeightStoreBurst = 1.0;
  WithdrawnStreams mWithdrawnStreams = WithdrawnStreams::Finish;
};

} // namespace medlarkeel
