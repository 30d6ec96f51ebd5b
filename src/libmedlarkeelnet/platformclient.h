#pragma once

#include "instancelist.h"
#include "neterror.h"
#include "types.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace medlarkeel {

/** A document as the configuration service holds it. */
struct ConfigurationReading
{
  std::uint64_t mRevision = 0;
  std::string mText;
};

/** The list of instances as the platform holds it. */
struct InstanceListReading
{
  /** The service's entity tag of the list; empty if it gives none. */
  std::string mTag;
  /** Nothing when the list is the one of the known tag. */
  std::optional<InstanceList> mList;
};

/** The platform's services, which can only be read. */
class PlatformClient
{
public:
  /** @param aBaseUrl "http://" and the platform's IP number and port. */
  explicit PlatformClient(std::string aBaseUrl);

  /**
   * Reads the document, or waits for one that is newer than a known revision.
   *
   * @param aAfter Known revision; 0 when none is known.
   * @param aWait How long the service may hold the call.
   * @param aShouldStop Asked at short intervals; true ends the call.
   * @return The document, nothing when there is no newer one, or an error.
   */
  NetResult<std::optional<ConfigurationReading>> ReadConfiguration(
    std::uint64_t aAfter,
    Milliseconds aWait,
    const std::function<bool()>& aShouldStop) const;

  /**
   * Reads the list of instances.
   *
   * @param aKnownTag Entity tag of the list that is known; empty for none.
   * @return The list unless it is the known one, or an error.
   */
  NetResult<InstanceListReading> ReadInstances(
    const std::string& aKnownTag) const;

private:
  std::string mBaseUrl;
};

} // namespace medlarkeel
