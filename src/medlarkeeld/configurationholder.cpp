#include "configurationholder.h"

#include "bootclock.h"

#include <utility>

namespace medlarkeel {

void
ConfigurationHolder::AddListener(Listener aListener)
{
  mListeners.push_back(std::move(aListener));
}

void
ConfigurationHolder::SetRejectionListener(RejectionListener aListener)
{
  mRejectionListener = std::move(aListener);
}

OfferOutcome
ConfigurationHolder::Offer(std::string_view aText,
                           std::uint64_t aRevision,
                           const DocumentSource& aSource,
                           Timestamp aAsked)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const OfferOutcome outcome = mStore.Offer(aText, aRevision, aSource, aAsked);
  if (outcome == OfferOutcome::Adopted) {
    Adopt();
  }
  const auto rejected = mStore.Rejected();
  if (outcome == OfferOutcome::Rejected && rejected && mRejectionListener &&
      rejected->mHash != mToldRejection) {
    mToldRejection = rejected->mHash;
    mRejectionListener(*rejected);
  }
  return outcome;
}

void
ConfigurationHolder::Adopt()
{
  const auto document = mStore.InForce();
  mHistory.Add(document);
  mView = std::make_shared<const DocumentView>(document->mDocument);
  for (const Listener& listener : mListeners) {
    listener(mView);
  }
}

RestoredText
ConfigurationHolder::Restore(const DocumentDelta& aDelta,
                             const std::string& aHash)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mStore.Restore(aDelta, aHash);
}

std::optional<std::string>
ConfigurationHolder::DeltaFrom(const std::string& aBaseHash)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mHistory.DeltaFrom(aBaseHash);
}

StampOutcome
ConfigurationHolder::OfferStamp(const DocumentStamp& aStamp,
                                const DocumentSource& aSource,
                                Timestamp aAsked)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mStore.OfferStamp(aStamp, aSource, aAsked);
}

std::shared_ptr<const StoredDocument>
ConfigurationHolder::InForce()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mStore.InForce();
}

DocumentViewPtr
ConfigurationHolder::View()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mView;
}

DocumentStamp
ConfigurationHolder::Stamp()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mStore.Stamp();
}

std::optional<RejectedDocument>
ConfigurationHolder::Rejected()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mStore.Rejected();
}

std::optional<Microseconds>
ConfigurationHolder::ConfirmationAge()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mStore.ConfirmationAge(BootNow());
}

} // namespace medlarkeel
