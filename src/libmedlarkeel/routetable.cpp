#include "routetable.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace medlarkeel {

namespace {

struct RouteErrorRow
{
  RouteErrorKind mKind;
  RefusalReason mReason;
  const char* mDetail;
};

constexpr std::array<RouteErrorRow, 8> kErrors{ {
  { RouteErrorKind::BadPath,
    RefusalReason::BadRequest,
    "the path is not in canonical form" },
  { RouteErrorKind::NoRoute,
    RefusalReason::NoRoute,
    "no route has this method and path" },
  { RouteErrorKind::KeyRequired,
    RefusalReason::Unauthenticated,
    "the route needs a key" },
  { RouteErrorKind::ModelRequired,
    RefusalReason::BadRequest,
    "the body names no model" },
  { RouteErrorKind::UnknownModel,
    RefusalReason::BadRequest,
    "the route has no such model" },
  { RouteErrorKind::UnknownAdapter,
    RefusalReason::BadRequest,
    "the model has no such adapter" },
  { RouteErrorKind::UnknownClass,
    RefusalReason::BadRequest,
    "the route has no such class" },
  { RouteErrorKind::ClassForbidden,
    RefusalReason::Forbidden,
    "the team may not use the class of this route" },
} };

const RouteErrorRow&
Row(RouteErrorKind aKind)
{
  return kErrors[static_cast<std::size_t>(aKind)];
}

std::string
PatternKey(const std::string& aMethod, std::string_view aPattern)
{
  return aMethod + " " + std::string(aPattern);
}

bool
IsUnreserved(unsigned char aByte)
{
  return std::isalnum(aByte) != 0 || aByte == '-' || aByte == '.' ||
         aByte == '_' || aByte == '~';
}

/** Escapes must be whole, and only of bytes that need one, so that a path has
 * one spelling. */
bool
EscapesAreCanonical(const std::string& aPath)
{
  for (std::size_t at = aPath.find('%'); at != std::string::npos;
       at = aPath.find('%', at + 1)) {
    const std::string digits = aPath.substr(at + 1, 2);
    const bool isWhole =
      digits.size() == 2 &&
      std::all_of(digits.begin(), digits.end(), [](unsigned char aDigit) {
        return std::isxdigit(aDigit) != 0;
      });
    if (!isWhole) {
      return false;
    }
    const auto byte =
      static_cast<unsigned char>(std::stoul(digits, nullptr, 16));
    if (byte < ' ' || byte == '/' || byte == '\\' ||
        (byte < 0x80 && IsUnreserved(byte))) {
      return false;
    }
  }
  return true;
}

/** A second spelling of a path could reach another route than the first. */
bool
IsCanonicalPath(const std::string& aPath)
{
  const bool isPrintable =
    std::all_of(aPath.begin(), aPath.end(), [](char aCharacter) {
      return aCharacter > ' ' && aCharacter <= '~' && aCharacter != '\\';
    });
  return isPrintable && !aPath.empty() && aPath.front() == '/' &&
         (aPath.size() == 1 || aPath.back() != '/') &&
         aPath.find("//") == std::string::npos &&
         aPath.find("/.") == std::string::npos &&
         aPath.find('*') == std::string::npos && EscapesAreCanonical(aPath);
}

RouteError
Error(RouteErrorKind aKind)
{
  return { aKind, Row(aKind).mDetail };
}

/** Keeps the routes for which the condition holds. */
template<typename Condition>
std::vector<const Route*>
Filtered(const std::vector<const Route*>& aRoutes, Condition aCondition)
{
  std::vector<const Route*> kept;
  std::copy_if(aRoutes.begin(),
               aRoutes.end(),
               std::back_inserter(kept),
               [&](const Route* aRoute) { return aCondition(*aRoute); });
  return kept;
}

} // namespace

Refusal
RouteRefusal(const RouteError& aError)
{
  Refusal refusal;
  refusal.mReason = Row(aError.mKind).mReason;
  refusal.mDetail = aError.mDetail;
  return refusal;
}

RouteTable::RouteTable(const EnvironmentDocument& aDocument)
{
  for (const Route& route : aDocument.mRoutes) {
    mRoutes[PatternKey(route.mMethod, route.mPath)].push_back(route);
  }
  for (const Pool& pool : aDocument.mPools) {
    mPools.emplace(pool.mName, pool);
  }
  for (const Team& team : aDocument.mTeams) {
    if (!team.mClasses.empty()) {
      mTeamClasses[team.mName].insert(team.mClasses.begin(),
                                      team.mClasses.end());
    }
  }
}

