#include "routetable.h"

#include "testdocument.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace medlarkeel {

namespace {

RouteTable
SmallTable()
{
  return RouteTable(ValidDocument(SmallDocument()));
}

RouteQuery
ChatQuery()
{
  return { "POST",
           "/v1/chat/completions",
           "proclamation",
           std::nullopt,
           TeamName("market") };
}

RouteErrorKind
ErrorOf(const RouteQuery& aQuery)
{
  const RouteResult result = SmallTable().Match(aQuery);
  BOOST_REQUIRE(result.has_error());
  return result.error().mKind;
}

} // namespace

BOOST_AUTO_TEST_SUITE(routetable)

BOOST_AUTO_TEST_CASE(FirstClassOfTheRouteIsTakenWithoutAskingForOne)
{
  const RouteMatch match = SmallTable().Match(ChatQuery()).value();
  BOOST_TEST(match.mRoute.mClass.Text() == "draft");
  BOOST_TEST(match.mRoute.mPool.Text() == "proclamation");
  BOOST_TEST((match.mPoolKind == PoolKind::Model));
}

BOOST_AUTO_TEST_CASE(ClassAndAdapterCanBeAskedFor)
{
  RouteQuery query = ChatQuery();
  query.mClass = ClassName("bulk");
  query.mModel = "proclamation:festival";
  const RouteMatch match = SmallTable().Match(query).value();
  BOOST_TEST(match.mRoute.mClass.Text() == "bulk");
  BOOST_TEST(match.mAdapter.Text() == "festival");
}

BOOST_AUTO_TEST_CASE(ExactPathGoesBeforePrefix)
{
  RouteQuery query{
    "POST", "/s/bookings/confirmations", {}, {}, TeamName("market")
  };
  BOOST_TEST(!SmallTable().Match(query).value().mRoute.mRepeatable);
  query.mMethod = "GET";
  BOOST_TEST(SmallTable().Match(query).value().mRoute.mPath == "/s/bookings/*");
}

BOOST_AUTO_TEST_CASE(EachMistakeOfACallerHasItsOwnError)
{
  RouteQuery query = ChatQuery();
  query.mModel = std::nullopt;
  BOOST_TEST((ErrorOf(query) == RouteErrorKind::ModelRequired));
  query.mModel = "unknown";
  BOOST_TEST((ErrorOf(query) == RouteErrorKind::UnknownModel));
  query.mModel = "proclamation:unknown";
  BOOST_TEST((ErrorOf(query) == RouteErrorKind::UnknownAdapter));
  query = ChatQuery();
  query.mClass = ClassName("confirmation");
  BOOST_TEST((ErrorOf(query) == RouteErrorKind::UnknownClass));
  query.mClass = ClassName("bulk");
  query.mTeam = TeamName("families");
  BOOST_TEST((ErrorOf(query) == RouteErrorKind::ClassForbidden));
  query.mTeam = std::nullopt;
  BOOST_TEST((ErrorOf(query) == RouteErrorKind::KeyRequired));
  query.mMethod = "DELETE";
  BOOST_TEST((ErrorOf(query) == RouteErrorKind::NoRoute));
}

BOOST_AUTO_TEST_CASE(OpenRouteServesCallersWithoutAKey)
{
  const RouteQuery query{ "GET", "/s/bookings/criers/4", {}, {}, {} };
  BOOST_TEST(SmallTable().Match(query).value().mRoute.mOpen);
}

BOOST_AUTO_TEST_CASE(SecondSpellingOfAPathIsRefused)
{
  for (const char* path : { "/s/bookings/../admin",
                            "/s//bookings/confirmations",
                            "/s/bookings/confirmations/",
                            "/s/bookings/%63onfirmations",
                            "/s/bookings%2fconfirmations",
                            "/s/bookings/.%2e/x",
                            "/s/bookings/a%0ab",
                            "/s/bookings/%zz",
                            "/s/bookings/%4",
                            "/s/bookings/*",
                            "/s\\bookings",
                            "s/bookings",
                            "" }) {
    BOOST_TEST_CONTEXT(path)
    {
      BOOST_TEST((ErrorOf({ "GET", path, {}, {}, TeamName("market") }) ==
                  RouteErrorKind::BadPath));
    }
  }
}

BOOST_AUTO_TEST_CASE(RefusalOfARouteErrorIsNotExecuted)
{
  const Refusal refusal =
    RouteRefusal({ RouteErrorKind::ClassForbidden, "detail" });
  BOOST_TEST((refusal.mReason == RefusalReason::Forbidden));
  BOOST_TEST((refusal.mExecuted == Executed::No));
}

RC_BOOST_PROP(NoQueryMakesAConfirmationRepeatable, ())
{
  const auto piece = rc::gen::element<std::string>(
    "/", "s", "bookings", "confirmations", "%", "63", ".", "%2f", "*", "/s/");
  const auto pieces = *rc::gen::container<std::vector<std::string>>(piece);
  std::string path;
  for (const std::string& text : pieces) {
    path += text;
  }
  EnvironmentDocument document = ValidDocument(SmallDocument());
  document.mRoutes[3].mMethod = "POST";
  const auto requested = *rc::gen::element<std::string>("", "draft", "bulk");
  RouteQuery query{ "POST", path, {}, {}, TeamName("market") };
  if (!requested.empty()) {
    query.mClass = ClassName(requested);
  }
  const RouteResult result = RouteTable(document).Match(query);
  if (result.has_error()) {
    return;
  }
  const bool isConfirmation = path == "/s/bookings/confirmations";
  const bool isRepeatable = result.value().mRoute.mRepeatable;
  RC_ASSERT(!(isConfirmation && isRepeatable));
  RC_ASSERT(path.find("..") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
