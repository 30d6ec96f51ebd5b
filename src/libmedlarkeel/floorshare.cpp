#include "floorshare.h"

#include <algorithm>

namespace medlarkeel {

namespace {

/** Credit that earns a turn, in dispatches. */
constexpr double kDueCredit = 1.0;
/** Credit at which the turn isn't put off any more, in dispatches. */
constexpr double kOverdueCredit = 2.0;
/** Rounding that a sum of shares may lack, in dispatches. */
constexpr double kTolerance = 1e-9;
/** Largest part of all dispatches that the shares may take together. */
constexpr double kLargestTotal = 0.9;

} // namespace

void
FloorShare::SetShares(const std::vector<ServiceClass>& aClasses)
{
  double total = 0.0;
  for (const ServiceClass& serviceClass : aClasses) {
    total += std::max(0.0, serviceClass.mFloorShare);
  }
  const double scale = total > kLargestTotal ? kLargestTotal / total : 1.0;
  std::map<ClassName, Account> accounts;
  for (const ServiceClass& serviceClass : aClasses) {
    if (serviceClass.mFloorShare <= 0.0) {
      continue;
    }
    Account account = mAccounts[serviceClass.mName];
    account.mShare = serviceClass.mFloorShare * scale;
    accounts.emplace(serviceClass.mName, account);
  }
  mAccounts = std::move(accounts);
  mOverdue.remove_if(
    [this](const ClassName& aClass) { return mAccounts.count(aClass) == 0; });
}

bool
FloorShare::Has(const ClassName& aClass) const
{
  return mAccounts.count(aClass) != 0;
}

std::vector<ClassName>
FloorShare::Classes() const
{
  std::vector<ClassName> names;
  names.reserve(mAccounts.size());
  for (const auto& [name, account] : mAccounts) {
    names.push_back(name);
  }
  return names;
}

void
FloorShare::RecordDispatch(const ClassName& aChosen,
                           const IsWaiting& aIsWaiting)
{
  for (auto& [name, account] : mAccounts) {
    if (name == aChosen) {
      account.mCredit = std::max(0.0, account.mCredit - 1.0);
      account.mOverdue = false;
      mOverdue.remove(name);
    }
    if (!aIsWaiting(name)) {
      account.mCredit = 0.0;
      account.mOverdue = false;
      mOverdue.remove(name);
      continue;
    }
    account.mCredit += account.mShare;
    if (!account.mOverdue && account.mCredit + kTolerance >= kOverdueCredit) {
      account.mOverdue = true;
      mOverdue.push_back(name);
    }
  }
}

std::optional<ClassName>
FloorShare::Overdue(const IsWaiting& aIsWaiting) const
{
  for (const ClassName& name : mOverdue) {
    if (aIsWaiting(name)) {
      return name;
    }
  }
  return std::nullopt;
}

std::optional<ClassName>
FloorShare::Due(const IsWaiting& aIsWaiting) const
{
  std::optional<ClassName> best;
  double most = kDueCredit - kTolerance;
  for (const auto& [name, account] : mAccounts) {
    if (aIsWaiting(name) && account.mCredit >= most) {
      best = name;
      most = account.mCredit;
    }
  }
  return best;
}

} // namespace medlarkeel
