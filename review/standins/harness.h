// Stand-ins for the review's scripts: the platform's store, replicas, clients
// and the platform that starts, signals and stops entries. Loopback only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point gStart = Clock::now();

inline std::int64_t
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               gStart)
    .count();
}

inline void
SleepMs(std::int64_t aTime)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aTime));
}

/** Whether the disruption is played. */
inline bool
HasTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/** Forks a child that ends with this process. @return As fork(). */
inline pid_t
ForkChild()
{
  const pid_t parent = getpid();
  const pid_t child = fork();
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(1);
    }
  }
  return child;
}

/** Writes record.txt: one line an event, with milliseconds since the start. */
class Record
{
public:
  static Record& Instance()
  {
    static Record record;
    return record;
  }

  void Open(const std::string& aPath)
  {
    std::lock_guard<std::mutex> lock(mMutex);
    mFile = std::fopen(aPath.c_str(), "w");
  }

  void Line(const std::string& aText)
  {
    std::lock_guard<std::mutex> lock(mMutex);
    if (mFile != nullptr) {
      std::fprintf(
        mFile, "%7lld ms  %s\n", static_cast<long long>(NowMs()), aText.c_str());
      std::fflush(mFile);
    }
  }

private:
  std::mutex mMutex;
  FILE* mFile = nullptr;
};

__attribute__((format(printf, 1, 2))) inline void
Note(const char* aFormat, ...)
{
  char text[2048];
  va_list arguments;
  va_start(arguments, aFormat);
  std::vsnprintf(text, sizeof text, aFormat, arguments);
  va_end(arguments);
  Record::Instance().Line(text);
}

inline std::string
Lower(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return aText;
}

// ---------------------------------------------------------------- sockets

inline sockaddr_in
AddressOf(const std::string& aIp, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  return address;
}

/** Listens on a port; 0 takes a free one. @return Socket and port. */
inline std::pair<int, int>
Listen(const std::string& aIp, int aPort = 0)
{
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = AddressOf(aIp, aPort);
  if (bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
        0 ||
      listen(listener, 512) != 0) {
    close(listener);
    return { -1, 0 };
  }
  socklen_t size = sizeof address;
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  return { listener, ntohs(address.sin_port) };
}

/** @return A port that is free for TCP and UDP at an address. It lies below
 * those that the system gives to outgoing channels, which come and go. */
inline int
FreePort(const std::string& aIp)
{
  constexpr int kFirst = 20'000;
  constexpr int kCount = 12'000;
  static std::mt19937 random(std::random_device{}());
  for (int i = 0; i < 200; ++i) {
    const int wanted = kFirst + static_cast<int>(random() % kCount);
    const auto [listener, port] = Listen(aIp, wanted);
    if (listener < 0) {
      continue;
    }
    const int datagrams = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = AddressOf(aIp, port);
    const bool isFree = bind(datagrams,
                             reinterpret_cast<sockaddr*>(&address),
                             sizeof address) == 0;
    close(datagrams);
    close(listener);
    if (isFree) {
      return port;
    }
  }
  return 0;
}

