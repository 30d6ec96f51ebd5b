#include "engine.h"

#include "bootclock.h"
#include "httpclient.h"

#include <algorithm>
#include <cstdlib>
#include <thread>

namespace medlarkeel {

namespace {

constexpr auto kCallerPoll = std::chrono::milliseconds(10);
constexpr std::size_t kBlockCharacters = 256;
constexpr std::size_t kKeptSamples = 10000;
constexpr std::uint64_t kLostEventInterval = 7;
constexpr double kPrefillShareSaved = 0.8;

std::uint64_t
Mix(std::uint64_t aSeed, const std::string& aText)
{
  return std::hash<std::string>()(std::to_string(aSeed) + ":" + aText);
}

std::string
LastWord(const std::string& aText)
{
  const std::size_t end = aText.find_last_not_of(" \t\r\n");
  if (end == std::string::npos) {
    return "";
  }
  const std::size_t blank = aText.find_last_of(" \t\r\n", end);
  const std::size_t begin = blank == std::string::npos ? 0 : blank + 1;
  return aText.substr(begin, end - begin + 1);
}

std::string
PromptText(const nlohmann::json& aBody)
{
  std::string result;
  for (const auto& message : aBody.value("messages", nlohmann::json::array())) {
    if (message.is_object()) {
      result += message.value("content", "") + "\n";
    }
  }
  return result;
}

std::size_t
VariedLength(std::size_t aMean, std::uint64_t aSeed, const std::string& aText)
{
  if (aSeed == 0 || aMean == 0) {
    return aMean;
  }
  return aMean / 2 + Mix(aSeed, aText) % (aMean + 1);
}

} // namespace

Engine::Engine(EngineOptions aOptions)
  : mOptions(std::move(aOptions))
  , mColdUntil(SteadyClock::now() +
               std::chrono::duration_cast<SteadyClock::duration>(
                 std::chrono::duration<double>(mOptions.mColdSeconds)))
{
  mModels.insert(mOptions.mPool);
  mVersion = mOptions.mVersion;
  RecordLoad();
}

GenerationOrder
Engine::ParseOrder(const HttpRequest& aRequest) const
{
  const nlohmann::json body = ParseObject(aRequest.mBody);
  GenerationOrder result;
  result.mPrompt = PromptText(body);
  result.mMarker = LastWord(result.mPrompt);
  const std::string model = body.value("model", "");
  const std::size_t colon = model.find(':');
  if (colon != std::string::npos) {
    result.mAdapter = model.substr(colon + 1);
  }
  result.mTokens =
    VariedLength(mOptions.mTokens, mOptions.mSeed, result.mPrompt);
  result.mTokens =
    std::min(result.mTokens, body.value("max_tokens", result.mTokens));
  result.mPriority = body.value("priority", 0);
  result.mStreams = body.value("stream", false);
  result.mCallerLeft = aRequest.mCallerLeft;
  return result;
}

std::shared_ptr<Generation>
Engine::Begin(GenerationOrder aOrder)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  auto result = std::make_shared<Generation>();
  result->mOrder = std::move(aOrder);
  result->mNumber = mNextNumber++;
  result->mVersionLoads = mVersionLoads;
  mWaiting.push_back(result.get());
  RecordLoad();
  return result;
}

bool
Engine::IsCold() const
{
  return SteadyClock::now() < mColdUntil;
}

bool
Engine::MayRun(const Generation& aGeneration) const
{
  if (mRunning >= mOptions.mSlots || mHangs || mLoadsVersion) {
    return false;
  }
  const auto before = [](const Generation* aLeft, const Generation* aRight) {
    return std::make_pair(aLeft->mOrder.mPriority, aLeft->mNumber) <
           std::make_pair(aRight->mOrder.mPriority, aRight->mNumber);
  };
  return *std::min_element(mWaiting.begin(), mWaiting.end(), before) ==
         &aGeneration;
}

/** @return Whether the caller has left or a version load cut the run. */
bool
Engine::IsEnded(const Generation& aGeneration) const
{
  return aGeneration.mVersionLoads != mVersionLoads ||
         aGeneration.mOrder.mCallerLeft();
}

