/** Clients on kept channels pause their reading for a while, with small windows,
 * and then go on. */

#include "harness.h"

using namespace review;

namespace {

constexpr int kClients = 8;
/** As many pieces and bytes as the largest streams of the sheet. */
constexpr int kEvents = 200;
constexpr std::size_t kEventBytes = 270;
constexpr double kPrefillTime = 0.1;
constexpr double kPause = 2.5;
constexpr int kReceiveBuffer = 4096;

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
  const std::string begin = "id: " + std::to_string(aNumber) + "\ndata: ";
  return begin + std::string(kEventBytes - begin.size() - 2, 't') + "\n\n";
}

std::string
RequestText(const std::string& aPath,
            const std::string& aId,
            const std::string& aFields)
{
  return "POST " + aPath + " HTTP/1.1\r\nHost: host\r\nX-Request-Id: " + aId +
         "\r\nAuthorization: Token secret\r\nX-Deadline-Ms: 10000\r\n" + aFields +
         "Content-Length: 5\r\n\r\nhello";
}

struct Count
{
  std::atomic<int> mRunComplete{ 0 };
  std::atomic<int> mComplete{ 0 };
  std::atomic<int> mLost{ 0 };
};

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 2) {
    return 2;
  }
  static Record record(std::string(aArguments[1]) + "/record.txt");
  static Count count;
  static Store store;
  const bool hasTrouble = HasTrouble();

  Json document = Configuration();
  Json stream = Route("/draft/", "model", "streaming", 1, 10'000);
  stream["session-affinity"] = true;
  stream["target-gap-ms"] = 150;
  document["routes"] = { stream };
  document["services"] = { { { "name", "model" },
                             { "engine", Json::object() },
                             { "health-path", "/healthz" } } };
  store.Put("op/config", document);
  static std::vector<std::unique_ptr<Replica>> replicas;
  for (std::size_t i = 0; i < 2; ++i) {
    replicas.push_back(std::make_unique<Replica>(
      store,
      "model-" + std::to_string(i),
      "model",
      64,
      [i](Socket& aSocket, std::string& aInput, Request& aRequest) {
        if (!ReadBody(aSocket, aInput, aRequest)) {
          return false;
        }
        Sleep(kPrefillTime);
        aSocket.Send(replicas[i]->HeadText(aRequest) +
                     "Content-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n");
        for (int j = 1; j <= kEvents; ++j) {
          if (!aSocket.Send(ChunkText(EventText(j)))) {
            return false;
          }
          Sleep(0.005);
        }
        count.mRunComplete += 1;
        return aSocket.Send("0\r\n\r\n");
      }));
  }

  Entry entry(MakeFolder(), store.Address());
  entry.Start();
  if (!entry.WaitReady(10)) {
    record.Write("the entry isn't ready");
    return 2;
  }
  record.Write("the entry is ready");
  Sleep(4);

  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&entry, hasTrouble, i]() {
      Socket socket =
        Connect(entry.Address(), entry.Front(), kReceiveBuffer);
      for (int j = 0; j < 2; ++j) {
        const std::string id =
          "stream-" + std::to_string(i) + "-" + std::to_string(j);
        socket.Send(RequestText("/draft/x",
                                id,
                                "X-Model: m\r\nX-Token-Usage: 1110,200\r\n"
                                "X-Prompt-Prefix: " +
                                  std::to_string(100 + 10 * i + j) +
                                  ":1110\r\n"));
        if (hasTrouble && j > 0) {
          Sleep(kPause);
        }
        const Answer answer = ReadAnswer(socket, 12, 4096);
        record.Write(id + (j > 0 ? " on a kept channel" : "") + ": status " +
                     std::to_string(answer.mStatus) + ", " +
                     std::to_string(answer.mBody.size()) + " bytes, " +
                     (answer.mIsComplete ? "complete" : answer.mEnd));
        if (!answer.mIsComplete) {
          count.mLost += j;
          return;
        }
        count.mComplete += 1;
      }
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  record.Write(entry.HasEnded() ? "the entry has ended" : "the entry runs");
  entry.Stop(SIGKILL);
  record.Write("streams that the replicas have completed " +
               std::to_string(count.mRunComplete) + " of " +
               std::to_string(2 * kClients) + ", that clients got whole " +
               std::to_string(count.mComplete) +
               ", kept channels that were closed without the whole answer " +
               std::to_string(count.mLost));
  constexpr int kMostLost = 3;
  const bool isBroken = count.mLost > kMostLost;
  record.Write(isBroken ? "LOST is broken" : "LOST held");
  std::_Exit(isBroken ? 1 : 0);
}
