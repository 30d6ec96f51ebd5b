#pragma once

#include "../types.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace medlarkeel {

/** How often one request may run. */
enum class RepeatRule
{
  AtMostOnce,
  Repeatable
};

/** Part of a route's requests that goes to one pool. */
struct PoolShare
{
  PoolName mPool;
  /** Share relative to the route's other pools. */
  int mWeight = 1;
};

/** Requests of one host below one path, and how they are served. */
struct ForwardRoute
{
  std::string mName;
  std::string mHost;
  /** Begins and ends with a slash. */
  std::string mPathPrefix;
  RepeatRule mRepeatRule = RepeatRule::AtMostOnce;
  /** Whether answers are sequences of events. */
  bool mIsStream = false;
  /** Whether a broken stream may go on at another backend server. */
  bool mIsResumable = false;
  /** Whether callers need no key. */
  bool mIsPublic = false;
  /** Longest time from arrival to the end of the answer. */
  Milliseconds mTimeout{ 0 };
  /** Time within which the answer, or its first event, is of full use. */
  Milliseconds mLatencyTarget{ 0 };
  /** Longest pause between events of a stream of full use; 0: not set. */
  Milliseconds mLongestPause{ 0 };
  TierRank mTier;
  /** Backend servers that one request may be sent to. */
  int mMostAttempts = 1;
  std::vector<PoolShare> mPools;

  /** @return Whether a request whose run ended early may run again. */
  bool MayRunAgain() const
  {
    return mRepeatRule == RepeatRule::Repeatable || mIsResumable;
  }

  /** @return Time after which callers leave a stream whose first event hasn't
   * come; no more than the time-out. */
  Milliseconds CallerPatience() const;
};

/** Backend servers that do the same work. */
struct ForwardPool
{
  PoolName mName;
  /** Requests per second that a cold backend server bears; 0: not limited. */
  double mColdRequestsPerSecond = 0.0;
  /** Whether the backend servers are model engines. */
  bool mIsModel = false;
  /** Tiers of the requests that may come, the most urgent first. */
  std::vector<TierRank> mTiers;
  /** Longest latency target of the routes that lead here. */
  Milliseconds mLongestTarget{ 0 };
};

/** What callers may send, and how long they may take. */
struct CallerLimits
{
  std::size_t mHeaderBytes = 16'384;
  std::size_t mBodyBytes = 4'194'304;
  Milliseconds mHeaderTimeout{ 3000 };
  Milliseconds mIdleTimeout{ 15'000 };
};

struct ForwardTeam
{
  TeamName mName;
  /** Replaces the tier of the route. */
  std::optional<TierRank> mTier;
};

/** One version of what operators have set. Never changed once in force. */
struct ForwardingDocument
{
  std::uint64_t mVersion = 0;
  std::vector<ForwardRoute> mRoutes;
  std::unordered_map<PoolName, ForwardPool> mPools;
  std::vector<ForwardTeam> mTeams;
  /** Index into the teams by key. */
  std::unordered_map<std::string, std::size_t> mKeys;
  CallerLimits mLimits;

  /**
   * @param aHost Host as the caller named it, without a port.
   * @param aPath Path of the request, without its query.
   * @return The route with the longest prefix, or nothing.
   */
  const ForwardRoute* FindRoute(std::string_view aHost,
                                std::string_view aPath) const;

  /** Derives what pools keep of the routes and teams; once all are added. */
  void IndexPools();

  /** @return The team that holds the key, or nothing. */
  const ForwardTeam* FindTeam(const std::string& aKey) const;

  /** @return Whether callers of routes that aren't public need a key. */
  bool NeedsKeys() const { return !mTeams.empty(); }
};

using ForwardingDocumentPointer = std::shared_ptr<const ForwardingDocument>;

} // namespace medlarkeel
