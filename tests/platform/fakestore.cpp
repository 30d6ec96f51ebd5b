#include "fakestore.h"

#include "../../src/libmedlarkeelforward/answertext.h"
#include "../../src/libmedlarkeelforward/percentencoding.h"

#include <boost/algorithm/string/join.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <future>
#include <utility>
#include <vector>

namespace medlarkeel {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using Error = boost::system::error_code;
using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

std::string
EncodeBase64(const std::string& aBytes)
{
  namespace base64 = boost::beast::detail::base64;
  std::string encoded(base64::encoded_size(aBytes.size()), '\0');
  encoded.resize(base64::encode(encoded.data(), aBytes.data(), aBytes.size()));
  return encoded;
}

bool
StartsWith(const std::string& aText, const std::string& aPrefix)
{
  return aText.compare(0, aPrefix.size(), aPrefix) == 0;
}

/** @return A name or value of a query, decoded as web servers do; nothing if an
 * escape is malformed. */
std::optional<std::string>
DecodeQueryText(std::string aText, bool aKeepsPlusSigns)
{
  if (!aKeepsPlusSigns) {
    std::replace(aText.begin(), aText.end(), '+', ' ');
  }
  return DecodePercent(aText);
}

/** @return The fields of an item except its key. */
Json
FieldsOf(const std::string& aBytes,
         std::uint64_t aRevision,
         std::uint64_t aCreated)
{
  return { { "value", EncodeBase64(aBytes) },
           { "revision", aRevision },
           { "created", aCreated },
           { "lease", 0 } };
}

/** @return The character of a key in a JSON text. Bytes that are no ASCII stay
 * as they are, or become single surrogates. */
std::string
CharacterText(char aCharacter, bool aEscapesBytes)
{
  constexpr unsigned char kAsciiEnd = 0x80;
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr unsigned kDigitBits = 4;
  constexpr unsigned kDigitMask = 0xF;
  const auto byte = static_cast<unsigned char>(aCharacter);
  if (byte < kAsciiEnd) {
    const std::string text = Json(std::string(1, aCharacter)).dump();
    return text.substr(1, text.size() - 2);
  }
  return aEscapesBytes ? std::string("\\udc") + kDigits[byte >> kDigitBits] +
                           kDigits[byte & kDigitMask]
                       : std::string(1, aCharacter);
}

/** @return Values in a query, by name, of which the first one counts; nothing
 * if the query is malformed. */
std::optional<std::map<std::string, std::string>>
QueryOf(const std::string& aTarget, bool aKeepsPlusSigns)
{
  std::map<std::string, std::string> values;
  const std::string target = aTarget.substr(0, aTarget.find('#'));
  std::size_t begin = target.find('?');
  while (begin != std::string::npos) {
    const std::size_t end = target.find('&', begin + 1);
    const std::string part = target.substr(
      begin + 1, end == std::string::npos ? end : end - begin - 1);
    const std::size_t sign = part.find('=');
    if (sign != std::string::npos) {
      const auto name = DecodeQueryText(part.substr(0, sign), aKeepsPlusSigns);
      const auto value =
        DecodeQueryText(part.substr(sign + 1), aKeepsPlusSigns);
      if (!name || !value) {
        return std::nullopt;
      }
      values.emplace(*name, *value);
    }
    begin = end;
  }
  return values;
}

} // namespace

/** One connection to the store. */
class FakeStore::Session : public std::enable_shared_from_this<Session>
{
public:
  Session(FakeStore& aStore, tcp::socket aSocket)
    : mStore(aStore)
    , mSocket(std::move(aSocket))
    , mTimer(aStore.mContext)
  {
  }

  void Read()
  {
    mRequest = {};
    http::async_read(
      mSocket,
      mBuffer,
      mRequest,
      [self = shared_from_this()](const Error& aError, std::size_t) {
        if (!aError) {
          self->Handle();
        }
      });
  }

  /** Looks again whether there is something to answer a waiting watch. */
  void Recheck()
  {
    if (const auto reply = mStore.ReadChanges(mPrefix, mAfter)) {
      mStore.mWaiting.erase(shared_from_this());
      Answer(*reply);
    }
  }

private:
  void Handle()
  {
    mStore.mCalls += 1;
    switch (mStore.mTrouble) {
      case StoreTrouble::None:
      case StoreTrouble::Slow:
      case StoreTrouble::SilentList:
      case StoreTrouble::RepeatingPages:
      case StoreTrouble::EmptyPages:
        break;
      case StoreTrouble::Refusing:
        Answer({ kUnavailable, Json::object() });
        return;
      case StoreTrouble::Limiting:
        Answer({ kTooManyRequests, Json::object() });
        return;
      case StoreTrouble::Silent:
        mStore.mSilent.insert(shared_from_this());
        return;
      case StoreTrouble::Resetting: {
        Error ignored;
        mSocket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        mSocket.close(ignored);
        return;
      }
    }
    const std::string target(mRequest.target());
    auto parsed = QueryOf(target, mStore.mKeepsPlusSigns);
    if (!parsed) {
      Answer({ kBadRequest, Json::object() });
      return;
    }
    std::map<std::string, std::string>& query = *parsed;
    mPrefix = query["path-prefix"];
    if (mStore.mTrouble == StoreTrouble::SilentList && mPrefix.empty()) {
      mStore.mSilent.insert(shared_from_this());
      return;
    }
    if (StartsWith(target, "/kv-key?")) {
      Answer(mStore.ReadKey(query["key"]));
    } else if (StartsWith(target, "/kv-range?")) {
      Answer(mStore.ReadRange(mPrefix, query["after"]));
    } else if (StartsWith(target, "/kv-watch?")) {
      Watch(query);
    } else {
      Answer({ kNotFound, Json::object() });
    }
  }

