// A replica crashes in the middle of an event of streams that have no length.
#include "../standins/harness.h"

using namespace review;

namespace {

constexpr int kPieces = 8;
constexpr int kPiecesBeforeCrash = 4;
constexpr int kReplicas = 4; // one of them is killed: a share of 0.25
constexpr int kStreams = 24;

std::string
Piece(int aNumber)
{
  return "id: " + std::to_string(aNumber) + "\ndata: piece " +
         std::to_string(aNumber) + " of " + std::to_string(kPieces) + "\n\n";
}

/** Streams the pieces in an answer that has no length and ends with its
 * channel. */
bool
Stream(int aChannel,
       const Request& aRequest,
       const std::string& aId,
       bool aStopsMidway)
{
  if (AnswersMisdirected(aChannel, aRequest, aId)) {
    return true;
  }
  SendAll(aChannel,
          "HTTP/1.1 200 OK\r\n" + StampFields(aId, aRequest) +
            "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n");
  const int first = std::atoi(aRequest.mHead.Field("last-event-id").c_str()) + 1;
  for (int i = first; i <= kPieces; ++i) {
    if (aStopsMidway && i == kPiecesBeforeCrash + 1) {
      const std::string piece = Piece(i);
      SendAll(aChannel, piece.substr(0, piece.size() / 2));
      SleepMs(60'000); // The process is killed here.
    }
    SendAll(aChannel, Piece(i));
    SleepMs(50);
  }
  return false;
}

/** The replica i-1: a process of its own, so that its end is that of a
 * process. */
[[noreturn]] void
RunReplica(int aToParent, bool aStopsMidway)
{
  HttpServer server(
    "127.0.0.1", 0, [&](int aChannel, const Request& aRequest) {
      return Stream(aChannel, aRequest, "i-1", aStopsMidway);
    });
  const int port = server.Port();
  (void)!write(aToParent, &port, sizeof port);
  while (true) {
    SleepMs(60'000);
  }
}

/** Head fields of a prompt; each request has its own parts, so that the
 * requests are spread over the replicas. */
std::string
PromptFields()
{
  return "X-Model: m\r\nX-Token-Usage: 1050,80\r\nX-Prompt-Prefix: " +
         NewRequestId().substr(0, 8) + ":800," + NewRequestId().substr(0, 8) +
         ":250\r\n";
}

} // namespace

int
main(int, char** aArguments)
{
  int fromReplica[2];
  if (pipe2(fromReplica, O_CLOEXEC) != 0) {
    return 2;
  }
  const pid_t replica = ForkChild();
  if (replica == 0) {
    RunReplica(fromReplica[1], HasTrouble());
  }
  close(fromReplica[1]);
  int port = 0;
  if (read(fromReplica[0], &port, sizeof port) != sizeof port) {
    return 2;
  }
  Record::Instance().Open(aArguments[1]);
  Note("trouble: %s", HasTrouble() ? "yes" : "no");
  int broken = 0;
  int whole = 0;
  bool couldRun = false;
  {
    Store store;
    store.Put("op/config",
              ConfigText(1,
                         { { "/stream/", "streaming", "llm" },
                           { "/resume/", "streaming", "llm", 12'000, 300, 2, true } },
                         { { "llm", kEngineText } }));
    std::vector<std::unique_ptr<HttpServer>> servers;
    std::vector<std::unique_ptr<Heartbeat>> heartbeats;
    for (int i = 1; i <= kReplicas; ++i) {
      const std::string id = "i-" + std::to_string(i);
      if (i > 1) {
        servers.push_back(std::make_unique<HttpServer>(
          "127.0.0.1", 0, [id](int aChannel, const Request& aRequest) {
            return Stream(aChannel, aRequest, id, false);
          }));
      }
      ReplicaEntry entry;
      entry.mId = id;
      entry.mService = "llm";
      entry.mAddress =
        "127.0.0.1:" + std::to_string(i == 1 ? port : servers.back()->Port());
      heartbeats.push_back(std::make_unique<Heartbeat>(store, entry));
    }
    Entries entries(store.Address(), 1);
    couldRun = entries.StartAll();
    SleepMs(couldRun ? 4000 : 0);
    std::vector<Answer> answers(kStreams);
    std::vector<std::thread> clients;
    const auto target = [](int aNumber) {
      return (aNumber % 2 == 0 ? "/stream/" : "/resume/") +
             std::to_string(aNumber);
    };
    for (int i = 0; couldRun && i < kStreams; ++i) {
      clients.emplace_back([&, i]() {
        const int channel = Connect(entries[0].mIp, entries[0].mCallers);
        const std::string id = NewRequestId();
        Note("client sends POST %s, id %s", target(i).c_str(), id.c_str());
        SendAll(channel,
                RequestHead("POST", target(i), id, 12'000, 2, PromptFields()) +
                  "{}");
        answers[static_cast<std::size_t>(i)] = ReadAnswer(channel, 12'000);
        close(channel);
      });
      SleepMs(5);
    }
    if (couldRun && HasTrouble()) {
      SleepMs(1000);
      Note("i-1 has written %d pieces and half of the next one on each of its "
           "channels; it is killed (SIGKILL, process %d)",
           kPiecesBeforeCrash,
           replica);
      kill(replica, SIGKILL);
      waitpid(replica, nullptr, 0);
      heartbeats.front()->Stop();
    }
    for (std::thread& client : clients) {
      client.join();
    }
    for (int i = 0; couldRun && i < kStreams; ++i) {
      const Answer& answer = answers[static_cast<std::size_t>(i)];
      const std::string stamp = answer.mHead.Field("x-response-stamp");
      const bool hasLast = answer.mBody.find(Piece(kPieces)) != std::string::npos;
      const bool isBroken =
        answer.mStatus == 200 && answer.mIsComplete && !hasLast;
      broken += isBroken ? 1 : 0;
      whole += answer.mIsComplete && hasLast ? 1 : 0;
      std::string end =
        answer.mBody.substr(answer.mBody.size() -
                            std::min<std::size_t>(answer.mBody.size(), 40));
      std::replace(end.begin(), end.end(), '\n', '|');
      Note("%s: status %d, stamp %s, the answer %s, last piece %s, body ends "
           "with '%s'%s",
           target(i).c_str(),
           answer.mStatus,
           stamp.c_str(),
           answer.mIsComplete ? "ends as complete" : "is cut",
           hasLast ? "there" : "missing",
           end.c_str(),
           isBroken ? "  <- ORDER, MIXED" : "");
    }
  }
  if (!HasTrouble()) {
    kill(replica, SIGKILL);
    waitpid(replica, nullptr, 0);
    couldRun = couldRun && (broken > 0 || whole == kStreams);
  }
  couldRun = couldRun && whole > 0;
  Note("%d of %d streams are whole, %d are cut and look complete; result: %s",
       whole,
       kStreams,
       broken,
       !couldRun ? "couldn't run" : broken > 0 ? "broken" : "held");
  return !couldRun ? 2 : broken > 0 ? 1 : 0;
}
