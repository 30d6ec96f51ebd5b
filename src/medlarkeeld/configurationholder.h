#pragma once

#include "documenthistory.h"
#include "documentstore.h"
#include "documentview.h"

#include <functional>
#include <mutex>
#include <string_view>
#include <vector>

namespace medlarkeel {

/**
 * The document in force of this process, for use by all threads. Tells its
 * listeners of each document that comes into force.
 */
class ConfigurationHolder
{
public:
  using Listener = std::function<void(const DocumentViewPtr&)>;

  using RejectionListener = std::function<void(const RejectedDocument&)>;

  /** Adds a listener of refused documents; only before the first offer. */
  void SetRejectionListener(RejectionListener aListener);

  /** Adds a listener; only before the first offer. */
  void AddListener(Listener aListener);

  /** See DocumentStore::Offer. */
  OfferOutcome Offer(std::string_view aText,
                     std::uint64_t aRevision,
                     const DocumentSource& aSource,
                     Timestamp aAsked);

  /** See DocumentStore::Restore. */
  RestoredText Restore(const DocumentDelta& aDelta, const std::string& aHash);

  /** See DocumentHistory::DeltaFrom. */
  std::optional<std::string> DeltaFrom(const std::string& aBaseHash);

  /** See DocumentStore::OfferStamp. */
  StampOutcome OfferStamp(const DocumentStamp& aStamp,
                          const DocumentSource& aSource,
                          Timestamp aAsked);

  /** @return The document in force, or null. */
  std::shared_ptr<const StoredDocument> InForce();

  /** @return The tables of the document in force, or null. */
  DocumentViewPtr View();

  DocumentStamp Stamp();
  std::optional<RejectedDocument> Rejected();

  /** @return Time since the service was known to hold the document. */
  std::optional<Microseconds> ConfirmationAge();

private:
  /** Documents that a lagging peer may still hold. */
  static constexpr std::size_t kHistoryLength = 8;

  /** Takes over the document that the store has just adopted. */
  void Adopt();

  std::mutex mMutex;
  DocumentStore mStore;
  DocumentHistory mHistory{ kHistoryLength };
  DocumentViewPtr mView;
  std::vector<Listener> mListeners;
  RejectionListener mRejectionListener;
  std::string mToldRejection;
};

} // namespace medlarkeel
