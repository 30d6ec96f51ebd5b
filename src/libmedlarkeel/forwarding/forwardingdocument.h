#pragma once

#include "requestpriority.h"
#include "servercost.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace medlarkeel {

/** Whether a request that may have run may be run again. */
enum class RepeatRule
{
  /** The request must not run more than once. */
  AtMostOnce,
  /** Running the request several times does no harm. */
  Repeatable
};

/** Share of a route's requests that is sent to one pool. */
struct PoolShare
{
  PoolName mPool;
  /** Weight relative to the other pools of the route. */
  int mWeight = 1;
};

/** Settings for the requests to one host whose path has one prefix. */
struct ForwardRoute
{
  std::string mName;
  std::string mHost;
  /** Begins and ends with a slash. */
  std::string mPathPrefix;
  RepeatRule mRepeatRule = RepeatRule::AtMostOnce;
  /** Whether answers are streams of server-sent events. */
  bool mIsStream = false;
  /** Whether a stream that broke off may be resumed on another backend
   * server. */
  bool mIsResumable = false;
  /** Whether requests are accepted without a key. */
  bool mIsPublic = false;
  /** Maximum time from the arrival of a request to the end of its answer. */
  Milliseconds mTimeout{ 0 };
  /** Time from the arrival of a request within which its answer, or the first
   * event of a stream, should come. */
  Milliseconds mLatencyTarget{ 0 };
  /** Target for the longest gap between two events of a stream; 0 if not
   * set. */
  Milliseconds mEventGapTarget{ 0 };
  TierRank mTier;
  /** Maximum number of backend servers that one request is sent to. */
  int mMaximumAttempts = 1;
  std::vector<PoolShare> mPools;
  /** Whether its settings could be read. Requests of a route that isn't usable
   * are refused. */
  bool mIsUsable = true;

  /** @return Whether a request may be sent again although an earlier attempt
   * may have run it. */
  bool MayRunAgain() const
  {
    return mRepeatRule == RepeatRule::Repeatable || mIsResumable;
  }

  /** @return Assumed time after which a caller stops waiting for the first
   * event of a stream; at most the route's timeout. */
  Milliseconds FirstEventTimeout() const;
};

/** A group of interchangeable backend servers. */
struct ForwardPool
{
  PoolName mName;
  /** Requests per second that a cold backend server can handle; 0 if there is
   * no limit. */
  double mColdRequestsPerSecond = 0.0;
  /** Whether the backend servers run language models. */
  bool mIsModel = false;
  /** Priorities of the requests that the pool may receive, the most urgent
   * first. Set by DerivePoolValues(). */
  std::vector<RequestPriority> mPriorities;
  /** Longest latency target of the routes that use the pool. Set by
   * DerivePoolValues(). */
  Milliseconds mMaximumLatencyTarget{ 0 };
  /** How requests are placed; the cost is set by DerivePoolValues(). */
  PoolPlacement mPlacement;
};

/** Limits on the size of requests and on the time that callers take. */
struct CallerLimits
{
  std::size_t mHeaderBytes = 16'384;
  std::size_t mBodyBytes = 4'194'304;
  Milliseconds mHeaderTimeout{ 3000 };
  Milliseconds mIdleTimeout{ 15'000 };
};

/** A team whose members send requests. */
struct ForwardTeam
{
  TeamName mName;
  /** Takes precedence over the tier of the route if set. */
  std::optional<TierRank> mTier;
  /** Whether backend servers can be told the team. Requests of a team that
   * isn't usable are refused. */
  bool mIsUsable = true;
};

/** @param aTeam Team that the request belongs to, or null. */
RequestPriority
PriorityOf(const ForwardTeam* aTeam, const ForwardRoute& aRoute);

/** One version of the forwarding settings. Immutable once in use. */
struct ForwardingDocument
{
  std::uint64_t mVersion = 0;
  std::vector<ForwardRoute> mRoutes;
  std::unordered_map<PoolName, ForwardPool> mPools;
  std::vector<ForwardTeam> mTeams;
  /** Maps each key to the index of its team in mTeams. */
  std::unordered_map<std::string, std::size_t> mKeys;
  /** Whether routes that aren't public require a key, even if there is none. */
  bool mRequiresKeys = false;
  CallerLimits mLimits;

  /**
   * Finds the route of a request.
   *
   * @param aHost Host as named by the caller, without the port.
   * @param aPath Path of the request, without the query.
   * @return The matching route with the longest path prefix, or null.
   */
  const ForwardRoute* FindRoute(std::string_view aHost,
                                std::string_view aPath) const;

  /** Computes the priorities, the longest latency target and the placement of
   * each pool. Call it after all routes, pools and teams have been added. */
  void DerivePoolValues();

  /** @return The team that the key belongs to, or null. */
  const ForwardTeam* FindTeam(const std::string& aKey) const;
};

using ForwardingDocumentPointer = std::shared_ptr<const ForwardingDocument>;

} // namespace medlarkeel
