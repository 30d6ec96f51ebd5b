#include "loopbackplatform.h"

#include <boost/test/unit_test.hpp>

namespace medlarkeel {

namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

/** Names of teams that no header field carries. */
const std::vector<std::string> kUnusableNames = {
  "", "team ", " team", "te\tam", "te\nam", std::string("te\0am", 5), "te\x7f"
};

/** Key of the team that can't be named. */
const char* const kKey = "c81d0f52";

std::string
KeyField(const std::string& aKey)
{
  return "Authorization: Token " + aKey + "\r\n";
}

/** An entry whose document has an unusable part, and a backend server. */
class PlatformWithDocument
{
public:
  /**
   * @param aList List of the document that gets the part.
   * @param aPart The part.
   */
  PlatformWithDocument(const char* aList, const Json& aPart)
  {
    mPlatform.AddDesk("desk-1");
    mPlatform.Document()[aList].push_back(aPart);
    mPlatform.PublishDocument();
    mEntry = &mPlatform.StartEntry();
  }

  LoopbackPlatform& Platform() { return mPlatform; }
  EntryProcess& Entry() { return *mEntry; }

  int StatusOf(const std::string& aPath, const std::string& aKey = "secret")
  {
    return Call(aPath, aKey).Status();
  }

  SeenAnswer Call(const std::string& aPath, const std::string& aKey)
  {
    mRequest = "r-" + std::to_string(++mCalls);
    return LoopbackPlatform::Call(*mEntry, mRequest, aPath, KeyField(aKey));
  }

