#pragma once

#include "environmentdocument.h"
#include "types.h"

#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <vector>

namespace medlarkeel {

/**
 * Credit of the classes that are owed a share of the dispatches while they
 * wait. A class of share f waits for at most ceil(2 / f) + k - 1 dispatches
 * of others, where k classes have a share.
 */
class FloorShare
{
public:
  using IsWaiting = std::function<bool(const ClassName&)>;

  /** Takes the shares of the document; credit of known classes stays. */
  void SetShares(const std::vector<ServiceClass>& aClasses);

  /** @return Whether the class has a share. */
  bool Has(const ClassName& aClass) const;

  /** @return The classes that have a share. */
  std::vector<ClassName> Classes() const;

  /** Counts one dispatch: pays the waiting classes, charges the chosen. */
  void RecordDispatch(const ClassName& aChosen, const IsWaiting& aIsWaiting);

  /** @return The class whose turn can't be put off any more. */
  std::optional<ClassName> Overdue(const IsWaiting& aIsWaiting) const;

  /** @return The class with most credit that has earned a turn. */
  std::optional<ClassName> Due(const IsWaiting& aIsWaiting) const;

private:
  struct Account
  {
    double mShare = 0.0;
    double mCredit = 0.0;
    bool mOverdue = false;
  };

  std::map<ClassName, Account> mAccounts;
  /** Overdue classes in the order in which they became so. */
  std::list<ClassName> mOverdue;
};

} // namespace medlarkeel
