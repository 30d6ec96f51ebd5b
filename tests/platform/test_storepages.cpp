#include "loopbackplatform.h"
#include "storeclient.h"

#include <boost/test/unit_test.hpp>

namespace medlarkeel {

namespace {

using platform::StoreClient;

constexpr int kOk = 200;

/** Names of entries that other programs may write. Some are parts of the
 * syntax of a request target or a query. */
const std::vector<std::string> kForeignNames = {
  "b&after=",  "b&c",  "b+c",    "b#c",     "b%c",        "b%20c", "b c",
  " b",        "b ",   "b?c",    "b=c",     "b/../c",     "b\"c",  "b\\c",
  "b\r\nc: d", "b\tc", "b\177c", "b\u00e9", "b HTTP/1.1", "b;c"
};

/** Names with bytes that are no UTF-8, before and behind those of servers. */
const std::vector<std::string> kForeignBytes = {
  "b\xff",     "b\xc3(", "b\xed\xa0\x80", "b\xf0\x9f\x92",
  "b\xc0\xaf", "\x80",   "b\x01\xfe",     "b\xf4\x8f\xbf\xbf\xfe"
};

/** A store in which an entry of another writer ends a page. */
struct StoreWithForeignEntry
{
  explicit StoreWithForeignEntry(const std::string& aName)
  {
    const std::string foreign = "servers/" + aName;
    std::size_t before = 0;
    for (const char* const id : { "a1", "a2", "a3", "a4", "a5", "a6" }) {
      PutServer(id);
      before += std::string("servers/") + id < foreign ? 1 : 0;
    }
    for (const char* const id : { "c1", "c2", "c3", "c4", "c5" }) {
      PutServer(id);
      before += std::string("servers/") + id < foreign ? 1 : 0;
    }
    // Keys that sort before those of servers.
    for (; (before + 1) % FakeStore::kItemsPerPage != 0; ++before) {
      mStore.Put("op/evacuate/" + std::to_string(before),
                 nlohmann::json::object());
    }
    mStore.PutBytes(foreign, "not an entry");
  }

  void PutServer(const std::string& aId)
  {
    mStore.Put("servers/" + aId,
               { { "service", "desk" },
                 { "address", "127.0.0.1:1" },
                 { "zone", "zone-0" },
                 { "state", "ready" },
                 { "cold-remaining-ms", 0 },
                 { "sequence", 1 } });
  }

  /** @return The contents, or nothing if there is no answer in time. */
  std::optional<DirectoryResult> Read(
    ReadFreshness aFreshness = ReadFreshness::Newest)
  {
    constexpr std::chrono::seconds kLimit{ 5 };
    std::optional<DirectoryResult> result;
    const auto client =
      std::make_shared<StoreClient>(mContext, mStore.Address());
    client->ReadAll(aFreshness, [&](DirectoryResult aResult) {
      result = std::move(aResult);
      mContext.stop();
    });
    mContext.run_for(kLimit);
    return result;
  }

