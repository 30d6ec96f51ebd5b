#pragma once

#include <memory>
#include <string>

namespace medlarkeel {

/**
 * Finds out whether the process behind an address still runs. The system closes
 * the connections of a process that was killed in order and refuses new ones.
 *
 * @param aUrl Its address is connected to; nothing is sent.
 * @return False if connections are refused or not made within 200 ms.
 */
bool
AcceptsConnections(const std::string& aUrl);

/**
 * A connection to a server that is open while an answer arrives that ends with
 * its own connection. The end of the server's process closes both, a server
 * that ends the answer only one. Nothing is sent.
 *
 * It belongs to the process that answers if the answer's connection was still
 * open after it had been made.
 */
class ProcessConnection
{
public:
  /** @param aUrl The address of the server. */
  explicit ProcessConnection(std::string aUrl);
  ~ProcessConnection();
  ProcessConnection(const ProcessConnection&) = delete;
  ProcessConnection& operator=(const ProcessConnection&) = delete;

  /** Connects, unless the answer's connection has ended.
   *
   * @param aAnswer Descriptor of that connection. */
  void Begin(int aAnswer);

  /** Connects again if the server has closed the connection while the answer
   * goes on, as it does with idle ones. Called at short intervals. */
  void Observe();

  /** @return Whether the process that answered still runs; by a new connection
   * if there is none to it. */
  bool IsRunning();

  struct Connection;

private:
  enum class State
  {
    /** There is no connection that belongs to the process. */
    Unknown,
    Open,
    /** It was closed together with that of the answer. */
    Ended
  };

  std::string mUrl;
  int mAnswer = -1;
  int mConnections = 0;
  State mState = State::Unknown;
  std::unique_ptr<Connection> mConnection;
};

} // namespace medlarkeel
