#include "httpclient.h"

#include "preparedconnection.h"
#include "processconnection.h"

#include <curl/curl.h>

#include <algorithm>
#include <memory>
#include <mutex>
#include <optional>
#include <strings.h>
#include <sys/socket.h>

namespace medlarkeel {

namespace {

constexpr int kStopPollMilliseconds = 50;
constexpr int kLowestStatus = 100;
constexpr int kLowestFinalStatus = 200;
constexpr int kHighestStatus = 599;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

/** Maximum size of all heads and trailers of one reply. */
constexpr std::size_t kMaximumHeadBytes = 65'536;

struct EasyDeleter
{
  void operator()(CURL* aHandle) const { curl_easy_cleanup(aHandle); }
};

struct MultiDeleter
{
  void operator()(CURLM* aHandle) const { curl_multi_cleanup(aHandle); }
};

struct ListDeleter
{
  void operator()(curl_slist* aList) const { curl_slist_free_all(aList); }
};

using EasyHandle = std::unique_ptr<CURL, EasyDeleter>;
using MultiHandle = std::unique_ptr<CURLM, MultiDeleter>;
using HeaderList = std::unique_ptr<curl_slist, ListDeleter>;
using SteadyClock = std::chrono::steady_clock;

/** State of one call, reached by libcurl's callbacks. */
struct Transfer
{
  const HttpCall* mCall = nullptr;
  const HeadReader* mOnHead = nullptr;
  const DataReader* mOnData = nullptr;
  int mStatus = 0;
  HttpHeaders mHeaders;
  std::size_t mHeadBytes = 0;
  /** The empty line that ends the final head has arrived. */
  bool mIsHeadComplete = false;
  bool mHeadDelivered = false;
  /** The status is none of HTTP; libcurl takes any number. */
  bool mIsStatusInvalid = false;
  bool mStopped = false;
  bool mIdleTooLong = false;
  bool mNothingSent = false;
  bool mTookConnection = false;
  int mDescriptor = -1;
  SteadyClock::time_point mLastByte = SteadyClock::now();
};

void
DeliverHead(Transfer& aTransfer)
{
  if (aTransfer.mHeadDelivered) {
    return;
  }
  aTransfer.mHeadDelivered = true;
  (*aTransfer.mOnHead)(aTransfer.mStatus, aTransfer.mHeaders);
}

std::string_view
Trim(std::string_view aText)
{
  const char* blanks = " \t\r\n";
  const std::size_t first = aText.find_first_not_of(blanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(blanks) - first + 1);
}

/** Reads the code out of a line such as "HTTP/1.1 200 OK".
 *
 * @return A number from 100 to 599, or nothing. */
std::optional<int>
ParseStatusLine(std::string_view aLine)
{
  constexpr std::size_t kDigits = 3;
  const std::size_t blank = std::min(aLine.find(' '), aLine.size());
  const std::string_view rest = Trim(aLine.substr(blank));
  const std::string_view code = rest.substr(0, rest.find(' '));
  if (code.size() != kDigits) {
    return std::nullopt;
  }
  int result = 0;
  for (const char digit : code) {
    if (digit < '0' || digit > '9') {
      return std::nullopt;
    }
    result = result * 10 + (digit - '0');
  }
  const bool isValid = result >= kLowestStatus && result <= kHighestStatus;
  return isValid ? std::optional<int>(result) : std::nullopt;
}

void
AddHeader(HttpHeaders& aHeaders, std::string_view aLine)
{
  const std::size_t colon = aLine.find(':');
  if (colon == std::string_view::npos) {
    return;
  }
  const std::string name(Trim(aLine.substr(0, colon)));
  const std::string value(Trim(aLine.substr(colon + 1)));
  const auto [place, added] = aHeaders.emplace(name, value);
  if (!added) {
    place->second += ", " + value;
  }
}

/** @return Whether the last transfer coding is that of chunks. */
bool
IsChunked(std::string_view aCodings)
{
  const std::string_view last =
    Trim(aCodings.substr(aCodings.find_last_of(',') + 1));
  constexpr std::string_view kChunked = "chunked";
  return last.size() == kChunked.size() &&
         strncasecmp(last.data(), kChunked.data(), kChunked.size()) == 0;
}

/** @return How a transfer that libcurl reports as complete has ended. */
TransferEnd
EndOfTransfer(const Transfer& aTransfer)
{
  if (!aTransfer.mIsHeadComplete) {
    return TransferEnd::CloseInHead;
  }
  const auto codings = aTransfer.mHeaders.find("Transfer-Encoding");
  if (codings != aTransfer.mHeaders.end()) {
    return IsChunked(codings->second) ? TransferEnd::LastChunk
                                      : TransferEnd::Close;
  }
  const int status = aTransfer.mStatus;
  const bool hasNoBody = aTransfer.mCall->mMethod == "HEAD" ||
                         status == kNoContent || status == kNotModified;
  return hasNoBody || aTransfer.mHeaders.count("Content-Length") > 0
           ? TransferEnd::Length
           : TransferEnd::Close;
}

/** Observes the server's process if the answer ends with its connection. */
void
BeginObserving(const Transfer& aTransfer)
{
  const auto& process = aTransfer.mCall->mProcess;
  if (process && EndOfTransfer(aTransfer) == TransferEnd::Close) {
    process->Begin(aTransfer.mDescriptor);
  }
}

std::size_t
OnHeaderLine(char* aData,
             std::size_t aSize,
             std::size_t aCount,
             void* aTransfer)
{
  auto& transfer = *static_cast<Transfer*>(aTransfer);
  transfer.mLastByte = SteadyClock::now();
  const std::string_view line(aData, aSize * aCount);
  transfer.mHeadBytes += line.size();
  if (transfer.mHeadBytes > kMaximumHeadBytes) {
    return 0;
  }
  if (line.substr(0, 5) == "HTTP/" && !transfer.mIsHeadComplete) {
    const std::optional<int> status = ParseStatusLine(line);
    transfer.mIsStatusInvalid = !status;
    if (!status) {
      return 0;
    }
    transfer.mStatus = *status;
    transfer.mHeaders.clear();
  } else if (!Trim(line).empty()) {
    AddHeader(transfer.mHeaders, line);
  } else if (transfer.mStatus >= kLowestFinalStatus) {
    transfer.mIsHeadComplete = true;
    BeginObserving(transfer);
    DeliverHead(transfer);
  }
  return line.size();
}

std::size_t
OnBody(char* aData, std::size_t aSize, std::size_t aCount, void* aTransfer)
{
  auto& transfer = *static_cast<Transfer*>(aTransfer);
  transfer.mLastByte = SteadyClock::now();
  const std::string_view data(aData, aSize * aCount);
  if (!(*transfer.mOnData)(data)) {
    transfer.mStopped = true;
    return 0;
  }
  return data.size();
}

/** Hands the call's prepared connection to libcurl, or a new socket. */
curl_socket_t
OpenSocket(void* aTransfer, curlsocktype aPurpose, curl_sockaddr* aAddress)
{
  static_cast<void>(aPurpose);
  auto& transfer = *static_cast<Transfer*>(aTransfer);
  const auto& prepared = transfer.mCall->mConnection;
  transfer.mDescriptor = prepared ? prepared->Release() : -1;
  transfer.mTookConnection = transfer.mDescriptor >= 0;
  if (!transfer.mTookConnection) {
    transfer.mDescriptor =
      socket(aAddress->family,
             aAddress->socktype | SOCK_CLOEXEC, // NOLINT(hicpp-signed-bitwise)
             aAddress->protocol);
  }
  return transfer.mDescriptor;
}

int
TellWhetherConnected(void* aTransfer, curl_socket_t, curlsocktype)
{
  const bool connected = static_cast<Transfer*>(aTransfer)->mTookConnection;
  return connected ? CURL_SOCKOPT_ALREADY_CONNECTED : CURL_SOCKOPT_OK;
}

void
InitialiseLibrary()
{
  static std::once_flag sInitialised;
  std::call_once(sInitialised, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

/** @return The handle that keeps the connections of the thread's calls. */
CURLM*
ThreadMulti()
{
  thread_local const MultiHandle sMulti(curl_multi_init());
  return sMulti.get();
}

HeaderList
ConvertHeaders(const HttpHeaders& aHeaders)
{
  // A name without a value keeps libcurl from adding its own: a wait for
  // "100 Continue" and the content type of a form.
  HeaderList result(curl_slist_append(nullptr, "Expect:"));
  if (aHeaders.count("Content-Type") == 0) {
    static_cast<void>(curl_slist_append(result.get(), "Content-Type:"));
  }
  for (const auto& [name, value] : aHeaders) {
    std::string line = name;
    line += value.empty() ? ";" : ": ";
    line += value;
    static_cast<void>(curl_slist_append(result.get(), line.c_str()));
  }
  return result;
}

void
SetRequest(CURL* aEasy, const HttpCall& aCall, const curl_slist* aHeaders)
{
  curl_easy_setopt(aEasy, CURLOPT_URL, aCall.mUrl.c_str());
  curl_easy_setopt(aEasy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(aEasy, CURLOPT_PROXY, "");
  curl_easy_setopt(aEasy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(
    aEasy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(aEasy, CURLOPT_HTTPHEADER, aHeaders);
  if (aCall.mMethod == "HEAD") {
    curl_easy_setopt(aEasy, CURLOPT_NOBODY, 1L);
  } else if (aCall.mMethod != "GET" || !aCall.mBody.empty()) {
    curl_easy_setopt(aEasy,
                     CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(aCall.mBody.size()));
    curl_easy_setopt(aEasy, CURLOPT_POSTFIELDS, aCall.mBody.data());
    curl_easy_setopt(aEasy, CURLOPT_CUSTOMREQUEST, aCall.mMethod.c_str());
  }
  const long fresh = aCall.mReuseConnection ? 0L : 1L;
  curl_easy_setopt(aEasy, CURLOPT_FRESH_CONNECT, fresh);
  curl_easy_setopt(aEasy, CURLOPT_FORBID_REUSE, fresh);
  curl_easy_setopt(
    aEasy, CURLOPT_TIMEOUT_MS, static_cast<long>(aCall.mTimeout.count()));
  curl_easy_setopt(aEasy,
                   CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(aCall.mConnectTimeout.count()));
}

void
SetCallbacks(CURL* aEasy, Transfer& aTransfer)
{
  curl_easy_setopt(aEasy, CURLOPT_HEADERFUNCTION, &OnHeaderLine);
  curl_easy_setopt(aEasy, CURLOPT_HEADERDATA, &aTransfer);
  curl_easy_setopt(aEasy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(aEasy, CURLOPT_WRITEDATA, &aTransfer);
  if (aTransfer.mCall->mConnection || aTransfer.mCall->mProcess) {
    curl_easy_setopt(aEasy, CURLOPT_OPENSOCKETFUNCTION, &OpenSocket);
    curl_easy_setopt(aEasy, CURLOPT_OPENSOCKETDATA, &aTransfer);
    curl_easy_setopt(aEasy, CURLOPT_SOCKOPTFUNCTION, &TellWhetherConnected);
    curl_easy_setopt(aEasy, CURLOPT_SOCKOPTDATA, &aTransfer);
  }
}

/** @return Whether the call is to be given up without libcurl's verdict. */
bool
MustStop(Transfer& aTransfer)
{
  const HttpCall& call = *aTransfer.mCall;
  if (call.mShouldStop && call.mShouldStop()) {
    aTransfer.mStopped = true;
    return true;
  }
  const auto idle = SteadyClock::now() - aTransfer.mLastByte;
  aTransfer.mIdleTooLong =
    call.mIdleTimeout.count() > 0 && idle > call.mIdleTimeout;
  return aTransfer.mIdleTooLong;
}

/** Runs the transfer until libcurl's verdict or until it must stop. */
CURLcode
Run(CURLM* aMulti, Transfer& aTransfer)
{
  int running = 1;
  while (running > 0) {
    if (curl_multi_perform(aMulti, &running) != CURLM_OK) {
      return CURLE_GOT_NOTHING;
    }
    if (aTransfer.mCall->mProcess) {
      aTransfer.mCall->mProcess->Observe();
    }
    if (running > 0 && MustStop(aTransfer)) {
      return CURLE_ABORTED_BY_CALLBACK;
    }
    if (running > 0) {
      curl_multi_poll(aMulti, nullptr, 0, kStopPollMilliseconds, nullptr);
    }
  }
  int left = 0;
  const CURLMsg* message = curl_multi_info_read(aMulti, &left);
  return message == nullptr ? CURLE_GOT_NOTHING : message->data.result;
}

NetErrorKind
ErrorKind(CURLcode aCode, const Transfer& aTransfer)
{
  if (aTransfer.mStopped) {
    return NetErrorKind::StoppedByReader;
  }
  if (aTransfer.mNothingSent) {
    return NetErrorKind::ConnectFailed;
  }
  if (aTransfer.mIdleTooLong) {
    return NetErrorKind::TimedOut;
  }
  if (aTransfer.mIsStatusInvalid) {
    return NetErrorKind::BadReply;
  }
  switch (aCode) {
    case CURLE_OPERATION_TIMEDOUT:
      return NetErrorKind::TimedOut;
    case CURLE_WEIRD_SERVER_REPLY:
      return NetErrorKind::BadReply;
    default:
      return NetErrorKind::PeerClosed;
  }
}

/** @return Whether it is certain that the server saw nothing of the call. */
bool
NothingSent(CURL* aEasy, const HttpCall& aCall)
{
  long bytes = 0;
  curl_easy_getinfo(aEasy, CURLINFO_REQUEST_SIZE, &bytes);
  return bytes == 0 && !aCall.mReuseConnection;
}

/** @return Why a call that libcurl reports as failed has no complete reply. */
std::optional<AnswerFault>
FaultOf(CURLcode aCode, const Transfer& aTransfer)
{
  if (aTransfer.mHeadBytes > kMaximumHeadBytes) {
    return AnswerFault::HeadTooLarge;
  }
  if (aTransfer.mIsStatusInvalid) {
    return AnswerFault::InvalidHead;
  }
  switch (aCode) {
    case CURLE_GOT_NOTHING:
      return FindEndFault(TransferEnd::CloseBeforeHead, nullptr);
    case CURLE_PARTIAL_FILE:
      return FindEndFault(aTransfer.mIsHeadComplete ? TransferEnd::CloseInBody
                                                    : TransferEnd::CloseInHead,
                          nullptr);
    case CURLE_RECV_ERROR:
    case CURLE_SEND_ERROR:
      return FindEndFault(TransferEnd::Reset, nullptr);
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_UNSUPPORTED_PROTOCOL:
      return AnswerFault::InvalidHead;
    default:
      return std::nullopt;
  }
}

NetError
ErrorOf(CURLcode aCode, const Transfer& aTransfer)
{
  NetError error{ ErrorKind(aCode, aTransfer), curl_easy_strerror(aCode) };
  const bool hasFault = error.mKind == NetErrorKind::PeerClosed ||
                        error.mKind == NetErrorKind::BadReply;
  if (hasFault) {
    error.mFault = FaultOf(aCode, aTransfer);
  }
  return error;
}

NetResult<TransferEnd>
Conclude(CURLcode aCode, Transfer& aTransfer)
{
  if (aCode != CURLE_OK) {
    return ErrorOf(aCode, aTransfer);
  }
  const TransferEnd end = EndOfTransfer(aTransfer);
  if (const auto fault = FindEndFault(end, nullptr)) {
    return NetError{ NetErrorKind::PeerClosed,
                     "the connection ended inside the head",
                     fault };
  }
  return end;
}

} // namespace

NetResult<TransferEnd>
StreamHttp(const HttpCall& aCall,
           const HeadReader& aOnHead,
           const DataReader& aOnData)
{
  InitialiseLibrary();
  // A handle of its own lets the callbacks make calls as well.
  const MultiHandle own(aCall.mReuseConnection ? nullptr : curl_multi_init());
  CURLM* multi = aCall.mReuseConnection ? ThreadMulti() : own.get();
  const EasyHandle easy(curl_easy_init());
  if (multi == nullptr || easy == nullptr) {
    return NetError{ NetErrorKind::ConnectFailed, "libcurl can't start" };
  }
  Transfer transfer;
  transfer.mCall = &aCall;
  transfer.mOnHead = &aOnHead;
  transfer.mOnData = &aOnData;
  const HeaderList headers = ConvertHeaders(aCall.mHeaders);
  SetRequest(easy.get(), aCall, headers.get());
  SetCallbacks(easy.get(), transfer);
  curl_multi_add_handle(multi, easy.get());
  const CURLcode code = Run(multi, transfer);
  transfer.mNothingSent = NothingSent(easy.get(), aCall);
  curl_multi_remove_handle(multi, easy.get());
  return Conclude(code, transfer);
}

NetResult<HttpReply>
SendHttp(const HttpCall& aCall)
{
  HttpReply reply;
  const auto onHead = [&reply](int aStatus, const HttpHeaders& aHeaders) {
    reply.mStatus = aStatus;
    reply.mHeaders = aHeaders;
  };
  bool tooLarge = false;
  const auto onData = [&](std::string_view aData) {
    tooLarge = reply.mBody.size() + aData.size() > aCall.mReplyLimit;
    reply.mBody.append(tooLarge ? std::string_view() : aData);
    return !tooLarge;
  };
  const NetResult<TransferEnd> outcome = StreamHttp(aCall, onHead, onData);
  if (tooLarge) {
    return NetError{ NetErrorKind::BadReply, "reply is too large" };
  }
  BOOST_OUTCOME_TRY(end, outcome);
  if (end == TransferEnd::Close) {
    return NetError{ NetErrorKind::BadReply,
                     "reply has neither a length nor chunks" };
  }
  return reply;
}

} // namespace medlarkeel