/** Takes a slot; an overloaded engine that is still cold crashes. */
void
Engine::StartRunning(Generation& aGeneration)
{
  mWaiting.erase(std::find(mWaiting.begin(), mWaiting.end(), &aGeneration));
  aGeneration.mRunning = true;
  ++mRunning;
  ++mStarted;
  ++mRunsByMarker[aGeneration.mOrder.mMarker];
  mStartsByMarker.try_emplace(
    aGeneration.mOrder.mMarker,
    std::chrono::duration_cast<std::chrono::microseconds>(
      SteadyClock::now().time_since_epoch())
      .count());
  mMaximumRunning = std::max(mMaximumRunning, mRunning);
  if (IsCold()) {
    mMaximumCold = std::max(mMaximumCold, mRunning);
    if (mRunning > mOptions.mColdSlots) {
      std::fprintf(stderr, "overloaded in a cold start\n");
      std::_Exit(1);
    }
  }
  RecordLoad();
  mChanged.notify_all();
}

bool
Engine::WaitForSlot(std::unique_lock<std::mutex>& aLock,
                    Generation& aGeneration)
{
  while (!MayRun(aGeneration)) {
    mChanged.wait_for(aLock, kCallerPoll);
    if (IsEnded(aGeneration)) {
      return false;
    }
  }
  StartRunning(aGeneration);
  const double missing = FillCache(aGeneration.mOrder.mPrompt);
  const double saved = kPrefillShareSaved * (1 - missing);
  return Pause(
    aLock, aGeneration, mOptions.mFirstTokenMilliseconds * (1 - saved));
}

/** Waits for a duration that hanging and slowness prolong.
 * @return False if the caller left meanwhile. */
bool
Engine::Pause(std::unique_lock<std::mutex>& aLock,
              const Generation& aGeneration,
              double aMilliseconds)
{
  double done = 0;
  auto last = SteadyClock::now();
  while (done < aMilliseconds || mHangs) {
    const FloatMilliseconds left((aMilliseconds - done) * mSlowFactor);
    const auto wait = std::min<FloatMilliseconds>(left, kCallerPoll);
    mChanged.wait_for(aLock, mHangs ? FloatMilliseconds(kCallerPoll) : wait);
    const auto now = SteadyClock::now();
    done += mHangs ? 0 : FloatMilliseconds(now - last).count() / mSlowFactor;
    last = now;
    if (IsEnded(aGeneration)) {
      return false;
    }
  }
  return true;
}

void
Engine::CountToken()
{
  ++mTokensMade;
  if (mTokensBeforeDeath < 0) {
    return;
  }
  if (mTokensBeforeDeath == 0) {
    std::fprintf(stderr, "crashes as ordered\n");
    std::_Exit(1);
  }
  --mTokensBeforeDeath;
}

bool
Engine::NextToken(Generation& aGeneration, std::string& aToken)
{
  std::unique_lock<std::mutex> lock(mMutex);
  if (!aGeneration.mRunning) {
    if (!WaitForSlot(lock, aGeneration)) {
      return false;
    }
  } else if (!Pause(lock, aGeneration, mOptions.mTokenGapMilliseconds)) {
    return false;
  }
  if (aGeneration.mNextToken == aGeneration.mOrder.mTokens) {
    return false;
  }
  CountToken();
  aToken = aGeneration.mOrder.mMarker + "#" +
           std::to_string(aGeneration.mNextToken) + " ";
  ++aGeneration.mNextToken;
  return true;
}

void
Engine::Finish(Generation& aGeneration)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (aGeneration.mOver) {
    return;
  }
  aGeneration.mOver = true;
  if (aGeneration.mRunning) {
    --mRunning;
  } else {
    mWaiting.erase(std::find(mWaiting.begin(), mWaiting.end(), &aGeneration));
  }
  if (aGeneration.mNextToken == aGeneration.mOrder.mTokens) {
    ++mFinished;
  } else {
    ++mCancelled;
    mTokensWasted += aGeneration.mNextToken;
  }
  RecordLoad();
  mChanged.notify_all();
}

