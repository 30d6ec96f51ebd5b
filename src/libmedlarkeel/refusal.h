#pragma once

#include "types.h"

#include <optional>
#include <string>
#include <string_view>

namespace medlarkeel {

/** Whether the back end has run the request that a refusal answers. */
enum class Executed
{
  No,
  Yes,
  Unknown
};

/** Why a request was refused; the reason code that callers see. */
enum class RefusalReason
{
  BadRequest,
  Unauthenticated,
  Forbidden,
  NoRoute,
  TeamRateExceeded,
  Overloaded,
  DeadlineUnreachable,
  Shed,
  NoBackendServer,
  ZoneOut,
  Leaving,
  KeyWithdrawn,
  GrantExpired,
  IdempotencyMismatch,
  StillRunning,
  OutcomeUnknown,
  BackendFailed,
  ConfigurationUnknown,
  Cancelled
};

/** A final answer that is not the back end's. */
struct Refusal
{
  RefusalReason mReason = RefusalReason::Overloaded;
  Executed mExecuted = Executed::No;
  Milliseconds mRetryAfter{ 0 };
  std::string mDetail;
};

/** @return The reason code in kebab case, as callers see it. */
const char*
ReasonCode(RefusalReason aReason);

/** @return "no", "yes" or "unknown". */
const char*
ExecutedText(Executed aExecuted);

/** @return The reason with the given code, if there is one. */
std::optional<RefusalReason>
ReasonFromCode(std::string_view aCode);

/** @return The value with the given text, if there is one. */
std::optional<Executed>
ExecutedFromText(std::string_view aText);

/** @return The HTTP status that goes with the reason. */
int
HttpStatus(RefusalReason aReason);

} // namespace medlarkeel
