#define BOOST_TEST_MODULE libmedlarkeelnet
#include <boost/test/unit_test.hpp>
