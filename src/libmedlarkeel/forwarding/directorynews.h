#pragma once

#include "directorysource.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <variant>
#include <vector>

namespace medlarkeel {

/** A change that one entry tells another; documents are too large for it. */
using ToldChange = std::variant<BackendEntry, BackendRemoval, ZoneEvacuation>;

/**
 * What has changed in the directory behind one revision up to another. Nothing
 * between them is left out, so an entry that knows any revision between them
 * then knows the last one.
 */
struct DirectoryNews
{
  std::uint64_t mFrom = 0;
  std::uint64_t mTo = 0;
  std::vector<ToldChange> mChanges;
};

/**
 * Collects what a reader of the directory has learned lately, to be told to
 * entries that don't call the directory themselves.
 */
class DirectoryNewsLog
{
public:
  /** Begins anew: what came before a revision can't be told. */
  void Restart(std::uint64_t aRevision);

  /**
   * Notes an answer of the directory.
   *
   * @param aFrom Revision that was known before.
   * @param aTo Revision that is known now.
   */
  void Add(std::uint64_t aFrom,
           std::uint64_t aTo,
           std::vector<ToldChange> aChanges,
           Timestamp aNow);

  /**
   * @return The news of the last seconds, or nothing when the directory wasn't
   * heard of or too much has changed. Without changes it still takes others on
   * to the last revision, so that they can follow the news to come.
   */
  std::optional<DirectoryNews> News(Timestamp aNow) const;

private:
  struct Batch
  {
    std::uint64_t mFrom = 0;
    std::uint64_t mTo = 0;
    std::vector<ToldChange> mChanges;
    Timestamp mLearnedAt;
  };

  std::deque<Batch> mBatches;
  std::size_t mChangeCount = 0;
};

} // namespace medlarkeel
