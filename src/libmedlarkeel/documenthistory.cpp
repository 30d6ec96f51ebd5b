#include "documenthistory.h"

#include "textdelta.h"

#include <algorithm>
#include <utility>

namespace medlarkeel {

DocumentHistory::DocumentHistory(std::size_t aLength)
  : mLength(aLength)
{
}

void
DocumentHistory::Add(std::shared_ptr<const StoredDocument> aDocument)
{
  mDeltas.clear();
  mDocuments.push_back(std::move(aDocument));
  if (mDocuments.size() > mLength) {
    mDocuments.pop_front();
  }
}

std::optional<std::string>
DocumentHistory::DeltaFrom(const std::string& aBaseHash)
{
  const auto base = std::find_if(
    mDocuments.begin(), mDocuments.end(), [&](const auto& aDocument) {
      return aDocument->mStamp.mHash == aBaseHash;
    });
  if (base == mDocuments.end()) {
    return std::nullopt;
  }
  auto [delta, isNew] = mDeltas.try_emplace(aBaseHash);
  if (isNew) {
    delta->second = EncodeFrom(**base);
  }
  if (delta->second.empty()) {
    return std::nullopt;
  }
  return delta->second;
}

std::string
DocumentHistory::EncodeFrom(const StoredDocument& aBase) const
{
  const std::string& newest = mDocuments.back()->mText;
  std::string delta = EncodeTextDelta(aBase.mText, newest);
  return delta.size() < newest.size() ? delta : std::string();
}

} // namespace medlarkeel
