#pragma once

#include "workload.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace medlarkeel {

/** What a caller saw of one request; times in milliseconds from the send. */
struct Outcome
{
  int mStatus = 0;
  std::string mReason;   // of a refusal or of a broken answer
  std::string mExecuted; // as the refusal says
  bool mWhole = false;
  bool mForeign = false; // holds another request's marker
  std::uint64_t mTokens = 0;
  double mFirstByte = 0;
  double mLastByte = 0;
};

/** A request to one address. */
struct CallTarget
{
  std::string mAddress;
  std::string mKey;
  std::string mIdempotencyKey;
  std::uint32_t mMaxTokens = 0; // 0 for no limit
};

/** Sends one request and checks that its answer carries its marker. */
Outcome
CallOnce(const ClassLoad& aClass,
         const std::string& aMarker,
         const CallTarget& aTarget);

/** @return A fresh idempotency key of the entry; empty if it gave none. */
std::string
FetchTicket(const std::string& aService, const CallTarget& aTarget);

/** @return A UUID of version 7 with the time of now and the given number. */
std::string
MakeUuid(std::uint64_t aNumber);

} // namespace medlarkeel
