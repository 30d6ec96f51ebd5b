#pragma once

#include "../../src/libmedlarkeel/settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace medlarkeel {

/** @return An item as the store hands it out. */
nlohmann::json
StoreItem(const std::string& aKey,
          const std::string& aBytes,
          std::uint64_t aRevision,
          std::uint64_t aCreated);

/** What goes wrong at the store. */
enum class StoreTrouble : std::uint8_t
{
  None,
  /** Every call gets 503. */
  Refusing,
  /** Every call gets 429. */
  Limiting,
  /** Calls are read; their connections stay open and silent for good. */
  Silent,
  /** Connections are reset as soon as a call arrives. */
  Resetting,
  /** Answers come late. */
  Slow,
  /** Calls for all items are read and get no answer; those for a prefix do. */
  SilentList,
  /** Each page of a list is the first one. */
  RepeatingPages,
  /** Pages of a list are empty, and more are announced. */
  EmptyPages
};

/**
 * Stand-in of the platform's metadata store: pages, watches that wait, a
 * history that can be lost. The operator and the servers of a test write
 * through the methods, which may be called from any thread.
 */
class FakeStore
{
public:
  /** Default; small, so that a few servers already need further pages. */
  static constexpr std::size_t kItemsPerPage = 4;

  FakeStore();
  ~FakeStore();
  FakeStore(const FakeStore&) = delete;
  FakeStore& operator=(const FakeStore&) = delete;

  const Endpoint& Address() const { return mAddress; }

  void Put(const std::string& aKey, const nlohmann::json& aValue);
  void PutBytes(const std::string& aKey, const std::string& aBytes);
  void Remove(const std::string& aKey);

  /** Writes the value of an item under another key. */
  void Copy(const std::string& aFrom, const std::string& aTo);

  /** Writes an item as soon as a page that isn't the last one was read. */
  void PutAfterNextPage(const std::string& aKey, const std::string& aBytes);

  /** Drops the history, so that watches of older revisions get 410. */
  void ForgetHistory();
  void SetTrouble(StoreTrouble aTrouble);
  void SetItemsPerPage(std::size_t aItems);

  /** Sets the time that an answer takes while the store is slow. */
  void SetSlowAnswer(Milliseconds aTime);

  /** Writes bytes of keys outside ASCII as escapes of single surrogates, as
   * Python does, instead of as they are. */
  void EscapeKeyBytes();

  /** Leaves a plus sign in a query as it is, instead of reading a blank. */
  void KeepPlusSigns();

  /** Sets the era that answers state; with 0 they state none. */
  void SetEra(std::uint64_t aEra);

  /** Keeps a copy of items, history and revision for Restore(). */
  void TakeCopy();

  /** Replaces everything by the copy and begins the next era. Revisions are
   * issued again from that of the copy; watches from later ones get 410. */
  void Restore();

  /** @return Calls so far, and how many of them were answered with 410. */
  std::size_t Calls() const { return mCalls; }
  std::size_t CallsForLostHistory() const { return mLostHistory; }

private:
  class Session;
  friend class Session;

  struct Item
  {
    std::string mBytes;
    std::uint64_t mRevision = 0;
    std::uint64_t mCreated = 0;
  };

  /** One change; nothing in mItem where the key was removed. */
  struct Change
  {
    std::string mKey;
    std::uint64_t mRevision = 0;
    std::optional<Item> mItem;
  };

  /** What Restore() replaces. */
  struct Content
  {
    std::map<std::string, Item> mItems;
    std::deque<Change> mHistory;
    std::uint64_t mRevision = 100;
    /** Changes up to this revision can't be read any more. */
    std::uint64_t mForgotten = 100;
  };

  struct Reply
  {
    int mStatus = 0;
    nlohmann::json mBody;
    /** Items or changes, under this name beside the fields of the body. */
    const char* mListName = nullptr;
    /** Their texts; keys are any bytes. */
    std::vector<std::string> mList{};
  };

  void Accept();
  void Run(const std::function<void()>& aTask);
  std::string ObjectText(const std::string& aKey,
                         const nlohmann::json& aFields) const;
  void Write(const std::string& aKey, const std::string& aBytes);
  void Record(const std::string& aKey, std::optional<Item> aItem);
  void RecheckWaiting();
  Reply ReadKey(const std::string& aKey) const;
  Reply ReadRange(const std::string& aPrefix, const std::string& aAfter);
  /** @return The answer, or nothing while there is no change. */
  std::optional<Reply> ReadChanges(const std::string& aPrefix,
                                   std::uint64_t aAfter) const;

  boost::asio::io_context mContext;
  boost::asio::ip::tcp::acceptor mAcceptor;
  Endpoint mAddress;
  Content mContent;
  Content mCopy;
  std::uint64_t mEra = 0;
  StoreTrouble mTrouble = StoreTrouble::None;
  std::size_t mItemsPerPage = kItemsPerPage;
  Milliseconds mSlowAnswer{ 250 };
  bool mEscapesKeyBytes = false;
  bool mKeepsPlusSigns = false;
  /** Key and bytes of the item that is written after a page. */
  std::optional<std::pair<std::string, std::string>> mItemAfterPage;
  std::set<std::shared_ptr<Session>> mWaiting;
  /** Open connections that give nothing any more. */
  std::set<std::shared_ptr<Session>> mSilent;
  std::atomic<std::size_t> mCalls{ 0 };
  mutable std::atomic<std::size_t> mLostHistory{ 0 };
  std::thread mThread;
};

} // namespace medlarkeel
