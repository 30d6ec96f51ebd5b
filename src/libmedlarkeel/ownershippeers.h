#pragma once

#include "limitmessage.h"
#include "promisebook.h"
#include "types.h"

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace medlarkeel {

class RangeOwnership;
struct OwnershipSettings;

/**
 * Exchanges promises and clearances with the other members of the list, so
 * that owners go on while nobody can read the list.
 *
 * An owner without fresh evidence asks all members of its newest list for
 * promises; with all of them it goes on. An heir needs a clearance for each
 * change of the list: the word of a member of all lists by which an owner may
 * still go on, or of all members of its own list.
 */
class OwnershipPeers
{
public:
  /** @param aLongestOutage Time after the last reading for which owners go
   *         on; 0 for none. */
  OwnershipPeers(InstanceId aSelf,
                 const OwnershipSettings& aSettings,
                 Microseconds aLongestOutage,
                 std::uint64_t aSeed);

  /** @return Whether a message is one of this protocol. */
  static bool Handles(LimitMessageKind aKind);

  /** @return Messages to send in answer. */
  std::vector<LimitMessage> Receive(const LimitMessage& aMessage,
                                    RangeOwnership& aOwnership,
                                    Timestamp aNow);

  /** Asks for what is needed. @return Messages to send. */
  std::vector<LimitMessage> Tick(RangeOwnership& aOwnership, Timestamp aNow);

  /** Notes that the incarnation runs. */
  void Start(Timestamp aNow) { mBook.Start(aNow); }

  /** Relies on nothing that was promised before a pause. */
  void ForgetPromises();

private:
  /** Another member of the newest list. */
  struct Member
  {
    InstanceId mId;
    std::uint64_t mAskId = 0;
    Timestamp mAskedAt;
    Timestamp mNextAskAt = Timestamp::min();
    Microseconds mPatience{ 0 };
    Timestamp mPromisedUntil = Timestamp::min();
    std::uint64_t mClearanceId = 0;
    Timestamp mNextClearanceAskAt = Timestamp::min();
    bool mCleared = false;
  };

  using Messages = std::vector<LimitMessage>;

  void Rebuild(const RangeOwnership& aOwnership);
  void AskForPromises(RangeOwnership& aOwnership,
                      Timestamp aNow,
                      Messages& aOut);
  void EndPromises(Messages& aOut);
  void Extend(RangeOwnership& aOwnership, Timestamp aNow) const;
  void AskForClearance(RangeOwnership& aOwnership,
                       Timestamp aNow,
                       Messages& aOut);
  void ClearSelf(RangeOwnership& aOwnership, Timestamp aNow);
  void ClearIfAll(RangeOwnership& aOwnership, Timestamp aNow) const;
  bool NeedsClearance(const RangeOwnership& aOwnership, Timestamp aNow) const;
  Microseconds WitnessAge() const;
  /** @return The member that answers the open ask with the given number. */
  Member* Asked(const LimitMessage& aAnswer, std::uint64_t Member::*aOpenId);
  LimitMessage NewMessage(const InstanceId& aTo,
                          LimitMessageKind aKind,
                          std::uint64_t aId) const;

  void OnPromiseAsk(const LimitMessage&, RangeOwnership&, Timestamp, Messages&);
  void OnPromise(const LimitMessage&, RangeOwnership&, Timestamp, Messages&);
  void OnPromiseEnd(const LimitMessage&, RangeOwnership&, Timestamp, Messages&);
  void OnClearanceAsk(const LimitMessage&,
                      RangeOwnership&,
                      Timestamp,
                      Messages&);
  void OnClearance(const LimitMessage&, RangeOwnership&, Timestamp, Messages&);

  InstanceId mSelf;
  Microseconds mEvidenceLife;
  Microseconds mListLag;
  Microseconds mClockDrift;
  Microseconds mPromiseLife;
  Microseconds mLongestOutage;
  std::mt19937_64 mRandom;
  PromiseBook mBook;
  std::vector<Member> mMembers;
  /** Revision of the list of which the members are. */
  std::uint64_t mRevision = 0;
  /** The first revision that showed these members. */
  std::uint64_t mMembersRevision = 0;
  /** Names the promises of one outage; 0 while none are wanted. */
  std::uint64_t mPromiseId = 0;
  Timestamp mSelfPromisedUntil = Timestamp::min();
  bool mRefused = false;
  bool mSelfCleared = false;
  std::size_t mNextToClear = 0;
};

} // namespace medlarkeel