/** @return The share of the prompt's blocks that the cache didn't hold. */
double
Engine::FillCache(const std::string& aPrompt)
{
  std::size_t blocks = 0;
  std::size_t missing = 0;
  for (std::size_t end = kBlockCharacters; end <= aPrompt.size();
       end += kBlockCharacters) {
    ++blocks;
    const std::uint64_t block = Mix(0, aPrompt.substr(0, end));
    const auto place = std::find(mCache.begin(), mCache.end(), block);
    if (place != mCache.end()) {
      mCache.erase(place);
    } else {
      ++missing;
      AddCacheEvent(block, true);
    }
    mCache.push_back(block);
  }
  while (mCache.size() > mOptions.mCacheBlocks) {
    AddCacheEvent(mCache.front(), false);
    mCache.pop_front();
  }
  return blocks == 0 ? 1.0 : double(missing) / double(blocks);
}

/** Keeps the event for publication; every seventh gets lost. */
void
Engine::AddCacheEvent(std::uint64_t aBlock, bool aAdded)
{
  ++mLastCacheEvent;
  if (mLastCacheEvent % kLostEventInterval == 0) {
    return;
  }
  mCacheEvents.push_back(
    { SteadyClock::now(), mLastCacheEvent, aBlock, aAdded });
  if (mCacheEvents.size() > kKeptSamples) {
    mCacheEvents.pop_front();
  }
}

nlohmann::json
Engine::CacheEvents(std::uint64_t aAfter)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const FloatMilliseconds lag(mOptions.mReportLagMilliseconds);
  nlohmann::json events = nlohmann::json::array();
  for (const CacheEvent& event : mCacheEvents) {
    const bool due = SteadyClock::now() - event.mTime >= lag;
    if (event.mNumber > aAfter && due && !mReportsPaused) {
      events.push_back({ { "number", event.mNumber },
                         { "block", event.mBlock },
                         { "added", event.mAdded } });
    }
  }
  return { { "events", events } };
}

void
Engine::RecordLoad()
{
  if (mReportsPaused) {
    return;
  }
  mSamples.push_back({ SteadyClock::now(), mRunning, mWaiting.size() });
  if (mSamples.size() > kKeptSamples) {
    mSamples.pop_front();
  }
}

nlohmann::json
Engine::Load()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const FloatMilliseconds lag(mOptions.mReportLagMilliseconds);
  while (mSamples.size() > 1 && SteadyClock::now() - mSamples[1].mTime >= lag) {
    mSamples.pop_front();
  }
  const LoadSample& sample = mSamples.front();
  return { { "running", sample.mRunning }, { "waiting", sample.mWaiting } };
}

nlohmann::json
Engine::Statistics() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return { { "started", mStarted },
           { "finished", mFinished },
           { "cancelled", mCancelled },
           { "running", mRunning },
           { "waiting", mWaiting.size() },
           { "tokens", mTokensMade },
           { "tokensWasted", mTokensWasted },
           { "maximumRunning", mMaximumRunning },
           { "maximumRunningCold", mMaximumCold },
           { "cold", IsCold() },
           { "ordersApplied", mOrdersApplied },
           { "ordersRefused", mOrdersRefused },
           { "cutByOrders", mCutByOrders },
           { "runsByMarker", mRunsByMarker },
           { "startsByMarker", mStartsByMarker } };
}

nlohmann::json
Engine::ModelState() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return { { "models", mModels },     { "version", mVersion },
           { "adapters", mAdapters }, { "role", mRole },
           { "loading", mLoading },   { "fencing", mHighestFencing } };
}

int
Engine::StatusOfUnserved(const GenerationOrder& aOrder) const
{
  constexpr int kNotFound = 404;
  constexpr int kUnavailable = 503;
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mLoadsVersion) {
    return kUnavailable;
  }
  const bool lacks =
    !aOrder.mAdapter.empty() && mAdapters.count(aOrder.mAdapter) == 0;
  return lacks ? kNotFound : 0;
}

