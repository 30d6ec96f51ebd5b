#include "directoryfollower.h"

#include <algorithm>

namespace medlarkeel {

namespace {

template<typename... Handlers>
struct Overloaded : Handlers...
{
  using Handlers::operator()...;
};
template<typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace

const char*
DirectoryErrorText(DirectoryError aError)
{
  switch (aError) {
    case DirectoryError::Unreachable:
      return "unreachable";
    case DirectoryError::Refused:
      return "refused";
    case DirectoryError::HistoryGone:
      return "history-gone";
    case DirectoryError::Unreadable:
      return "unreadable";
  }
  return "unknown";
}

FollowerSettings
FollowerSettingsFor(Milliseconds aChangeBound, Milliseconds aHeartbeat)
{
  /** Pauses that fit into the bound: room for a silent call and a full reading
   * besides. */
  constexpr int kPausesPerBound = 4;
  FollowerSettings settings;
  settings.mPause = aChangeBound / kPausesPerBound;
  settings.mOutage = aHeartbeat * 2;
  settings.mMostRemovalDelay = aChangeBound * 3 / kPausesPerBound;
  return settings;
}

DirectoryFollower::DirectoryFollower(const FollowerSettings& aSettings)
  : mSettings(aSettings)
  , mRetry(aSettings.mFirstRetry)
{
}

std::uint64_t
DirectoryFollower::Digest() const
{
  return mBackends.Digest() + (mDocument ? mDocument->mVersion : 0);
}

FollowerNews
DirectoryFollower::RecordRead(const DirectoryResult& aResult,
                              Timestamp aNow,
                              ReadFreshness aFreshness)
{
  FollowerNews news;
  if (!aResult) {
    RecordFailure(news, aResult.error(), aNow);
    return news;
  }
  RecordContact(news, aNow);
  const DirectoryChanges& content = aResult.value();
  std::set<InstanceId> listed;
  std::set<ZoneName> evacuated;
  for (const DirectoryChange& change : content.mChanges) {
    Apply(change, aNow, news);
    if (const auto* entry = std::get_if<BackendEntry>(&change)) {
      listed.insert(entry->mId);
    }
    const auto* zone = std::get_if<ZoneEvacuation>(&change);
    if (zone != nullptr && zone->mIsEvacuated) {
      evacuated.insert(zone->mZone);
    }
  }
  for (auto& change : mBackends.KeepOnly(listed, content.mRevision, aNow)) {
    news.mBackends.push_back(std::move(change));
  }
  const std::set<ZoneName> before = mBackends.EvacuatedZones();
  for (const ZoneName& zone : before) {
    if (evacuated.count(zone) == 0) {
      Apply(ZoneEvacuation{ zone, false }, aNow, news);
    }
  }
  mIsOld = aFreshness == ReadFreshness::MayBeOld;
  mHasRead = true;
  const Milliseconds pause = mIsOld ? Milliseconds(0) : mSettings.mPause;
  mNext = { FollowerStep::Kind::Watch, pause, content.mRevision };
  mNews.Restart(content.mRevision);
  return news;
}

FollowerNews
DirectoryFollower::RecordWatch(const DirectoryResult& aResult, Timestamp aNow)
{
  FollowerNews news;
  if (!aResult) {
    RecordFailure(news, aResult.error(), aNow);
    return news;
  }
  const DirectoryChanges& content = aResult.value();
  if (content.mChanges.empty() && mBackends.size() > 0) {
    mNext = { FollowerStep::Kind::ReadAll, Milliseconds(0), 0 };
    return news;
  }
  RecordContact(news, aNow);
  mIsOld = false;
  // Others may have told more while the call was under way.
  const std::uint64_t known = mNext.mRevision;
  std::vector<ToldChange> told;
  for (const DirectoryChange& change : content.mChanges) {
    const auto* zone = std::get_if<ZoneEvacuation>(&change);
    if (zone != nullptr && zone->mRevision != 0 && zone->mRevision <= known) {
      continue;
    }
    if (auto tellable = ApplyAndTell(change, aNow, news)) {
      told.push_back(std::move(*tellable));
    }
  }
  const bool hasDelayed = std::any_of(
    news.mBackends.begin(), news.mBackends.end(), [](const auto& aChange) {
      return aChange.second == BackendChange::RemovalDelayed;
    });
  const std::uint64_t revision = std::max(known, content.mRevision);
  if (news.mHasNewDocument || hasDelayed) {
    // The others have to ask for themselves.
    mNews.Restart(revision);
  } else {
    mNews.Add(known, revision, std::move(told), aNow);
  }
  mNext = { FollowerStep::Kind::Watch, mSettings.mPause, revision };
  return news;
}

std::optional<ToldChange>
DirectoryFollower::ApplyAndTell(const DirectoryChange& aChange,
                                Timestamp aNow,
                                FollowerNews& aNews)
{
  if (const auto* entry = std::get_if<BackendEntry>(&aChange)) {
    const std::uint64_t before = mBackends.DigestOf(entry->mId);
    Apply(aChange, aNow, aNews);
    return before != mBackends.DigestOf(entry->mId)
             ? std::optional<ToldChange>(*entry)
             : std::nullopt;
  }
  Apply(aChange, aNow, aNews);
  if (const auto* removal = std::get_if<BackendRemoval>(&aChange)) {
    return ToldChange(*removal);
  }
  if (const auto* zone = std::get_if<ZoneEvacuation>(&aChange)) {
    return ToldChange(*zone);
  }
  return std::nullopt;
}

std::optional<FollowerNews>
DirectoryFollower::RecordTold(const DirectoryNews& aNews, Timestamp aNow)
{
  const std::uint64_t known = mNext.mRevision;
  const bool follows =
    mHasRead && known != 0 && aNews.mFrom <= known && known < aNews.mTo;
  if (!follows) {
    return std::nullopt;
  }
  FollowerNews news;
  for (const ToldChange& change : aNews.mChanges) {
    const std::uint64_t revision = std::visit(
      Overloaded{ [](const auto& aChange) { return aChange.mRevision; } },
      change);
    if (revision > known) {
      std::visit(Overloaded{ [&](const auto& aChange) {
                   Apply(DirectoryChange(aChange), aNow, news);
                 } },
                 change);
    }
  }
  mNext.mRevision = aNews.mTo;
  mToldAt = aNow;
  return news;
}

void
DirectoryFollower::RecordFailure(FollowerNews& aNews,
                                 DirectoryError aError,
                                 Timestamp aNow)
{
  if (aError == DirectoryError::HistoryGone) {
    mNext = { FollowerStep::Kind::ReadAll, Milliseconds(0), 0 };
    return;
  }
  aNews.mWasLost = !mIsLost;
  mIsLost = true;
  mLostAt = aNow;
  mNext = { FollowerStep::Kind::ReadAll, mRetry, mNext.mRevision };
  mRetry = std::min(mRetry * 2, mSettings.mMostRetry);
}

void
DirectoryFollower::RecordContact(FollowerNews& aNews, Timestamp aNow)
{
  const Timestamp known = std::max(mLastContact, mConfirmedAt);
  if (mHasRead && aNow - known > mSettings.mOutage) {
    mBackends.RecordRegained(
      aNow, mSettings.mHold, mSettings.mMostRemovalDelay);
  }
  aNews.mWasRegained = mIsLost;
  aNews.mOutage = mHasRead ? aNow - known : Microseconds(0);
  mIsLost = false;
  mRetry = mSettings.mFirstRetry;
  mLastContact = aNow;
}

void
DirectoryFollower::ApplyZone(const ZoneEvacuation& aZone, FollowerNews& aNews)
{
  const bool wasEvacuated = mBackends.EvacuatedZones().count(aZone.mZone) != 0;
  mBackends.SetEvacuated(aZone.mZone, aZone.mIsEvacuated);
  if (wasEvacuated != aZone.mIsEvacuated) {
    aNews.mZones.push_back(aZone);
  }
}

void
DirectoryFollower::Apply(const DirectoryChange& aChange,
                         Timestamp aNow,
                         FollowerNews& aNews)
{
  const auto note = [&](const InstanceId& aId, BackendChange aKind) {
    if (aKind != BackendChange::None && aKind != BackendChange::Refreshed) {
      aNews.mBackends.emplace_back(aId, aKind);
    }
  };
  std::visit(Overloaded{
               [&](const ForwardingDocumentPointer& aDocument) {
                 if (!mDocument || mDocument->mVersion < aDocument->mVersion) {
                   mDocument = aDocument;
                   aNews.mHasNewDocument = true;
                 }
               },
               [&](const BackendEntry& aEntry) {
                 note(aEntry.mId, mBackends.Put(aEntry, aNow));
               },
               [&](const BackendRemoval& aRemoval) {
                 note(aRemoval.mId,
                      mBackends.Remove(aRemoval.mId, aRemoval.mRevision, aNow));
               },
               [&](const ZoneEvacuation& aZone) { ApplyZone(aZone, aNews); },
               [&](const UnreadableItem& aItem) {
                 aNews.mUnreadable.push_back(aItem);
               } },
             aChange);
}

} // namespace medlarkeel
