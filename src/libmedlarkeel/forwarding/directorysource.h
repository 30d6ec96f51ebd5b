#pragma once

#include "backendlist.h"
#include "directoryposition.h"
#include "forwardingdocument.h"

#include <boost/outcome.hpp>

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace medlarkeel {

/** A removed backend server. */
struct BackendRemoval
{
  InstanceId mId;
  DirectoryPosition mPosition;
};

/** An availability zone that was evacuated or returned to service. */
struct ZoneEvacuation
{
  ZoneName mZone;
  bool mIsEvacuated = false;
  /** Position of the change; its revision is 0 when it isn't known. */
  DirectoryPosition mPosition;
};

/** An item that can't be parsed, of which the last valid version stays in
 * force, or a part of a document that can't be used. */
struct UnreadableItem
{
  /** Key of the item; for a part, "#" and its JSON pointer follow. */
  std::string mKey;
  std::string mReason;
};

using DirectoryChange = std::variant<ForwardingDocumentPointer,
                                     BackendEntry,
                                     BackendRemoval,
                                     ZoneEvacuation,
                                     UnreadableItem>;

/** The contents of the directory, or the changes after a position. */
struct DirectoryChanges
{
  /** In the order in which they were made. */
  std::vector<DirectoryChange> mChanges;
  /** Position up to which the changes are included; the next call for changes
   * starts from it. */
  DirectoryPosition mPosition;
  /** Whether a full read includes all changes that were made before the call,
   * also if a stale one was asked for. */
  bool mIsNewest = false;
};

enum class DirectoryError
{
  Unreachable,
  Refused,
  /** The directory doesn't store the changes after the position: they are too
   * old, or it was restored from an older copy. */
  HistoryCompacted,
  Unreadable,
  /** The answer is of an earlier era than one that is known. */
  EarlierEra
};

constexpr std::size_t kDirectoryErrorCount =
  static_cast<std::size_t>(DirectoryError::EarlierEra) + 1;

/** @return A name for logs. */
const char*
DirectoryErrorText(DirectoryError aError);

using DirectoryResult = BOOST_OUTCOME_V2_NAMESPACE::result<
  DirectoryChanges,
  DirectoryError,
  BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/** Required freshness of a full read. */
enum class ReadFreshness
{
  /** Includes all changes made before the call. */
  Newest,
  /** May be seconds old, which costs the directory less. The changes since then
   * must be read before the result is used, unless the result is the newest. */
  MayBeStale
};

/** Gives access to the directory in which documents and backend servers are
 * published, or to a part of it. One call of each kind may be in progress. */
class DirectorySource
{
public:
  using Handler = std::function<void(DirectoryResult aResult)>;

  virtual ~DirectorySource() = default;

  /**
   * Reads all contents.
   *
   * @param aHandler Receives the contents, or the error. No change is missed
   * when the changes after the position of the result are read next.
   */
  virtual void ReadAll(ReadFreshness aFreshness, Handler aHandler) = 0;

  /**
   * Waits for changes.
   *
   * @param aPosition Changes after this position are returned. If the directory
   * was restored meanwhile, the result may be of a later era and then doesn't
   * continue the position.
   * @param aWait Time without a change after which the result is empty.
   * @param aHandler Receives the changes, or the error.
   */
  virtual void Watch(const DirectoryPosition& aPosition,
                     Milliseconds aWait,
                     Handler aHandler) = 0;
};

/** The directory as an entry reads it. */
struct DirectorySources
{
  /** All contents. */
  std::shared_ptr<DirectorySource> mAll;
  /** Documents and evacuations only. */
  std::shared_ptr<DirectorySource> mDocuments;
};

} // namespace medlarkeel
