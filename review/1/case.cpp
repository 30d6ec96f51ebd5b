// A replica crashes in the middle of an event of streams that have no length.
#include "../standins/harness.h"

using namespace review;

namespace {

constexpr int kPieces = 8;
constexpr int kPiecesBeforeCrash = 4;
constexpr int kStreams = 2;

std::string
Piece(int aNumber)
{
  return "id: " + std::to_string(aNumber) + "\ndata: piece " +
         std::to_string(aNumber) + " of " + std::to_string(kPieces) + "\n\n";
}

/** The replica: a process of its own, so that its end is that of a process. */
[[noreturn]] void
RunReplica(int aToParent, bool aStopsMidway)
{
  HttpServer server(
    "127.0.0.1", 0, [&](int aChannel, const Request& aRequest) {
      if (AnswersMisdirected(aChannel, aRequest, "i-1")) {
        return true;
      }
      // The answer has no length and ends with its channel.
      SendAll(aChannel,
              "HTTP/1.1 200 OK\r\n" + StampFields("i-1", aRequest) +
                "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n");
      for (int i = 1; i <= kPieces; ++i) {
        if (aStopsMidway && i == kPiecesBeforeCrash + 1) {
          const std::string piece = Piece(i);
          SendAll(aChannel, piece.substr(0, piece.size() / 2));
          const char midway = 'm';
          (void)!write(aToParent, &midway, 1);
          SleepMs(60'000); // The process is killed here.
        }
        SendAll(aChannel, Piece(i));
        SleepMs(50);
      }
      return false;
    });
  const int port = server.Port();
  (void)!write(aToParent, &port, sizeof port);
  while (true) {
    SleepMs(60'000);
  }
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
  int port = 0;
  if (read(fromReplica[0], &port, sizeof port) != sizeof port) {
    return 2;
  }
  Record::Instance().Open(aArguments[1]);
  Note("trouble: %s", HasTrouble() ? "yes" : "no");
  int broken = 0;
  bool couldRun = false;
  {
    Store store;
    store.Put("op/config",
              ConfigText(1,
                         { { "/stream/", "streaming", "llm" },
                           { "/resume/", "streaming", "llm", 12'000, 300, 2, true } },
                         { { "llm", kEngineText } }));
    ReplicaEntry entry;
    entry.mId = "i-1";
    entry.mService = "llm";
    entry.mAddress = "127.0.0.1:" + std::to_string(port);
    Heartbeat heartbeat(store, entry);
    Entries entries(store.Address(), 1);
    couldRun = entries.StartAll();
    std::vector<Answer> answers(kStreams);
    std::vector<std::thread> clients;
    const char* const targets[kStreams] = { "/stream/1", "/resume/2" };
    for (int i = 0; couldRun && i < kStreams; ++i) {
      clients.emplace_back([&, i]() {
        const int channel = Connect(entries[0].mIp, entries[0].mCallers);
        const std::string id = NewRequestId();
        Note("client %d sends POST %s, id %s", i + 1, targets[i], id.c_str());
        SendAll(channel,
                RequestHead("POST", targets[i], id, 12'000, 2, kPromptFields) +
                  "{}");
        answers[static_cast<std::size_t>(i)] = ReadAnswer(channel, 12'000);
        close(channel);
      });
    }
    if (couldRun && HasTrouble()) {
      char midway = 0;
      for (int i = 0; i < kStreams; ++i) {
        (void)!read(fromReplica[0], &midway, 1);
      }
      SleepMs(200);
      Note("the replica has written %d pieces and half of the next one on each "
           "channel; it is killed (SIGKILL, process %d)",
           kPiecesBeforeCrash,
           replica);
      kill(replica, SIGKILL);
      waitpid(replica, nullptr, 0);
      heartbeat.Stop();
    }
    for (std::thread& client : clients) {
      client.join();
    }
    for (int i = 0; couldRun && i < kStreams; ++i) {
      const Answer& answer = answers[static_cast<std::size_t>(i)];
      const bool hasLast = answer.mBody.find(Piece(kPieces)) != std::string::npos;
      const bool isBroken =
        answer.mStatus == 200 && answer.mIsComplete && !hasLast;
      broken += isBroken ? 1 : 0;
      std::string end =
        answer.mBody.substr(answer.mBody.size() -
                            std::min<std::size_t>(answer.mBody.size(), 40));
      std::replace(end.begin(), end.end(), '\n', '|');
      Note("client %d (%s): status %d, transfer-encoding '%s', the answer %s, "
           "last piece %s, body ends with '%s'%s",
           i + 1,
           targets[i],
           answer.mStatus,
           answer.mHead.Field("transfer-encoding").c_str(),
           answer.mIsComplete ? "ends as complete" : "is cut",
           hasLast ? "there" : "missing",
           end.c_str(),
           isBroken ? "  <- ORDER, MIXED" : "");
    }
  }
  kill(replica, SIGKILL);
  waitpid(replica, nullptr, 0);
  Note("result: %s", !couldRun ? "couldn't run" : broken > 0 ? "broken" : "held");
  return !couldRun ? 2 : broken > 0 ? 1 : 0;
}
