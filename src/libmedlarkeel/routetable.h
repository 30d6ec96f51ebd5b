#pragma once

#include "environmentdocument.h"
#include "refusal.h"
#include "types.h"

#include <boost/outcome.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace medlarkeel {

/** What of a request decides on its route. */
struct RouteQuery
{
  std::string mMethod;
  /** Path without the query. */
  std::string mPath;
  /** Model that the body names: a pool, or `pool:adapter`. */
  std::optional<std::string> mModel;
  /** Class that the caller asks for. */
  std::optional<ClassName> mClass;
  /** Team of the caller's key; nothing without a key. */
  std::optional<TeamName> mTeam;
};

struct RouteMatch
{
  Route mRoute;
  PoolKind mPoolKind = PoolKind::Model;
  /** Empty when none was asked for. */
  AdapterName mAdapter;
};

enum class RouteErrorKind
{
  BadPath,
  NoRoute,
  KeyRequired,
  ModelRequired,
  UnknownModel,
  UnknownAdapter,
  UnknownClass,
  ClassForbidden
};

struct RouteError
{
  RouteErrorKind mKind = RouteErrorKind::NoRoute;
  std::string mDetail;
};

using RouteResult = BOOST_OUTCOME_V2_NAMESPACE::result<
  RouteMatch,
  RouteError,
  BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/** @return The refusal that the caller gets for the error. */
Refusal
RouteRefusal(const RouteError& aError);

/** The routes of one document; immutable. */
class RouteTable
{
public:
  RouteTable() = default;
  explicit RouteTable(const EnvironmentDocument& aDocument);

  /**
   * Finds the route of a request. An exact path goes before a prefix, a longer
   * prefix before a shorter one. Without a class from the caller the first
   * route in the document whose class the team may use is taken.
   */
  RouteResult Match(const RouteQuery& aQuery) const;

private:
  /** Routes that are left after a step of the choice. */
  struct Choice
  {
    std::vector<const Route*> mRoutes;
    const Pool* mPool = nullptr;
    AdapterName mAdapter;
    std::optional<RouteErrorKind> mError;
  };

  const std::vector<Route>* RoutesOfPath(const std::string& aMethod,
                                         const std::string& aPath) const;
  Choice ChooseModel(const Choice& aChoice, const RouteQuery& aQuery) const;
  Choice ChooseClass(Choice aChoice, const RouteQuery& aQuery) const;
  bool MayUse(const RouteQuery& aQuery, const Route& aRoute) const;

  /** Routes by method and path pattern, in the document's order. */
  std::unordered_map<std::string, std::vector<Route>> mRoutes;
  std::unordered_map<PoolName, Pool> mPools;
  /** Teams that may use some classes only. */
  std::unordered_map<TeamName, std::unordered_set<ClassName>> mTeamClasses;
};

} // namespace medlarkeel
