#include "schedulerworld.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <cstdint>
#include <string>
#include <vector>

namespace medlarkeel {

namespace {

ServiceClass
MakeClass(const std::string& aName, int aTier, double aFloor)
{
  ServiceClass serviceClass;
  serviceClass.mName = ClassName(aName);
  serviceClass.mTier = TierRank{ aTier };
  serviceClass.mFloorShare = aFloor;
  return serviceClass;
}

SchedulerWorld::Settings
MakeSettings(double aFirstFloor, double aSecondFloor)
{
  SchedulerWorld::Settings settings;
  settings.mClasses = { MakeClass("confirmation", 0, 0.0),
                        MakeClass("draft", 1, 0.0),
                        MakeClass("lookup", 1, aFirstFloor),
                        MakeClass("review", 2, aSecondFloor) };
  return settings;
}

/** @return Whether no schedule of the settings shows a fault. */
bool
Holds(const std::string& aName, const SchedulerWorld::Settings& aSettings)
{
  return rc::check(aName, [&aSettings](std::uint64_t aSeed) {
    SchedulerWorld world(aSeed, aSettings);
    const std::string fault = world.Run(400);
    RC_ASSERT(fault == std::string());
  });
}

} // namespace

BOOST_AUTO_TEST_SUITE(schedulerproperties)

BOOST_AUTO_TEST_CASE(ServesLikeASortedListUnderFaults)
{
  BOOST_TEST(Holds("without floors", MakeSettings(0.0, 0.0)));
}

BOOST_AUTO_TEST_CASE(KeepsTheFloorBoundUnderFaults)
{
  BOOST_TEST(Holds("with floors", MakeSettings(0.1, 0.2)));
}

BOOST_AUTO_TEST_CASE(KeepsItsRulesWithDeadlines)
{
  SchedulerWorld::Settings settings = MakeSettings(0.1, 0.2);
  settings.mDeadlines = 60;
  BOOST_TEST(Holds("with deadlines", settings));
}

BOOST_AUTO_TEST_CASE(ServesLateWorkOfATierLast)
{
  SchedulerWorld::Settings settings = MakeSettings(0.1, 0.2);
  settings.mDeadlines = 80;
  for (ServiceClass& serviceClass : settings.mClasses) {
    serviceClass.mFirstByteTarget = Milliseconds(600);
  }
  BOOST_TEST(Holds("with targets", settings));
}

BOOST_AUTO_TEST_CASE(TheSchedulesReachEveryKindOfDecision)
{
  SchedulerWorld::Settings settings = MakeSettings(0.1, 0.2);
  settings.mDeadlines = 40;
  SchedulerWorld world(1, settings);
  BOOST_TEST(world.Run(6000) == "");
  for (const std::string event : { "grant",
                                   "floor grant",
                                   "cut",
                                   "shed",
                                   "overloaded",
                                   "deadline-unreachable",
                                   "grant-expired",
                                   "key-withdrawn",
                                   "zone-out",
                                   "backend-failed" }) {
    BOOST_TEST_MESSAGE(event << ": " << world.Count(event));
    BOOST_TEST(world.Count(event) > 0, event << " was never seen");
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
