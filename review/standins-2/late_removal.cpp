/** A replica's entry is removed while the entry is cut off from the store; the
 * replica serves on for some seconds. */

#include "harness.h"

using namespace review;

namespace {

constexpr int kReplicas = 3;
constexpr int kSlots = 6;
constexpr double kRequestsPerSecond = 100;
constexpr double kContactTime = 3.0;
constexpr double kDrainTime = 2.0;
/** The cut ends as soon as a call has begun after this time. */
constexpr double kShortestCut = 4.2;
constexpr double kLongestCut = 5.5;
constexpr double kRemovalInCut = 4.0;
constexpr int kMostLate = 0;

/** Connects an entry with the store, and can cut it off. */
class Relay
{
public:
  explicit Relay(const std::string& aStore)
    : mStorePort(static_cast<std::uint16_t>(
        std::stoi(aStore.substr(aStore.find(':') + 1))))
    , mListener("127.0.0.1", [this](Socket& aSocket) { Serve(aSocket); })
  {
  }

  std::string Address() const { return mListener.Address(); }
  void SetCut(bool aIsCut) { mIsCut = aIsCut; }

  /** @return How many connections have begun. */
  int Connections() const { return mConnections; }

private:
  /** Connections that a cut has met carry nothing any more. */
  void Serve(Socket& aEntry)
  {
    const bool hasBegunInCut = mIsCut;
    mConnections += 1;
    Socket store = Connect("127.0.0.1", mStorePort);
    bool isDead = hasBegunInCut;
    while (true) {
      pollfd polls[2] = { { aEntry.Handle(), POLLIN, 0 },
                          { store.Handle(), POLLIN, 0 } };
      ::poll(polls, 2, 20);
      isDead = isDead || mIsCut;
      for (int i = 0; i < 2; ++i) {
        if (polls[i].revents == 0) {
          continue;
        }
        const Socket& from = i == 0 ? aEntry : store;
        const Socket& to = i == 0 ? store : aEntry;
        std::string bytes;
        if (from.Read(bytes, 0.001) <= 0) {
          return;
        }
        if (!isDead && !to.Send(bytes)) {
          return;
        }
      }
    }
  }

  std::uint16_t mStorePort;
  std::atomic<bool> mIsCut{ false };
  std::atomic<int> mConnections{ 0 };
  Listener mListener;
};

/** Times of sending by request. */
class Times
{
public:
  void Set(const std::string& aId, double aTime)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mTimes[aId] = aTime;
  }

  std::map<std::string, double> All()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mTimes;
  }

private:
  std::mutex mMutex;
  std::map<std::string, double> mTimes;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 2) {
    return 2;
  }
  static Record record(std::string(aArguments[1]) + "/record.txt");
  static Store store;
  static Relay relay(store.Address());
  static Times sent;
  static Times arrived;
  static std::atomic<int> answered{ 0 };
  static std::atomic<bool> isOver{ false };
  const bool hasTrouble = HasTrouble();

  Json document = Configuration();
  document["routes"] = { Route("/lookup/", "desk", "idempotent", 2, 3000) };
  document["services"] = { { { "name", "desk" }, { "health-path", "/healthz" } } };
  store.Put("op/config", document);
  static std::vector<std::unique_ptr<Replica>> replicas;
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
        if (i == 0) {
          arrived.Set(aRequest.Id(), Now());
        }
        Sleep(0.01);
        return aSocket.Send(replicas[i]->HeadText(aRequest) +
                            "Content-Length: 5\r\n\r\nfound");
      }));
  }

  static Entry entry(MakeFolder(), relay.Address());
  entry.Start();
  if (!entry.WaitReady(10)) {
    record.Write("the entry isn't ready");
    return 2;
  }
  record.Write("the entry is ready");
  std::vector<std::thread> clients;
  constexpr int kClients = 10;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([i]() {
      Socket socket = Connect(entry.Address(), entry.Front());
      for (int j = 0; !isOver; ++j) {
        const std::string id =
          "lookup-" + std::to_string(i) + "-" + std::to_string(j);
        sent.Set(id, Now());
        socket.Send("GET /lookup/x HTTP/1.1\r\nHost: host\r\nX-Request-Id: " +
                    id +
                    "\r\nAuthorization: Token secret\r\n"
                    "X-Deadline-Ms: 3000\r\n\r\n");
        answered += ReadAnswer(socket, 4).mStatus == 200 ? 1 : 0;
        Sleep(kClients / kRequestsPerSecond);
      }
    });
  }
  Sleep(5);

  const double cutAt = Now();
  if (hasTrouble) {
    relay.SetCut(true);
    record.Write("the entry is cut off from the store");
  }
  Sleep(kRemovalInCut);
  replicas[0]->Unlist();
  const double removedAt = Now();
  record.Write("the store has accepted the removal of desk-0, which serves on");
  double healedAt = 0;
  if (hasTrouble) {
    while (Now() < cutAt + kShortestCut) {
      Sleep(0.001);
    }
    const int before = relay.Connections();
    while (relay.Connections() == before && Now() < cutAt + kLongestCut - 0.05) {
      Sleep(0.001);
    }
    Sleep(0.01);
    relay.SetCut(false);
    healedAt = Now();
    record.Write("the cut has ended after " + std::to_string(healedAt - cutAt) +
                 " s");
  }
  Sleep(6);
  isOver = true;
  for (std::thread& client : clients) {
    client.join();
  }
  const bool hasEnded = entry.HasEnded();
  entry.Stop(SIGKILL);

  const double bound = std::max(
    removedAt + kDrainTime, hasTrouble ? healedAt + kContactTime : 0.0);
  const auto sentAt = sent.All();
  int late = 0;
  double last = 0;
  for (const auto& [id, time] : arrived.All()) {
    last = std::max(last, time);
    if (sentAt.at(id) > bound) {
      late += 1;
      if (late <= 5) {
        record.Write(id + ", sent at " + std::to_string(sentAt.at(id)) +
                     ", reached desk-0 at " + std::to_string(time));
      }
    }
  }
  record.Write("requests sent " + std::to_string(sentAt.size()) + ", answered " +
               std::to_string(answered) + "; the last one to desk-0 came " +
               std::to_string(last - removedAt) + " s after the removal");
  record.Write("sent later than " + std::to_string(bound) +
               " (in touch, and drain-ms after the removal) and run by desk-0: " +
               std::to_string(late));
  if (hasEnded) {
    record.Write("the entry has ended");
    std::_Exit(2);
  }
  const bool isBroken = late > kMostLate;
  record.Write(isBroken ? "DRAIN is broken" : "DRAIN held");
  std::_Exit(isBroken ? 1 : 0);
}
