#include "decisionrecord.h"
#include "httpserver.h"
#include "nodestatus.h"

#include "../core/statusfixture.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <sys/wait.h>

namespace medlarkeel {

namespace {

struct Outcome
{
  int mExitCode = -1;
  std::string mOutput;
};

/** Runs the program; standard error goes to the output as well. */
Outcome
RunProgram(const std::string& aArguments)
{
  const std::string command = std::string(std::getenv("MEDLARKEEL_BIN")) +
                              "/medlarkeelctl " + aArguments + " 2>&1";
  Outcome outcome;
  FILE* pipe = popen(command.c_str(), "r"); // NOLINT(cert-env33-c)
  BOOST_REQUIRE(pipe != nullptr);
  std::array<char, 4096> buffer{};
  for (std::size_t length = fread(buffer.data(), 1, buffer.size(), pipe);
       length > 0;
       length = fread(buffer.data(), 1, buffer.size(), pipe)) {
    outcome.mOutput.append(buffer.data(), length);
  }
  const int status = pclose(pipe);
  outcome.mExitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return outcome;
}

std::string
Example(const std::string& aName)
{
  return std::string(std::getenv("MEDLARKEEL_SOURCE")) + "/examples/" + aName +
         ".json";
}

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

/** A node that answers to the paths which the program asks for. */
class AnsweringNode
{
public:
  explicit AnsweringNode(NodeStatus aStatus)
  {
    auto server = HttpServer::Start(
      HttpServerOptions(),
      [status = std::move(aStatus)](const HttpRequest& aRequest) {
        HttpResponse response;
        if (aRequest.mPath == "/status") {
          response.mBody = NodeStatusText(status);
        } else if (aRequest.mPath == "/decisions/request-1") {
          response.mBody = DecisionsText({ { 5, 2001, "chosen agent-1" } });
        } else {
          response.mBody = DecisionsText({});
        }
        return response;
      });
    BOOST_REQUIRE(server.has_value());
    mServer = std::move(server.value());
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mServer->Port());
  }

private:
  std::unique_ptr<HttpServer> mServer;
};

} // namespace

BOOST_AUTO_TEST_SUITE(medlarkeelctl)

BOOST_AUTO_TEST_CASE(CheckTellsRightFromWrong)
{
  BOOST_TEST(
    RunProgram("check " + Example("pregonero") + " " + Example("vatulele"))
      .mExitCode == 0);
  const Outcome wrong = RunProgram("check " + Example("none"));
  BOOST_TEST(wrong.mExitCode == 2);
  const Outcome settings =
    RunProgram("check --settings " + Example("pregonero"));
  BOOST_TEST(settings.mExitCode == 2);
  BOOST_TEST(Contains(settings.mOutput, "$.role: expected"));
}

BOOST_AUTO_TEST_CASE(DiffWarnsOfAVersionThatIsNotHigher)
{
  const Outcome outcome =
    RunProgram("diff " + Example("pregonero") + " " + Example("pregonero"));
  BOOST_TEST(outcome.mExitCode == 1);
  BOOST_TEST(Contains(outcome.mOutput, "warning: version 1 is not above 1"));
}

BOOST_AUTO_TEST_CASE(WrongUsageEndsWithTwo)
{
  for (const char* arguments : { "",
                                 "unheard",
                                 "check",
                                 "diff one",
                                 "status",
                                 "status --nodes localhost:80",
                                 "report --nodes 127.0.0.1:80 --format pdf",
                                 "explain a/b --nodes 127.0.0.1:80" }) {
    BOOST_TEST(RunProgram(arguments).mExitCode == 2);
  }
  BOOST_TEST(RunProgram("--help").mExitCode == 0);
  BOOST_TEST(RunProgram("version").mExitCode == 0);
}

BOOST_AUTO_TEST_CASE(ReportMergesTheNodes)
{
  const AnsweringNode first(EntryStatus("entry-1"));
  const AnsweringNode second(EntryStatus("entry-2"));
  const std::string nodes =
    " --nodes " + first.Address() + "," + second.Address();
  const Outcome report = RunProgram("report" + nodes);
  BOOST_TEST(report.mExitCode == 0);
  BOOST_TEST(Contains(report.mOutput, "Did it go well: yes"));
  BOOST_TEST(Contains(report.mOutput, "576 of 600 requests"));
  BOOST_TEST(
    Contains(RunProgram("report --format html" + nodes).mOutput, "<svg"));
  BOOST_TEST(RunProgram("status" + nodes).mExitCode == 0);
  BOOST_TEST(
    Contains(RunProgram("zones" + nodes).mOutput, "xela-a  in  on 2 nodes"));
  BOOST_TEST(Contains(RunProgram("explain request-1" + nodes).mOutput,
                      "2001  chosen agent-1"));
  BOOST_TEST(RunProgram("explain request-2" + nodes).mExitCode == 1);
}

BOOST_AUTO_TEST_CASE(ExplainReadsALogFile)
{
  const std::string path = "explain-log-test.txt";
  std::ofstream(path)
    << "entry-1 {\"time\":\"t1\",\"event\":405,\"name\":\"attempt\","
       "\"node\":\"entry-1\",\"request\":\"r-1\",\"server\":\"s-7\"}\n"
       "{\"event\":404,\"request\":\"r-12\"}\n"
       "not json about r-1\n"
       "{\"time\":\"t2\",\"event\":401,\"request\":\"r-1\",\"status\":502}\n";
  const Outcome found = RunProgram("explain r-1 --log " + path);
  BOOST_TEST(found.mExitCode == 0);
  BOOST_TEST(Contains(found.mOutput, "405 attempt  server=\"s-7\""));
  BOOST_TEST(Contains(found.mOutput, "status=502"));
  BOOST_TEST(!Contains(found.mOutput, "404"));
  BOOST_TEST(RunProgram("explain r-2 --log " + path).mExitCode == 1);
  BOOST_TEST(RunProgram("explain r-1 --log /no/such/file").mExitCode == 2);
  std::remove(path.c_str());
}

BOOST_AUTO_TEST_CASE(NodeWithoutAnswerIsNamed)
{
  const AnsweringNode node(EntryStatus("entry-1"));
  const std::string nodes =
    " --timeout 2 --nodes " + node.Address() + ",127.0.0.1:1";
  const Outcome report = RunProgram("report" + nodes);
  BOOST_TEST(report.mExitCode == 1);
  BOOST_TEST(Contains(report.mOutput, "Did it go well: not known"));
  BOOST_TEST(Contains(report.mOutput, "no status from 127.0.0.1:1"));
  BOOST_TEST(RunProgram("status" + nodes).mExitCode == 1);
}

BOOST_AUTO_TEST_CASE(ZoneOnWhichNodesDifferIsAFault)
{
  NodeStatus other = EntryStatus("entry-2");
  other.mZones[0].mState = ZoneState::Out;
  const AnsweringNode first(EntryStatus("entry-1"));
  const AnsweringNode second(other);
  const Outcome zones =
    RunProgram("zones --nodes " + first.Address() + "," + second.Address());
  BOOST_TEST(zones.mExitCode == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
