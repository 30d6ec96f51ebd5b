#include "requestadmission.h"

#include "bootclock.h"
#include "chatrequest.h"
#include "prefixhasher.h"
#include "sha256.h"

#include <array>
#include <random>
#include <utility>

namespace medlarkeel {

namespace {

const char* const kChatPath = "/v1/chat/completions";
const char* const kServicePrefix = "/s/";
const char* const kClassHeader = "X-Medlarkeel-Class";
const char* const kIdempotencyHeader = "Idempotency-Key";
constexpr std::size_t kLongestIdempotencyKey = 255;
constexpr std::size_t kBytesPerToken = 4;
constexpr std::size_t kChatDepth = 32;
constexpr std::size_t kLargestChatBody = 8U << 20U;

Refusal
Refuse(RefusalReason aReason, std::string aDetail)
{
  Refusal refusal;
  refusal.mReason = aReason;
  refusal.mDetail = std::move(aDetail);
  return refusal;
}

std::string
Header(const HttpRequest& aRequest, const char* aName)
{
  const auto found = aRequest.mHeaders.find(aName);
  return found == aRequest.mHeaders.end() ? std::string() : found->second;
}

/** @return The target with a slash in front. */
std::string
AsPath(std::string aTarget)
{
  return !aTarget.empty() && aTarget.front() == '/' ? aTarget : "/" + aTarget;
}

bool
IsPrintable(const std::string& aText)
{
  for (const char byte : aText) {
    if (byte <= ' ' || byte > '~') {
      return false;
    }
  }
  return true;
}

/** Works out one admission step after the other. */
class Admission
{
public:
  Admission(const HttpRequest& aHttp,
            const RequestId& aId,
            const DocumentView& aView,
            TeamGate& aGate)
    : mHttp(aHttp)
    , mView(aView)
    , mGate(aGate)
  {
    mRequest.mId = aId;
    mRequest.mArrived = BootNow();
    mRequest.mDocumentVersion = aView.Document().mVersion;
  }

  AdmissionResult Run()
  {
    using Step = std::optional<Refusal> (Admission::*)();
    static constexpr std::array<Step, 6> kSteps{
      &Admission::Authenticate, &Admission::ReadChat, &Admission::FindRoute,
      &Admission::ReadKey,      &Admission::FillCall, &Admission::Meter
    };
    for (const Step step : kSteps) {
      if (auto refusal = (this->*step)()) {
        refusal->mExecuted = ExecutedIfRefused(mHttp);
        return RejectedRequest{
          std::move(*refusal), mRequest.mClass.mName, mRequest.Team(), mShortage
        };
      }
    }
    return std::move(mRequest);
  }

private:
  std::optional<Refusal> Authenticate()
  {
    const std::string authorization = Header(mHttp, "Authorization");
    if (authorization.empty()) {
      return std::nullopt;
    }
    const auto key = BearerKey(authorization);
    mRequest.mCaller = mView.Keys().Authenticate(key.value_or(""));
    if (!mRequest.mCaller) {
      return Refuse(RefusalReason::Unauthenticated, "the key is not valid");
    }
    return std::nullopt;
  }

  std::optional<Refusal> ReadChat()
  {
    if (mHttp.mPath != kChatPath || mHttp.mMethod != "POST") {
      return std::nullopt;
    }
    auto chat =
      ParseChatRequest(mHttp.mBody, JsonLimits{ kLargestChatBody, kChatDepth });
    if (!chat) {
      return Refuse(RefusalReason::BadRequest, chat.error().mDetail);
    }
    mModel = chat.value().mModel;
    mRequest.mStream = chat.value().mStream;
    mRequest.mMaxTokens = chat.value().mMaxTokens;
    const std::string& prompt = chat.value().mPrompt;
    mRequest.mPromptTokens =
      static_cast<std::uint32_t>(prompt.size() / kBytesPerToken);
    mRequest.mPromptBlocks = HashPrefixBlocks(prompt, *mModel);
    return std::nullopt;
  }

