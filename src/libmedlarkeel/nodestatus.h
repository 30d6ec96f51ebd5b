#pragma once

#include "documentstore.h"
#include "environmentdocument.h"
#include "instancelist.h"
#include "jsonreader.h"
#include "types.h"

#include <boost/outcome.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarkeel {

/** Refused requests by reason code; see ReasonCode. */
using RefusalCounters = std::map<std::string, std::uint64_t>;

/**
 * What became of the requests of one class since the process started. Each
 * event is counted by one process: requests and refusals by the entry that
 * the caller spoke to, tokens by the agent that saw them.
 */
struct ClassCounters
{
  /** Requests that ended and were inside their team's rate. */
  std::uint64_t mRequests = 0;
  /** Those of them that met every target of the class. */
  std::uint64_t mMetTarget = 0;
  /** Tokens of answers that their callers got in time. */
  std::uint64_t mTokensUseful = 0;
  /** Tokens that were generated in vain. */
  std::uint64_t mTokensWasted = 0;
  RefusalCounters mRefused;
};

void
Merge(ClassCounters& aInto, const ClassCounters& aFrom);

/** What became of the requests of one team; counted as in ClassCounters. */
struct TeamCounters
{
  /** Requests that ended and were inside the team's rate. */
  std::uint64_t mRequests = 0;
  std::uint64_t mMetTarget = 0;
  std::uint64_t mAdmitted = 0;
  std::uint64_t mRefusedForRate = 0;
  /** Refused for the rate although inside it. */
  std::uint64_t mRefusedInsideRate = 0;
};

void
Merge(TeamCounters& aInto, const TeamCounters& aFrom);

/** A class with its level in the document and what became of its requests. */
struct ClassStatus
{
  ClassName mName;
  TierRank mTier;
  double mAttainmentTarget = 0.0;
  ClassCounters mCounters;
};

struct TeamStatus
{
  TeamName mName;
  TeamCounters mCounters;
};

/** A change of a zone's state that the node acted on. */
struct ZoneChange
{
  ZoneName mZone;
  ZoneState mState = ZoneState::In;
  /** Wall clock, milliseconds since 1970. */
  std::uint64_t mAtUnixMs = 0;
  /** Version of the document that changed it; tells one change on several
   * nodes from several changes. 0 when the node doesn't say. */
  std::uint64_t mDocumentVersion = 0;
};

/** The document that a node acts on. */
struct DocumentStatus
{
  DocumentStamp mStamp;
  /** Nothing when the service never confirmed it. */
  std::optional<Milliseconds> mConfirmationAge;
  /** Revision of a newer document that was refused for its mistakes. */
  std::optional<std::uint64_t> mRejectedRevision;
};

/** What a node answers to `GET /status`. */
struct NodeStatus
{
  InstanceId mId;
  InstanceRole mRole = InstanceRole::Entry;
  ZoneName mZone;
  RegionName mRegion;
  Incarnation mIncarnation;
  Milliseconds mUptime{ 0 };
  DocumentStatus mDocument;
  std::vector<ZoneEntry> mZones;
  std::vector<ClassStatus> mClasses;
  std::vector<TeamStatus> mTeams;
  std::vector<ZoneChange> mZoneChanges;
};

/** @return "in" or "out". */
const char*
ZoneStateText(ZoneState aState);

/** @return "entry" or "agent". */
const char*
RoleText(InstanceRole aRole);

/** @return The status as JSON text. */
std::string
NodeStatusText(const NodeStatus& aStatus);

using NodeStatusResult = BOOST_OUTCOME_V2_NAMESPACE::result<
  NodeStatus,
  std::vector<DocumentProblem>,
  BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/** @return The status; keys of newer versions are passed over. */
NodeStatusResult
ParseNodeStatus(std::string_view aText);

} // namespace medlarkeel