  FakeStore mStore;
  boost::asio::io_context mContext;
};

std::size_t
ServerCount(const DirectoryChanges& aContents)
{
  return static_cast<std::size_t>(
    std::count_if(aContents.mChanges.begin(),
                  aContents.mChanges.end(),
                  [](const auto& aChange) {
                    return std::holds_alternative<BackendEntry>(aChange);
                  }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(storepages)

/** Guards against a list that is never read to its end, because the name of an
 * entry was part of the next call without being encoded. */
BOOST_AUTO_TEST_CASE(ForeignNameAtTheEndOfAPageLeavesTheOtherEntries)
{
  for (const std::string& name : kForeignNames) {
    StoreWithForeignEntry store(name);
    const auto result = store.Read();
    BOOST_TEST_REQUIRE(result.has_value(), name);
    BOOST_TEST_REQUIRE(result->has_value(), name);
    BOOST_TEST(ServerCount(result->value()) == 11U, name);
  }
}

/** Guards against entries that are never ready after a restart while an entry
 * of another writer ends a page of the list. */
BOOST_AUTO_TEST_CASE(EntriesStartWhileAForeignNameEndsAPage)
{
  for (const std::string name :
       { "desk&2", "desk+2", "desk#2", "desk%2", "desk 2" }) {
    LoopbackPlatform platform;
    platform.AddDesk("a-1");
    platform.AddDesk("a-2");
    platform.Store().PutBytes("servers/" + name, "not an entry");
    platform.AddDesk("z-1");
    platform.AddDesk("z-2");
    EntryProcess& entry = platform.StartEntry();
    BOOST_TEST_REQUIRE(LoopbackPlatform::WaitReady(entry), name);
    platform.Restart(entry);
    BOOST_TEST(LoopbackPlatform::WaitReady(entry), name);
    BOOST_TEST(LoopbackPlatform::Call(entry, "r-1", "/again/a").Status() == kOk,
               name);
  }
}

/** Guards against a list that can't be read at all, because the name of one
 * entry holds bytes that are no UTF-8. */
BOOST_AUTO_TEST_CASE(NameThatIsNoTextLeavesTheOtherEntries)
{
  for (const bool escapes : { false, true }) {
    for (const std::string& name : kForeignBytes) {
      BOOST_TEST_CONTEXT("escaped " << escapes << ", " << name)
      {
        StoreWithForeignEntry store(name);
        if (escapes) {
          store.mStore.EscapeKeyBytes();
        }
        const auto result = store.Read();
        BOOST_REQUIRE(result.has_value() && result->has_value());
        BOOST_TEST(ServerCount(result->value()) == 11U);
      }
    }
  }
}

/** Guards against a list that ends at several pages of such names. */
BOOST_AUTO_TEST_CASE(PagesOfNamesThatAreNoTextLeaveTheOtherEntries)
{
  for (const bool escapes : { false, true }) {
    StoreWithForeignEntry store("b\xff");
    if (escapes) {
      store.mStore.EscapeKeyBytes();
    }
    for (std::size_t i = 0; i < 3 * FakeStore::kItemsPerPage; ++i) {
      store.mStore.PutBytes("servers/b\xfe" + std::to_string(i),
                            "not an entry");
    }
    const auto result = store.Read();
    BOOST_REQUIRE(result.has_value() && result->has_value());
    BOOST_TEST(ServerCount(result->value()) == 11U);
  }
}

/** Guards against an entry that has no document or no list after a restart,
 * whatever stands beside them. */
BOOST_AUTO_TEST_CASE(EntriesStartWhileAnyKeyIsNoText)
{
  for (const std::string key :
       { "op/\xff", "op/evacuate/\xff", "servers/\xff", "\xff", "\xc3(" }) {
    LoopbackPlatform platform;
    platform.AddDesk("a-1");
    platform.Store().PutBytes(key, "not an entry");
    EntryProcess& entry = platform.StartEntry();
    BOOST_TEST_REQUIRE(LoopbackPlatform::WaitReady(entry));
    platform.Restart(entry);
    BOOST_TEST(LoopbackPlatform::WaitReady(entry));
    BOOST_TEST(LoopbackPlatform::Call(entry, "r-1", "/again/a").Status() ==
               kOk);
  }
}

/** Guards against changes that are missed while an entry with such a name is
 * renewed. */
BOOST_AUTO_TEST_CASE(ChangesFollowANameThatIsNoText)
{
  LoopbackPlatform platform;
  platform.AddDesk("a-1");
  EntryProcess& entry = platform.StartEntry();
  BOOST_REQUIRE(LoopbackPlatform::WaitReady(entry));
  platform.Store().PutBytes("servers/b\xff", "not an entry");
  const FakeServer& added = platform.AddServer(
    { "m-1", "model", "zone-0", 64, Milliseconds(5), 5, Milliseconds(20) });
  const bool isServed = WaitUntil(std::chrono::seconds(5), [&]() {
    return LoopbackPlatform::Call(entry, "r-1", "/stream/a").Status() == kOk;
  });
  BOOST_TEST(isServed, entry.mProcess->Log());
  BOOST_TEST(!added.Requests().empty());
}

/** Guards against entries that are never ready while each answer of the store
 * takes longer than the time-out of a call. */
BOOST_AUTO_TEST_CASE(EntryStartsWhileAnswersTakeLong)
{
  LoopbackPlatform platform;
  platform.AddDesk("a-1");
  platform.Store().SetSlowAnswer(std::chrono::seconds(1));
  platform.Store().SetTrouble(StoreTrouble::Slow);
  EntryProcess& entry = platform.StartEntry();
  BOOST_TEST(LoopbackPlatform::WaitReady(entry, std::chrono::seconds(12)),
             entry.mProcess->Log());
  BOOST_TEST(LoopbackPlatform::Call(entry, "r-1", "/again/a").Status() == kOk);
}

/** Guards against a start that takes long, since more changes follow a stale
 * copy of a long list than the list has items. */
BOOST_AUTO_TEST_CASE(LongListIsReadAsTheNewest)
{
  StoreWithForeignEntry store("b");
  const auto result = store.Read(ReadFreshness::MayBeStale);
  BOOST_REQUIRE(result.has_value() && result->has_value());
  BOOST_TEST(result->value().mIsNewest);
  BOOST_TEST(ServerCount(result->value()) == 11U);
}

/** Guards against endless calls to a store whose pages don't advance. */
BOOST_AUTO_TEST_CASE(PagesThatDoNotAdvanceAreAnError)
{
  for (const StoreTrouble trouble :
       { StoreTrouble::RepeatingPages, StoreTrouble::EmptyPages }) {
    StoreWithForeignEntry store("b");
    store.mStore.SetTrouble(trouble);
    const auto result = store.Read();
    BOOST_REQUIRE(result.has_value());
    BOOST_CHECK(!result->has_value());
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
