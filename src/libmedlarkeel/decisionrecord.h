#pragma once

#include "jsonreader.h"
#include "types.h"

#include <boost/outcome.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace medlarkeel {

/** One decision that a node took on a request, as it logged it. */
struct DecisionRecord
{
  /** Wall clock, milliseconds since 1970. */
  std::uint64_t mAtUnixMs = 0;
  /** Event number of the log line. */
  int mEvent = 0;
  std::string mText;
};

/** @return What a node answers to `GET /decisions/REQUEST_ID`. */
std::string
DecisionsText(const std::vector<DecisionRecord>& aRecords);

using DecisionsResult = BOOST_OUTCOME_V2_NAMESPACE::result<
  std::vector<DecisionRecord>,
  std::vector<DocumentProblem>,
  BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

DecisionsResult
ParseDecisions(std::string_view aText);

} // namespace medlarkeel
