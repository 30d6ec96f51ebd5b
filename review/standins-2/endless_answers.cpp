/** Replicas of a model service answer with a body that never ends; the stand-in
 * of the platform kills the entry when it exceeds its memory. */

#include "harness.h"

#include <set>

using namespace review;

namespace {

constexpr int kModelReplicas = 12;
constexpr int kReplicasInTrouble = 7; // 0.58 of them
constexpr int kModelSlots = 64;
constexpr int kDeskReplicas = 3;
constexpr int kDeskSlots = 6;
constexpr double kDeskWork = 0.02;
/** Time that a model replica takes to read a prompt. */
constexpr double kPrefillTime = 1.2;
constexpr double kStreamsPerSecond = 60;
constexpr int kStreams = 900;
constexpr double kTimeBeforeTrouble = 9;
constexpr int kTimeoutMs = 10'000;
constexpr long kMemoryLimitKb = 260 * 1024;
/** The endless body: this much at about 400 KB/s, then a byte now and then. */
constexpr std::size_t kEndlessBytes = 1'000'000;
constexpr std::size_t kPartBytes = 10'000;
constexpr int kEvents = 34;

std::string
ChunkText(const std::string& aBytes)
{
  char size[32];
  std::snprintf(size, sizeof(size), "%zx\r\n", aBytes.size());
  return size + aBytes + "\r\n";
}

std::string
EventText(int aNumber)
{
  return "id: " + std::to_string(aNumber) + "\ndata: token token token\n\n";
}

/** Sends bytes that are no event until the caller closes. */
void
SendEndlessBody(Socket& aSocket)
{
  const std::string part(kPartBytes, 'x');
  std::size_t sent = 0;
  while (true) {
    const bool isFast = sent < kEndlessBytes;
    const std::string bytes = isFast ? part : "x";
    if (!aSocket.Send(ChunkText(bytes)) || aSocket.IsClosedByPeer()) {
      return;
    }
    sent += bytes.size();
    Sleep(isFast ? 0.025 : 0.5);
  }
}

/** Sends a stream; if the replica turns bad meanwhile, an endless body instead
 * of the rest.
 * @return Whether the stream was complete. */
bool
SendStream(Socket& aSocket, const std::atomic<bool>& aIsBad)
{
  for (int i = 1; i <= kEvents; ++i) {
    if (aIsBad) {
      SendEndlessBody(aSocket);
      return false;
    }
    if (!aSocket.Send(ChunkText(EventText(i)))) {
      return false;
    }
    Sleep(0.25);
  }
  return aSocket.Send("0\r\n\r\n");
}

/** Whether the replicas in trouble send bytes that are no answer. */
std::atomic<bool> hasTurnedBad{ false };
const std::atomic<bool> isNeverBad{ false };

/** The requests that arrived at sound model replicas. */
class Arrivals
{
public:
  void Add(const std::string& aId)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mIds.insert(aId);
  }

  bool Has(const std::string& aId)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mIds.count(aId) > 0;
  }

private:
  std::mutex mMutex;
  std::set<std::string> mIds;
};

struct Count
{
  std::atomic<int> mStreamsSent{ 0 };
  std::atomic<int> mStreamsComplete{ 0 };
  std::atomic<int> mStreamsRefused{ 0 };
  std::atomic<int> mStreamsBroken{ 0 };
  /** Streams on kept channels that a sound replica had when their channel
   * closed: before the first byte of the answer, and later. */
  std::atomic<int> mUnanswered{ 0 };
  std::atomic<int> mCut{ 0 };
};