  /** @return Whether a backend server got the request called last. */
  bool HasArrived() const { return !mPlatform.Arrivals(mRequest).empty(); }

private:
  LoopbackPlatform mPlatform;
  EntryProcess* mEntry = nullptr;
  std::string mRequest;
  int mCalls = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(documentparts)

/** Guards against entries that are never ready after a restart, because no
 * header field carries the name of one team of the document. */
BOOST_AUTO_TEST_CASE(EntriesStartWhileATeamCannotBeNamed)
{
  for (const std::string& name : kUnusableNames) {
    BOOST_TEST_CONTEXT("team " << Json(name))
    {
      PlatformWithDocument fixture(
        "tenants", { { "name", name }, { "api-keys", { kKey } } });
      BOOST_TEST(LoopbackPlatform::WaitReady(fixture.Entry()));
      fixture.Platform().Restart(fixture.Entry());
      BOOST_TEST(LoopbackPlatform::WaitReady(fixture.Entry()));
      BOOST_TEST(fixture.StatusOf("/again/a") == kOk);
      BOOST_TEST(fixture.StatusOf("/again/a", "second") == kOk);
      BOOST_TEST(fixture.StatusOf("/again/a", "unknown") == kUnauthorized);
      const SeenAnswer refusal = fixture.Call("/again/a", kKey);
      BOOST_TEST(refusal.Status() == kUnavailable);
      BOOST_TEST(!refusal.Field("Retry-After").empty());
      BOOST_TEST(!fixture.HasArrived());
      const std::string log = fixture.Entry().mProcess->Log();
      BOOST_TEST(log.find("\"name\":\"item-unreadable\"") != std::string::npos);
      BOOST_TEST(log.find(kKey) == std::string::npos, "a key is logged");
    }
  }
}

/** Guards against routes that aren't in force, because the same document adds a
 * team that can't be named. */
BOOST_AUTO_TEST_CASE(RouteIsServedWhileATeamCannotBeNamed)
{
  LoopbackPlatform platform;
  platform.AddDesk("desk-1");
  const EntryProcess& entry = platform.StartEntry();
  BOOST_REQUIRE(LoopbackPlatform::WaitReady(entry));
  Json& document = platform.Document();
  Json route = document["routes"][1];
  route["path-prefix"] = "/added/";
  document["routes"].push_back(route);
  document["tenants"].push_back(
    { { "name", "team " }, { "api-keys", { kKey } } });
  platform.PublishDocument();
  const bool isServed = WaitUntil(std::chrono::seconds(5), [&]() {
    return LoopbackPlatform::Call(entry, "r-1", "/added/a").Status() == kOk;
  });
  BOOST_TEST(isServed, entry.mProcess->Log());
}

/** Guards against a document that isn't taken because of one of its routes, and
 * against a shorter prefix that takes over the requests of that route. */
BOOST_AUTO_TEST_CASE(UnusableRouteLeavesTheOthers)
{
  const Json route{ { "name", "odd" },        { "host", "host" },
                    { "kind", "idempotent" }, { "path-prefix", "/again/odd/" },
                    { "service", "desk" },    { "timeout-ms", 3000 },
                    { "public", true },       { "target-latency-ms", 300 } };
  for (const char* const field :
       { "kind", "service", "timeout-ms", "target-latency-ms" }) {
    for (const bool isMissing : { true, false }) {
      BOOST_TEST_CONTEXT(field << " missing " << isMissing)
      {
        Json odd = route;
        odd[field] = Json::array({ 1 });
        if (isMissing) {
          odd.erase(field);
        }
        PlatformWithDocument fixture("routes", odd);
        BOOST_TEST(LoopbackPlatform::WaitReady(fixture.Entry()));
        BOOST_TEST(fixture.StatusOf("/again/a") == kOk);
        const SeenAnswer refusal = fixture.Call("/again/odd/a", "unknown");
        BOOST_TEST(refusal.Status() == kUnavailable);
        BOOST_TEST(!refusal.Field("Retry-After").empty());
        BOOST_TEST(!fixture.HasArrived());
      }
    }
  }
}

/** Guards against a document that isn't taken because of a route that no
 * request can match. */
BOOST_AUTO_TEST_CASE(RouteWithoutHostOrPrefixLeavesTheOthers)
{
  for (const Json& odd :
       { Json(),
         Json(7),
         Json::object(),
         Json{ { "host", 7 }, { "path-prefix", "/odd/" } },
         Json{ { "host", "host" }, { "path-prefix", Json::array() } } }) {
    BOOST_TEST_CONTEXT(odd)
    {
      PlatformWithDocument fixture("routes", odd);
      BOOST_TEST(LoopbackPlatform::WaitReady(fixture.Entry()));
      BOOST_TEST(fixture.StatusOf("/again/a") == kOk);
      BOOST_TEST(fixture.StatusOf("/odd/a") == kNotFound);
    }
  }
}

/** Guards against a document that isn't taken because of one of its services,
 * and against requests to that service. */
BOOST_AUTO_TEST_CASE(UnusableServiceLeavesTheOthers)
{
  for (const Json& odd : { Json(),
                           Json("model"),
                           Json{ { "name", 7 } },
                           Json{ { "name", "odd" }, { "cold-per-s", "x" } } }) {
    BOOST_TEST_CONTEXT(odd)
    {
      PlatformWithDocument fixture("services", odd);
      Json& routes = fixture.Platform().Document()["routes"];
      Json route = routes[1];
      route["path-prefix"] = "/odd/";
      route["service"] = "odd";
      routes.push_back(route);
      fixture.Platform().PublishDocument();
      BOOST_TEST(LoopbackPlatform::WaitReady(fixture.Entry()));
      fixture.Platform().Restart(fixture.Entry());
      BOOST_TEST(LoopbackPlatform::WaitReady(fixture.Entry()));
      BOOST_TEST(fixture.StatusOf("/again/a") == kOk);
      BOOST_TEST(fixture.StatusOf("/odd/a") == kUnavailable);
    }
  }
}

/** Guards against a document that isn't taken, or against connections that are
 * closed at once, because of one of the limits. */
BOOST_AUTO_TEST_CASE(UnusableLimitLeavesTheDocument)
{
  for (const char* const name : { "max-header-bytes",
                                  "max-body-bytes",
                                  "header-timeout-ms",
                                  "idle-timeout-ms" }) {
    for (const Json& value : { Json("x"), Json(), Json::array(), Json(-1) }) {
      BOOST_TEST_CONTEXT(name << " " << value)
      {
        LoopbackPlatform platform;
        platform.AddDesk("desk-1");
        platform.Document()["limits"][name] = value;
        platform.PublishDocument();
        const EntryProcess& entry = platform.StartEntry();
        BOOST_TEST(LoopbackPlatform::WaitReady(entry));
        const SeenAnswer answer =
          LoopbackPlatform::Call(entry, "r-1", "/again/a", "", "body");
        BOOST_TEST(answer.Status() == kOk);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
