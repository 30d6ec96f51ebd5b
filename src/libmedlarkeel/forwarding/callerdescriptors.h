#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

namespace medlarkeel {

struct CallerDescriptorSettings
{
  /** Most descriptors for connections to callers and servers together. */
  std::size_t mBound = 0;
  /** Part of the bound for connections of callers. The rest is for connections
   * to servers, of which each running request needs one. */
  double mCallerShare = 0.875;
  /** Part of the callers' connections that one address may have. All callers
   * may come from the address of one load balancer. */
  double mAddressShare = 0.75;
};

/** @return The bound on a machine with so many descriptors. */
std::size_t
CallerDescriptorBound(std::size_t aMachineDescriptors);

/** Bounds the connections of callers, and those of each address. */
class CallerDescriptors
{
public:
  explicit CallerDescriptors(const CallerDescriptorSettings& aSettings);

  /**
   * Adds a connection of a caller if the bounds allow it.
   *
   * @param aServerConnections Open connections to backend servers.
   * @return Whether it was added; it is closed if not.
   */
  bool Add(const std::string& aAddress, std::size_t aServerConnections);

  /** @return Whether the bound on connections of one address keeps further
   * ones of this address out. */
  bool IsFull(const std::string& aAddress) const;

  /** Removes a connection that was added. */
  void Remove(const std::string& aAddress);

  /** @return Whether a request may open a connection to a server. */
  bool MayOpen(std::size_t aServerConnections) const;

  std::size_t Callers() const { return mCallers; }

private:
  std::size_t mBound;
  std::size_t mMostCallers;
  std::size_t mMostOfAddress;
  std::size_t mCallers = 0;
  std::unordered_map<std::string, std::size_t> mOfAddress;
};

} // namespace medlarkeel
