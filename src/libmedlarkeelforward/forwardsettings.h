#pragma once

#include "../libmedlarkeel/settings.h"

namespace medlarkeel {

/** What a forwarding entry is told at its start. */
struct ForwardSettings
{
  InstanceId mNode;
  ZoneName mZone;
  /** Memory of the machine; nothing if it isn't known. */
  std::optional<std::int64_t> mMemoryMb;
  /** Part of it that may be held for callers. The rest is for the process
   * itself, the kernel's buffers and what the allocator keeps. */
  double mCallerMemoryShare = 0.4;
  /** File descriptors of the machine; nothing if it isn't known. */
  std::optional<std::int64_t> mMostDescriptors;
  /** Bandwidth of the machine's own link, in Mbit/s; nothing if it isn't known.
   * Entries with fast links read the directory for the others. */
  std::optional<std::uint32_t> mLinkMbps;
  /** Where callers connect. */
  Endpoint mCallers;
  /** Where the balancer asks whether the entry takes new connections. */
  Endpoint mReadiness;
  /** Where metrics are served as text. */
  Endpoint mMetrics;
  /** Where reports of the other entries arrive; they use the same port. */
  Endpoint mPeers;
  /** IP numbers of entries that may be up at the start. */
  std::vector<std::string> mSeeds;
  /** Where documents and backend servers are published. */
  Endpoint mDirectory;
  /** Interval in which backend servers renew their entries. */
  Milliseconds mHeartbeat{ 1200 };
  /** Time in which a change that was published must be in force. */
  Milliseconds mChangeBound{ 2000 };
  /** Time between the request to end and the end of the process. */
  Milliseconds mShutdownBound{ 8000 };
  /** Further attempts that a pool takes for each request. */
  double mRetryShare = 0.2;
  /** Further attempts beyond the share, of all entries together. */
  double mRetryReserve = 50.0;
  /** Multiple of a cold server's rate that all entries together may send. */
  double mColdFactor = 1.5;
  /** Requests per second beyond that, of all entries together. */
  double mColdReserve = 5.0;
};

/** @return Most bytes that are held for callers. */
std::size_t
CallerMemoryBoundFor(const ForwardSettings& aSettings);

/** @return Most bytes in receive buffers of callers' connections. */
std::size_t
ReceiveBufferBoundFor(const ForwardSettings& aSettings);

/** @return Most descriptors for connections to callers and servers. */
std::size_t
CallerDescriptorBoundFor(const ForwardSettings& aSettings);

/** @return The endpoint in "IP number:port", or nothing. */
std::optional<Endpoint>
ParseEndpointText(std::string_view aText);

using ForwardSettingsResult = BOOST_OUTCOME_V2_NAMESPACE::result<
  ForwardSettings,
  std::vector<DocumentProblem>,
  BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/**
 * @param aText The settings as JSON text.
 * @return The settings, or every mistake found in them.
 */
ForwardSettingsResult
ParseForwardSettings(std::string_view aText);

} // namespace medlarkeel
