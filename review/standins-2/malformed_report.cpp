/** A peer sends one report that lists a known entry in a form that can't be
 * read. Clients with bookings in progress see what becomes of the entries. */

#include "harness.h"

using namespace review;

namespace {

constexpr int kEntries = 3;
constexpr int kReplicas = 3;
constexpr int kSlots = 6;
constexpr int kClients = 12;
/** Clients of the first entry; the others share the rest. */
constexpr std::size_t kClientsOfFirst = 6;
constexpr double kWork = 0.25;

struct Count
{
  std::atomic<int> mSent{ 0 };
  std::atomic<int> mRun{ 0 };
  std::atomic<int> mAnswered{ 0 };
  std::atomic<int> mRefused{ 0 };
  std::atomic<int> mLost{ 0 };
};

/** An entry's place in the exchange of reports, without the rest of it. */
class Peer
{
public:
  Peer(const std::string& aIp, std::uint16_t aPort)
    : mIp(aIp)
    , mPort(aPort)
    , mSocket(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0))
  {
    const sockaddr_in own = AddressOf(aIp, aPort);
    if (::bind(mSocket.Handle(),
               reinterpret_cast<const sockaddr*>(&own),
               sizeof(own)) != 0) {
      std::perror("bind");
      std::exit(2);
    }
  }

  /** @return The newest report that has come; null if none has. */
  Json NewestReport()
  {
    std::vector<char> buffer(65'536);
    Json report;
    while (true) {
      const ssize_t size =
        ::recv(mSocket.Handle(), buffer.data(), buffer.size(), MSG_DONTWAIT);
      if (size <= 0) {
        return report;
      }
      report = Json::from_cbor(std::string(buffer.data(), size));
    }
  }

  void Send(const Json& aReport, const std::string& aTo) const
  {
    std::string bytes;
    Json::to_cbor(aReport, bytes);
    const sockaddr_in to = AddressOf(aTo, mPort);
    ::sendto(mSocket.Handle(),
             bytes.data(),
             bytes.size(),
             0,
             reinterpret_cast<const sockaddr*>(&to),
             sizeof(to));
  }

  const std::string& Ip() const { return mIp; }

private:
  std::string mIp;
  std::uint16_t mPort;
  Socket mSocket;
};

std::string
LastLine(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::string line;
  std::string last;
  while (std::getline(file, line)) {
    last = line;
  }
  return last.substr(0, 200);
}

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
  static std::atomic<bool> isOver{ false };

  Json document = Configuration();
  document["routes"] = { Route("/book/", "desk", "non_idempotent", 1, 3000) };
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
        count.mRun += 1;
        Sleep(kWork);
        return aSocket.Send(replicas[i]->HeadText(aRequest) +
                            "Content-Length: 6\r\n\r\nbooked");
      }));
  }

  const std::string folder = MakeFolder();
  const std::uint16_t port = FreePort(Entry::EntryAddress(1));
  Peer peer(OwnAddress(40), port);
  const std::vector<std::string> seeds{ Entry::EntryAddress(1), peer.Ip() };
  static std::vector<std::unique_ptr<Entry>> entries;
  for (int i = 1; i <= kEntries; ++i) {
    entries.push_back(
      std::make_unique<Entry>(folder, store.Address(), i, port, seeds));
    entries.back()->Start();
  }
  for (const auto& entry : entries) {
    if (!entry->WaitReady(10)) {
      record.Write("an entry isn't ready");
      return 2;
    }
  }
  record.Write("3 entries are ready");

  std::vector<std::thread> clients;
  for (std::size_t i = 0; i < kClients; ++i) {
    clients.emplace_back([i]() {
      const Entry& entry = *entries[i < kClientsOfFirst ? 0 : 1 + i % (kEntries - 1)];
      Socket socket = Connect(entry.Address(), entry.Front());
      for (int j = 0; !isOver; ++j) {
        const std::string id =
          "booking-" + std::to_string(i) + "-" + std::to_string(j);
        if (!socket.Send("POST /book/x HTTP/1.1\r\nHost: host\r\n"
                         "X-Request-Id: " +
                         id +
                         "\r\nAuthorization: Token secret\r\n"
                         "X-Deadline-Ms: 3000\r\nContent-Length: 5\r\n\r\n"
                         "hello")) {
          return;
        }
        count.mSent += 1;
        const Answer answer = ReadAnswer(socket, 5);
        if (!answer.mIsComplete) {
          count.mLost += j > 0 ? 1 : 0;
          record.Write(id + " got no answer: " + answer.mEnd);
          return;
        }
        (answer.mStatus == 200 ? count.mAnswered : count.mRefused) += 1;
        Sleep(0.02);
      }
    });
  }
  Sleep(4);
  Json report = peer.NewestReport();
  if (report.is_null()) {
    record.Write("no report has come from an entry");
    return 2;
  }
  const std::string target = entries.front()->Address();
  report["a"] = peer.Ip();
  report["k"] = Json::array();
  peer.Send(report, target);
  Sleep(2);
  if (HasTrouble()) {
    report["k"] = { OwnAddress(41) + ":" + std::to_string(port) };
  } else {
    report["k"] = { OwnAddress(41) };
  }
  report["s"] = report["s"].get<std::uint64_t>() + 1;
  peer.Send(report, target);
  record.Write("the peer has sent one report to entry 1 that lists " +
               report["k"].dump());
  Sleep(6);
  isOver = true;
  for (std::thread& client : clients) {
    client.join();
  }
  int ended = 0;
  for (const auto& entry : entries) {
    if (entry->HasEnded()) {
      ended += 1;
      record.Write("the entry at " + entry->Address() + " has ended by itself: " +
                   entry->EndText() + "; its last line: " +
                   LastLine(entry->LogPath()));
    }
    entry->Stop(SIGKILL);
  }
  record.Write("entries ended: " + std::to_string(ended) + " of " +
               std::to_string(kEntries));
  record.Write("bookings sent " + std::to_string(count.mSent) + ", run " +
               std::to_string(count.mRun) + ", answered " +
               std::to_string(count.mAnswered) + ", refused " +
               std::to_string(count.mRefused) +
               ", kept channels closed without an answer " +
               std::to_string(count.mLost));
  constexpr int kMostLost = 3;
  const bool isBroken = ended > 0 && count.mLost > kMostLost;
  record.Write(isBroken ? "LOST is broken" : "LOST held");
  std::_Exit(isBroken ? 1 : 0);
}