nlohmann::json
Engine::Orders() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  nlohmann::json orders = nlohmann::json::array();
  for (const ReceivedOrder& order : mOrders) {
    orders.push_back({ { "kind", order.mKind },
                       { "name", order.mName },
                       { "fencing", order.mFencing },
                       { "receivedMs", order.mReceivedAt },
                       { "effectiveMs", order.mEffectiveAt },
                       { "outcome", order.mOutcome } });
  }
  return { { "orders", orders } };
}

/** Ends all generations; none begins until the version is loaded. */
void
Engine::BeginVersionLoad()
{
  mLoadsVersion = true;
  mCutByOrders += mRunning + mWaiting.size();
  ++mVersionLoads;
  mChanged.notify_all();
}

/** @return Whether the store let the weights go. */
bool
Engine::DrawWeights(const std::string& aName) const
{
  if (mOptions.mWeightStorePort == 0) {
    return true;
  }
  HttpCall call;
  call.mMethod = "POST";
  call.mUrl = "http://127.0.0.1:" + std::to_string(mOptions.mWeightStorePort) +
              "/weights/" + aName;
  const auto reply = SendHttp(call);
  return reply.has_value() && reply.value().mStatus == 200;
}

/** @return Whether the weights are there; blocks while they load. */
bool
Engine::LoadWeights(const ReceivedOrder& aOrder)
{
  if (!DrawWeights(aOrder.mName)) {
    return false;
  }
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mLoading = aOrder.mName;
    if (aOrder.mKind == "load-version") {
      BeginVersionLoad();
    }
  }
  std::this_thread::sleep_for(FloatMilliseconds(mOptions.mLoadMilliseconds));
  return true;
}

void
Engine::TakeEffect(const ReceivedOrder& aOrder)
{
  if (aOrder.mKind == "load") {
    mModels.insert(aOrder.mName);
  } else if (aOrder.mKind == "unload") {
    mModels.erase(aOrder.mName);
  } else if (aOrder.mKind == "load-adapter") {
    mAdapters.insert(aOrder.mName);
  } else if (aOrder.mKind == "unload-adapter") {
    mAdapters.erase(aOrder.mName);
  } else if (aOrder.mKind == "change-role") {
    mRole = aOrder.mName;
  } else if (aOrder.mKind == "load-version") {
    mVersion = aOrder.mName;
    mAdapters.clear();
  }
  mLoading.clear();
  mLoadsVersion = false;
}

HttpResponse
Engine::ApplyOrder(const nlohmann::json& aOrder)
{
  ReceivedOrder order;
  order.mKind = aOrder.value("kind", "");
  order.mName = aOrder.value("name", "");
  order.mFencing = aOrder.value("fencing", std::uint64_t{ 0 });
  order.mReceivedAt = WallNow().count();
  const std::lock_guard<std::mutex> turn(mOrderTurn);
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mOrders.push_back(order);
    if (mOptions.mHonoursFencing && order.mFencing < mHighestFencing) {
      ++mOrdersRefused;
      mOrders.back().mOutcome = "refused";
      return JsonResponse(409, { { "error", "fencing number is too old" } });
    }
    mHighestFencing = std::max(mHighestFencing, order.mFencing);
  }
  const bool loads =
    order.mKind == "load-adapter" || order.mKind == "load-version";
  const bool loaded = !loads || LoadWeights(order);
  const std::lock_guard<std::mutex> lock(mMutex);
  if (!loaded) {
    mOrders.back().mOutcome = "failed";
    return JsonResponse(503, { { "error", "the weight store refused" } });
  }
  TakeEffect(order);
  ++mOrdersApplied;
  mOrders.back().mEffectiveAt = WallNow().count();
  mOrders.back().mOutcome = "applied";
  return JsonResponse(200, { { "applied", order.mFencing } });
}

void
Engine::ApplyFault(const nlohmann::json& aFault)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mSlowFactor = aFault.value("slow", mSlowFactor);
  mHangs = aFault.value("hang", mHangs);
  mTokensBeforeDeath = aFault.value("dieAfterTokens", mTokensBeforeDeath);
  mReportsPaused = aFault.value("pauseReports", mReportsPaused);
  if (aFault.value("dropCaches", false)) {
    mCache.clear();
  }
  mChanged.notify_all();
}

} // namespace medlarkeel