const std::vector<Route>*
RouteTable::RoutesOfPath(const std::string& aMethod,
                         const std::string& aPath) const
{
  const auto exact = mRoutes.find(PatternKey(aMethod, aPath));
  if (exact != mRoutes.end()) {
    return &exact->second;
  }
  for (std::size_t slash = aPath.rfind('/'); slash != std::string::npos;
       slash = slash == 0 ? std::string::npos : aPath.rfind('/', slash - 1)) {
    const std::string pattern = aPath.substr(0, slash + 1) + "*";
    const auto prefix = mRoutes.find(PatternKey(aMethod, pattern));
    if (prefix != mRoutes.end()) {
      return &prefix->second;
    }
  }
  return nullptr;
}

bool
RouteTable::MayUse(const RouteQuery& aQuery, const Route& aRoute) const
{
  if (!aQuery.mTeam) {
    return aRoute.mOpen;
  }
  const auto limited = mTeamClasses.find(*aQuery.mTeam);
  return limited == mTeamClasses.end() ||
         limited->second.count(aRoute.mClass) > 0;
}

RouteTable::Choice
RouteTable::ChooseModel(const Choice& aChoice, const RouteQuery& aQuery) const
{
  if (aChoice.mPool->mKind != PoolKind::Model) {
    return aChoice;
  }
  const std::string model = aQuery.mModel.value_or("");
  const std::size_t colon = model.find(':');
  const PoolName pool(model.substr(0, colon));
  Choice chosen;
  if (pool.IsEmpty()) {
    chosen.mError = RouteErrorKind::ModelRequired;
    return chosen;
  }
  chosen.mRoutes = Filtered(
    aChoice.mRoutes, [&](const Route& aRoute) { return aRoute.mPool == pool; });
  if (chosen.mRoutes.empty()) {
    chosen.mError = RouteErrorKind::UnknownModel;
    return chosen;
  }
  chosen.mPool = &mPools.at(pool);
  if (colon != std::string::npos) {
    chosen.mAdapter = AdapterName(model.substr(colon + 1));
    const auto& known = chosen.mPool->mAdapters;
    if (std::find(known.begin(), known.end(), chosen.mAdapter) == known.end()) {
      chosen.mError = RouteErrorKind::UnknownAdapter;
    }
  }
  return chosen;
}

RouteTable::Choice
RouteTable::ChooseClass(Choice aChoice, const RouteQuery& aQuery) const
{
  if (aQuery.mClass) {
    aChoice.mRoutes = Filtered(aChoice.mRoutes, [&](const Route& aRoute) {
      return aRoute.mClass == *aQuery.mClass;
    });
    if (aChoice.mRoutes.empty()) {
      aChoice.mError = RouteErrorKind::UnknownClass;
      return aChoice;
    }
  }
  aChoice.mRoutes = Filtered(aChoice.mRoutes, [&](const Route& aRoute) {
    return MayUse(aQuery, aRoute);
  });
  if (aChoice.mRoutes.empty()) {
    aChoice.mError = aQuery.mTeam ? RouteErrorKind::ClassForbidden
                                  : RouteErrorKind::KeyRequired;
  }
  return aChoice;
}

RouteResult
RouteTable::Match(const RouteQuery& aQuery) const
{
  if (!IsCanonicalPath(aQuery.mPath)) {
    return Error(RouteErrorKind::BadPath);
  }
  const auto* ofPath = RoutesOfPath(aQuery.mMethod, aQuery.mPath);
  if (ofPath == nullptr) {
    return Error(RouteErrorKind::NoRoute);
  }
  Choice choice;
  for (const Route& route : *ofPath) {
    choice.mRoutes.push_back(&route);
  }
  choice.mPool = &mPools.at(ofPath->front().mPool);
  choice = ChooseModel(choice, aQuery);
  if (!choice.mError) {
    choice = ChooseClass(std::move(choice), aQuery);
  }
  if (choice.mError) {
    return Error(*choice.mError);
  }
  return RouteMatch{ *choice.mRoutes.front(),
                     choice.mPool->mKind,
                     choice.mAdapter };
}

} // namespace medlarkeel
