#pragma once

#include "environmentdocument.h"
#include "keyring.h"
#include "routetable.h"
#include "teamlimit.h"

#include <memory>
#include <vector>

namespace medlarkeel {

/** A document in force with the tables made from it; immutable. */
class DocumentView
{
public:
  explicit DocumentView(EnvironmentDocument aDocument);

  const EnvironmentDocument& Document() const { return mDocument; }
  const KeyRing& Keys() const { return mKeys; }
  const RouteTable& Routes() const { return mRoutes; }

  /** @return The class of the name, or null. */
  const ServiceClass* FindClass(const ClassName& aName) const;

  /** @return Rate and burst of each team, and of callers without a key under
   *          OpenTeam(). */
  std::vector<TeamLimit> Limits() const;

  /** @return The name under which callers without a key are metered; no team
   *          of a document can have it. */
  static TeamName OpenTeam();

private:
  EnvironmentDocument mDocument;
  KeyRing mKeys;
  RouteTable mRoutes;
};

using DocumentViewPtr = std::shared_ptr<const DocumentView>;

} // namespace medlarkeel
