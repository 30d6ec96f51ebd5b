#pragma once

#include "environmentdocument.h"

#include <string>
#include <vector>

namespace medlarkeel {

enum class ChangeKind
{
  Changed,
  Added,
  Removed,
  /** A change that operators should look at twice. */
  Warning
};

/** One difference between two documents. */
struct DocumentChange
{
  ChangeKind mKind = ChangeKind::Changed;
  std::string mText;
};

/**
 * Says what the change from one document to another means.
 *
 * @return The differences; warnings come first.
 */
std::vector<DocumentChange>
DiffDocuments(const EnvironmentDocument& aOld, const EnvironmentDocument& aNew);

} // namespace medlarkeel