inline int
Connect(const std::string& aIp, int aPort)
{
  const int channel = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = AddressOf(aIp, aPort);
  if (connect(channel, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
      0) {
    close(channel);
    return -1;
  }
  const int on = 1;
  setsockopt(channel, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return channel;
}

inline bool
SendAll(int aChannel, const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t n = send(
      aChannel, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

/** Reads once. @return Bytes; 0 at the end, -1 after an error or timeout. */
inline ssize_t
ReadSome(int aChannel, std::string& aBuffer, std::int64_t aTimeoutMs)
{
  pollfd waiting{ aChannel, POLLIN, 0 };
  if (poll(&waiting, 1, static_cast<int>(aTimeoutMs)) <= 0) {
    return -1;
  }
  char bytes[65536];
  const ssize_t n = recv(aChannel, bytes, sizeof bytes, 0);
  if (n > 0) {
    aBuffer.append(bytes, static_cast<std::size_t>(n));
  }
  return n;
}

/** A head with its fields, names in lower case. */
struct Head
{
  std::string mFirstLine;
  std::map<std::string, std::string> mFields;

  std::string Field(const std::string& aName) const
  {
    const auto found = mFields.find(aName);
    return found == mFields.end() ? std::string() : found->second;
  }
  bool Has(const std::string& aName) const { return mFields.count(aName) != 0; }
};

inline Head
ParseHead(const std::string& aText)
{
  Head head;
  std::istringstream lines(aText);
  std::string line;
  std::getline(lines, head.mFirstLine);
  while (!head.mFirstLine.empty() && head.mFirstLine.back() == '\r') {
    head.mFirstLine.pop_back();
  }
  while (std::getline(lines, line)) {
    while (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    const std::size_t begin = line.find_first_not_of(' ', colon + 1);
    head.mFields[Lower(line.substr(0, colon))] =
      begin == std::string::npos ? "" : line.substr(begin);
  }
  return head;
}

// ----------------------------------------------------------------- server

struct Request
{
  Head mHead;
  std::string mMethod;
  std::string mTarget;
  std::string mBody;
  std::int64_t mArrivedMs = 0;

  std::string Id() const { return mHead.Field("x-request-id"); }
};

/** Runs one thread for each connection. */
class HttpServer
{
public:
  /** Answers a request. @return Whether the channel is kept. */
  using Handler = std::function<bool(int aChannel, const Request& aRequest)>;

  HttpServer(const std::string& aIp, int aPort, Handler aHandler)
    : mHandler(std::move(aHandler))
  {
    std::tie(mListener, mPort) = Listen(aIp, aPort);
    if (mListener < 0) {
      Note("a stand-in can't listen at %s:%d", aIp.c_str(), aPort);
      std::_Exit(2); // The entries end with this process.
    }
    mThread = std::thread([this]() { Accept(); });
  }

  ~HttpServer() { Stop(); }

  int Port() const { return mPort; }

  /** Closes the listener and all channels. */
  void Stop()
  {
    if (mIsStopping.exchange(true)) {
      return;
    }
    if (mListener >= 0) {
      shutdown(mListener, SHUT_RDWR);
      mThread.join();
      close(mListener);
    }
    {
      std::lock_guard<std::mutex> lock(mMutex);
      for (const int channel : mChannels) {
        shutdown(channel, SHUT_RDWR);
      }
    }
    while (mRunning > 0) {
      SleepMs(5);
    }
  }

private:
  void Accept()
  {
    while (!mIsStopping) {
      const int channel = accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (channel < 0) {
        if (mIsStopping) {
          return;
        }
        SleepMs(1);
        continue;
      }
      const int on = 1;
      setsockopt(channel, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      {
        std::lock_guard<std::mutex> lock(mMutex);
        mChannels.insert(channel);
      }
      mRunning += 1;
      std::thread([this, channel]() {
        Serve(channel);
        {
          std::lock_guard<std::mutex> lock(mMutex);
          mChannels.erase(channel);
        }
        close(channel);
        mRunning -= 1;
      }).detach();
    }
  }

  void Serve(int aChannel)
  {
    std::string input;
    while (!mIsStopping) {
      std::size_t end = input.find("\r\n\r\n");
      while (end == std::string::npos) {
        if (ReadSome(aChannel, input, 60'000) <= 0) {
          return;
        }
        end = input.find("\r\n\r\n");
      }
      Request request;
      request.mHead = ParseHead(input.substr(0, end));
      input.erase(0, end + 4);
      std::istringstream first(request.mHead.mFirstLine);
      first >> request.mMethod >> request.mTarget;
      const std::size_t length = static_cast<std::size_t>(
        std::atoll(request.mHead.Field("content-length").c_str()));
      while (input.size() < length) {
        if (ReadSome(aChannel, input, 60'000) <= 0) {
          return;
        }
      }
      request.mBody = input.substr(0, length);
      input.erase(0, length);
      request.mArrivedMs = NowMs();
      if (!mHandler(aChannel, request)) {
        return;
      }
    }
  }

  Handler mHandler;
  int mListener = -1;
  int mPort = 0;
  std::thread mThread;
  std::mutex mMutex;
  std::set<int> mChannels;
  std::atomic<int> mRunning{ 0 };
  std::atomic<bool> mIsStopping{ false };
};

inline std::string
JsonAnswer(int aStatus, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         (aStatus == 200 ? " OK" : " Error") +
         "\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

inline std::string
QueryValue(const std::string& aTarget, const std::string& aName)
{
  const std::size_t mark = aTarget.find('?');
  std::istringstream query(
    mark == std::string::npos ? "" : aTarget.substr(mark + 1));
  std::string pair;
  while (std::getline(query, pair, '&')) {
    if (pair.compare(0, aName.size() + 1, aName + "=") == 0) {
      return pair.substr(aName.size() + 1);
    }
  }
  return "";
}

inline std::string
Base64(const std::string& aBytes)
{
  static const char* kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    std::uint32_t group = 0;
    const std::size_t count = std::min<std::size_t>(3, aBytes.size() - i);
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8 |
              (j < count ? static_cast<unsigned char>(aBytes[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += j <= count ? kDigits[group >> (18 - 6 * j) & 63U] : '=';
    }
  }
  return text;
}

// ------------------------------------------------------------------ store

/** The platform's metadata store, always sound: linearizable answers, watches
 * that end as soon as there is an event, a history of 20 s or more. */
class Store
{
public:
  Store()
    : mServer("127.0.0.1", 0, [this](int aChannel, const Request& aRequest) {
      return Answer(aChannel, aRequest);
    })
  {
  }

  ~Store()
  {
    {
      std::lock_guard<std::mutex> lock(mMutex);
      mIsStopping = true;
    }
    mChanged.notify_all();
    mServer.Stop();
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mServer.Port());
  }

  /** Writes a value. @return The revision; the return is the store's ack. */
  std::uint64_t Put(const std::string& aKey, const std::string& aValue)
  {
    std::lock_guard<std::mutex> lock(mMutex);
    Item& item = mItems[aKey];
    item.mRevision = ++mRevision;
    item.mCreated = item.mCreated == 0 ? mRevision : item.mCreated;
    item.mText = "{\"key\":\"" + aKey + "\",\"value\":\"" + Base64(aValue) +
                 "\",\"revision\":" + std::to_string(item.mRevision) +
                 ",\"created\":" + std::to_string(item.mCreated) +
                 ",\"lease\":0}";
    mHistory.push_back({ mRevision, aKey, item.mText });
    mChanged.notify_all();
    return mRevision;
  }

  std::uint64_t Remove(const std::string& aKey)
  {
    std::lock_guard<std::mutex> lock(mMutex);
    if (mItems.erase(aKey) == 0) {
      return mRevision;
    }
    ++mRevision;
    mHistory.push_back({ mRevision,
                         aKey,
                         "{\"key\":\"" + aKey +
                           "\",\"revision\":" + std::to_string(mRevision) +
                           ",\"tombstone\":true}" });
    mChanged.notify_all();
    return mRevision;
  }

private:
  struct Item
  {
    std::string mText;
    std::uint64_t mRevision = 0;
    std::uint64_t mCreated = 0;
  };
  struct Event
  {
    std::uint64_t mRevision = 0;
    std::string mKey;
    std::string mText;
  };

  bool Answer(int aChannel, const Request& aRequest)
  {
    const std::string path =
      aRequest.mTarget.substr(0, aRequest.mTarget.find('?'));
    const std::string prefix = QueryValue(aRequest.mTarget, "path-prefix");
    const std::string after = QueryValue(aRequest.mTarget, "after");
    std::string body;
    if (path == "/kv-range") {
      body = Range(prefix, after);
    } else if (path == "/kv-watch") {
      body = Watch(prefix,
                   std::strtoull(after.c_str(), nullptr, 10),
                   std::atoll(QueryValue(aRequest.mTarget, "wait-ms").c_str()));
    } else {
      return SendAll(aChannel, JsonAnswer(404, "{}"));
    }
    return SendAll(aChannel, JsonAnswer(200, body));
  }

  std::string Range(const std::string& aPrefix, const std::string& aAfter)
  {
    constexpr int kItemsPerPage = 500;
    std::lock_guard<std::mutex> lock(mMutex);
    std::string items;
    int count = 0;
    bool hasMore = false;
    for (const auto& [key, item] : mItems) {
      if (key.compare(0, aPrefix.size(), aPrefix) != 0 || key <= aAfter) {
        continue;
      }
      if (count == kItemsPerPage) {
        hasMore = true;
        break;
      }
      items += (count++ == 0 ? "" : ",") + item.mText;
    }
    return "{\"items\":[" + items +
           "],\"has-more\":" + (hasMore ? "true" : "false") +
           ",\"current-rev\":" + std::to_string(mRevision) + "}";
  }

  std::string Watch(const std::string& aPrefix,
                    std::uint64_t aAfter,
                    std::int64_t aWaitMs)
  {
    std::unique_lock<std::mutex> lock(mMutex);
    const auto collect = [&]() {
      std::string events;
      for (const Event& event : mHistory) {
        if (event.mRevision > aAfter &&
            event.mKey.compare(0, aPrefix.size(), aPrefix) == 0) {
          events += (events.empty() ? "" : ",") + event.mText;
        }
      }
      return events;
    };
    std::string events;
    mChanged.wait_for(lock, std::chrono::milliseconds(aWaitMs), [&]() {
      events = collect();
      return mIsStopping || !events.empty();
    });
    return "{\"events\":[" + events +
           "],\"current-rev\":" + std::to_string(mRevision) + "}";
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, Item> mItems;
  std::deque<Event> mHistory;
  std::uint64_t mRevision = 100;
  bool mIsStopping = false;
  HttpServer mServer;
};

// ---------------------------------------------------------------- replica

/** What a replica writes of itself. */
struct ReplicaEntry
{
  std::string mId;
  std::string mService;
  std::string mAddress;
  std::string mState = "ready";
  int mSlots = 64;
  std::int64_t mColdRemainingMs = 0;
  std::int64_t mBorn = 0;
  int mSequence = 0;

  std::string Key() const { return "servers/" + mId; }

  std::string Json() const
  {
    return "{\"service\":\"" + mService + "\",\"address\":\"" + mAddress +
           "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":" +
           std::to_string(mSlots) + ",\"state\":\"" + mState +
           "\",\"cold-remaining-ms\":" + std::to_string(mColdRemainingMs) +
           ",\"stage\":\"both\",\"models\":[],\"sequence\":" +
           std::to_string(mSequence) + ",\"born\":" + std::to_string(mBorn) +
           "}";
  }
};

inline std::int64_t
UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

/** Writes a replica's entry about every heartbeat until it is stopped. */
class Heartbeat
{
public:
  Heartbeat(Store& aStore, ReplicaEntry aEntry)
    : mStore(aStore)
    , mEntry(std::move(aEntry))
  {
    if (mEntry.mBorn == 0) {
      mEntry.mBorn = UnixMs();
    }
    mThread = std::thread([this]() { Run(); });
  }

  ~Heartbeat() { Stop(); }

  void Stop()
  {
    {
      std::lock_guard<std::mutex> lock(mMutex);
      mIsStopping = true;
    }
    mWake.notify_all();
    if (mThread.joinable()) {
      mThread.join();
    }
  }

private:
  void Run()
  {
    constexpr std::chrono::milliseconds kInterval{ 1200 };
    std::unique_lock<std::mutex> lock(mMutex);
    while (!mIsStopping) {
      mEntry.mSequence += 1;
      mStore.Put(mEntry.Key(), mEntry.Json());
      mWake.wait_for(lock, kInterval, [this]() { return mIsStopping; });
    }
  }

  Store& mStore;
  ReplicaEntry mEntry;
  std::mutex mMutex;
  std::condition_variable mWake;
  bool mIsStopping = false;
  std::thread mThread;
};

/** Head fields that each answer of a replica carries. */
inline std::string
StampFields(const std::string& aReplica, const Request& aRequest)
{
  return "X-Request-Id: " + aRequest.Id() + "\r\nX-Response-Stamp: " +
         aReplica + "." + aRequest.Id() + "\r\n";
}

inline std::string
PlainAnswer(int aStatus,
            const std::string& aFields,
            const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         (aStatus == 200 ? " OK" : " Refused") + "\r\n" + aFields +
         "Keep-Alive: timeout=10\r\nContent-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/** @return Whether the request expects another replica; then it got 421. */
inline bool
AnswersMisdirected(int aChannel, const Request& aRequest, const std::string& aId)
{
  const std::string expected = aRequest.mHead.Field("x-expect-instance");
  if (expected.empty() || expected == aId) {
    return false;
  }
  SendAll(aChannel,
          PlainAnswer(421,
                      "X-Request-Id: " + aRequest.Id() + "\r\nX-Replica-Id: " +
                        aId + "\r\nX-Not-Executed: 1\r\n",
                      ""));
  return true;
}

// ----------------------------------------------------------------- config

struct RouteText
{
  std::string mPrefix;
  std::string mKind;
  std::string mService;
  int mTimeoutMs = 12'000;
  int mTargetMs = 300;
  int mAttempts = 1;
  bool mIsResumable = false;
};

inline std::string
ConfigText(int aVersion,
           const std::vector<RouteText>& aRoutes,
           const std::map<std::string, std::string>& aServices,
           const std::string& aKeys = "\"key-1\",\"key-2\"")
{
  std::string routes;
  for (const RouteText& route : aRoutes) {
    routes += std::string(routes.empty() ? "" : ",") + "{\"name\":\"r" +
              route.mPrefix.substr(1, 6) +
              "\",\"host\":\"host.example\",\"path-prefix\":\"" +
              route.mPrefix + "\",\"kind\":\"" + route.mKind +
              "\",\"timeout-ms\":" + std::to_string(route.mTimeoutMs) +
              ",\"target-latency-ms\":" + std::to_string(route.mTargetMs) +
              ",\"priority\":0,\"service\":\"" + route.mService +
              "\",\"max-attempts\":" + std::to_string(route.mAttempts) +
              ",\"public\":false,\"session-affinity\":" +
              (route.mKind == "streaming" ? "true" : "false") +
              ",\"stream-resume\":" + (route.mIsResumable ? "true" : "false") +
              (route.mKind == "streaming" ? ",\"target-gap-ms\":200" : "") +
              "}";
  }
  std::string services;
  for (const auto& [name, engine] : aServices) {
    services += std::string(services.empty() ? "" : ",") + "{\"name\":\"" +
                name +
                "\",\"health-path\":\"/healthz\",\"max-connections\":360,"
                "\"protocol\":\"h1\",\"tls\":false,\"cold-start-s\":0.0,"
                "\"cold-per-s\":0.0" +
                engine + "}";
  }
  return "{\"version\":" + std::to_string(aVersion) + ",\"routes\":[" + routes +
         "],\"services\":[" + services +
         "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
         "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
         "\"tenants\":[{\"name\":\"tenant-1\",\"api-keys\":[" +
         aKeys + "],\"priority\":0}]}";
}

inline const char* const kEngineText =
  ",\"engine\":{\"slots\":64,\"kv-capacity-tokens\":502042,"
  "\"kv-token-bytes\":327680,\"link-mbps\":550000.0,\"stride\":3,\"most\":12,"
  "\"pin-ms\":4000.0,\"hold-ms\":2000.0,\"handle-ttl-s\":5.0,"
  "\"models\":[{\"name\":\"m\"}]}";

// ---------------------------------------------------------------- entries

/** Starts entries as the deploy file says and stops them by their ids. */
class Entries
{
public:
  struct Entry
  {
    std::string mIp;
    int mCallers = 0;
    int mReadiness = 0;
    std::string mSettings;
    std::string mLog;
    pid_t mId = 0;
  };

  Entries(const std::string& aStore, int aCount)
  {
    char folder[] = "/tmp/medlarkeel-review-XXXXXX";
    mFolder = mkdtemp(folder) == nullptr ? "/tmp" : folder;
    const std::string first = "127.0.0.1";
    const int peers = FreePort(first);
    std::string seeds;
    for (int i = 0; i < aCount && i < 3; ++i) {
      seeds += std::string(seeds.empty() ? "" : ",") + "\"" + Ip(i) + ":" +
               std::to_string(peers) + "\"";
    }
    std::ifstream file("platform/settings.json.template");
    const std::string settings((std::istreambuf_iterator<char>(file)),
                               std::istreambuf_iterator<char>());
    for (int i = 0; i < aCount; ++i) {
      Entry entry;
      entry.mIp = Ip(i);
      entry.mCallers = FreePort(entry.mIp);
      entry.mReadiness = FreePort(entry.mIp);
      const std::map<std::string, std::string> values = {
        { "{{node-name|json}}", "\"edge-" + std::to_string(i + 1) + "\"" },
        { "{{zone|json}}", "\"zone-a\"" },
        { "{{listen.front|json}}", Quoted(entry.mIp, entry.mCallers) },
        { "{{listen.ready|json}}", Quoted(entry.mIp, entry.mReadiness) },
        { "{{ip}}", entry.mIp },
        { "{{internal-port-range.0}}", std::to_string(peers) },
        { "{{seeds|json}}", "[" + seeds + "]" },
        { "{{platform.address|json}}", "\"" + aStore + "\"" },
        { "{{heartbeat-ms|json}}", "1200" },
        { "{{bounds.drain-ms|json}}", "2000" },
        { "{{bounds.grace-s|json}}", "8" },
        { "{{bounds.retry-budget-ratio|json}}", "0.2" },
        { "{{bounds.retry-slack|json}}", "52" },
        { "{{bounds.cold-overage|json}}", "1.5" },
        { "{{bounds.cold-slack|json}}", "5" }
      };
      std::string text = settings;
      for (const auto& [name, value] : values) {
        for (std::size_t at = text.find(name); at != std::string::npos;
             at = text.find(name, at + value.size())) {
          text.replace(at, name.size(), value);
        }
      }
      entry.mSettings = mFolder + "/node-" + std::to_string(i + 1) + ".json";
      entry.mLog = mFolder + "/node-" + std::to_string(i + 1) + ".log";
      std::ofstream(entry.mSettings) << text;
      mEntries.push_back(entry);
    }
  }

  ~Entries()
  {
    for (Entry& entry : mEntries) {
      Kill(entry);
    }
    for (const Entry& entry : mEntries) {
      unlink(entry.mSettings.c_str());
      unlink(entry.mLog.c_str());
    }
    rmdir(mFolder.c_str());
  }

  Entry& operator[](std::size_t aIndex) { return mEntries[aIndex]; }
  std::vector<Entry>& All() { return mEntries; }

  /** Starts a process. @return Whether it is ready within 10 s. */
  bool Start(Entry& aEntry)
  {
    const std::string variable = "MEDLARKEEL_CONFIG=" + aEntry.mSettings;
    const char* path = std::getenv("PATH");
    const std::string pathVariable =
      std::string("PATH=") + (path == nullptr ? "/usr/bin:/bin" : path);
    aEntry.mId = ForkChild();
    if (aEntry.mId == 0) {
      const int log = open(
        aEntry.mLog.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
      dup2(log, 1);
      dup2(log, 2);
      char program[] = "target/medlarkeelforward";
      char* const arguments[] = { program, nullptr };
      char* const variables[] = { const_cast<char*>(pathVariable.c_str()),
                                  const_cast<char*>(variable.c_str()),
                                  nullptr };
      execve(program, arguments, variables);
      _exit(127);
    }
    Note("%s started as process %d", aEntry.mIp.c_str(), aEntry.mId);
    for (int i = 0; i < 200; ++i) {
      if (IsReady(aEntry)) {
        Note("%s is ready", aEntry.mIp.c_str());
        return true;
      }
      if (HasEnded(aEntry)) {
        return false;
      }
      SleepMs(50);
    }
    return false;
  }

  bool StartAll()
  {
    for (Entry& entry : mEntries) {
      if (!Start(entry)) {
        return false;
      }
    }
    return true;
  }

  static bool IsReady(const Entry& aEntry)
  {
    const int channel = Connect(aEntry.mIp, aEntry.mReadiness);
    if (channel < 0) {
      return false;
    }
    SendAll(channel, "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n");
    std::string answer;
    ReadSome(channel, answer, 1000);
    close(channel);
    return answer.compare(0, 12, "HTTP/1.1 200") == 0;
  }

  /** @return Whether the process has ended by itself. */
  static bool HasEnded(Entry& aEntry)
  {
    int status = 0;
    if (aEntry.mId > 0 && waitpid(aEntry.mId, &status, WNOHANG) == aEntry.mId) {
      Note("process %d has ended: %s %d",
           aEntry.mId,
           WIFSIGNALED(status) ? "signal" : "code",
           WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
      aEntry.mId = 0;
      return true;
    }
    return aEntry.mId <= 0;
  }

  static void Signal(const Entry& aEntry, int aSignal)
  {
    if (aEntry.mId > 0) {
      Note("signal %d to process %d", aSignal, aEntry.mId);
      kill(aEntry.mId, aSignal);
    }
  }

  static void Kill(Entry& aEntry)
  {
    if (aEntry.mId > 0) {
      kill(aEntry.mId, SIGCONT);
      kill(aEntry.mId, SIGKILL);
      waitpid(aEntry.mId, nullptr, 0);
      aEntry.mId = 0;
    }
  }

private:
  static std::string Ip(int aIndex)
  {
    return "127.0.0." + std::to_string(aIndex + 1);
  }
  static std::string Quoted(const std::string& aIp, int aPort)
  {
    return "\"" + aIp + ":" + std::to_string(aPort) + "\"";
  }

  std::string mFolder;
  std::vector<Entry> mEntries;
};

// ----------------------------------------------------------------- client

/** What a client has seen of an answer. */
struct Answer
{
  int mStatus = 0; // 0 without a head
  Head mHead;
  std::string mBody;
  /** The body has ended as its framing says. */
  bool mIsComplete = false;
  /** The channel has ended. */
  bool mHasEnded = false;
  std::int64_t mEndedMs = 0;
};

inline std::string
NewRequestId()
{
  static std::mt19937_64 random(std::random_device{}());
  static std::mutex mutex;
  std::lock_guard<std::mutex> lock(mutex);
  char text[32];
  std::snprintf(
    text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

inline std::string
RequestHead(const std::string& aMethod,
            const std::string& aTarget,
            const std::string& aId,
            std::int64_t aTimeMs,
            std::size_t aLength,
            const std::string& aFields = "",
            const std::string& aKey = "key-1")
{
  return aMethod + " " + aTarget +
         " HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: " + aId +
         "\r\nX-Deadline-Ms: " + std::to_string(aTimeMs) +
         "\r\nAuthorization: Token " + aKey + "\r\n" + aFields +
         (aMethod == "POST" ? "Content-Length: " + std::to_string(aLength) + "\r\n"
                            : std::string()) +
         "\r\n";
}

inline const char* const kPromptFields =
  "X-Model: m\r\nX-Token-Usage: 1460,80\r\n"
  "X-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n";

/** Decodes a chunked body. @return Whether its last chunk has come. */
inline bool
DecodeChunks(const std::string& aBytes, std::string& aBody)
{
  aBody.clear();
  std::size_t at = 0;
  while (true) {
    const std::size_t end = aBytes.find("\r\n", at);
    if (end == std::string::npos) {
      return false;
    }
    const std::size_t size =
      std::strtoull(aBytes.substr(at, end - at).c_str(), nullptr, 16);
    at = end + 2;
    if (size == 0) {
      return aBytes.compare(at, 2, "\r\n") == 0;
    }
    aBody += aBytes.substr(at, size);
    if (aBytes.size() < at + size + 2) {
      return false;
    }
    at += size + 2;
  }
}

/** Reads one answer of a channel until it is complete or the time is over. */
inline Answer
ReadAnswer(int aChannel, std::int64_t aTimeoutMs)
{
  Answer answer;
  std::string input;
  const std::int64_t until = NowMs() + aTimeoutMs;
  std::size_t headEnd = std::string::npos;
  while (true) {
    headEnd = input.find("\r\n\r\n");
    if (headEnd != std::string::npos) {
      answer.mHead = ParseHead(input.substr(0, headEnd));
      if (answer.mHead.mFirstLine.size() > 12) {
        answer.mStatus = std::atoi(answer.mHead.mFirstLine.c_str() + 9);
      }
      const std::string rest = input.substr(headEnd + 4);
      if (Lower(answer.mHead.Field("transfer-encoding")) == "chunked") {
        answer.mIsComplete = DecodeChunks(rest, answer.mBody);
      } else {
        answer.mBody = rest;
        answer.mIsComplete =
          answer.mHead.Has("content-length") &&
          rest.size() >= static_cast<std::size_t>(std::atoll(
                           answer.mHead.Field("content-length").c_str()));
      }
      if (answer.mIsComplete) {
        break;
      }
    }
    const std::int64_t left = until - NowMs();
    if (left <= 0) {
      break;
    }
    const ssize_t n = ReadSome(aChannel, input, left);
    if (n <= 0) {
      answer.mHasEnded = n == 0 || NowMs() < until;
      break;
    }
  }
  answer.mEndedMs = NowMs();
  return answer;
}

} // namespace review
