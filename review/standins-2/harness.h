/** Stand-ins for the platform's store, replicas and clients, and control of the
 * processes under test. Everything runs on loopback addresses. */

#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

inline Clock::time_point
StartTime()
{
  static const Clock::time_point start = Clock::now();
  return start;
}

inline double
Now()
{
  return std::chrono::duration<double>(Clock::now() - StartTime()).count();
}

inline void
Sleep(double aSeconds)
{
  std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
}

/** Writes what happens to the record and to standard output. */
class Record
{
public:
  explicit Record(const std::string& aPath)
    : mFile(aPath)
  {
    StartTime();
  }

  void Write(const std::string& aText)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%9.3f ", Now());
    mFile << time << aText << std::endl;
    std::cout << time << aText << std::endl;
  }

private:
  std::mutex mMutex;
  std::ofstream mFile;
};

inline sockaddr_in
AddressOf(const std::string& aIp, std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  return address;
}

/** @return A loopback address of this run's own. */
inline std::string
OwnAddress(int aHost)
{
  const int process = getpid();
  return "127." + std::to_string(10 + process / 250 % 200) + "." +
         std::to_string(process % 250) + "." + std::to_string(aHost);
}

/** @return Whether a port can be bound at the address. */
inline bool
IsFree(const std::string& aIp, std::uint16_t aPort, int aType)
{
  const int socket = ::socket(AF_INET, aType | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(aIp, aPort);
  const bool isFree = ::bind(socket,
                             reinterpret_cast<const sockaddr*>(&address),
                             sizeof(address)) == 0;
  ::close(socket);
  return isFree;
}

/** @return A port that is free for TCP and UDP at the address, another one for
 * each call. It is below those that outgoing connections get. */
inline std::uint16_t
FreePort(const std::string& aIp)
{
  constexpr std::uint16_t kFirst = 18'000;
  constexpr std::uint16_t kLast = 32'000;
  static std::uint16_t next = kFirst;
  while (next < kLast) {
    const std::uint16_t port = next++;
    if (IsFree(aIp, port, SOCK_STREAM) && IsFree(aIp, port, SOCK_DGRAM)) {
      return port;
    }
  }
  std::cerr << "no free port at " << aIp << std::endl;
  std::exit(2);
}

class Socket
{
public:
  explicit Socket(int aHandle = -1)
    : mHandle(aHandle)
  {
  }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  Socket(Socket&& aOther) noexcept
    : mHandle(aOther.mHandle)
  {
    aOther.mHandle = -1;
  }
  ~Socket() { Close(); }

  void Close()
  {
    if (mHandle >= 0) {
      ::close(mHandle);
      mHandle = -1;
    }
  }

  /** @return Whether all bytes were taken. */
  bool Send(const std::string& aBytes) const
  {
    std::size_t sent = 0;
    while (sent < aBytes.size()) {
      const ssize_t size = ::send(
        mHandle, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (size <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(size);
    }
    return true;
  }

  /** @return Bytes read; 0 at the end, -1 on an error, -2 after the time. */
  int Read(std::string& aInto, double aSeconds, std::size_t aMost = 65'536) const
  {
    pollfd poll{ mHandle, POLLIN, 0 };
    if (::poll(&poll, 1, static_cast<int>(aSeconds * 1000)) <= 0) {
      return -2;
    }
    std::string buffer(aMost, '\0');
    const ssize_t size = ::recv(mHandle, buffer.data(), buffer.size(), 0);
    if (size > 0) {
      aInto.append(buffer.data(), static_cast<std::size_t>(size));
    }
    return static_cast<int>(size);
  }

  /** @return Whether the peer has closed the connection. */
  bool IsClosedByPeer() const
  {
    pollfd poll{ mHandle, POLLIN, 0 };
    if (::poll(&poll, 1, 0) <= 0) {
      return false;
    }
    char byte = 0;
    return ::recv(mHandle, &byte, 1, MSG_PEEK) <= 0;
  }

  void SetReceiveBuffer(int aSize) const
  {
    ::setsockopt(mHandle, SOL_SOCKET, SO_RCVBUF, &aSize, sizeof(aSize));
  }

  int Handle() const { return mHandle; }
  bool IsOpen() const { return mHandle >= 0; }

private:
  int mHandle;
};

inline Socket
Connect(const std::string& aIp, std::uint16_t aPort, int aReceiveBuffer = 0)
{
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (aReceiveBuffer > 0) {
    socket.SetReceiveBuffer(aReceiveBuffer);
  }
  const sockaddr_in address = AddressOf(aIp, aPort);
  if (::connect(socket.Handle(),
                reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
    socket.Close();
  }
  return socket;
}

inline std::string
Lower(std::string aText)
{
  for (char& letter : aText) {
    letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  }
  return aText;
}

/** @return The values of a field of a head, joined by commas. */
inline std::string
FieldOf(const std::string& aHead, const std::string& aName)
{
  std::istringstream lines(aHead);
  std::string line;
  std::string value;
  while (std::getline(lines, line)) {
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos ||
        Lower(line.substr(0, colon)) != Lower(aName)) {
      continue;
    }
    const std::size_t begin = line.find_first_not_of(' ', colon + 1);
    const std::size_t end = line.find_last_not_of("\r ");
    const std::string one =
      begin == std::string::npos ? "" : line.substr(begin, end + 1 - begin);
    value += (value.empty() ? "" : ",") + one;
  }
  return value;
}

/** Accepts connections and serves each with a thread of its own. */
class Listener
{
public:
  using Handler = std::function<void(Socket&)>;

  Listener(const std::string& aIp, Handler aHandler, int aReceiveBuffer = 0)
    : mIp(aIp)
    , mSocket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , mHandler(std::move(aHandler))
  {
    if (aReceiveBuffer > 0) {
      mSocket.SetReceiveBuffer(aReceiveBuffer);
    }
    sockaddr_in address = AddressOf(aIp, 0);
    socklen_t size = sizeof(address);
    if (::bind(
          mSocket.Handle(), reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        ::listen(mSocket.Handle(), 1024) != 0) {
      std::perror("listen");
      std::exit(2);
    }
    ::getsockname(
      mSocket.Handle(), reinterpret_cast<sockaddr*>(&address), &size);
    mPort = ntohs(address.sin_port);
    std::thread([this]() { Accept(); }).detach();
  }

  std::uint16_t Port() const { return mPort; }
  std::string Address() const { return mIp + ":" + std::to_string(mPort); }

private:
  void Accept()
  {
    while (true) {
      const int handle = ::accept4(mSocket.Handle(), nullptr, nullptr, SOCK_CLOEXEC);
      if (handle < 0) {
        Sleep(0.01);
        continue;
      }
      std::thread([this, handle]() {
        Socket socket(handle);
        mHandler(socket);
      }).detach();
    }
  }

  std::string mIp;
  Socket mSocket;
  Handler mHandler;
  std::uint16_t mPort = 0;
};

struct Request
{
  std::string mHead;
  std::string mBody;

  std::string Target() const
  {
    const std::size_t begin = mHead.find(' ') + 1;
    return mHead.substr(begin, mHead.find(' ', begin) - begin);
  }
  std::string Method() const { return mHead.substr(0, mHead.find(' ')); }
  std::string Id() const { return FieldOf(mHead, "X-Request-Id"); }
};

/** Reads the head of a request. @return Whether one came. */
inline bool
ReadHead(Socket& aSocket, std::string& aInput, Request& aRequest)
{
  std::size_t end = 0;
  while ((end = aInput.find("\r\n\r\n")) == std::string::npos) {
    if (aSocket.Read(aInput, 100) <= 0) {
      return false;
    }
  }
  aRequest.mHead = aInput.substr(0, end + 4);
  aInput.erase(0, end + 4);
  return true;
}

/** Reads the body of a request whose length is stated. */
inline bool
ReadBody(Socket& aSocket, std::string& aInput, Request& aRequest)
{
  const std::string length = FieldOf(aRequest.mHead, "Content-Length");
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  while (aInput.size() < size) {
    if (aSocket.Read(aInput, 100) <= 0) {
      return false;
    }
  }
  aRequest.mBody = aInput.substr(0, size);
  aInput.erase(0, size);
  return true;
}

inline std::string
Base64(const std::string& aBytes)
{
  static const char* letters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      const std::size_t place = i + j;
      group = group << 8U |
              (place < aBytes.size() ? static_cast<unsigned char>(aBytes[place]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += i + j > aBytes.size() ? '='
                                    : letters[group >> (18U - 6U * j) & 63U];
    }
  }
  return text;
}

/** The platform's store, as the pages describe it for reading. */
class Store
{
public:
  Store()
    : mListener("127.0.0.1", [this](Socket& aSocket) { Serve(aSocket); })
  {
  }

  std::string Address() const { return mListener.Address(); }

  void Put(const std::string& aKey, const Json& aValue)
  {
    PutBytes(aKey, aValue.dump());
  }

  void PutBytes(const std::string& aKey, const std::string& aBytes)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mRevision += 1;
    Json item{ { "key", aKey },
               { "value", Base64(aBytes) },
               { "revision", mRevision },
               { "created", mRevision },
               { "lease", 0 } };
    const auto found = mItems.find(aKey);
    if (found != mItems.end()) {
      item["created"] = found->second["created"];
    }
    mItems[aKey] = item;
    mHistory.push_back({ mRevision, aKey, item });
  }

  void Remove(const std::string& aKey)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mItems.erase(aKey) > 0) {
      mRevision += 1;
      mHistory.push_back({ mRevision,
                           aKey,
                           { { "key", aKey },
                             { "revision", mRevision },
                             { "tombstone", true } } });
    }
  }

private:
  struct Change
  {
    std::uint64_t mRevision;
    std::string mKey;
    Json mEvent;
  };

  static bool StartsWith(const std::string& aText, const std::string& aPrefix)
  {
    return aText.compare(0, aPrefix.size(), aPrefix) == 0;
  }

  static std::string Decoded(const std::string& aText)
  {
    std::string text;
    for (std::size_t i = 0; i < aText.size(); ++i) {
      if (aText[i] == '%' && i + 2 < aText.size()) {
        text += static_cast<char>(std::stoi(aText.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        text += aText[i];
      }
    }
    return text;
  }

  static std::map<std::string, std::string> QueryOf(const std::string& aTarget)
  {
    std::map<std::string, std::string> query;
    std::istringstream parts(aTarget.substr(aTarget.find('?') + 1));
    std::string part;
    while (std::getline(parts, part, '&')) {
      const std::size_t sign = part.find('=');
      if (sign != std::string::npos) {
        query[part.substr(0, sign)] = Decoded(part.substr(sign + 1));
      }
    }
    return query;
  }

  void Serve(Socket& aSocket)
  {
    std::string input;
    Request request;
    while (ReadHead(aSocket, input, request)) {
      int status = 200;
      const Json body = Answer(request.Target(), status);
      const std::string text = body.dump();
      if (!aSocket.Send("HTTP/1.1 " + std::to_string(status) +
                        " Answer\r\nContent-Type: application/json\r\n"
                        "Content-Length: " +
                        std::to_string(text.size()) + "\r\n\r\n" + text)) {
        return;
      }
    }
  }

  Json Answer(const std::string& aTarget, int& aStatus)
  {
    auto query = QueryOf(aTarget);
    if (StartsWith(aTarget, "/kv-watch?")) {
      return Watch(query["path-prefix"],
                   std::stoull("0" + query["after"]),
                   std::stoull("0" + query["wait-ms"]));
    }
    const std::lock_guard<std::mutex> lock(mMutex);
    if (StartsWith(aTarget, "/kv-key?")) {
      const auto found = mItems.find(query["key"]);
      if (found == mItems.end()) {
        aStatus = 404;
        return { { "current-rev", mRevision } };
      }
      Json item = found->second;
      item["current-rev"] = mRevision;
      return item;
    }
    Json items = Json::array();
    for (const auto& [key, item] : mItems) {
      if (StartsWith(key, query["path-prefix"]) && key > query["after"]) {
        items.push_back(item);
      }
    }
    return { { "items", items },
             { "has-more", false },
             { "current-rev", mRevision } };
  }

  Json Watch(const std::string& aPrefix, std::uint64_t aAfter, std::uint64_t aWait)
  {
    const auto end = Clock::now() + Milliseconds(aWait);
    while (true) {
      {
        const std::lock_guard<std::mutex> lock(mMutex);
        Json events = Json::array();
        for (const Change& change : mHistory) {
          if (change.mRevision > aAfter && StartsWith(change.mKey, aPrefix)) {
            events.push_back(change.mEvent);
          }
        }
        if (!events.empty() || Clock::now() >= end) {
          return { { "events", events }, { "current-rev", mRevision } };
        }
      }
      Sleep(0.005);
    }
  }

  std::mutex mMutex;
  std::uint64_t mRevision = 0;
  std::map<std::string, Json> mItems;
  std::vector<Change> mHistory;
  Listener mListener;
};

/** A replica that is registered in the store. */
class Replica
{
public:
  /** Answers a request whose head was read. @return Whether the connection may
   * be used again. */
  using Handler =
    std::function<bool(Socket& aSocket, std::string& aInput, Request& aRequest)>;

  Replica(Store& aStore,
          const std::string& aId,
          const std::string& aService,
          int aSlots,
          Handler aHandler,
          int aReceiveBuffer = 0)
    : mStore(aStore)
    , mId(aId)
    , mHandler(std::move(aHandler))
    , mListener("127.0.0.1",
                [this](Socket& aSocket) { Serve(aSocket); },
                aReceiveBuffer)
  {
    mEntry = { { "service", aService },     { "address", mListener.Address() },
               { "zone", "zone-0" },        { "version", 1 },
               { "slots", aSlots },         { "state", "ready" },
               { "cold-remaining-ms", 0 },  { "sequence", 1 },
               { "born", 1'700'000'000'000 } };
    Register();
    std::thread([this]() {
      while (true) {
        Sleep(1.2);
        if (mIsListed) {
          mEntry["sequence"] = mEntry["sequence"].get<int>() + 1;
          Register();
        }
      }
    }).detach();
  }

  void Unlist()
  {
    mIsListed = false;
    mStore.Remove("servers/" + mId);
  }

  const std::string& Id() const { return mId; }

  /** @return The head of an answer without its end. */
  std::string HeadText(const Request& aRequest, int aStatus = 200) const
  {
    return "HTTP/1.1 " + std::to_string(aStatus) +
           " Answer\r\nX-Request-Id: " + aRequest.Id() +
           "\r\nX-Response-Stamp: " + mId + "." + aRequest.Id() +
           "\r\nKeep-Alive: timeout=5\r\n";
  }

private:
  void Register() { mStore.Put("servers/" + mId, mEntry); }

  void Serve(Socket& aSocket)
  {
    std::string input;
    Request request;
    while (ReadHead(aSocket, input, request)) {
      if (request.Method() == "GET" && request.Target() == "/report") {
        const std::string body =
          R"({"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],)"
          R"("busy":false,"sequence":1,"queued":0,"running":0,"kv-used":0,)"
          R"("kv-total":500000,"handles":0,"born":1700000000000})";
        aSocket.Send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                     "Content-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body);
        continue;
      }
      if (request.Method() == "GET" && request.Target() == "/healthz") {
        aSocket.Send("HTTP/1.1 200 OK\r\nX-Replica-Id: " + mId +
                     "\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      const std::string expected = FieldOf(request.mHead, "X-Expect-Instance");
      if (!expected.empty() && expected != mId) {
        ReadBody(aSocket, input, request);
        aSocket.Send(HeadText(request, 421) +
                     "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      if (!mHandler(aSocket, input, request)) {
        return;
      }
    }
  }

  Store& mStore;
  std::string mId;
  Handler mHandler;
  Json mEntry;
  std::atomic<bool> mIsListed{ true };
  Listener mListener;
};

inline Json
Route(const std::string& aPrefix,
      const std::string& aService,
      const std::string& aKind,
      int aAttempts,
      int aTimeoutMs)
{
  return { { "name", aPrefix },
           { "host", "host" },
           { "path-prefix", aPrefix },
           { "service", aService },
           { "kind", aKind },
           { "max-attempts", aAttempts },
           { "timeout-ms", aTimeoutMs },
           { "target-latency-ms", 500 },
           { "priority", 1 } };
}

/** @return A configuration without routes. */
inline Json
Configuration()
{
  return { { "version", 1 },
           { "routes", Json::array() },
           { "services", Json::array() },
           { "limits",
             { { "max-header-bytes", 16384 },
               { "max-body-bytes", 4194304 },
               { "header-timeout-ms", 3000 },
               { "idle-timeout-ms", 15000 } } },
           { "tenants",
             Json::array(
               { { { "name", "team-1" }, { "api-keys", { "secret" } } } }) } };
}

/** A process of medlarkeelforward on a loopback address of its own. */
class Entry
{
public:
  /**
   * @param aNumber Number of the entry, from 1.
   * @param aInternal Port between entries, which is the same for all; 0 for any.
   * @param aSeeds Addresses of other entries.
   */
  Entry(const std::string& aFolder,
        const std::string& aStore,
        int aNumber = 1,
        std::uint16_t aInternal = 0,
        const std::vector<std::string>& aSeeds = {})
    : mAddress(EntryAddress(aNumber))
    , mFront(FreePort(mAddress))
    , mReady(FreePort(mAddress))
    , mInternal(aInternal != 0 ? aInternal : FreePort(mAddress))
    , mSettings(aFolder + "/entry-" + std::to_string(aNumber) + ".json")
    , mLog(aFolder + "/entry-" + std::to_string(aNumber) + ".log")
  {
    const auto at = [this](std::uint16_t aPort) {
      return mAddress + ":" + std::to_string(aPort);
    };
    Json values{ { "node-name", "edge-" + std::to_string(aNumber) },
                 { "zone", "zone-0" },
                 { "ip", mAddress },
                 { "listen", { { "front", at(mFront) }, { "ready", at(mReady) } } },
                 { "internal-port-range", { mInternal, mInternal } },
                 { "seeds", SeedsText(at(FreePort(mAddress)), aSeeds) },
                 { "platform", { { "address", aStore } } },
                 { "heartbeat-ms", 1200 },
                 { "limits", { { "memory-mb", 260 }, { "max-fds", 4100 } } },
                 { "bounds",
                   { { "drain-ms", 2000 },
                     { "grace-s", 8.0 },
                     { "retry-budget-ratio", 0.2 },
                     { "retry-slack", 52.0 },
                     { "cold-overage", 1.5 },
                     { "cold-slack", 5.0 } } } };
    std::ifstream file("platform/settings.json.template");
    std::stringstream text;
    text << file.rdbuf();
    std::ofstream(mSettings) << Render(text.str(), values);
  }

  ~Entry() { Stop(SIGKILL); }

  static std::string EntryAddress(int aNumber)
  {
    return OwnAddress(10 + aNumber);
  }

  void Start()
  {
    mProcess = ::fork();
    if (mProcess == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL); // It ends with this process.
      const int log =
        ::open(mLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(log, 1);
      ::dup2(log, 2);
      ::setenv("MEDLARKEEL_CONFIG", mSettings.c_str(), 1);
      ::execl("target/medlarkeelforward", "target/medlarkeelforward", nullptr);
      ::_exit(127);
    }
  }

  /** @return Whether the process has ended; sets how. */
  bool HasEnded()
  {
    if (mProcess > 0 && ::waitpid(mProcess, &mStatus, WNOHANG) == mProcess) {
      mProcess = -1;
    }
    return mProcess <= 0;
  }

  std::string EndText() const
  {
    return WIFSIGNALED(mStatus)
             ? "signal " + std::to_string(WTERMSIG(mStatus)) + " (" +
                 strsignal(WTERMSIG(mStatus)) + ")"
             : "exit code " + std::to_string(WEXITSTATUS(mStatus));
  }

  void Signal(int aSignal) const
  {
    if (mProcess > 0) {
      ::kill(mProcess, aSignal);
    }
  }

  void Stop(int aSignal)
  {
    if (mProcess > 0 && !HasEnded()) {
      ::kill(mProcess, aSignal);
      ::waitpid(mProcess, &mStatus, 0);
      mProcess = -1;
    }
  }

  /** @return Whether the entry says that it is ready. */
  bool IsReady() const
  {
    Socket socket = Connect(mAddress, mReady);
    std::string answer;
    return socket.IsOpen() &&
           socket.Send("GET /ready HTTP/1.1\r\nHost: entry\r\n\r\n") &&
           socket.Read(answer, 1) > 0 && answer.find(" 200 ") < 20;
  }

  bool WaitReady(double aSeconds) const
  {
    const double end = Now() + aSeconds;
    while (Now() < end) {
      if (IsReady()) {
        return true;
      }
      Sleep(0.05);
    }
    return false;
  }

  /** @return Resident memory of the process, in KiB. */
  long MemoryKb() const
  {
    std::ifstream status("/proc/" + std::to_string(mProcess) + "/status");
    std::string line;
    while (std::getline(status, line)) {
      if (line.compare(0, 6, "VmRSS:") == 0) {
        return std::stol(line.substr(6));
      }
    }
    return 0;
  }

  const std::string& Address() const { return mAddress; }
  std::uint16_t Front() const { return mFront; }
  std::uint16_t Internal() const { return mInternal; }
  const std::string& LogPath() const { return mLog; }

private:
  static Json SeedsText(const std::string& aOwn,
                        const std::vector<std::string>& aSeeds)
  {
    Json seeds = { aOwn };
    for (const std::string& seed : aSeeds) {
      seeds.push_back(seed + ":1");
    }
    return seeds;
  }

  static const Json& ValueAt(const Json& aValues, const std::string& aPath)
  {
    const Json* value = &aValues;
    std::istringstream names(aPath);
    std::string name;
    while (std::getline(names, name, '.')) {
      value =
        value->is_array() ? &value->at(std::stoul(name)) : &value->at(name);
    }
    return *value;
  }

  /** Renders "{{path}}" as text and "{{path|json}}" as JSON. */
  static std::string Render(std::string aText, const Json& aValues)
  {
    std::size_t begin = 0;
    while ((begin = aText.find("{{")) != std::string::npos) {
      const std::size_t end = aText.find("}}", begin);
      std::string path = aText.substr(begin + 2, end - begin - 2);
      const std::size_t filter = path.find("|json");
      const Json& value = ValueAt(aValues, path.substr(0, filter));
      const bool isText = value.is_string() && filter == std::string::npos;
      aText.replace(
        begin, end + 2 - begin, isText ? value.get<std::string>() : value.dump());
    }
    return aText;
  }

  std::string mAddress;
  std::uint16_t mFront;
  std::uint16_t mReady;
  std::uint16_t mInternal;
  std::string mSettings;
  std::string mLog;
  pid_t mProcess = -1;
  int mStatus = 0;
};

struct Answer
{
  int mStatus = 0;
  std::string mHead;
  std::string mBody;
  bool mIsComplete = false;
  /** What ended the reading before the answer was complete. */
  std::string mEnd;
};

/** Reads one answer with a length or in chunks. */
inline Answer
ReadAnswer(Socket& aSocket, double aSeconds, std::size_t aMost = 65'536)
{
  Answer answer;
  std::string input;
  const double end = Now() + aSeconds;
  std::size_t headEnd = std::string::npos;
  while (true) {
    if (headEnd == std::string::npos) {
      headEnd = input.find("\r\n\r\n");
      if (headEnd != std::string::npos) {
        answer.mHead = input.substr(0, headEnd + 4);
        answer.mStatus = std::atoi(answer.mHead.substr(9, 3).c_str());
      }
    }
    if (headEnd != std::string::npos) {
      answer.mBody = input.substr(headEnd + 4);
      const std::string length = FieldOf(answer.mHead, "Content-Length");
      const bool isChunked =
        !FieldOf(answer.mHead, "Transfer-Encoding").empty();
      const std::string last = "0\r\n\r\n";
      answer.mIsComplete =
        isChunked ? answer.mBody.size() >= last.size() &&
                      answer.mBody.compare(
                        answer.mBody.size() - last.size(), last.size(), last) == 0
                  : !length.empty() && answer.mBody.size() >= std::stoul(length);
      if (answer.mIsComplete) {
        return answer;
      }
    }
    const double left = end - Now();
    const int size = left <= 0 ? -2 : aSocket.Read(input, left, aMost);
    if (size <= 0) {
      answer.mEnd = size == 0    ? "closed"
                    : size == -2 ? "nothing came in time"
                                 : std::string("error: ") + strerror(errno);
      return answer;
    }
  }
}

inline std::string
MakeFolder()
{
  const char* base = std::getenv("TMPDIR");
  std::string pattern =
    std::string(base == nullptr ? "/tmp" : base) + "/reviewXXXXXX";
  if (::mkdtemp(pattern.data()) == nullptr) {
    std::perror("mkdtemp");
    std::exit(2);
  }
  return pattern;
}

inline bool
HasTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

} // namespace review
