#include "refusal.h"

#include <array>
#include <cstddef>

namespace medlarkeel {

namespace {

struct ReasonRow
{
  RefusalReason mReason;
  const char* mCode;
  int mStatus;
};

constexpr std::array<ReasonRow, 19> kReasons{ {
  { RefusalReason::BadRequest, "bad-request", 400 },
  { RefusalReason::Unauthenticated, "unauthenticated", 401 },
  { RefusalReason::Forbidden, "forbidden", 403 },
  { RefusalReason::NoRoute, "no-route", 404 },
  { RefusalReason::TeamRateExceeded, "team-rate-exceeded", 429 },
  { RefusalReason::Overloaded, "overloaded", 503 },
  { RefusalReason::DeadlineUnreachable, "deadline-unreachable", 503 },
  { RefusalReason::Shed, "shed", 503 },
  { RefusalReason::NoBackendServer, "no-backend-server", 503 },
  { RefusalReason::ZoneOut, "zone-out", 503 },
  { RefusalReason::Leaving, "leaving", 503 },
  { RefusalReason::KeyWithdrawn, "key-withdrawn", 401 },
  { RefusalReason::GrantExpired, "grant-expired", 503 },
  { RefusalReason::IdempotencyMismatch, "idempotency-mismatch", 422 },
  { RefusalReason::StillRunning, "still-running", 409 },
  { RefusalReason::OutcomeUnknown, "outcome-unknown", 502 },
  { RefusalReason::BackendFailed, "backend-failed", 502 },
  { RefusalReason::ConfigurationUnknown, "configuration-unknown", 503 },
  { RefusalReason::Cancelled, "cancelled", 499 },
} };

const ReasonRow&
Row(RefusalReason aReason)
{
  return kReasons[static_cast<std::size_t>(aReason)];
}

} // namespace

const char*
ReasonCode(RefusalReason aReason)
{
  return Row(aReason).mCode;
}

const char*
ExecutedText(Executed aExecuted)
{
  switch (aExecuted) {
    case Executed::No:
      return "no";
    case Executed::Yes:
      return "yes";
    case Executed::Unknown:
      break;
  }
  return "unknown";
}

std::optional<RefusalReason>
ReasonFromCode(std::string_view aCode)
{
  for (const ReasonRow& row : kReasons) {
    if (aCode == row.mCode) {
      return row.mReason;
    }
  }
  return std::nullopt;
}

std::optional<Executed>
ExecutedFromText(std::string_view aText)
{
  for (const Executed value :
       { Executed::No, Executed::Yes, Executed::Unknown }) {
    if (aText == ExecutedText(value)) {
      return value;
    }
  }
  return std::nullopt;
}

int
HttpStatus(RefusalReason aReason)
{
  return Row(aReason).mStatus;
}

} // namespace medlarkeel
