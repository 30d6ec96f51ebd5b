#pragma once

#include "instancelist.h"

#include <boost/outcome.hpp>

#include <string>
#include <string_view>

namespace medlarkeel {

/** Why a text is not an instance list. */
struct InstanceListError
{
  std::string mDetail;
};

template<typename T>
using InstanceListResult = BOOST_OUTCOME_V2_NAMESPACE::
  result<T, InstanceListError, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/**
 * Reads the platform's list of instances. An instance that can't be used leaves
 * the others.
 *
 * @param aText JSON of the form {"revision": R, "instances": [...]}.
 * @return The list, or why it is not one: also if none of its instances can be
 * used.
 */
InstanceListResult<InstanceList>
ParseInstanceList(std::string_view aText);

} // namespace medlarkeel
