#pragma once

#include "configurationholder.h"
#include "instancelist.h"
#include "limitmessage.h"
#include "loadreport.h"
#include "peermessenger.h"
#include "settings.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace medlarkeel {

/** What one role does with control messages; empty functions do nothing. */
struct ControlHooks
{
  /** Takes a message of the team limits and returns the answers. */
  std::function<std::vector<LimitMessage>(const LimitMessage&)> mOnLimit;
  /** Load of the backend server beside this process. */
  std::function<std::optional<LoadSnapshot>()> mOwnLoad;
  std::function<void(const InstanceId&, const LoadSnapshot&)> mOnLoad;
  std::function<void(const InstanceId&)> mOnSilence;
  /** Told when a request was sent whose answer confirmed the document. */
  std::function<void(Timestamp)> mOnConfirmed;
};

/**
 * Exchanges control messages with other processes: documents spread from peer
 * to peer, load reports answer probes, and tokens of the team limits move.
 */
class ControlPlane
{
public:
  ControlPlane(const Settings& aSettings,
               Incarnation aIncarnation,
               AgentChannels& aChannels,
               ConfigurationHolder& aConfiguration,
               ControlHooks aHooks);

  /** @return The answer to a peer's message. */
  wire::PeerMessage Answer(const wire::PeerMessage& aMessage);

  /** Sends messages of the team limits, one exchange for each target. */
  void SendLimits(const std::vector<LimitMessage>& aMessages);

  /** Asks one of the own peers for its stamp, in turn. */
  void ExchangeWithNextPeer();

  /** Tells all own peers of a document that has just come into force. */
  void AnnounceDocument();

  /** Asks an agent for its load. */
  void Probe(const InstanceRecord& aAgent);

  void ApplyList(const InstanceList& aList);

  /** @return Bytes of the control messages sent so far. */
  std::uint64_t SentBytes() { return mMessenger.SentBytes(); }

private:
  /** @return A message without the stamp of the document in force. */
  wire::PeerMessage NewMessage() const;
  wire::PeerMessage NewStampedMessage();
  /** Adds the document in force, as a delta where the peer's own allows. */
  void AttachDocument(const wire::PeerMessage& aFromPeer,
                      wire::PeerMessage& aMessage);
  void Send(const InstanceId& aTo,
            const std::string& aAddress,
            wire::PeerMessage aMessage);
  void HandleAnswer(const InstanceId& aFrom,
                    const wire::PeerMessage& aAnswer,
                    Timestamp aSentAt);
  void HandleStamp(const InstanceId& aFrom,
                   const wire::PeerMessage& aAnswer,
                   Timestamp aSentAt);
  StampOutcome TakeConfiguration(const wire::PeerMessage& aMessage,
                                 Timestamp aSentAt);
  void TakeDocument(const wire::PeerMessage& aMessage, Timestamp aSentAt);
  /** @return The text that the message's delta gives, if it fits. */
  std::optional<std::string> RestoreDocument(const wire::PeerMessage& aMessage);
  std::vector<LimitMessage> TakeLimits(const wire::PeerMessage& aMessage);
  std::optional<std::string> AddressOf(const InstanceId& aInstance);
  std::vector<InstanceRecord> Peers();

  const Settings mSettings;
  const Incarnation mIncarnation;
  ConfigurationHolder& mConfiguration;
  const ControlHooks mHooks;
  std::mutex mMutex;
  std::map<InstanceId, std::string> mAddresses;
  std::vector<InstanceRecord> mPeers;
  std::size_t mNextPeer = 0;
  /** A delta didn't fit, and no whole text has come since. */
  std::atomic<bool> mWantsWholeDocument{ false };
  PeerMessenger mMessenger;
};

/** Answers peers' control messages over gRPC. */
class PeerService : public wire::Peer::Service
{
public:
  explicit PeerService(ControlPlane& aControl)
    : mControl(aControl)
  {
  }

  grpc::Status Exchange(grpc::ServerContext* aContext,
                        const wire::PeerMessage* aRequest,
                        wire::PeerMessage* aReply) override;

private:
  ControlPlane& mControl;
};

} // namespace medlarkeel
