#pragma once

#include "environmentdocument.h"
#include "instancelist.h"
#include "jsonreader.h"
#include "types.h"

#include <boost/outcome.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarkeel {

/** IP number and port. */
struct Endpoint
{
  std::string mAddress;
  std::uint16_t mPort = 0;
};

/** @return Whether the text is an IPv4 or IPv6 number. */
bool
IsIpNumber(std::string_view aText);

/** @return "address:port", with brackets round an IPv6 number. */
std::string
EndpointText(const Endpoint& aEndpoint);

/** The backend server beside an agent. */
struct BackendServerSettings
{
  Endpoint mEndpoint;
  PoolName mPool;
  PoolKind mKind = PoolKind::Model;
};

struct LimitSettings
{
  std::size_t mBodyLimitBytes = 1U << 20U;
  std::size_t mConnectionLimit = 2048;
  /** Memory of the machine, in MB. */
  std::size_t mMemoryMb = 512;
  /** Part of it that bodies which arrive may take. */
  double mCallerMemoryShare = 0.4;
};

/** Intervals and bounds of the control messages. */
struct ControlSettings
{
  Milliseconds mConfigurationPoll{ 1000 };
  Milliseconds mListPoll{ 1000 };
  Milliseconds mGossip{ 1000 };
  /** Longest time by which the platform's list may lag. */
  Milliseconds mListLagBound{ 5000 };
  /** How long a reading of the list proves what it says. */
  Milliseconds mEvidenceValid{ 10000 };
  /** How long a document may go without confirmation. */
  Milliseconds mConfirmationBound{ 10000 };
};

/** How an agent gives orders to a model engine; the same at all agents. */
struct OrderSettings
{
  /** Time from the logged decision until the order is sent. */
  Milliseconds mNotice{ 0 };
  /** Longest time from the decision until the order is sent. */
  Milliseconds mPauseBound{ 500 };
  /** Time after which an order without an answer has no more effect. */
  Milliseconds mTimeout{ 60000 };
  /** Time that a new claim on an adapter must last before it is loaded. */
  Milliseconds mAdapterSettle{ 10000 };
  /** Time that an adapter stays loaded after the claim has gone. */
  Milliseconds mAdapterHold{ 120000 };
  /** Longest time that one change of version takes, the drain included. */
  Milliseconds mRolloutTurn{ 180000 };
  /** Agents of a pool that change their version at once. */
  std::size_t mRolloutWidth = 1;
};

/** What a process is told at its start: where it stands and how it listens. */
struct Settings
{
  InstanceRole mRole = InstanceRole::Entry;
  InstanceId mInstanceId;
  ZoneName mZone;
  RegionName mRegion;
  /** Callers at an entry; status and metrics at both roles. */
  Endpoint mHttpListen{ "127.0.0.1", 8080 };
  Endpoint mGrpcListen{ "127.0.0.1", 8081 };
  Endpoint mPlatform;
  /** Set in an agent, and only there. */
  std::optional<BackendServerSettings> mBackendServer;
  LimitSettings mLimits;
  ControlSettings mControl;
  OrderSettings mOrders;
  Milliseconds mShutdownBound{ 30000 };
  std::string mLogLevel = "info";
};

using SettingsResult = BOOST_OUTCOME_V2_NAMESPACE::result<
  Settings,
  std::vector<DocumentProblem>,
  BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/**
 * Parses and checks the settings of one process.
 *
 * @param aText The settings as JSON text.
 * @return The settings, or every mistake found in them.
 */
SettingsResult
ParseSettings(std::string_view aText);

} // namespace medlarkeel