  void Watch(std::map<std::string, std::string>& aQuery)
  {
    mAfter = ParseWholeNumber(aQuery["after"]).value_or(0);
    if (const auto reply = mStore.ReadChanges(mPrefix, mAfter)) {
      Answer(*reply);
      return;
    }
    mStore.mWaiting.insert(shared_from_this());
    mTimer.expires_after(Milliseconds(static_cast<std::int64_t>(
      ParseWholeNumber(aQuery["wait-ms"]).value_or(0))));
    mTimer.async_wait([self = shared_from_this()](const Error& aError) {
      if (!aError && self->mStore.mWaiting.erase(self) > 0) {
        self->Answer({ kOk,
                       { { "current-rev", self->mStore.mContent.mRevision } },
                       "events" });
      }
    });
  }

  static std::string BodyText(const Reply& aReply)
  {
    std::string text = aReply.mBody.dump();
    if (aReply.mListName != nullptr) {
      const std::string list =
        boost::algorithm::join(aReply.mList, std::string(","));
      text.pop_back();
      text += ",\"" + std::string(aReply.mListName) + "\":[" + list + "]}";
    }
    return text;
  }

  void Answer(const Reply& aReply)
  {
    if (mStore.mTrouble == StoreTrouble::Silent) {
      mStore.mSilent.insert(shared_from_this());
      return;
    }
    mTimer.cancel();
    mResponse = {};
    mResponse.version(11);
    mResponse.result(static_cast<unsigned>(aReply.mStatus));
    mResponse.set(http::field::content_type, "application/json");
    if (mStore.mEra > 0) {
      mResponse.set("Store-Era", std::to_string(mStore.mEra));
    }
    mResponse.body() = BodyText(aReply);
    mResponse.prepare_payload();
    const bool isSlow = mStore.mTrouble == StoreTrouble::Slow;
    mDelay = std::make_unique<boost::asio::steady_timer>(
      mStore.mContext, isSlow ? mStore.mSlowAnswer : Milliseconds(0));
    mDelay->async_wait([self = shared_from_this()](const Error&) {
      http::async_write(self->mSocket,
                        self->mResponse,
                        [self](const Error& aError, std::size_t) {
                          if (!aError) {
                            self->Read();
                          }
                        });
    });
  }

  FakeStore& mStore;
  tcp::socket mSocket;
  boost::asio::steady_timer mTimer;
  std::unique_ptr<boost::asio::steady_timer> mDelay;
  boost::beast::flat_buffer mBuffer;
  http::request<http::string_body> mRequest;
  http::response<http::string_body> mResponse;
  std::string mPrefix;
  std::uint64_t mAfter = 0;
};

FakeStore::FakeStore()
  : mAcceptor(mContext, { boost::asio::ip::make_address("127.0.0.1"), 0 })
  , mAddress{ "127.0.0.1", mAcceptor.local_endpoint().port() }
{
  Accept();
  mThread = std::thread([this]() { mContext.run(); });
}

FakeStore::~FakeStore()
{
  mContext.stop();
  mThread.join();
}

void
FakeStore::Accept()
{
  mAcceptor.async_accept([this](const Error& aError, tcp::socket aSocket) {
    if (!aError) {
      std::make_shared<Session>(*this, std::move(aSocket))->Read();
    }
    Accept();
  });
}

void
FakeStore::Run(const std::function<void()>& aTask)
{
  std::promise<void> done;
  boost::asio::post(mContext, [&]() {
    aTask();
    done.set_value();
  });
  done.get_future().wait();
}

void
FakeStore::Put(const std::string& aKey, const Json& aValue)
{
  PutBytes(aKey, aValue.dump());
}

void
FakeStore::PutBytes(const std::string& aKey, const std::string& aBytes)
{
  Run([&]() { Write(aKey, aBytes); });
}

void
FakeStore::Copy(const std::string& aFrom, const std::string& aTo)
{
  Run([&]() { Write(aTo, std::string(mContent.mItems.at(aFrom).mBytes)); });
}

void
FakeStore::PutAfterNextPage(const std::string& aKey, const std::string& aBytes)
{
  Run([&]() { mItemAfterPage.emplace(aKey, aBytes); });
}

void
FakeStore::Write(const std::string& aKey, const std::string& aBytes)
{
  Item item{ aBytes, mContent.mRevision + 1, mContent.mRevision + 1 };
  const auto found = mContent.mItems.find(aKey);
  if (found != mContent.mItems.end()) {
    item.mCreated = found->second.mCreated;
  }
  mContent.mItems[aKey] = item;
  Record(aKey, item);
}

