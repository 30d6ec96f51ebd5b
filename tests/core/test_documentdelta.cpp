#include "documenthistory.h"
#include "sha256.h"
#include "testdocument.h"
#include "textdelta.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>

namespace medlarkeel {

namespace {

const DocumentSource kService;

std::string
TextOf(int aVersion, const std::string& aTeam)
{
  nlohmann::json document = SmallDocument();
  document["version"] = aVersion;
  document["teams"][1]["name"] = aTeam;
  return document.dump();
}

/** Offers the text; returns what is then in force. */
std::shared_ptr<const StoredDocument>
Adopt(DocumentStore& aStore, const std::string& aText, std::uint64_t aRevision)
{
  aStore.Offer(aText, aRevision, kService, Timestamp());
  return aStore.InForce();
}

} // namespace

BOOST_AUTO_TEST_SUITE(documentdelta)

BOOST_AUTO_TEST_CASE(AnyTextComesBackFromAnyBase)
{
  BOOST_TEST(rc::check([](const std::string& aBase, const std::string& aText) {
    const std::string delta = EncodeTextDelta(aBase, aText);
    RC_ASSERT(ApplyTextDelta(aBase, delta, aText.size()).value() == aText);
  }));
}

BOOST_AUTO_TEST_CASE(DamagedDeltaNeverCrashesOrPassesTheBound)
{
  const std::string base = TextOf(1, "families");
  const std::string delta = EncodeTextDelta(base, TextOf(2, "widows"));
  BOOST_TEST(rc::check([&] {
    std::string damaged = delta;
    const auto place = *rc::gen::inRange<std::size_t>(0, damaged.size());
    damaged[place] = *rc::gen::arbitrary<char>();
    const auto text = ApplyTextDelta(base, damaged, kMaximumDocumentBytes);
    const bool isBounded =
      !text || text.value().size() <= kMaximumDocumentBytes;
    RC_ASSERT(isBounded);
  }));
  const auto bounded = ApplyTextDelta(base, delta, 10);
  BOOST_TEST((bounded.error() == TextDeltaError::TooLong));
}

BOOST_AUTO_TEST_CASE(LaggingPeerGetsTheDifferenceToTheNewest)
{
  DocumentStore source;
  DocumentHistory history(2);
  history.Add(Adopt(source, TextOf(1, "first"), 1));
  DocumentStore peer;
  const auto base = Adopt(peer, TextOf(1, "first"), 1)->mStamp.mHash;
  const auto newest = Adopt(source, TextOf(2, "second"), 2);
  history.Add(newest);
  const auto delta = history.DeltaFrom(base);
  BOOST_REQUIRE(delta.has_value());
  BOOST_TEST(delta->size() * 4 < newest->mText.size());
  const auto text = peer.Restore({ base, *delta }, newest->mStamp.mHash);
  BOOST_TEST(text.value() == newest->mText);
  history.Add(Adopt(source, TextOf(3, "third"), 3));
  BOOST_TEST(!history.DeltaFrom(base).has_value());
}

BOOST_AUTO_TEST_CASE(DeltaOfAnotherTextIsNotTaken)
{
  DocumentStore peer;
  const auto held = Adopt(peer, TextOf(1, "held"), 1);
  const std::string other = TextOf(1, "other");
  const std::string text = TextOf(2, "second");
  const DocumentDelta foreign{ Sha256Hex(other), EncodeTextDelta(other, text) };
  const auto wrongBase = peer.Restore(foreign, Sha256Hex(text));
  BOOST_TEST((wrongBase.error() == DeltaError::OtherBase));
  const DocumentDelta mislabelled{ held->mStamp.mHash, foreign.mBytes };
  const auto unfit = peer.Restore(mislabelled, Sha256Hex(text));
  BOOST_TEST((unfit.error() == DeltaError::Unfit));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
