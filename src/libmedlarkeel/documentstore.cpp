#include "documentstore.h"

#include "sha256.h"
#include "textdelta.h"

#include <algorithm>
#include <tuple>

namespace medlarkeel {

namespace {

auto
Ordered(const DocumentStamp& aStamp)
{
  return std::tie(aStamp.mVersion, aStamp.mRevision, aStamp.mHash);
}

} // namespace

bool
operator<(const DocumentStamp& aLeft, const DocumentStamp& aRight)
{
  return Ordered(aLeft) < Ordered(aRight);
}

bool
operator==(const DocumentStamp& aLeft, const DocumentStamp& aRight)
{
  return Ordered(aLeft) == Ordered(aRight);
}

DocumentStamp
DocumentStore::Stamp() const
{
  return mInForce ? mInForce->mStamp : DocumentStamp();
}

OfferOutcome
DocumentStore::Offer(std::string_view aText,
                     std::uint64_t aRevision,
                     const DocumentSource& aSource,
                     Timestamp aAsked)
{
  std::string hash = Sha256Hex(aText);
  if (mInForce && mInForce->mStamp.mHash == hash) {
    RaiseRevision(aRevision);
    Confirm(aSource, aAsked);
    return OfferOutcome::Confirmed;
  }
  if (mRejected && mRejected->mHash == hash) {
    Reject(aRevision, std::move(hash), mRejected->mProblems);
    return OfferOutcome::Rejected;
  }
  DocumentResult parsed = ParseEnvironmentDocument(aText);
  if (parsed.has_error()) {
    Reject(aRevision, std::move(hash), std::move(parsed.error()));
    return OfferOutcome::Rejected;
  }
  const DocumentStamp stamp{ parsed.value().mVersion, aRevision, hash };
  if (mInForce && stamp < mInForce->mStamp) {
    return OfferOutcome::Older;
  }
  mInForce = std::make_shared<const StoredDocument>(
    StoredDocument{ stamp, std::string(aText), std::move(parsed.value()) });
  mConfirmedAt.reset();
  Confirm(aSource, aAsked);
  return OfferOutcome::Adopted;
}

RestoredText
DocumentStore::Restore(const DocumentDelta& aDelta,
                       const std::string& aHash) const
{
  if (!mInForce || mInForce->mStamp.mHash != aDelta.mBaseHash) {
    return DeltaError::OtherBase;
  }
  TextDeltaResult text =
    ApplyTextDelta(mInForce->mText, aDelta.mBytes, kMaximumDocumentBytes);
  if (!text || Sha256Hex(text.value()) != aHash) {
    return DeltaError::Unfit;
  }
  return std::move(text.value());
}

void
DocumentStore::RaiseRevision(std::uint64_t aRevision)
{
  if (mInForce->mStamp.mRevision >= aRevision) {
    return;
  }
  StoredDocument raised = *mInForce;
  raised.mStamp.mRevision = aRevision;
  mInForce = std::make_shared<const StoredDocument>(std::move(raised));
}

StampOutcome
DocumentStore::OfferStamp(const DocumentStamp& aStamp,
                          const DocumentSource& aSource,
                          Timestamp aAsked)
{
  const DocumentStamp own = Stamp();
  if (mInForce && own.mHash == aStamp.mHash) {
    RaiseRevision(aStamp.mRevision);
    Confirm(aSource, aAsked);
    return StampOutcome::Same;
  }
  if (own == aStamp) {
    return StampOutcome::Same;
  }
  return aStamp < own ? StampOutcome::SourceIsOlder
                      : StampOutcome::SourceIsNewer;
}

void
DocumentStore::Confirm(const DocumentSource& aSource, Timestamp aAsked)
{
  if (!aSource.mConfirmationAge) {
    return;
  }
  const Timestamp confirmedAt = aAsked - *aSource.mConfirmationAge;
  mConfirmedAt = std::max(mConfirmedAt.value_or(confirmedAt), confirmedAt);
}

void
DocumentStore::Reject(std::uint64_t aRevision,
                      std::string aHash,
                      std::vector<DocumentProblem> aProblems)
{
  const bool isNewer =
    !mRejected || std::tie(mRejected->mRevision, mRejected->mHash) <
                    std::tie(aRevision, aHash);
  if (isNewer) {
    mRejected =
      RejectedDocument{ aRevision, std::move(aHash), std::move(aProblems) };
  }
}

std::optional<RejectedDocument>
DocumentStore::Rejected() const
{
  if (mRejected && mRejected->mRevision > Stamp().mRevision) {
    return mRejected;
  }
  return std::nullopt;
}

std::optional<Microseconds>
DocumentStore::ConfirmationAge(Timestamp aNow) const
{
  if (!mConfirmedAt) {
    return std::nullopt;
  }
  return aNow - *mConfirmedAt;
}

} // namespace medlarkeel
