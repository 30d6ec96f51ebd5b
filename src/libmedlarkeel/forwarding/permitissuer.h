#pragma once

#include "backendlist.h"
#include "requestrate.h"

#include <string>
#include <unordered_map>

namespace medlarkeel {

/** Sizes and times of the issue of permits. */
struct PermitIssuerSettings
{
  /** Permits that may be issued at once after a time without requests for
   * them. With one, a permit would be lost whenever the next request for it
   * comes later than the one after it. */
  double mBurst = 2.0;
  /** Time whose permits are added to the burst. */
  Milliseconds mBurstTime{ 250 };
  /** Entries that may ask again per permit. With one, permits would
   * lapse when such an entry has no request for the server. */
  double mAskersPerPermit = 3.0;
  /** Maximum time until an entry may ask again, if there is a permit by
   * then. It keeps the rate in use when other entries have no more requests. */
  Milliseconds mMaximumRetryDelay{ 4000 };
  /** Time after which an entry that asked no more isn't counted. */
  Milliseconds mRequesterTimeout{ 3000 };
};

/** The issuer's decision on a permit to send one request. */
struct PermitDecision
{
  bool mIsGranted = false;
  /** When not granted: time after which the entry may ask again. */
  Milliseconds mRetryDelay{ 0 };
};

/**
 * Issues permits to send requests to limited backend servers, with a token
 * bucket per server.
 */
class PermitIssuer
{
public:
  explicit PermitIssuer(const PermitIssuerSettings& aSettings = {});

  /**
   * @param aRate Permits per second that this entry may issue for the server.
   * @return Whether a permit is issued.
   */
  PermitDecision Decide(ProcessHash aProcess,
                        RequestRate aRate,
                        Timestamp aNow);

  /** Records that an entry asks for permits. */
  void RecordRequester(ProcessHash aProcess,
                       const std::string& aAddress,
                       Timestamp aNow);

  /** @return Number of entries that asked for permits recently. */
  std::size_t RequesterCount(ProcessHash aProcess, Timestamp aNow) const;

private:
  /** Permits of one server. */
  struct Bucket
  {
    double mPermits = 0.0;
    Timestamp mRefilledAt;
    /** Time from which the last denied entry may ask again. */
    Timestamp mNextAskAt;
    std::unordered_map<std::string, Timestamp> mRequesters;
  };

  Bucket& BucketOf(ProcessHash aProcess, Timestamp aNow);

  PermitIssuerSettings mSettings;
  std::unordered_map<ProcessHash, Bucket> mBuckets;
};

} // namespace medlarkeel
