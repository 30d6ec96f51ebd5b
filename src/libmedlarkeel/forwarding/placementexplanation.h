#pragma once

#include "admissioncontrol.h"
#include "backendchooser.h"
#include "forwardingdocument.h"

#include <boost/outcome.hpp>

#include <optional>
#include <string>

namespace medlarkeel {

/** A request whose placement is to be explained. */
struct PlacementQuery
{
  std::string mPath;
  /** Without a host, the routes must all be of one host. */
  std::optional<std::string> mHost;
  std::optional<TeamName> mTeam;
  /** Ignored by pools without prompts. */
  std::optional<PromptDescription> mPrompt;
};

/** Why a placement can't be explained. */
struct PlacementError
{
  std::string mReason;
  /** Whether the query is wrong; otherwise the entry isn't able to answer. */
  bool mIsInvalidQuery = true;
};

template<typename T>
using PlacementResult = BOOST_OUTCOME_V2_NAMESPACE::
  result<T, PlacementError, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/** What a document says of a request. */
struct PlacementTarget
{
  const ForwardRoute* mRoute = nullptr;
  /** Null without a team. */
  const ForwardTeam* mTeam = nullptr;
  /** The known pool with the largest share of the route's requests. */
  const ForwardPool* mPool = nullptr;
};

/** @return The route, team and pool of a request. */
PlacementResult<PlacementTarget>
FindPlacementTarget(const ForwardingDocument& aDocument,
                    const PlacementQuery& aQuery);

/** How current the state is that an entry acts on. */
struct EntryFreshness
{
  std::uint64_t mDocumentVersion = 0;
  Milliseconds mDirectoryAge{ 0 };
  DirectoryPosition mDirectoryPosition;
  /** Reports of other entries that are in use. */
  std::size_t mPeerReports = 0;
  Milliseconds mOldestPeerReport{ 0 };
};

/** Where a request would go, and why. */
struct PlacementExplanation
{
  EntryFreshness mFreshness;
  PlacementTarget mTarget;
  /** Nothing for pools without prompts. */
  std::optional<PromptDescription> mPrompt;
  CandidateEvaluation mEvaluation;
  /** The decision on a first attempt whose caller has all of its time left.
   * Its verdict is that for the refusal sample 0, so that a share above 0 is a
   * refusal, and its retry delay has no jitter. */
  std::optional<AdmissionDecision> mAdmission;
  /** Whether the chosen server limits its requests. */
  bool mNeedsPermit = false;
};

/** The state of an entry that decides where a request goes. */
struct PlacementState
{
  const BackendList& mBackends;
  const BackendChooser& mChooser;
  /** Admission control of the target's pool. */
  const AdmissionControl& mAdmission;
  const ServerLimits& mLimits;
  /** Cold limit of the target's pool. */
  BackendChooser::ColdLimit mColdLimit;
};

/** Evaluates a request as if it arrived now, without side effects.
 *
 * @return The explanation, without the freshness of the state. */
PlacementExplanation
ExplainPlacement(const PlacementTarget& aTarget,
                 const std::optional<PromptDescription>& aPrompt,
                 const PlacementState& aState,
                 Timestamp aNow);

} // namespace medlarkeel
