#include "forwarding/callerdescriptors.h"

#include <boost/test/unit_test.hpp>

namespace medlarkeel {

namespace {

/** @return How many connections of the address are taken. */
std::size_t
AddAll(CallerDescriptors& aDescriptors, const std::string& aAddress)
{
  std::size_t added = 0;
  while (aDescriptors.Add(aAddress, 0)) {
    added += 1;
  }
  return added;
}

} // namespace

BOOST_AUTO_TEST_SUITE(callerdescriptors)

// One address used all descriptors and kept every other caller out.
BOOST_AUTO_TEST_CASE(AddressesLeaveRoomForOthers)
{
  CallerDescriptorSettings settings;
  settings.mBound = 800;
  CallerDescriptors descriptors(settings);
  BOOST_TEST(AddAll(descriptors, "10.0.0.1") == 525U);
  BOOST_TEST(descriptors.IsFull("10.0.0.1"));
  BOOST_TEST(AddAll(descriptors, "10.0.0.2") == 175U);
  BOOST_TEST(!descriptors.IsFull("10.0.0.2"));
  BOOST_TEST(descriptors.Callers() == 700U);
  descriptors.Remove("10.0.0.1");
  BOOST_TEST(AddAll(descriptors, "10.0.0.3") == 1U);
}

BOOST_AUTO_TEST_CASE(ServersAndCallersShareTheBound)
{
  CallerDescriptorSettings settings;
  settings.mBound = 800;
  CallerDescriptors descriptors(settings);
  BOOST_TEST(descriptors.Add("10.0.0.1", 700));
  BOOST_TEST(!descriptors.Add("10.0.0.1", 799));
  BOOST_TEST(descriptors.MayOpen(798));
  BOOST_TEST(!descriptors.MayOpen(799));
}

BOOST_AUTO_TEST_CASE(BoundLeavesDescriptorsForFiles)
{
  BOOST_TEST(CallerDescriptorBound(4100) == 3852U);
  BOOST_TEST(CallerDescriptorBound(8192) == 7944U);
  BOOST_TEST(CallerDescriptorBound(100) > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
