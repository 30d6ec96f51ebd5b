#pragma once

#include "answerend.h"
#include "eventframer.h"

#include <optional>
#include <string>
#include <string_view>

namespace medlarkeel {

/** What is known of an answer before its body. */
struct AnswerForm
{
  /** The route's answers are streams of events, or the server may send one. */
  bool mIsStreamExpected = false;
  int mStatus = 0;
  /** The values of all Content-Type fields, separated by commas. */
  std::string mContentTypes;
  /** The answer has no body, whatever its head says: HEAD was asked for. */
  bool mIsHeadOnly = false;
  /** Id of the last event that the caller has; empty if it has none. */
  std::string mLastEventId;
};

/** How the end of a body is judged. */
enum class BodyKind
{
  /** Any end that the framing states is a good one. */
  Opaque,
  /** An end inside an event is a fault. */
  Events
};

/** @return The name of the kind in logs. */
const char*
BodyKindName(BodyKind aKind);

/** Finds out from the lines of a body whether they are events. */
class BodyKindDetector
{
public:
  /**
   * @param aBytes The next bytes of the body.
   * @return What the bytes up to now show it to be; nothing if more are needed.
   */
  std::optional<BodyKind> Push(std::string_view aBytes);

  /** @return Whether a body that ends here, with its kind unknown, may be a
   * part of events. */
  bool MayBeEvents() const;

private:
  enum class Place
  {
    LineBegin,
    FieldName,
    /** Behind the name of a field that server-sent events may have as well. */
    OtherField
  };

  std::optional<BodyKind> Read(char aCharacter);
  std::optional<BodyKind> EndLine();

  Place mPlace = Place::LineBegin;
  /** The field's name, as far as it may be that of an event's field. */
  std::string mName;
  bool mHasOtherField = false;
};

/** How the kind of a body is found. */
struct BodyKindRule
{
  /** The kind; nothing if the bytes show it. */
  std::optional<BodyKind> mKind;
  /** The kind if the bytes don't show it. */
  BodyKind mUnclear = BodyKind::Opaque;
  /** The kind if there are no bytes. */
  BodyKind mEmpty = BodyKind::Opaque;
};

/**
 * @param aForm The answer before its body.
 * @return How the kind of the body is found.
 */
BodyKindRule
FindBodyKindRule(const AnswerForm& aForm);

/** The end of a body. */
struct BodyEnd
{
  /** Why the answer is broken; nothing if it is complete. */
  std::optional<AnswerFault> mFault;
  /** Bytes of a complete body that were held back until its end. */
  std::string mBytes;
};

/**
 * The body of one answer. It decides whether the body is a stream of events,
 * holds incomplete events back, and decides at the end of the transfer whether
 * the answer is complete. All data planes use it for each answer that may reach
 * a caller.
 *
 * A body is a stream of events if its type says so. If a stream is expected but
 * the type is missing or differs, the bytes decide.
 */
class AnswerBody
{
public:
  /** An opaque body. */
  AnswerBody() = default;

  explicit AnswerBody(const AnswerForm& aForm);

  /**
   * @param aBytes The next bytes of the body.
   * @return The bytes that may be passed on: complete events, or all bytes of
   * an opaque body. Nothing as long as the kind isn't known.
   */
  std::string Push(std::string_view aBytes);

  /**
   * @param aMaximumEventBytes Size of an event in bytes beyond which the answer
   * is broken.
   * @return The fault that the bytes up to now show, if they show one.
   */
  std::optional<AnswerFault> Fault(std::size_t aMaximumEventBytes) const;

  /**
   * @param aEnd How the transfer ended.
   * @return Whether the answer is complete. NeedsProcess tells whether the
   * process of the server has to be checked as well.
   */
  BodyEnd End(TransferEnd aEnd);

  /** @return The kind of the body, or nothing as long as it isn't known. */
  std::optional<BodyKind> Kind() const { return mKind; }

  bool IsEventStream() const { return mKind == BodyKind::Events; }

  /** @return Id of the last event; empty if it has none. */
  const std::string& LastEventId() const { return mFramer.LastEventId(); }

  /** @return Bytes that are held back, as an event isn't complete or the kind
   * isn't known. */
  std::size_t HeldBytes() const
  {
    return mHeld.size() + mFramer.BufferedBytes();
  }

private:
  std::string Accept(std::string_view aBytes);

  BodyKindRule mRule;
  std::optional<BodyKind> mKind = BodyKind::Opaque;
  /** Bytes that came before the kind is known. */
  std::string mHeld;
  BodyKindDetector mDetector;
  EventFramer mFramer;
};

} // namespace medlarkeel
