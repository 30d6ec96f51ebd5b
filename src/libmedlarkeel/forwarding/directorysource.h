#pragma once

#include "backendlist.h"
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
  std::uint64_t mRevision = 0;
};

/** An availability zone that was taken out of service or put back. */
struct ZoneEvacuation
{
  ZoneName mZone;
  bool mIsEvacuated = false;
  /** Of the change; 0 when it isn't known. */
  std::uint64_t mRevision = 0;
};

/** An item that can't be used; the last good one stays in force. */
struct UnreadableItem
{
  std::string mKey;
  std::string mReason;
};

using DirectoryChange = std::variant<ForwardingDocumentPointer,
                                     BackendEntry,
                                     BackendRemoval,
                                     ZoneEvacuation,
                                     UnreadableItem>;

/** What the directory holds, or what has changed in it. */
struct DirectoryChanges
{
  /** In the order in which they were made. */
  std::vector<DirectoryChange> mChanges;
  /** Revision behind which the next changes follow. */
  std::uint64_t mRevision = 0;
};

enum class DirectoryError
{
  Unreachable,
  Refused,
  /** The changes behind the revision are no longer kept. */
  HistoryGone,
  Unreadable
};

/** @return A name for logs. */
const char*
DirectoryErrorText(DirectoryError aError);

using DirectoryResult = BOOST_OUTCOME_V2_NAMESPACE::result<
  DirectoryChanges,
  DirectoryError,
  BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/** How new the answer to a full reading must be. */
enum class ReadFreshness
{
  /** As new as the call. */
  Newest,
  /** It may be seconds old, and is cheaper for the directory. What has changed
   * since has to be asked for before it counts. */
  MayBeOld
};

/** Where documents and backend servers are published. */
class DirectorySource
{
public:
  using Handler = std::function<void(DirectoryResult aResult)>;

  virtual ~DirectorySource() = default;

  /**
   * Reads everything; one call may be under way. The answer's revision is such
   * that nothing behind it is missing when the changes behind it are read.
   */
  virtual void ReadAll(ReadFreshness aFreshness, Handler aHandler) = 0;

  /**
   * Waits for changes.
   *
   * @param aRevision Changes behind it are returned.
   * @param aWait Longest time without a change until an empty answer.
   */
  virtual void Watch(std::uint64_t aRevision,
                     Milliseconds aWait,
                     Handler aHandler) = 0;
};

} // namespace medlarkeel
