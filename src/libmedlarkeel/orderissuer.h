#pragma once

#include "backendorder.h"
#include "types.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace medlarkeel {

/** Bounds within which orders are issued. */
struct OrderLimits
{
  /** Longest time from the decision until the order is sent. */
  Milliseconds mPauseBound{ 500 };
  /** Time after which an order without an answer has no more effect. */
  Milliseconds mOrderTimeout{ 60000 };
  /** Time that a reading of the platform's list is relied on. */
  Milliseconds mListValidity{ 10000 };
  /** Longest time until the list shows a new incarnation. */
  Milliseconds mListLag{ 5000 };
  /** Time after which the state of the backend server is read again. */
  Milliseconds mStateValidity{ 2000 };
};

/** Nothing to do, or nothing before the given time. */
struct WaitStep
{
  std::optional<Timestamp> mUntil;
};

/** The state of the backend server is to be read. */
struct ReadStateStep
{};

/** The backend server is to finish its work before the next order. */
struct DrainStep
{};

/** The order is to be sent if OrderIssuer::MaySend still agrees. */
struct SendOrderStep
{
  FencingToken mToken;
  BackendOrder mOrder;
};

using OrderStep =
  std::variant<WaitStep, ReadStateStep, DrainStep, SendOrderStep>;

enum class OrderResult
{
  Accepted,
  Failed,
  /** The backend server has seen a later fencing token. */
  RefusedAsOld,
  TimedOut
};

/**
 * Issues the orders of one agent to its backend server: one at a time, each
 * after a reading of the server's state. Where the server ignores fencing
 * tokens, an agent orders only while the platform's list has lately shown it
 * as the agent of the server, an order decided before a pause isn't sent, and
 * a new incarnation waits until no order of its predecessor can take effect.
 */
class OrderIssuer
{
public:
  OrderIssuer(Incarnation aIncarnation,
              bool aHonoursFencing,
              Timestamp aStarted,
              OrderLimits aLimits = {});

  /** Sets the state that the backend server is to reach. */
  void SetDesired(BackendState aDesired);

  /**
   * Takes a reading of the platform's list that shows this incarnation as
   * the agent of the backend server.
   *
   * @param aRequested When the reading was asked for.
   */
  void RecordListed(Timestamp aRequested);

  /** @param aIsDrained Whether the backend server has no work. */
  OrderStep Next(bool aIsDrained, Timestamp aNow);

  /**
   * To be asked immediately before the order is sent.
   *
   * @return Whether it may be; otherwise the order is void.
   */
  bool MaySend(FencingToken aToken, Timestamp aNow);

  /** Voids an order that was decided and is not going to be sent. */
  void Withdraw(FencingToken aToken, Timestamp aNow);

  /**
   * Forbids to decide on anything that was known before a pause: the list and
   * the state of the backend server must be read again.
   */
  void ResumeAfterPause(Timestamp aNow);

  /**
   * @param aRequested When the reading was asked for.
   * @param aLastToken Latest token that the server has seen, if it tells.
   */
  void RecordState(const BackendState& aState,
                   std::optional<FencingToken> aLastToken,
                   Timestamp aRequested);

  /**
   * Takes the latest fencing number that the backend server has seen; a
   * higher one than all own numbers supersedes this incarnation.
   */
  void RecordFencingNumber(std::uint64_t aNumber);

  /** Takes the answer to the outstanding order. */
  void RecordResult(FencingToken aToken, OrderResult aResult, Timestamp aNow);

  /** @return Whether a later incarnation has taken over. */
  bool IsSuperseded() const { return mIsSuperseded; }

private:
  struct Outstanding
  {
    FencingToken mToken;
    Timestamp mDecided;
    bool mIsSent = false;
  };

  std::optional<BackendOrder> NextOrder() const;
  bool MayDecide(Timestamp aNow) const;
  void VoidOrder(Timestamp aReadAfter);

  const Incarnation mIncarnation;
  const bool mHonoursFencing;
  const OrderLimits mLimits;
  std::optional<Timestamp> mListed;
  /** No state that was asked for before this time counts. */
  Timestamp mReadAfter;
  std::optional<BackendState> mDesired;
  std::optional<BackendState> mObserved;
  /** When the reading of mObserved was asked for. */
  Timestamp mObservedAt{};
  /** End of the last pause; the list must have been read since. */
  std::optional<Timestamp> mPausedUntil;
  std::optional<Outstanding> mOutstanding;
  std::uint64_t mLastCounter = 0;
  bool mIsSuperseded = false;
};

} // namespace medlarkeel
