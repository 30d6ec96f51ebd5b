#include "forwarding/serverpermits.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>

namespace medlarkeel {

namespace {

constexpr ProcessHash kServer = 7;
constexpr RequestRate kLimit{ 4.0 };

/** Entries that know each other. They exchange reports, and messages on
 * permits, only when a test says so. */
struct Entries
{
  explicit Entries(std::size_t aCount)
  {
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < aCount; ++i) {
      addresses.push_back("10.0.0." + std::to_string(i + 1));
    }
    for (const std::string& address : addresses) {
      auto entry = std::make_unique<Entry>();
      entry->mAddress = address;
      entry->mPeers = std::make_unique<PeerView>(
        PeerSettings(), address, addresses, Timestamp(Seconds(900)));
      entry->mPermits = std::make_unique<ServerPermits>(
        ServerPermitSettings(), address, *entry->mPeers, entry->mLimits);
      entry->mLimits.RecordStated(kServer, kLimit, mNow);
      mEntries.push_back(std::move(entry));
    }
    ExchangeReports();
  }

  struct Entry
  {
    std::string mAddress;
    std::unique_ptr<PeerView> mPeers;
    ServerLimits mLimits;
    std::unique_ptr<ServerPermits> mPermits;
  };

  /** Lets each entry but the silent one report to the others. */
  void ExchangeReports(const Entry* aSilent = nullptr)
  {
    ++mSequence;
    for (const auto& sender : mEntries) {
      PeerReport report;
      report.mAddress = sender->mAddress;
      report.mSequence = mSequence;
      for (const auto& receiver : mEntries) {
        if (sender.get() != aSilent && receiver.get() != aSilent) {
          receiver->mPeers->Record(report, mNow);
          receiver->mPermits->RecordReport(sender->mAddress, mNow);
        }
      }
    }
  }

  Entry& Issuer()
  {
    const std::string first =
      mEntries[0]->mPeers->RankedIssuers(kServer, mNow).front();
    return Find(first);
  }

  Entry& Find(const std::string& aAddress)
  {
    return **std::find_if(
      mEntries.begin(), mEntries.end(), [&](const auto& aEntry) {
        return aEntry->mAddress == aAddress;
      });
  }

  /** @return An entry that isn't the issuer. */
  Entry& Other()
  {
    return mEntries[0].get() == &Issuer() ? *mEntries[1] : *mEntries[0];
  }

