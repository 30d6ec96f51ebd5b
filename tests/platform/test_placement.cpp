#include "loopbackplatform.h"

#include <boost/test/unit_test.hpp>

#include <sys/wait.h>

namespace medlarkeel {

namespace {

using Json = nlohmann::json;

struct Outcome
{
  int mExitCode = -1;
  /** Standard output and standard error. */
  std::string mOutput;
};

/** A platform with two model servers, a plain one and an entry. */
struct PlacementPlatform : LoopbackPlatform
{
  PlacementPlatform()
  {
    AddDesk("desk-1");
    AddModel("model-1");
    AddModel("model-2");
    mEntry = &StartEntry();
    BOOST_REQUIRE_MESSAGE(WaitReady(*mEntry), mEntry->mProcess->Log());
  }

  std::string Node() const
  {
    return mEntry->mAddress + ":" + std::to_string(mEntry->mStatus);
  }

  Outcome Placement(const std::string& aNodes,
                    std::vector<std::string> aArguments) const
  {
    aArguments.insert(aArguments.begin(),
                      { "placement", "--nodes=" + aNodes, "--timeout=2" });
    const std::filesystem::path log = Folder() / "placement.log";
    std::filesystem::remove(log); // Programs append to their logs.
    ChildProcess command(ProgramPath("medlarkeelctl"), aArguments, log);
    const auto status = command.WaitForEnd(std::chrono::seconds(10));
    const bool hasEnded = status && WIFEXITED(*status);
    return { hasEnded ? WEXITSTATUS(*status) : -1, command.Log() };
  }

  EntryProcess* mEntry = nullptr;
};

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(placement)

// Guards against explanations that differ from what the entry then does.
BOOST_FIXTURE_TEST_CASE(ExplainedServerGetsTheRequest, PlacementPlatform)
{
  for (int i = 0; i < 10; ++i) {
    const std::string id = "r-" + std::to_string(i);
    const std::string parts = std::to_string(10 + i) + ":8000,b:1000";
    const Outcome outcome = Placement(Node(),
                                      { "/stream/a",
                                        "--team=team-1",
                                        "--prompt=" + parts,
                                        "--usage=9000,50",
                                        "--format=json" });
    BOOST_REQUIRE_MESSAGE(outcome.mExitCode == 0, outcome.mOutput);
    const Json answer = Json::parse(outcome.mOutput).at(0).at("answer");
    BOOST_TEST(answer.at("pool") == "model");
    BOOST_TEST(answer.at("servers").size() == 2U);
    BOOST_TEST(answer.at("shortPrompt") == false);
    Call(*mEntry,
         id,
         "/stream/a",
         "X-Token-Usage: 9000,50\r\nX-Prompt-Prefix: " + parts + "\r\n");
    const auto arrivals = Arrivals(id);
    BOOST_REQUIRE(arrivals.size() == 1U);
    BOOST_TEST(FieldOf(arrivals[0].mHead, "X-Expect-Instance") ==
               answer.at("chosen").get<std::string>());
  }
  const Outcome text = Placement(
    Node(), { "/stream/a", "--prompt=12:8000,c:1000", "--usage=9000,50" });
  BOOST_TEST_MESSAGE(text.mOutput);
  BOOST_TEST(text.mExitCode == 0);
  BOOST_TEST(Contains(text.mOutput, "chosen: model-"));
  BOOST_TEST(Contains(text.mOutput, "admission: admitted"));
}

// Guards against a limit on the head that is lower than that on the query.
BOOST_FIXTURE_TEST_CASE(LongPromptsAreExplained, PlacementPlatform)
{
  constexpr int kParts = 1900;
  std::string parts;
  for (int i = 0; i < kParts; ++i) {
    parts += "a:1,"; // 8 bytes in the query.
  }
  const Outcome outcome =
    Placement(Node(), { "/stream/a", "--prompt=" + parts, "--usage=9000,50" });
  BOOST_TEST(outcome.mExitCode == 0, outcome.mOutput);
}

// Guards against exit codes and messages that hide why there is no answer.
BOOST_FIXTURE_TEST_CASE(ProblemsAreNamed, PlacementPlatform)
{
  constexpr int kNoAnswer = 1;
  constexpr int kInvalid = 2;
  const Endpoint& store = Store().Address();
  const std::string other = store.mAddress + ":" + std::to_string(store.mPort);
  const Outcome partial =
    Placement(other + "," + mEntry->mAddress + ":9," + Node(), { "/once/a" });
  BOOST_TEST(partial.mExitCode == kNoAnswer);
  BOOST_TEST(
    Contains(partial.mOutput, other + ": the node can't explain placements"));
  BOOST_TEST(Contains(partial.mOutput, mEntry->mAddress + ":9: no answer"));
  BOOST_TEST(Contains(partial.mOutput, "the less busy of two random servers"));
  BOOST_TEST(Contains(partial.mOutput, "desk-1"));
  for (const std::vector<std::string>& arguments :
       std::vector<std::vector<std::string>>{
         { "/none/a" },
         { "/once/a", "--team=none" },
         { "/stream/a", "--usage=many" },
         { "/stream/a", "--usage=1,2", "--prompt=x:y" },
         { "/stream/a", "--usage=1,2", "--prompt=" + std::string(17'000, '1') },
         { "/stream/a", "--format=html" } }) {
    const Outcome outcome = Placement(Node(), arguments);
    BOOST_TEST(outcome.mExitCode == kInvalid, outcome.mOutput);
    BOOST_TEST(!outcome.mOutput.empty());
  }
}

// Guards against explanations from an entry without a document.
BOOST_FIXTURE_TEST_CASE(EntryWithoutDocumentExplainsNothing, LoopbackPlatform)
{
  constexpr int kUnavailable = 503;
  Store().SetTrouble(StoreTrouble::Silent);
  const EntryProcess& entry = StartEntry();
  BOOST_REQUIRE(WaitUntil(std::chrono::seconds(10), [&]() {
    return ReadinessOf(entry) == kUnavailable;
  }));
  Caller caller(entry.mStatus, entry.mAddress.c_str());
  caller.Send("GET /placement?path=/once/a HTTP/1.1\r\nHost: a\r\n\r\n");
  const SeenAnswer answer = caller.Read();
  BOOST_TEST(answer.Status() == kUnavailable);
  BOOST_TEST(Json::parse(answer.mBody).contains("error"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
