#include "answerbody.h"

#include <algorithm>
#include <array>
#include <utility>

namespace medlarkeel {

namespace {

constexpr int kFirstSuccess = 200;
constexpr int kNoContent = 204;
constexpr int kFirstRedirection = 300;
constexpr int kNotModified = 304;

constexpr std::string_view kLineEnds = "\r\n";

/** The fields that server-sent events have. */
constexpr std::array<std::string_view, 4> kEventFields = { "data",
                                                           "event",
                                                           "id",
                                                           "retry" };
constexpr std::size_t kLongestEventField = 5;

constexpr BodyKindRule kOpaque{ BodyKind::Opaque,
                                BodyKind::Opaque,
                                BodyKind::Opaque };
constexpr BodyKindRule kEvents{ BodyKind::Events,
                                BodyKind::Events,
                                BodyKind::Events };
constexpr BodyKindRule kEventsUnlessOther{ std::nullopt,
                                           BodyKind::Events,
                                           BodyKind::Events };
constexpr BodyKindRule kOpaqueUnlessEvents{ std::nullopt,
                                            BodyKind::Opaque,
                                            BodyKind::Events };
/** The body of a failure may be empty. */
constexpr BodyKindRule kFailure{ std::nullopt,
                                 BodyKind::Opaque,
                                 BodyKind::Opaque };

bool
IsSuccess(int aStatus)
{
  return aStatus >= kFirstSuccess && aStatus < kFirstRedirection;
}

bool
HasNoBody(const AnswerForm& aForm)
{
  return aForm.mIsHeadOnly || aForm.mStatus < kFirstSuccess ||
         aForm.mStatus == kNoContent || aForm.mStatus == kNotModified;
}

bool
IsNameCharacter(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '-' ||
         aCharacter == '_';
}

bool
IsEventField(std::string_view aName)
{
  return std::find(kEventFields.begin(), kEventFields.end(), aName) !=
         kEventFields.end();
}

/** @return Whether a name may be the beginning of an event's field. */
bool
BeginsEventField(std::string_view aName)
{
  return !aName.empty() &&
         std::any_of(kEventFields.begin(),
                     kEventFields.end(),
                     [&](std::string_view aField) {
                       return aField.substr(0, aName.size()) == aName;
                     });
}

} // namespace

const char*
BodyKindName(BodyKind aKind)
{
  return aKind == BodyKind::Events ? "events" : "opaque";
}

std::optional<BodyKind>
BodyKindDetector::Push(std::string_view aBytes)
{
  for (const char character : aBytes) {
    if (const auto kind = Read(character)) {
      return kind;
    }
  }
  return std::nullopt;
}

std::optional<BodyKind>
BodyKindDetector::Read(char aCharacter)
{
  if (kLineEnds.find(aCharacter) != std::string_view::npos) {
    return EndLine();
  }
  if (mPlace == Place::OtherField) {
    return std::nullopt;
  }
  const bool isLineBegin = mPlace == Place::LineBegin;
  if (aCharacter == ':') {
    if (isLineBegin || IsEventField(mName)) {
      return BodyKind::Events;
    }
    mPlace = Place::OtherField;
    mHasOtherField = true;
    return std::nullopt;
  }
  if (!IsNameCharacter(aCharacter)) {
    return BodyKind::Opaque;
  }
  mPlace = Place::FieldName;
  if (mName.size() <= kLongestEventField) {
    mName += aCharacter;
  }
  return std::nullopt;
}

std::optional<BodyKind>
BodyKindDetector::EndLine()
{
  const Place place = std::exchange(mPlace, Place::LineBegin);
  const std::string name = std::exchange(mName, std::string());
  if (place != Place::FieldName) {
    return std::nullopt;
  }
  return IsEventField(name) ? BodyKind::Events : BodyKind::Opaque;
}

bool
BodyKindDetector::MayBeEvents() const
{
  return mHasOtherField ||
         (mPlace == Place::FieldName && BeginsEventField(mName));
}

BodyKindRule
FindBodyKindRule(const AnswerForm& aForm)
{
  if (HasNoBody(aForm)) {
    return kOpaque;
  }
  const bool isSuccess = IsSuccess(aForm.mStatus);
  const bool isStream = aForm.mIsStreamExpected && isSuccess;
  switch (ClassifyContentTypes(aForm.mContentTypes)) {
    case StreamType::Stated:
      // Servers label the text of an error like the stream that failed.
      return isSuccess ? kEvents : kFailure;
    case StreamType::Ambiguous:
      return isSuccess ? kEventsUnlessOther : kFailure;
    case StreamType::Missing:
      return isStream ? kEventsUnlessOther : kOpaque;
    case StreamType::Other:
      return isStream ? kOpaqueUnlessEvents : kOpaque;
  }
  return kEvents;
}

AnswerBody::AnswerBody(const AnswerForm& aForm)
  : mRule(FindBodyKindRule(aForm))
  , mKind(mRule.mKind)
  , mFramer(aForm.mLastEventId,
            aForm.mIsStreamExpected ? IdOrder::Increasing : IdOrder::Any)
{
}

std::string
AnswerBody::Push(std::string_view aBytes)
{
  if (mKind) {
    return Accept(aBytes);
  }
  mHeld.append(aBytes);
  mKind = mDetector.Push(aBytes);
  return mKind ? Accept(std::exchange(mHeld, std::string())) : std::string();
}

std::string
AnswerBody::Accept(std::string_view aBytes)
{
  return mKind == BodyKind::Events ? mFramer.Push(aBytes) : std::string(aBytes);
}

std::optional<AnswerFault>
AnswerBody::Fault(std::size_t aMaximumEventBytes) const
{
  if (mFramer.IsOutOfOrder()) {
    return AnswerFault::EventOutOfOrder;
  }
  const std::size_t held = mFramer.BufferedBytes() + mHeld.size();
  return held > aMaximumEventBytes
           ? std::optional<AnswerFault>(AnswerFault::EventTooLarge)
           : std::nullopt;
}

BodyEnd
AnswerBody::End(TransferEnd aEnd)
{
  BodyEnd end;
  if (!mKind) {
    const BodyKind unclear =
      mDetector.MayBeEvents() ? BodyKind::Events : mRule.mUnclear;
    mKind = mHeld.empty() ? mRule.mEmpty : unclear;
    end.mBytes = Accept(std::exchange(mHeld, std::string()));
  }
  end.mFault = FindEndFault(aEnd, IsEventStream() ? &mFramer : nullptr);
  return end;
}

} // namespace medlarkeel