  std::vector<std::unique_ptr<Entry>> mEntries;
  Timestamp mNow{ Seconds(1000) };
  std::uint64_t mSequence = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(serverpermits)

BOOST_AUTO_TEST_CASE(AllEntriesAskTheSameIssuer)
{
  Entries entries(5);
  const std::string issuer = entries.Issuer().mAddress;
  for (const auto& entry : entries.mEntries) {
    const PermitAttempt attempt =
      entry->mPermits->Request(kServer, entries.mNow);
    BOOST_TEST(attempt.mIssuer == issuer);
    BOOST_TEST(attempt.mResult.has_value() == (entry->mAddress == issuer));
  }
}

BOOST_AUTO_TEST_CASE(GrantedPermitReachesItsRequest)
{
  Entries entries(3);
  Entries::Entry& issuer = entries.Issuer();
  Entries::Entry& other = entries.Other();
  issuer.mPermits->Request(kServer, entries.mNow);
  entries.mNow += Seconds(1);
  entries.ExchangeReports();
  const PermitAttempt attempt = other.mPermits->Request(kServer, entries.mNow);
  const PermitReply reply =
    issuer.mPermits->Answer(other.mAddress, attempt.mRequest, entries.mNow);
  const auto result =
    other.mPermits->HandleReply(issuer.mAddress, reply, entries.mNow);
  BOOST_REQUIRE(result.has_value());
  BOOST_TEST((result->mOutcome == PermitOutcome::Granted));
  // A copy of the reply, and the timeout, change nothing.
  BOOST_TEST(
    !other.mPermits->HandleReply(issuer.mAddress, reply, entries.mNow));
  BOOST_TEST(
    !other.mPermits->HandleTimeout(attempt.mRequest.mId, entries.mNow));
}

BOOST_AUTO_TEST_CASE(ReplyOfAnotherEntryIsIgnored)
{
  Entries entries(3);
  Entries::Entry& other = entries.Other();
  const PermitAttempt attempt = other.mPermits->Request(kServer, entries.mNow);
  const PermitReply forged{ attempt.mRequest.mId,
                            PermitOutcome::Granted,
                            Milliseconds(0),
                            attempt.mRequest.mLimit };
  BOOST_TEST(!other.mPermits->HandleReply("10.0.0.99", forged, entries.mNow));
}

BOOST_AUTO_TEST_CASE(SilentIssuerIsReplacedByTheNextInRank)
{
  Entries entries(4);
  const Entries::Entry& silent = entries.Issuer();
  Entries::Entry& other = entries.Other();
  entries.mNow += Milliseconds(700);
  for (int i = 0; i < 2; ++i) {
    const PermitAttempt attempt =
      other.mPermits->Request(kServer, entries.mNow);
    BOOST_TEST(attempt.mIssuer == silent.mAddress);
    const auto result =
      other.mPermits->HandleTimeout(attempt.mRequest.mId, entries.mNow);
    BOOST_TEST((result->mOutcome == PermitOutcome::TimedOut));
  }
  BOOST_TEST(other.mPermits->Request(kServer, entries.mNow).mIssuer !=
             silent.mAddress);
  entries.mNow += Milliseconds(3001);
  entries.ExchangeReports();
  BOOST_TEST(other.mPermits->Request(kServer, entries.mNow).mIssuer ==
             silent.mAddress);
}

// An issuer whose replies get lost still issues permits for other entries.
BOOST_AUTO_TEST_CASE(LostRepliesOfARunningIssuerDoNotMoveTheRate)
{
  Entries entries(4);
  const Entries::Entry& issuer = entries.Issuer();
  Entries::Entry& other = entries.Other();
  for (int i = 0; i < 5; ++i) {
    entries.mNow += Milliseconds(200);
    entries.ExchangeReports();
    const PermitAttempt attempt =
      other.mPermits->Request(kServer, entries.mNow);
    BOOST_TEST(attempt.mIssuer == issuer.mAddress);
    other.mPermits->HandleTimeout(attempt.mRequest.mId, entries.mNow);
  }
}

BOOST_AUTO_TEST_CASE(SharesOfSeparatedEntriesAddUpToTheLimit)
{
  Entries entries(4);
  const Entries::Entry& issuer = entries.Issuer();
  entries.mNow += Seconds(3);
  entries.ExchangeReports(&issuer);
  const Entries::Entry& next = entries.Find(
    entries.Other().mPeers->RankedIssuers(kServer, entries.mNow).front());
  BOOST_TEST(next.mAddress != issuer.mAddress);
  const double alone = issuer.mPeers->IssuableShare(kServer, 1, entries.mNow);
  const double rest = next.mPeers->IssuableShare(kServer, 3, entries.mNow);
  BOOST_TEST(alone == 0.25);
  BOOST_TEST(rest == 0.75);
}

BOOST_AUTO_TEST_CASE(EntryThatHasJustStartedDeclines)
{
  Entries entries(3);
  PeerView peers(PeerSettings(), "10.0.0.9", { "10.0.0.1" }, entries.mNow);
  ServerLimits limits;
  ServerPermits permits(ServerPermitSettings(), "10.0.0.9", peers, limits);
  const PermitRequest request{ 1, { kServer, kLimit, false, Milliseconds(0) } };
  BOOST_TEST((permits.Answer("10.0.0.1", request, entries.mNow).mOutcome ==
              PermitOutcome::Declined));
  BOOST_TEST(limits.AllowedRate(kServer, entries.mNow).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
