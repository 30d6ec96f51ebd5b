#pragma once

#include "../support/childprocess.h"
#include "../support/loopback.h"
#include "../support/waituntil.h"
#include "fakeserver.h"

#include <filesystem>

namespace medlarkeel {

/** @return Path of a program of the build under test. */
std::string
ProgramPath(const std::string& aName);

/** One entry that a test has started; all its ports are its own. */
struct EntryProcess
{
  std::string mName;
  std::string mZone;
  /** Loopback address of the instance. */
  std::string mAddress;
  std::uint16_t mCallers = 0;
  std::uint16_t mReadiness = 0;
  /** Port of metrics and explanations of placements. */
  std::uint16_t mStatus = 0;
  std::unique_ptr<ChildProcess> mProcess;
};

/**
 * The whole path on loopback: the store, backend servers and entries, which
 * are processes of medlarkeelforward with settings rendered from the deploy
 * file's template. Team "team-1" holds the key "secret". Routes of "host":
 * /once/ and /again/ lead to the service "desk", /stream/ and /resume/ to
 * "model".
 */
class LoopbackPlatform
{
public:
  LoopbackPlatform();
  ~LoopbackPlatform();
  LoopbackPlatform(const LoopbackPlatform&) = delete;
  LoopbackPlatform& operator=(const LoopbackPlatform&) = delete;

  FakeStore& Store() { return mStore; }
  /** @return Folder for files of the test's processes. */
  const std::filesystem::path& Folder() const { return mFolder; }
  FakeServer& AddDesk(const std::string& aId);
  FakeServer& AddModel(const std::string& aId);
  FakeServer& AddServer(const FakeServerSettings& aSettings);

  /** Sets the limits of the machines of entries to come. */
  void SetMachine(int aMemoryMb, int aMostDescriptors)
  {
    mMemoryMb = aMemoryMb;
    mMostDescriptors = aMostDescriptors;
  }

  /** Sets how many entries, from the first one, the settings name as seeds. */
  void SetSeeds(std::size_t aSeeds) { mSeeds = aSeeds; }

  /** Starts an entry; WaitReady tells when it takes requests. */
  EntryProcess& StartEntry(const std::string& aZone = "zone-0");

  /** Starts an ended entry again at its address. */
  void Restart(EntryProcess& aEntry) const;

  /** @return Whether the entry is ready within the limit. */
  static bool WaitReady(
    const EntryProcess& aEntry,
    std::chrono::milliseconds aLimit = std::chrono::seconds(10));

  /** @return The status of the readiness page; 0 without an answer. */
  static int ReadinessOf(const EntryProcess& aEntry);

  /** @return A document that a test may change before it publishes it. */
  nlohmann::json& Document() { return mDocument; }

  /** Publishes the document with the next version. */
  void PublishDocument();

  /** Sends one request on a connection of its own and reads the answer. */
  static SeenAnswer Call(const EntryProcess& aEntry,
                         const std::string& aId,
                         const std::string& aPath,
                         const std::string& aFields = "",
                         const std::string& aBody = "");

  /** @return A request; its time limit is five seconds. */
  static std::string RequestText(const std::string& aId,
                                 const std::string& aPath,
                                 const std::string& aFields = "",
                                 const std::string& aBody = "");

  /** @return What the servers of a service saw of a request. */
  std::vector<ServedRequest> Arrivals(const std::string& aId) const;

private:
  std::string SettingsText(const EntryProcess& aEntry) const;

  std::filesystem::path mFolder;
  FakeStore mStore;
  std::vector<std::unique_ptr<FakeServer>> mServers;
  std::vector<std::unique_ptr<EntryProcess>> mEntries;
  nlohmann::json mDocument;
  std::size_t mSeeds = 1;
  int mMemoryMb = 512;
  int mMostDescriptors = 8192;
};

} // namespace medlarkeel
