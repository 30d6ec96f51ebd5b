#pragma once

#include "documentparser.h"
#include "types.h"

#include <boost/outcome.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarkeel {

/** Identifies a document; the greater of two stamps wins everywhere. */
struct DocumentStamp
{
  std::uint64_t mVersion = 0;
  /** Revision under which the platform's service holds it. */
  std::uint64_t mRevision = 0;
  /** SHA-256 of the text, in lower-case hexadecimal. */
  std::string mHash;
};

bool
operator<(const DocumentStamp& aLeft, const DocumentStamp& aRight);
bool
operator==(const DocumentStamp& aLeft, const DocumentStamp& aRight);

enum class DocumentSourceKind
{
  Service,
  Peer
};

/** Who told of a document, and how fresh its knowledge was. */
struct DocumentSource
{
  DocumentSourceKind mKind = DocumentSourceKind::Service;
  /** Time since the service confirmed the document to the source; 0 for the
   * service itself, nothing when the source doesn't know. */
  std::optional<Microseconds> mConfirmationAge = Microseconds(0);
};

/** A document that is in force, with its text for peers that ask for it. */
struct StoredDocument
{
  DocumentStamp mStamp;
  std::string mText;
  EnvironmentDocument mDocument;
};

/** A document that was refused. */
struct RejectedDocument
{
  std::uint64_t mRevision = 0;
  std::string mHash;
  std::vector<DocumentProblem> mProblems;
};

/** A document's text as its difference from another one. */
struct DocumentDelta
{
  /** SHA-256 of the text that it starts from. */
  std::string mBaseHash;
  std::string mBytes;
};

enum class DeltaError
{
  /** The document in force isn't the one that the delta starts from. */
  OtherBase,
  /** The delta doesn't give the text that was expected. */
  Unfit
};

using RestoredText = BOOST_OUTCOME_V2_NAMESPACE::result<
  std::string,
  DeltaError,
  BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

enum class OfferOutcome
{
  /** The document is now in force. */
  Adopted,
  /** The very document is in force already. */
  Confirmed,
  /** One with a greater stamp is in force. */
  Older,
  /** The document has mistakes; the one in force stays. */
  Rejected
};

enum class StampOutcome
{
  Same,
  /** The source lags and is to be sent the document. */
  SourceIsOlder,
  /** The document is to be fetched from the source. */
  SourceIsNewer
};

/**
 * Holds the document in force. The state is a join: whatever the order, the
 * repetition and the mix of sources, nodes that were offered the same
 * documents hold the same one, and none ever goes back to a smaller stamp.
 */
class DocumentStore
{
public:
  /**
   * Takes in a document.
   *
   * @param aText The document as JSON text.
   * @param aRevision Revision under which the service holds it.
   * @param aSource Who told of it.
   * @param aAsked When the source was asked. What it said was true then or
   *        later, however long the reply took.
   */
  OfferOutcome Offer(std::string_view aText,
                     std::uint64_t aRevision,
                     const DocumentSource& aSource,
                     Timestamp aAsked);

  /**
   * Restores a text from its delta to the document in force.
   *
   * @param aHash SHA-256 of the text that the delta must give.
   */
  RestoredText Restore(const DocumentDelta& aDelta,
                       const std::string& aHash) const;

  /** Takes in the stamp of a source's document; see Offer. */
  StampOutcome OfferStamp(const DocumentStamp& aStamp,
                          const DocumentSource& aSource,
                          Timestamp aAsked);

  /** @return The document in force, or null while there is none. */
  std::shared_ptr<const StoredDocument> InForce() const { return mInForce; }

  /** @return The stamp in force; version 0 while there is none. */
  DocumentStamp Stamp() const;

  /** @return The newest refused document, if it is newer than the one in
   * force. */
  std::optional<RejectedDocument> Rejected() const;

  /** @return Time since the service was known to hold the document in force;
   * nothing when it never was. */
  std::optional<Microseconds> ConfirmationAge(Timestamp aNow) const;

private:
  void RaiseRevision(std::uint64_t aRevision);
  void Confirm(const DocumentSource& aSource, Timestamp aAsked);
  void Reject(std::uint64_t aRevision,
              std::string aHash,
              std::vector<DocumentProblem> aProblems);

  std::shared_ptr<const StoredDocument> mInForce;
  std::optional<RejectedDocument> mRejected;
  std::optional<Timestamp> mConfirmedAt;
};

} // namespace medlarkeel
