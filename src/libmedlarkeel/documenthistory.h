#pragma once

#include "documentstore.h"

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace medlarkeel {

/**
 * Remembers the last documents in force, to send a peer that holds one of them
 * only the difference to the newest.
 */
class DocumentHistory
{
public:
  /** @param aLength Most documents that are kept. */
  explicit DocumentHistory(std::size_t aLength);

  /** Notes the document that has come into force. */
  void Add(std::shared_ptr<const StoredDocument> aDocument);

  /**
   * @param aBaseHash SHA-256 of the text that the peer holds.
   * @return The newest text as a delta from that text; nothing if the text
   *         isn't kept, or if the delta would be no shorter than the text.
   */
  std::optional<std::string> DeltaFrom(const std::string& aBaseHash);

private:
  std::string EncodeFrom(const StoredDocument& aBase) const;

  const std::size_t mLength;
  /** The oldest first. */
  std::deque<std::shared_ptr<const StoredDocument>> mDocuments;
  /** Deltas to the newest document, by the hash of their base; empty where
   * the text itself is no longer. */
  std::map<std::string, std::string> mDeltas;
};

} // namespace medlarkeel
