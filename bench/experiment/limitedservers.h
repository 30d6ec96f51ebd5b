#pragma once

#include <string>
#include <vector>

namespace medlarkeel {

/** What the comparison of the ways to keep to a server's limit varies. */
struct LimitedServerComparison
{
  /** Numbers of entries. */
  std::vector<std::size_t> mEntries;
  /** Requests per second that the server accepts. */
  double mLimit = 1.0;
  /** Requests per second that would go to the server. */
  double mRequestsPerSecond = 10.0;
  /** Exponent of a Zipf distribution of the requests over the entries. */
  double mSkew = 1.0;
  /** Share of the messages between entries that are lost. */
  double mLossShare = 0.0;
  int mSeeds = 5;
};

/** Plays each policy with each number of entries and prints a line for each:
 * the use of the limit, the excess, and the messages. */
void
CompareLimitedServers(const LimitedServerComparison& aComparison);

} // namespace medlarkeel