void
FakeStore::Remove(const std::string& aKey)
{
  Run([&]() {
    if (mContent.mItems.erase(aKey) > 0) {
      Record(aKey, std::nullopt);
    }
  });
}

void
FakeStore::Record(const std::string& aKey, std::optional<Item> aItem)
{
  mContent.mRevision += 1;
  mContent.mHistory.push_back({ aKey, mContent.mRevision, std::move(aItem) });
  RecheckWaiting();
}

void
FakeStore::RecheckWaiting()
{
  const auto waiting = mWaiting;
  for (const auto& session : waiting) {
    session->Recheck();
  }
}

void
FakeStore::ForgetHistory()
{
  Run([&]() {
    mContent.mHistory.clear();
    mContent.mForgotten = mContent.mRevision;
  });
}

void
FakeStore::SetTrouble(StoreTrouble aTrouble)
{
  Run([&]() { mTrouble = aTrouble; });
}

void
FakeStore::SetItemsPerPage(std::size_t aItems)
{
  Run([&]() { mItemsPerPage = aItems; });
}

void
FakeStore::SetSlowAnswer(Milliseconds aTime)
{
  Run([&]() { mSlowAnswer = aTime; });
}

void
FakeStore::EscapeKeyBytes()
{
  Run([&]() { mEscapesKeyBytes = true; });
}

void
FakeStore::KeepPlusSigns()
{
  Run([&]() { mKeepsPlusSigns = true; });
}

void
FakeStore::SetEra(std::uint64_t aEra)
{
  Run([&]() { mEra = aEra; });
}

void
FakeStore::TakeCopy()
{
  Run([&]() { mCopy = mContent; });
}

void
FakeStore::Restore()
{
  Run([&]() {
    mContent = mCopy;
    mEra += 1;
    RecheckWaiting();
  });
}

Json
StoreItem(const std::string& aKey,
          const std::string& aBytes,
          std::uint64_t aRevision,
          std::uint64_t aCreated)
{
  Json item = FieldsOf(aBytes, aRevision, aCreated);
  item["key"] = aKey;
  return item;
}

std::string
FakeStore::ObjectText(const std::string& aKey, const Json& aFields) const
{
  std::string text = R"({"key":")";
  for (const char character : aKey) {
    text += CharacterText(character, mEscapesKeyBytes);
  }
  return text + "\"," + aFields.dump().substr(1);
}

FakeStore::Reply
FakeStore::ReadKey(const std::string& aKey) const
{
  const auto found = mContent.mItems.find(aKey);
  if (found == mContent.mItems.end()) {
    return { kNotFound, { { "current-rev", mContent.mRevision } } };
  }
  const Item& item = found->second;
  Json body = StoreItem(aKey, item.mBytes, item.mRevision, item.mCreated);
  body["current-rev"] = mContent.mRevision;
  return { kOk, body };
}

FakeStore::Reply
FakeStore::ReadRange(const std::string& aPrefix, const std::string& aAfter)
{
  std::vector<std::string> items;
  bool hasMore = false;
  for (const auto& [key, item] : mContent.mItems) {
    const bool isBefore = !aAfter.empty() && key <= aAfter &&
                          mTrouble != StoreTrouble::RepeatingPages;
    if (!StartsWith(key, aPrefix) || isBefore) {
      continue;
    }
    if (items.size() == mItemsPerPage || mTrouble == StoreTrouble::EmptyPages) {
      hasMore = true;
      break;
    }
    items.push_back(
      ObjectText(key, FieldsOf(item.mBytes, item.mRevision, item.mCreated)));
  }
  Reply reply{ kOk,
               { { "has-more", hasMore },
                 { "current-rev", mContent.mRevision } },
               "items",
               std::move(items) };
  if (hasMore && mItemAfterPage) {
    const auto [key, bytes] = *std::exchange(mItemAfterPage, std::nullopt);
    Write(key, bytes);
  }
  return reply;
}

std::optional<FakeStore::Reply>
FakeStore::ReadChanges(const std::string& aPrefix, std::uint64_t aAfter) const
{
  if (aAfter < mContent.mForgotten || aAfter > mContent.mRevision) {
    mLostHistory += 1;
    return Reply{
      kGone, { { "current-rev", mContent.mRevision } }, nullptr, {}
    };
  }
  std::vector<std::string> events;
  for (const Change& change : mContent.mHistory) {
    if (change.mRevision <= aAfter || !StartsWith(change.mKey, aPrefix)) {
      continue;
    }
    if (change.mItem) {
      const Item& item = *change.mItem;
      events.push_back(ObjectText(
        change.mKey, FieldsOf(item.mBytes, item.mRevision, item.mCreated)));
    } else {
      events.push_back(ObjectText(
        change.mKey,
        { { "revision", change.mRevision }, { "tombstone", true } }));
    }
  }
  if (events.empty()) {
    return std::nullopt;
  }
  return Reply{
    kOk, { { "current-rev", mContent.mRevision } }, "events", std::move(events)
  };
}

} // namespace medlarkeel
