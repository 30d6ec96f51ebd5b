#pragma once

#include "linkrelay.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>

namespace medlarkeel {

/** The network between the processes of a fleet, whose links can be cut. */
class Links
{
public:
  Links();
  ~Links();
  Links(const Links&) = delete;
  Links& operator=(const Links&) = delete;

  /**
   * Adds the link that one process opens connections over.
   *
   * @param aFrom The process that connects.
   * @param aTo The process that listens.
   * @param aTarget The port that it listens on.
   * @return The port that stands for it at the process that connects.
   */
  std::uint16_t Add(const std::string& aFrom,
                    const std::string& aTo,
                    std::uint16_t aTarget);

  /** Cuts two processes from each other, whichever connects. */
  void Cut(const std::string& aOne, const std::string& aOther);

  /** Cuts what one process sends to the other, whichever connected. */
  void CutSending(const std::string& aSender, const std::string& aReceiver);

  /** Cuts a process from all others, the platform included. */
  void Isolate(const std::string& aId);

  /** Resets the connections between two processes. */
  void Reset(const std::string& aOne, const std::string& aOther);

  /** Mends all links. */
  void Heal();

private:
  using Ends = std::pair<std::string, std::string>;

  /** Carries out a change on the thread of the relays. */
  template<typename Change>
  void Apply(Change aChange);

  void SetCut(const Ends& aEnds, LinkDirection aDirection);

  boost::asio::io_context mContext;
  std::map<Ends, std::unique_ptr<LinkRelay>> mRelays;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWork;
  std::thread mThread;
};

} // namespace medlarkeel
