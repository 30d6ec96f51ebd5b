#include "requests.h"

#include "../../tests/core/fleetfixture.h"

#include "adapterplacement.h"
#include "claimtable.h"
#include "eventlog.h"
#include "orderissuer.h"

#include <spdlog/sinks/base_sink.h>

#include <array>
#include <atomic>
#include <cstdio>
#include <memory>
#include <mutex>
#include <string>
#include <variant>

namespace medlarkeel {

namespace {

constexpr std::int64_t kEpochMilliseconds = 1'700'000'000'000;
constexpr std::size_t kAnswerBytes = 300;
const Timestamp kStart{ Seconds(1000) };

/** Takes lines and counts their bytes. */
class CountingSink : public spdlog::sinks::base_sink<std::mutex>
{
public:
  std::size_t Bytes() const { return mBytes; }
  std::size_t Lines() const { return mLines; }

protected:
  void sink_it_(const spdlog::details::log_msg& aMessage) override
  {
    mBytes += aMessage.payload.size() + 1;
    ++mLines;
  }
  void flush_() override {}

private:
  std::atomic<std::size_t> mBytes{ 0 };
  std::atomic<std::size_t> mLines{ 0 };
};

/** @return The key of the claim, a UUID of version 7. */
ClaimKey
KeyOf(std::size_t aSerial)
{
  const auto time = static_cast<std::uint64_t>(kEpochMilliseconds) + aSerial;
  std::array<char, 40> text{};
  std::snprintf(text.data(),
                text.size(),
                "%08x-%04x-7000-8000-%012zx",
                static_cast<unsigned>(time >> 16U),
                static_cast<unsigned>(time & 0xffffU),
                aSerial);
  const std::string team = "team-" + std::to_string(10'000 + aSerial % 3600);
  return { TeamName(team), IdempotencyKey(text.data()) };
}

ClaimEvidence
EvidenceAt(std::size_t aSerial)
{
  const Milliseconds passed(aSerial);
  return { kStart + passed,
           WallTime(Milliseconds(kEpochMilliseconds) + passed),
           true,
           kStart - Seconds(60) };
}

ClaimLimits
LimitsOf(std::size_t aRecords)
{
  ClaimLimits limits;
  limits.mEntries = aRecords;
  return limits;
}

/** Makes claims, one a millisecond, each with its answer. */
class ClaimFeed
{
public:
  /** @param aRecords Records that the table keeps at most. */
  explicit ClaimFeed(std::size_t aRecords)
    : mTable(InstanceId("agent-1"),
             Incarnation{ 1 },
             kStart - Seconds(3600),
             LimitsOf(aRecords))
    , mBody(std::string(32, 'b'))
  {
  }

  /** @return Whether the call is to run. */
  bool Next()
  {
    const ClaimKey key = KeyOf(mSerial);
    const auto decision = mTable.Claim(key, mBody, EvidenceAt(mSerial));
    StoredAnswer answer;
    answer.mStatus = 200;
    answer.mContentType = "application/json";
    answer.mBody = std::string(kAnswerBytes, 'a');
    mTable.RecordAnswer(key, std::move(answer));
    ++mSerial;
    return decision.mVerdict == ClaimVerdict::Run;
  }

  bool Repeat() const
  {
    const ClaimKey key = KeyOf(mSerial - 1);
    const auto decision = mTable.Look(key, mBody, EvidenceAt(mSerial));
    return decision.mVerdict == ClaimVerdict::Replay;
  }

  std::size_t Size() const { return mTable.Size(); }

private:
  ClaimTable mTable;
  BodyHash mBody;
  std::size_t mSerial = 0;
};

EventFields
RoutedFields(std::size_t aCandidates)
{
  EventFields considered = EventFields::array();
  for (std::size_t index = 0; index < aCandidates; ++index) {
    considered.push_back({ { "id", "agent-" + std::to_string(1000 + index) },
                           { "note", "considered" },
                           { "score", 12345.5 + static_cast<double>(index) },
                           { "blocks", index } });
  }
  return { { "request", "018cb1f2-7a00-7000-8000-000000000001" },
           { "team", "team-11234" },
           { "class", "drafts" },
           { "considered", std::move(considered) },
           { "chosen", "agent-1003" },
           { "why", "prefix" },
           { "panic", false } };
}

/** Decides, sends and confirms one order. */
bool
IssueOneOrder(std::uint64_t aRun)
{
  const Timestamp now = kStart + Seconds(aRun * 10);
  OrderIssuer issuer(Incarnation{ aRun + 1 }, true, now - Seconds(100));
  issuer.RecordListed(now);
  BackendState desired;
  desired.mVersion = "v2";
  issuer.SetDesired(desired);
  BackendState observed;
  observed.mVersion = "v1";
  issuer.RecordState(observed, std::nullopt, now);
  const OrderStep step = issuer.Next(true, now);
  const auto* send = std::get_if<SendOrderStep>(&step);
  if (!send || !issuer.MaySend(send->mToken, now)) {
    return false;
  }
  issuer.RecordResult(send->mToken, OrderResult::Accepted, now);
  return true;
}

} // namespace

std::vector<MeasuredRow>
MeasureClaims()
{
  std::vector<MeasuredRow> rows;
  for (const std::size_t records : { 100U, 1000U, 10'000U, 50'000U }) {
    const std::size_t before = HeapBytes();
    ClaimFeed feed(records);
    std::size_t ran = 0;
    while (feed.Size() < records) {
      ran += feed.Next() ? 1 : 0;
    }
    const auto heap = static_cast<double>(HeapBytes() - before);
    const bool replays = feed.Repeat();
    const Cost look = MeasureCost([&] { feed.Repeat(); });
    const Cost claim = MeasureCost([&] { feed.Next(); });
    rows.push_back(
      { "claims",
        "records",
        records,
        { { "ran", static_cast<double>(ran) },
          { "replays", replays ? 1.0 : 0.0 },
          { "heap_bytes_per_record", heap / static_cast<double>(records) },
          { "claim_and_answer_us", claim.mMicroseconds },
          { "repeat_us", look.mMicroseconds } } });
  }
  return rows;
}

std::vector<MeasuredRow>
MeasureLog()
{
  std::vector<MeasuredRow> rows;
  for (const std::size_t candidates : { 1U, 4U, 8U, 16U, 264U }) {
    const auto sink = std::make_shared<CountingSink>();
    Cost cost;
    {
      EventLog log("entry-123", sink);
      cost = MeasureCost(
        [&] { log.Write(Event::RequestRouted, RoutedFields(candidates)); });
    }
    const double lines = static_cast<double>(sink->Lines());
    rows.push_back(
      { "log",
        "candidates",
        candidates,
        { { "line_us", cost.mMicroseconds },
          { "line_bytes", static_cast<double>(sink->Bytes()) / lines } } });
  }
  return rows;
}

std::vector<MeasuredRow>
MeasureOrders()
{
  std::vector<MeasuredRow> rows;
  std::uint64_t run = 0;
  const bool issued = IssueOneOrder(run);
  const Cost order = MeasureCost([&] { IssueOneOrder(++run); });
  for (const std::size_t agents : { 10U, 30U, 100U, 264U, 2900U }) {
    const InstanceList list = MakeFleet({ 6, 3, 1, agents, 1 }, 1);
    Pool pool;
    pool.mName = PoolAt(0);
    for (int adapter = 0; adapter < 10; ++adapter) {
      pool.mAdapters.emplace_back("adapter-" + std::to_string(adapter));
    }
    AdapterPlacement placement(InstanceId("agent-0"));
    Timestamp now = kStart;
    const Cost update = MeasureCost([&] {
      now += Seconds(1);
      placement.Update(pool, list, now);
    });
    rows.push_back({ "orders",
                     "agents",
                     agents,
                     { { "placement_us", update.mMicroseconds },
                       { "issued", issued ? 1.0 : 0.0 },
                       { "order_us", order.mMicroseconds } } });
  }
  return rows;
}

} // namespace medlarkeel
