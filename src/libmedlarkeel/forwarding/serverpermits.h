#pragma once

#include "peerview.h"
#include "permitissuer.h"
#include "serverlimits.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace medlarkeel {

/** An entry's request for a permit to send one request to a limited server. */
struct PermitRequest
{
  /** Identifies the request at its sender. */
  std::uint64_t mId = 0;
  /** What the sender knows of the server's limit. */
  ReportedLimit mLimit;
};

enum class PermitOutcome
{
  Granted,
  Denied,
  /** The asked entry doesn't know the fleet yet. */
  Declined,
  /** The asked entry didn't reply in time. */
  TimedOut
};

/** @return The name of an outcome, for the log. */
const char*
PermitOutcomeText(PermitOutcome aOutcome);

/** The reply to a PermitRequest. */
struct PermitReply
{
  std::uint64_t mId = 0;
  PermitOutcome mOutcome = PermitOutcome::Denied;
  /** When not granted: time after which to ask again. */
  Milliseconds mRetryDelay{ 0 };
  /** What the issuer knows of the server's limit. */
  ReportedLimit mLimit;
};

/** What became of a request for a permit. */
struct PermitResult
{
  PermitOutcome mOutcome = PermitOutcome::Denied;
  Milliseconds mRetryDelay{ 0 };
  /** IP address of the entry that was asked. */
  std::string mIssuer;
};

/** A request for a permit: its result, or the message to send for it. */
struct PermitAttempt
{
  /** Set if this entry is the issuer itself. */
  std::optional<PermitResult> mResult;
  std::string mIssuer;
  PermitRequest mRequest;
};

/** Times of the requests for permits. */
struct ServerPermitSettings
{
  PermitIssuerSettings mIssuer;
  /** Time after which an issuer's reply isn't waited for. */
  Milliseconds mReplyTimeout{ 100 };
  /** Time for which an entry asks for no permit after a request timed out. */
  Milliseconds mDelayAfterTimeout{ 200 };
  /** Bounds the requests for permits of an entry that has just started. */
  Milliseconds mMinimumRetryDelay{ 100 };
  /** Consecutive requests without a reply after which an issuer is avoided. */
  int mMaximumTimeouts = 2;
  /** An issuer from which something was received within this time isn't
   * avoided: messages are lost on the way, but it is running. */
  Milliseconds mMinimumSilence{ 600 };
  /** Time for which an issuer that doesn't reply is avoided. */
  Milliseconds mAvoidTime{ 3000 };
  /** Time for which an issuer that declined is avoided. */
  Milliseconds mDeclinedTime{ 500 };
};

/**
 * Keeps the requests of all entries to a limited backend server within its
 * limit. For each server the entries agree by rendezvous hash on one of them as
 * the issuer of permits; each request to the server needs a permit.
 *
 * While entries disagree on the issuer, each issuer uses only the share of the
 * limit of those entries that it knows to rely on it, so that the shares of all
 * issuers add up to the limit.
 */
class ServerPermits
{
public:
  /** @param aOwn IP address of this entry. */
  ServerPermits(const ServerPermitSettings& aSettings,
                std::string aOwn,
                PeerView& aPeers,
                ServerLimits& aLimits);

  /** Requests a permit for one request to a limited server. */
  PermitAttempt Request(ProcessHash aProcess, Timestamp aNow);

  /**
   * Decides on another entry's request.
   *
   * @param aSender IP address of that entry.
   */
  PermitReply Answer(const std::string& aSender,
                     const PermitRequest& aRequest,
                     Timestamp aNow);

  /** @return The result of the request that is replied to; nothing if it isn't
   * waiting any more. */
  std::optional<PermitResult> HandleReply(const std::string& aSender,
                                          const PermitReply& aReply,
                                          Timestamp aNow);

  /** @return The result of a request whose reply didn't come in time; nothing
   * if it isn't waiting any more. */
  std::optional<PermitResult> HandleTimeout(std::uint64_t aId, Timestamp aNow);

  /** Records that a report of an entry was received. */
  void RecordReport(const std::string& aAddress, Timestamp aNow);

private:
  /** What is known of an entry as an issuer. */
  struct IssuerState
  {
    int mTimeouts = 0;
    Timestamp mHeardAt;
    Timestamp mAvoidedUntil;
  };

  /** A request that waits for its reply. */
  struct PendingRequest
  {
    std::string mIssuer;
  };

  PermitResult Decide(ProcessHash aProcess,
                      const std::string& aRequester,
                      Timestamp aNow);
  /** @return Limits the time for which a denied entry asks no more, since this
   * entry's share of the limit may rise before a permit is due at its present
   * share. It rises soon while this entry discovers the others. */
  Milliseconds MaximumRetryDelay(RequestRate aLimit, Timestamp aNow) const;
  /** @return The entry to ask: the first one in rank that isn't avoided. */
  std::string IssuerFor(ProcessHash aProcess, Timestamp aNow) const;

  ServerPermitSettings mSettings;
  std::string mOwn;
  PeerView& mPeers;
  ServerLimits& mLimits;
  PermitIssuer mIssuer;
  std::unordered_map<std::string, IssuerState> mIssuers;
  std::unordered_map<std::uint64_t, PendingRequest> mPending;
  std::uint64_t mLastId = 0;
};

} // namespace medlarkeel
