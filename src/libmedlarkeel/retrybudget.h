#pragma once

#include <cstdint>

namespace medlarkeel {

/** How many retries live traffic pays for. */
struct RetryBudgetSettings
{
  /** Retries that each first attempt pays for. */
  double mShare = 0.2;
  /** Retries that are available at the start, and the most that are kept. */
  double mReserve = 10.0;
};

/**
 * Bounds retries to a share of live traffic. After N first attempts at most
 * share * N + reserve retries have been allowed, so all attempts together are
 * at most (1 + share) * N + reserve, whatever fails.
 */
class RetryBudget
{
public:
  explicit RetryBudget(const RetryBudgetSettings& aSettings)
    : mSettings(aSettings)
    , mBalance(aSettings.mReserve)
  {
  }

  /** Notes a request's first attempt, which pays for a part of a retry. */
  void RecordFirstAttempt();

  /** Sets the most retries that are kept; the balance doesn't rise by it. */
  void SetReserve(double aReserve) { mSettings.mReserve = aReserve; }

  /** @return Whether a retry may be sent; it is counted when it may. */
  bool TryTakeRetry();

  /** @return Retries that are available now. */
  double Balance() const { return mBalance; }

  /** @return Retries that were refused so far. */
  std::uint64_t Refused() const { return mRefused; }

private:
  RetryBudgetSettings mSettings;
  double mBalance;
  std::uint64_t mRefused = 0;
};

} // namespace medlarkeel
