#pragma once

#include "../support/freeport.h"
#include "fakebackend.h"
#include "forwarder.h"

#include <boost/asio/executor_work_guard.hpp>

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace medlarkeel {

/** A directory whose content a test sets. */
class FakeDirectory : public DirectorySource
{
public:
  explicit FakeDirectory(boost::asio::io_context& aContext);

  void ReadAll(ReadFreshness aFreshness, Handler aHandler) override;
  void Watch(const DirectoryPosition& aPosition,
             Milliseconds aWait,
             Handler aHandler) override;

  /** Only on the thread of the context, or before it runs. */
  void Set(std::vector<DirectoryChange> aContent);

private:
  boost::asio::io_context& mContext;
  boost::asio::steady_timer mTimer;
  std::vector<DirectoryChange> mContent;
  DirectoryPosition mPosition{ {}, 1 };
};

/**
 * A forwarder on loopback before fake backend servers. Routes of the host
 * "host": /once/ (one attempt, at most once), /again/ (repeatable, two
 * attempts), /stream/ (at most once), /resume/ (resumable, two attempts),
 * /open/ (public, at most once), /long/ (at most once, with a long time-out).
 */
class ForwardFixture
{
public:
  explicit ForwardFixture(Milliseconds aShutdownBound = Milliseconds(8000));
  ~ForwardFixture();
  ForwardFixture(const ForwardFixture&) = delete;
  ForwardFixture& operator=(const ForwardFixture&) = delete;

  /** Adds a backend server; before Start. */
  FakeBackend& AddBackend(
    FakeBackend::Script aScript,
    std::optional<std::size_t> aEarlyBytes = std::nullopt);

  /** Lists a server at an address; before Start. */
  void AddListed(const Endpoint& aAddress);

  /** Lists a server at an address that nobody serves; before Start. */
  void AddUnreachable();

  /** Makes the servers model servers; before Start. */
  void UseModelServers() { mHasModelServers = true; }

  /** Publishes what was added, and runs until it has been read. */
  void Start(bool aHasDocument = true);

  /** Runs a task on the forwarder's thread and waits for it. */
  void Run(const std::function<void(Forwarder&)>& aTask);

  /** Sends one request on a connection of its own and reads the answer. */
  SeenAnswer Call(const std::string& aPath,
                  const std::string& aFields = "",
                  const std::string& aBody = "");

  /** @return The text of a request. */
  static std::string RequestText(const std::string& aPath,
                                 const std::string& aFields = "",
                                 const std::string& aBody = "");

  std::uint16_t Port() const { return mSettings.mCallers.mPort; }

  static constexpr Milliseconds kRouteTimeout{ 1000 };
  static constexpr Milliseconds kLongRouteTimeout{ 5000 };

private:
  ForwardSettings mSettings;
  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWork;
  std::shared_ptr<FakeDirectory> mDirectory;
  std::shared_ptr<FakeDirectory> mDocuments;
  EventLog mLog;
  std::unique_ptr<Forwarder> mForwarder;
  std::vector<std::unique_ptr<FakeBackend>> mBackends;
  std::vector<DirectoryChange> mContent;
  bool mHasModelServers = false;
  std::thread mThread;
};

} // namespace medlarkeel
