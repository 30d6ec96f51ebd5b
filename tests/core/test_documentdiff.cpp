#include "documentdiff.h"

#include "testdocument.h"

#include <boost/test/unit_test.hpp>

namespace medlarkeel {

namespace {

/** @return The differences after one change to the small document. */
std::vector<std::string>
DiffAfter(const Mistake& aChange, std::uint64_t aVersion = 8)
{
  nlohmann::json changed = SmallDocument();
  changed["version"] = aVersion;
  Put(aChange, changed);
  std::vector<std::string> texts;
  for (const DocumentChange& change :
       DiffDocuments(ValidDocument(SmallDocument()), ValidDocument(changed))) {
    texts.push_back(change.mText);
  }
  return texts;
}

using Texts = std::vector<std::string>;

} // namespace

BOOST_AUTO_TEST_SUITE(documentdiff)

BOOST_AUTO_TEST_CASE(SameDocumentHasNoDifferences)
{
  BOOST_TEST(DiffAfter({ "/version", "8", "" }).empty());
}

BOOST_AUTO_TEST_CASE(EachKindOfChangeIsNamed)
{
  BOOST_TEST((DiffAfter({ "/zones/1/state", "\"in\"", "" }) ==
              Texts{ "zone xela-b: state from out to in" }));
  BOOST_TEST((DiffAfter({ "/teams/1/rate", "7", "" }) ==
              Texts{ "team families: rate from 5.5 to 7" }));
  BOOST_TEST((DiffAfter({ "/classes/0/deadlineMs", "", "" }) ==
              Texts{ "class confirmation: deadlineMs from 5000 ms to none" }));
  BOOST_TEST(
    (DiffAfter({ "/teams/0/keys", "[]", "" }) == Texts{ "key alfa1" }));
  BOOST_TEST((DiffAfter({ "/withdrawnStreams", "\"finish\"", "" }) ==
              Texts{ "all callers: withdrawnStreams from cut to finish" }));
}

BOOST_AUTO_TEST_CASE(DangerousChangesAreWarnedOf)
{
  BOOST_TEST(DiffAfter({ "/openRate", "20", "" }, 7).at(0) ==
             "version 7 is not above 7: nodes will not take the document");
  BOOST_TEST(DiffAfter({ "/zones/0/state", "\"out\"", "" }).at(0) ==
             "no zone is in service: nothing will be served");
  BOOST_TEST(DiffAfter({ "/routes/2/repeatable", "true", "" }).at(0) ==
             "route POST /s/bookings/confirmations to bookings as confirmation "
             "becomes repeatable: calls may run twice");
  const std::string hash = "\"" + std::string(64, 'a') + "\"";
  BOOST_TEST(
    DiffAfter({ "/teams/0/keys/0/secretHash", hash.c_str(), "" }).at(0) ==
    "key alfa1 gets a new secret: agents can't tell it from the old key, use a "
    "new id");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
