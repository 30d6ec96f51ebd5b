#define BOOST_TEST_MODULE libmedlarkeelforward
#include <boost/test/unit_test.hpp>
