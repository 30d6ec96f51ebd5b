/** Clients with several requests on their way over kept channels meet a planned
 * stop of the entry. */

#include "harness.h"

#include <set>

using namespace review;

namespace {

constexpr std::size_t kReplicas = 3;
constexpr int kSlots = 6;
constexpr int kClients = 8;
/** Requests that a client sends before it reads their answers. */
constexpr int kRequests = 3;
constexpr double kWork = 0.4;
constexpr double kTimeBeforeStop = 0.2;
constexpr double kLossSlack = 0.2;

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

std::string
RequestText(const std::string& aId)
{
  return "GET /lookup/x HTTP/1.1\r\nHost: host\r\nX-Request-Id: " + aId +
         "\r\nAuthorization: Token secret\r\nX-Deadline-Ms: 3000\r\n\r\n";
}

/** What a client has got on its channel. */
struct Seen
{
  std::string mBytes;
  /** Time from the last byte of the requests to the end of the channel. */
  double mEndedAfter = 0;
  bool mHasEnded = false;
};

/** Reads until all answers are there or the channel has ended. */
Seen
ReadAll(const Socket& aSocket, const std::string& aLastId, double aSentAt)
{
  Seen seen;
  const std::string last = "answer to " + aLastId + ".";
  while (seen.mBytes.find(last) == std::string::npos) {
    if (aSocket.Read(seen.mBytes, 5) <= 0) {
      seen.mHasEnded = true;
      break;
    }
  }
  seen.mEndedAfter = Now() - aSentAt;
  return seen;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 2) {
    return 2;
  }
  static Record record(std::string(aArguments[1]) + "/record.txt");
  static Store store;
  static Arrivals arrivals;
  static std::vector<std::unique_ptr<Replica>> replicas;
  const bool hasTrouble = HasTrouble();

  Json document = Configuration();
  document["routes"] = { Route("/lookup/", "desk", "idempotent", 2, 3000) };
  document["services"] = { { { "name", "desk" }, { "health-path", "/healthz" } } };
  store.Put("op/config", document);
  for (std::size_t i = 0; i < kReplicas; ++i) {
    replicas.push_back(std::make_unique<Replica>(
      store,
      "desk-" + std::to_string(i),
      "desk",
      kSlots,
      [i](Socket& aSocket, std::string& aInput, Request& aRequest) {
        if (!ReadBody(aSocket, aInput, aRequest)) {
          return false;
        }
        arrivals.Add(aRequest.Id());
        Sleep(kWork);
        const std::string body = "answer to " + aRequest.Id() + ".";
        return aSocket.Send(replicas[i]->HeadText(aRequest) + "Content-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n" + body);
      }));
  }

  static Entry entry(MakeFolder(), store.Address());
  entry.Start();
  if (!entry.WaitReady(10)) {
    record.Write("the entry isn't ready");
    return 2;
  }
  record.Write("the entry is ready");
  Sleep(4);

  static std::atomic<int> answered{ 0 };
  static std::atomic<int> lost{ 0 };
  static std::atomic<int> prepared{ 0 };
  static std::atomic<bool> mayBegin{ false };
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([i]() {
      const std::string prefix = "lookup-" + std::to_string(i) + "-";
      Socket socket = Connect(entry.Address(), entry.Front());
      socket.Send(RequestText(prefix + "first"));
      const bool isKept = ReadAnswer(socket, 4).mStatus == 200;
      prepared += isKept ? 1 : 0;
      while (!mayBegin) {
        Sleep(0.001);
      }
      std::string requests;
      for (int j = 0; j < kRequests; ++j) {
        requests += RequestText(prefix + std::to_string(j));
      }
      socket.Send(requests);
      const Seen seen = ReadAll(
        socket, prefix + std::to_string(kRequests - 1), Now());
      for (int j = 0; j < kRequests; ++j) {
        const std::string id = prefix + std::to_string(j);
        const bool isAnswered =
          seen.mBytes.find("X-Request-Id: " + id + "\r\n") != std::string::npos;
        const bool isLost =
          !isAnswered && seen.mHasEnded && seen.mEndedAfter > kLossSlack;
        answered += isAnswered ? 1 : 0;
        lost += isLost ? 1 : 0;
        if (isLost) {
          record.Write(id + (arrivals.Has(id) ? ", passed on," : ", not passed on,") +
                       " got no answer; its channel ended " +
                       std::to_string(seen.mEndedAfter) +
                       " s after its last byte was sent");
        }
      }
    });
  }
  const double end = Now() + 5;
  while (prepared < kClients && Now() < end) {
    Sleep(0.01);
  }
  if (prepared < kClients) {
    record.Write("a client has no kept channel");
    return 2;
  }
  mayBegin = true;
  Sleep(kTimeBeforeStop);
  if (hasTrouble) {
    entry.Signal(SIGTERM);
    record.Write("the entry has got SIGTERM");
  }
  for (std::thread& client : clients) {
    client.join();
  }
  entry.Stop(SIGKILL);
  record.Write("requests sent " + std::to_string(kClients * kRequests) +
               ", answered " + std::to_string(answered) +
               ", channel ended without an answer " + std::to_string(lost));
  const bool isBroken = lost > 0;
  record.Write(isBroken ? "LOST is broken" : "LOST held");
  std::_Exit(isBroken ? 1 : 0);
}