  std::optional<Refusal> FindRoute()
  {
    RouteQuery query;
    query.mMethod = mHttp.mMethod;
    query.mPath = mHttp.mPath;
    query.mModel = mModel;
    if (mRequest.mCaller) {
      query.mTeam = mRequest.mCaller->mTeam;
    }
    const std::string wanted = Header(mHttp, kClassHeader);
    if (!wanted.empty()) {
      query.mClass = ClassName(wanted);
    }
    auto match = mView.Routes().Match(query);
    if (!match) {
      return RouteRefusal(match.error());
    }
    mRequest.mRoute = match.value().mRoute;
    mRequest.mPoolKind = match.value().mPoolKind;
    mRequest.mAdapter = match.value().mAdapter;
    const ServiceClass* found = mView.FindClass(mRequest.mRoute.mClass);
    if (found != nullptr) {
      mRequest.mClass = *found;
    }
    if (mRequest.mClass.mDeadline) {
      mRequest.mDeadline = mRequest.mArrived + *mRequest.mClass.mDeadline;
    }
    return std::nullopt;
  }

  std::optional<Refusal> ReadKey()
  {
    const std::string key = Header(mHttp, kIdempotencyHeader);
    if (key.size() > kLongestIdempotencyKey || !IsPrintable(key)) {
      return Refuse(RefusalReason::BadRequest,
                    "Idempotency-Key: expected at most 255 printable "
                    "characters without blanks");
    }
    mRequest.mIdempotencyKey = IdempotencyKey(key);
    return std::nullopt;
  }

  std::optional<Refusal> FillCall()
  {
    mRequest.mMethod = mHttp.mMethod;
    mRequest.mBackendPath = mHttp.mTarget;
    if (mRequest.mPoolKind == PoolKind::Service) {
      const std::size_t service = std::string(kServicePrefix).size();
      const std::size_t rest = mHttp.mTarget.find_first_of("/?", service);
      mRequest.mBackendPath =
        AsPath(rest == std::string::npos ? "" : mHttp.mTarget.substr(rest));
    }
    mRequest.mContentType = Header(mHttp, "Content-Type");
    mRequest.mBody = mHttp.mBody;
    mRequest.mBodyHash =
      Sha256Hex(mHttp.mMethod + " " + mHttp.mTarget + "\n" + mHttp.mBody);
    mRequest.mCallerLeft = mHttp.mCallerLeft;
    return std::nullopt;
  }

  std::optional<Refusal> Meter()
  {
    const AdmitVerdict verdict = mGate.Admit(mRequest.Team());
    if (verdict.mAdmitted) {
      return std::nullopt;
    }
    mShortage = verdict.mCause;
    Refusal refusal = Refuse(RefusalReason::TeamRateExceeded,
                             verdict.mCause == ShortageCause::TeamRate
                               ? "the team is at its rate"
                               : "the team's rate is not available here now");
    refusal.mRetryAfter = std::chrono::ceil<Milliseconds>(verdict.mRetryAfter);
    return refusal;
  }

  const HttpRequest& mHttp;
  const DocumentView& mView;
  TeamGate& mGate;
  AdmittedRequest mRequest;
  std::optional<std::string> mModel;
  std::optional<ShortageCause> mShortage;
};

} // namespace

AdmissionResult
AdmitRequest(const HttpRequest& aRequest,
             const RequestId& aId,
             const DocumentView& aView,
             TeamGate& aGate)
{
  return Admission(aRequest, aId, aView, aGate).Run();
}

Executed
ExecutedIfRefused(const HttpRequest& aRequest)
{
  const bool mayBeRepeat = !Header(aRequest, kIdempotencyHeader).empty() &&
                           aRequest.mPath != kChatPath;
  return mayBeRepeat ? Executed::Unknown : Executed::No;
}

RequestId
NewRequestId()
{
  static thread_local std::mt19937_64 sRandom{ std::random_device{}() };
  static const char* const kDigits = "0123456789abcdef";
  constexpr int kIdDigits = 32;
  constexpr int kDigitBits = 4;
  std::string id;
  std::uint64_t bits = 0;
  for (int index = 0; index < kIdDigits; ++index) {
    if (index % (64 / kDigitBits) == 0) {
      bits = sRandom();
    }
    id += kDigits[bits & 0xFU];
    bits >>= static_cast<unsigned>(kDigitBits);
  }
  return RequestId(id);
}

} // namespace medlarkeel