std::string
RequestText(const std::string& aPath,
            const std::string& aId,
            const std::string& aFields)
{
  return "POST " + aPath + " HTTP/1.1\r\nHost: host\r\nX-Request-Id: " + aId +
         "\r\nAuthorization: Token secret\r\n" + aFields +
         "Content-Length: 5\r\n\r\nhello";
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 2) {
    return 2;
  }
  Record record(std::string(aArguments[1]) + "/record.txt");
  const bool hasTrouble = HasTrouble();
  static Count count;
  static Arrivals arrivals;
  static Store store;

  Json document = Configuration();
  Json stream = Route("/draft/", "model", "streaming", 1, kTimeoutMs);
  stream["session-affinity"] = true;
  stream["target-gap-ms"] = 500;
  document["routes"] = { stream,
                         Route("/lookup/", "desk", "idempotent", 2, 3000) };
  document["services"] = { { { "name", "model" },
                             { "engine", Json::object() },
                             { "health-path", "/healthz" } },
                           { { "name", "desk" }, { "health-path", "/healthz" } } };
  store.Put("op/config", document);

  static std::vector<std::unique_ptr<Replica>> replicas;
  for (int i = 0; i < kModelReplicas; ++i) {
    const auto place = static_cast<std::size_t>(i);
    replicas.push_back(std::make_unique<Replica>(
      store,
      "model-" + std::to_string(i),
      "model",
      kModelSlots,
      [place](Socket& aSocket, std::string& aInput, Request& aRequest) {
        if (!ReadBody(aSocket, aInput, aRequest)) {
          return false;
        }
        if (place >= kReplicasInTrouble) {
          arrivals.Add(aRequest.Id());
        }
        Sleep(kPrefillTime);
        aSocket.Send(replicas[place]->HeadText(aRequest) +
                     "Content-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n");
        return SendStream(aSocket,
                          place < kReplicasInTrouble ? hasTurnedBad : isNeverBad);
      }));
  }
  for (int i = 0; i < kDeskReplicas; ++i) {
    const auto place = replicas.size();
    replicas.push_back(std::make_unique<Replica>(
      store,
      "desk-" + std::to_string(i),
      "desk",
      kDeskSlots,
      [place](Socket& aSocket, std::string& aInput, Request& aRequest) {
        if (!ReadBody(aSocket, aInput, aRequest)) {
          return false;
        }
        Sleep(kDeskWork);
        return aSocket.Send(replicas[place]->HeadText(aRequest) +
                            "Content-Length: 5\r\n\r\nfound");
      }));
  }

  Entry entry(MakeFolder(), store.Address());
  entry.Start();
  if (!entry.WaitReady(10)) {
    record.Write("the entry isn't ready");
    return 2;
  }
  record.Write("the entry is ready");

  static std::atomic<bool> isOver{ false };
  Sleep(4);

  std::atomic<int> running{ 0 };
  std::thread traffic([&entry, &running]() {
    for (int i = 0; i < kStreams && !isOver; ++i) {
      Sleep(1 / kStreamsPerSecond);
      running += 1;
      std::thread([&entry, &running, i]() {
        Socket socket = Connect(entry.Address(), entry.Front());
        const std::string number = std::to_string(i);
        socket.Send(RequestText(
          "/lookup/x", "lookup-" + number, "X-Deadline-Ms: 3000\r\n"));
        const Answer lookup = ReadAnswer(socket, 4);
        const std::string id = "stream-" + number;
        if (lookup.mStatus == 200 && lookup.mIsComplete &&
            socket.Send(RequestText("/draft/x",
                                    id,
                                    "X-Model: m\r\nX-Token-Usage: 1110,160\r\n"
                                    "X-Prompt-Prefix: " +
                                      std::to_string(100'000 + i) +
                                      ":1110\r\nX-Deadline-Ms: 10000\r\n"))) {
          count.mStreamsSent += 1;
          const Answer answer = ReadAnswer(socket, 12);
          const bool hasFailed = !answer.mIsComplete;
          (hasFailed                ? count.mStreamsBroken
           : answer.mStatus == 200 ? count.mStreamsComplete
                                   : count.mStreamsRefused) += 1;
          if (hasFailed && arrivals.Has(id)) {
            (answer.mHead.empty() ? count.mUnanswered : count.mCut) += 1;
          }
        }
        running -= 1;
      }).detach();
    }
  });

  long mostKb = 0;
  bool isKilled = false;
  const double begin = Now();
  const double end = begin + 36;
  for (int i = 0; Now() < end && !isKilled; ++i) {
    Sleep(0.05);
    if (hasTrouble && !hasTurnedBad && Now() - begin > kTimeBeforeTrouble) {
      hasTurnedBad = true;
      record.Write(std::to_string(kReplicasInTrouble) + " of " +
                   std::to_string(kModelReplicas) +
                   " model replicas send bytes without end; streams running: " +
                   std::to_string(running));
    }
    const long memoryKb = entry.MemoryKb();
    mostKb = std::max(mostKb, memoryKb);
    if (i % 20 == 0) {
      record.Write("memory " + std::to_string(memoryKb / 1024) +
                   " MiB, streams sent " + std::to_string(count.mStreamsSent) +
                   ", streams complete " +
                   std::to_string(count.mStreamsComplete) + ", refused " +
                   std::to_string(count.mStreamsRefused) + ", broken " +
                   std::to_string(count.mStreamsBroken) );
    }
    if (entry.HasEnded()) {
      record.Write("the entry has ended by itself: " + entry.EndText());
      isKilled = true;
    } else if (memoryKb > kMemoryLimitKb) {
      record.Write("the entry takes " + std::to_string(memoryKb / 1024) +
                   " MiB, its limit is 260: the platform kills it");
      entry.Stop(SIGKILL);
      isKilled = true;
    }
    if (!isKilled && traffic.joinable() && i > 400 && running == 0) {
      break;
    }
  }
  isOver = true;
  traffic.join();
  entry.Stop(SIGKILL);
  for (int i = 0; i < 200 && running > 0; ++i) {
    Sleep(0.05);
  }
  record.Write("most memory " + std::to_string(mostKb / 1024) + " MiB");
  record.Write("streams sent " + std::to_string(count.mStreamsSent) +
               ", complete " + std::to_string(count.mStreamsComplete) +
               ", refused " + std::to_string(count.mStreamsRefused) +
               ", broken " + std::to_string(count.mStreamsBroken));
  record.Write("kept channels that were closed while a sound replica had the "
               "request: " +
               std::to_string(count.mUnanswered) +
               " without a byte of an answer, " + std::to_string(count.mCut) +
               " in the middle of it");
  constexpr int kMostLost = 3;
  const bool isBroken = isKilled && count.mUnanswered + count.mCut > kMostLost;
  record.Write(isBroken ? "LOST is broken" : "LOST held");
  std::_Exit(isBroken ? 1 : 0);
}
