#pragma once

#include "environmentdocument.h"
#include "jsonreader.h"

#include <boost/outcome.hpp>
#include <cstddef>
#include <string_view>
#include <vector>

namespace medlarkeel {

/** The largest document; the platform holds no larger value. */
constexpr std::size_t kMaximumDocumentBytes = 1U << 20U;

constexpr int kLowestTierRank = 6;

using DocumentResult = BOOST_OUTCOME_V2_NAMESPACE::result<
  EnvironmentDocument,
  std::vector<DocumentProblem>,
  BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/**
 * Parses and checks an environment's document. Depends on the text alone, so
 * every node comes to the same verdict.
 *
 * @param aText The document as JSON text.
 * @return The document, or every mistake found in it.
 */
DocumentResult
ParseEnvironmentDocument(std::string_view aText);

} // namespace medlarkeel
