#pragma once

#include "../libmedlarkeel/forwarding/promptdescription.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace medlarkeel {

/** Speed and size of a model engine. */
struct EngineSpeed
{
  /** Time of a step that only makes tokens of one answer. */
  double mStepMs = 5.95;
  /** Added for each answer in the step. */
  double mStepMsPerAnswer = 0.0445;
  double mPromptTokensPerMs = 50.7;
  /** Added for each million pairs of a token that is read and one before it
   * in its prompt. */
  double mMsPerMillionPairs = 0.0;
  /** Prompt tokens that one step reads at most. */
  std::uint32_t mChunkTokens = 1024;
  std::size_t mSlots = 64;
  /** Tokens that running requests and kept parts may take together. */
  std::uint64_t mMemoryTokens = 502'042;
};

/** A request as an engine sees it. */
struct EngineRequest
{
  std::size_t mNumber = 0;
  PromptDescription mPrompt;
  std::uint32_t mOutputTokens = 0;
  /** 0 is the most urgent. */
  int mRank = 0;
};

/** A token that a step made. */
struct EngineToken
{
  std::size_t mNumber = 0;
  std::uint32_t mMade = 0;
  bool mIsLast = false;
};

/** What a step did. */
struct EngineStep
{
  double mTimeMs = 0.0;
  std::vector<EngineToken> mTokens;
};

/**
 * A model engine in steps: urgent requests are admitted and read first, others
 * in order of arrival; each step reads a chunk of prompts and makes a token of
 * each answer; parts that were read are kept until others need their memory.
 */
class EngineModel
{
public:
  explicit EngineModel(const EngineSpeed& aSpeed);

  void Add(const EngineRequest& aRequest);

  /** Ends a request whose caller has left. */
  void Cancel(std::size_t aNumber);

  bool IsIdle() const { return mWaiting.empty() && mRunning.empty(); }

  /** Works for one step. */
  EngineStep Step();

  /** @return Tokens that were read of prompts whose callers left before they
   * were read whole. */
  std::uint64_t TokensReadInVain() const { return mTokensReadInVain; }

  /** @return Tokens of shared parts that were read, also once more. */
  std::uint64_t SharedTokensRead() const { return mSharedTokensRead; }

private:
  struct Run
  {
    EngineRequest mRequest;
    std::uint64_t mUnread = 0;
    std::uint64_t mRead = 0;
    std::uint32_t mMade = 0;
  };

  struct KeptPart
  {
    std::uint64_t mId = 0;
    std::uint32_t mTokens = 0;
  };

  void Admit();
  /** @return Tokens of the prompt that aren't kept. */
  std::uint64_t UnreadTokens(const PromptDescription& aPrompt);
  void Keep(const PromptDescription& aPrompt);

  EngineSpeed mSpeed;
  /** Both in the order in which they are served. */
  std::list<EngineRequest> mWaiting;
  std::list<Run> mRunning;
  /** Kept parts, the one used last in front. */
  std::list<KeptPart> mKept;
  std::unordered_map<std::uint64_t, std::list<KeptPart>::iterator> mKeptById;
  std::uint64_t mKeptTokens = 0;
  std::uint64_t mSharedTokensRead = 0;
  std::uint64_t mTokensReadInVain = 0;
};

} // namespace medlarkeel
