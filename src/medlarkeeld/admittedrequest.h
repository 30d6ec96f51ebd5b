#pragma once

#include "environmentdocument.h"
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
  /** Empty on a route open to callers without a key. */
  TeamName mTeam;
  KeyId mKey;
  Route mRoute;
  ServiceClass mClass;
  PoolKind mPoolKind = PoolKind::Model;
  Timestamp mArrived;
  std::optional<Timestamp> mDeadline;
  IdempotencyKey mIdempotencyKey;
  std::string mBodyHash;
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
};

} // namespace medlarkeel
