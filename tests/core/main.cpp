#define BOOST_TEST_MODULE libmedlarkeel
#include <boost/test/unit_test.hpp>
