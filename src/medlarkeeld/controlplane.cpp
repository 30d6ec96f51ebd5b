#include "controlplane.h"

#include "bootclock.h"
#include "gossippeers.h"
#include "wireconversion.h"

#include <utility>

namespace medlarkeel {

namespace {

constexpr std::size_t kPeerCount = 6;

} // namespace

ControlPlane::ControlPlane(const Settings& aSettings,
                           Incarnation aIncarnation,
                           AgentChannels& aChannels,
                           ConfigurationHolder& aConfiguration,
                           ControlHooks aHooks)
  : mSettings(aSettings)
  , mIncarnation(aIncarnation)
  , mConfiguration(aConfiguration)
  , mHooks(std::move(aHooks))
  , mMessenger(
      aChannels,
      [this](const InstanceId& aFrom,
             const wire::PeerMessage& aAnswer,
             Timestamp aSentAt) { HandleAnswer(aFrom, aAnswer, aSentAt); },
      [this](const InstanceId& aPeer) {
        if (mHooks.mOnSilence) {
          mHooks.mOnSilence(aPeer);
        }
      })
{
}

wire::PeerMessage
ControlPlane::Answer(const wire::PeerMessage& aMessage)
{
  wire::PeerMessage answer;
  if (aMessage.has_configuration()) {
    const auto outcome = TakeConfiguration(aMessage, BootNow());
    answer = NewStampedMessage();
    if (outcome == StampOutcome::SourceIsOlder) {
      AttachDocument(aMessage, answer);
    }
  } else {
    answer = NewMessage();
  }
  for (const LimitMessage& limit : TakeLimits(aMessage)) {
    if (limit.mTo == InstanceId(aMessage.sender())) {
      FillLimit(limit, *answer.add_limits());
    }
  }
  return answer;
}

void
ControlPlane::SendLimits(const std::vector<LimitMessage>& aMessages)
{
  std::map<InstanceId, wire::PeerMessage> byTarget;
  for (const LimitMessage& message : aMessages) {
    auto [place, isNew] = byTarget.try_emplace(message.mTo);
    if (isNew) {
      place->second = NewMessage();
    }
    FillLimit(message, *place->second.add_limits());
  }
  for (auto& [target, message] : byTarget) {
    if (const auto address = AddressOf(target)) {
      Send(target, *address, std::move(message));
    }
  }
}

void
ControlPlane::ExchangeWithNextPeer()
{
  const auto peers = Peers();
  if (peers.empty()) {
    return;
  }
  const InstanceRecord& peer = peers[mNextPeer++ % peers.size()];
  Send(peer.mId, peer.mAddress, NewStampedMessage());
}

void
ControlPlane::AnnounceDocument()
{
  for (const InstanceRecord& peer : Peers()) {
    Send(peer.mId, peer.mAddress, NewStampedMessage());
  }
}

void
ControlPlane::Probe(const InstanceRecord& aAgent)
{
  Send(aAgent.mId, aAgent.mAddress, NewStampedMessage());
}

void
ControlPlane::ApplyList(const InstanceList& aList)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mAddresses.clear();
  for (const InstanceRecord& record : aList.mInstances) {
    mAddresses[record.mId] = record.mAddress;
  }
  mPeers = ChooseGossipPeers(
    mSettings.mInstanceId, mSettings.mRegion, aList, kPeerCount);
}

wire::PeerMessage
ControlPlane::NewMessage() const
{
  wire::PeerMessage message;
  message.set_sender(mSettings.mInstanceId.Text());
  message.set_incarnation(mIncarnation.mValue);
  if (mHooks.mOwnLoad) {
    if (const auto load = mHooks.mOwnLoad()) {
      FillLoad(*load, *message.mutable_load());
    }
  }
  return message;
}

wire::PeerMessage
ControlPlane::NewStampedMessage()
{
  wire::PeerMessage message = NewMessage();
  FillStamp(mConfiguration.Stamp(),
            mConfiguration.ConfirmationAge(),
            *message.mutable_configuration());
  message.set_wants_whole_document(mWantsWholeDocument);
  return message;
}

