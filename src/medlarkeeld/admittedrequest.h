#pragma once

#include "environmentdocument.h"
#include "keyring.h"
#include "types.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace medlarkeel {

/** A caller's request that has passed key, route and team limit. */
struct AdmittedRequest
{
  RequestId mId;
  /** Absent on a route open to callers without a key. */
  std::optional<Authenticated> mCaller;
  Route mRoute;
  ServiceClass mClass;
  PoolKind mPoolKind = PoolKind::Model;
  /** Adapter that the request names; empty for none. */
  AdapterName mAdapter;
  Timestamp mArrived;
  std::optional<Timestamp> mDeadline;
  IdempotencyKey mIdempotencyKey;
  std::string mBodyHash;
  /** Version of the document that admitted it. */
  std::uint64_t mDocumentVersion = 0;
  /** Whether the caller asked for server-sent events. */
  bool mStream = false;
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mMaxTokens = 0;
  std::vector<std::uint64_t> mPromptBlocks;
  std::string mMethod;
  /** Path as the backend server sees it. */
  std::string mBackendPath;
  std::string mContentType;
  std::string mBody;
  std::function<bool()> mCallerLeft;

  /** @return The team under which the request is metered and counted. */
  TeamName Team() const;
};

} // namespace medlarkeel