void
ControlPlane::AttachDocument(const wire::PeerMessage& aFromPeer,
                             wire::PeerMessage& aMessage)
{
  const auto stored = mConfiguration.InForce();
  if (!stored) {
    return;
  }
  FillStamp(stored->mStamp,
            mConfiguration.ConfirmationAge(),
            *aMessage.mutable_configuration());
  const std::string& base = aFromPeer.configuration().hash();
  const auto delta = aFromPeer.wants_whole_document()
                       ? std::nullopt
                       : mConfiguration.DeltaFrom(base);
  if (delta) {
    aMessage.set_delta_base(base);
    aMessage.set_document_delta(*delta);
  } else {
    aMessage.set_document(stored->mText);
  }
}

void
ControlPlane::Send(const InstanceId& aTo,
                   const std::string& aAddress,
                   wire::PeerMessage aMessage)
{
  mMessenger.Send(OutgoingMessage{ aTo, aAddress, std::move(aMessage) });
}

void
ControlPlane::HandleAnswer(const InstanceId& aFrom,
                           const wire::PeerMessage& aAnswer,
                           Timestamp aSentAt)
{
  if (aAnswer.has_load() && mHooks.mOnLoad) {
    mHooks.mOnLoad(aFrom, LoadFrom(aAnswer.load()));
  }
  if (aAnswer.has_configuration()) {
    HandleStamp(aFrom, aAnswer, aSentAt);
  }
  const auto further = TakeLimits(aAnswer);
  if (!further.empty()) {
    SendLimits(further);
  }
}

void
ControlPlane::HandleStamp(const InstanceId& aFrom,
                          const wire::PeerMessage& aAnswer,
                          Timestamp aSentAt)
{
  const auto outcome = TakeConfiguration(aAnswer, aSentAt);
  if (outcome == StampOutcome::SourceIsOlder) {
    wire::PeerMessage update = NewStampedMessage();
    AttachDocument(aAnswer, update);
    if (const auto address = AddressOf(aFrom)) {
      Send(aFrom, *address, std::move(update));
    }
  }
  if (outcome != StampOutcome::SourceIsNewer && mHooks.mOnConfirmed) {
    mHooks.mOnConfirmed(aSentAt);
  }
}

StampOutcome
ControlPlane::TakeConfiguration(const wire::PeerMessage& aMessage,
                                Timestamp aSentAt)
{
  const wire::ConfigurationStamp& stamp = aMessage.configuration();
  TakeDocument(aMessage, aSentAt);
  return mConfiguration.OfferStamp(
    StampFrom(stamp), SourceFrom(stamp), aSentAt);
}

void
ControlPlane::TakeDocument(const wire::PeerMessage& aMessage, Timestamp aSentAt)
{
  const wire::ConfigurationStamp& stamp = aMessage.configuration();
  std::optional<std::string> text;
  if (!aMessage.document().empty()) {
    text = aMessage.document();
    mWantsWholeDocument = false;
  } else if (!aMessage.document_delta().empty()) {
    text = RestoreDocument(aMessage);
  }
  if (text) {
    mConfiguration.Offer(*text, stamp.revision(), SourceFrom(stamp), aSentAt);
  }
}

std::optional<std::string>
ControlPlane::RestoreDocument(const wire::PeerMessage& aMessage)
{
  const DocumentDelta delta{ aMessage.delta_base(), aMessage.document_delta() };
  RestoredText text =
    mConfiguration.Restore(delta, aMessage.configuration().hash());
  if (text) {
    return std::move(text.value());
  }
  if (text.error() == DeltaError::Unfit) {
    mWantsWholeDocument = true;
  }
  return std::nullopt;
}

std::vector<LimitMessage>
ControlPlane::TakeLimits(const wire::PeerMessage& aMessage)
{
  std::vector<LimitMessage> answers;
  if (!mHooks.mOnLimit) {
    return answers;
  }
  for (const wire::LimitMessage& limit : aMessage.limits()) {
    for (LimitMessage& answer : mHooks.mOnLimit(LimitFrom(limit))) {
      answers.push_back(std::move(answer));
    }
  }
  return answers;
}

std::optional<std::string>
ControlPlane::AddressOf(const InstanceId& aInstance)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mAddresses.find(aInstance);
  if (found == mAddresses.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::vector<InstanceRecord>
ControlPlane::Peers()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mPeers;
}

grpc::Status
PeerService::Exchange(grpc::ServerContext* aContext,
                      const wire::PeerMessage* aRequest,
                      wire::PeerMessage* aReply)
{
  static_cast<void>(aContext);
  *aReply = mControl.Answer(*aRequest);
  return grpc::Status::OK;
}

} // namespace medlarkeel
