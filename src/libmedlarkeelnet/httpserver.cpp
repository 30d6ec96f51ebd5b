#include "httpserver.h"

#include "refusal.h"

#include <orcania.h>
#include <ulfius.h>

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace medlarkeel {

namespace {

constexpr std::size_t kStreamBlockBytes = 16384;
/** Maximum size of a stream that is collected for a caller without chunks. */
constexpr std::size_t kMaximumCollectedBytes = 16U << 20U;

constexpr std::size_t kConnectionPoolSpareBytes = 32768;
constexpr unsigned kListenBacklog = 1024;

/** Memory of a connection: the server's buffer for it (64 KB), and an estimate
 * for the used part of its thread's stack. */
constexpr std::size_t kThreadBytes = 98'304;

/** Part of the connections that one address may have. All callers may come from
 * the address of one load balancer. */
constexpr double kAddressShare = 0.75;
constexpr int kContentTooLarge = 413;
constexpr int kHeadersTooLarge = 431;
constexpr int kInternalError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kVersionNotSupported = 505;

/** Steps in which the block of a body grows. A body that advances by one of
 * them isn't stalled. */
constexpr std::size_t kBodyStep = 4096;

/** Bodies above the first size get a block of at least the second one, of which
 * only the used part takes memory: blocks of this size return to the machine as
 * soon as they are freed, smaller ones stay with their thread's allocator. */
constexpr std::size_t kSmallBody = 16'384;
constexpr std::size_t kLargeBlock = 131'072;

/** The connection that a thread serves. */
struct ServedConnection
{
  MHD_Connection* mHandle = nullptr;
  int mDescriptor = -1;
  unsigned mIdleTimeout = 0; // seconds
  std::string mTarget;
  /** Bounds the memory of requests; null if nothing does. */
  UploadMonitor* mUploads = nullptr;
  CallerId mRequest;
  std::size_t mBodyLimit = 0;
  /** Whether the request isn't complete and its body is counted. */
  bool mIsReceiving = false;
  /** The block in which ulfius collects the body, and the size that is counted
   * for it. */
  void* mBody = nullptr;
  std::size_t mBodyCapacity = 0;
};

thread_local ServedConnection sConnection;

/**
 * Suspends the connection's idle timeout, which would otherwise count the time
 * that the server itself takes, and close the connection as soon as the
 * response is there. Afterwards it counts from anew.
 */
class BlockingSection
{
public:
  BlockingSection() { SetTimeout(0); }
  ~BlockingSection() { SetTimeout(sConnection.mIdleTimeout); }
  BlockingSection(const BlockingSection&) = delete;
  BlockingSection& operator=(const BlockingSection&) = delete;

private:
  static void SetTimeout(unsigned aSeconds)
  {
    MHD_set_connection_option(
      sConnection.mHandle, MHD_CONNECTION_OPTION_TIMEOUT, aSeconds);
  }
};

/** @return Size of a block for a body of this size. It shows a body over the
 * limit as such. */
std::size_t
BodyCapacity(std::size_t aSize)
{
  const std::size_t rounded = (aSize + kBodyStep - 1) / kBodyStep * kBodyStep;
  return std::min(rounded, std::max(aSize, sConnection.mBodyLimit));
}

std::size_t
BlockSize(std::size_t aCapacity)
{
  return aCapacity <= kSmallBody ? aCapacity : std::max(aCapacity, kLargeBlock);
}

/** @return Whether the body may grow; may block. Otherwise the request was
 * ended. */
bool
MayGrow(std::size_t aCapacity)
{
  if (aCapacity <= sConnection.mBodyCapacity) {
    return true;
  }
  const BlockingSection section;
  return sConnection.mUploads->Reserve(sConnection.mRequest, aCapacity);
}

/**
 * What ulfius calls to grow its blocks. The only one that it makes this way
 * while a request arrives is that of the body.
 */
void*
Reallocate(void* aBlock, std::size_t aSize)
{
  const bool isBody = sConnection.mIsReceiving && aBlock == sConnection.mBody;
  if (!isBody) {
    return std::realloc(aBlock, aSize);
  }
  const std::size_t capacity =
    std::max(BodyCapacity(aSize), sConnection.mBodyCapacity);
  void* grown = nullptr;
  if (MayGrow(capacity)) {
    grown = std::realloc(aBlock, BlockSize(capacity));
  }
  if (grown == nullptr) {
    // ulfius forgets the old block and ends the connection.
    std::free(aBlock);
  }
  sConnection.mBody = grown;
  sConnection.mBodyCapacity = grown == nullptr ? 0 : capacity;
  return grown;
}

/** Lets the bodies that ulfius collects ask for their memory. */
void
CountBodies()
{
  static const bool sIsSet = [] {
    o_set_alloc_funcs(std::malloc, Reallocate, std::free);
    return true;
  }();
  static_cast<void>(sIsSet);
}

/** A streamed body on its way to the caller. */
struct OutgoingStream
{
  std::unique_ptr<BodySource> mSource;
  std::string mPending;
  std::size_t mOffset = 0;
};

bool
CallerLeft(int aDescriptor)
{
  pollfd entry{ aDescriptor, POLLRDHUP, 0 };
  if (poll(&entry, 1, 0) <= 0) {
    return false;
  }
  return (entry.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0;
}

ssize_t
TakePending(OutgoingStream& aStream, char* aTarget, std::size_t aLimit)
{
  const std::size_t left = aStream.mPending.size() - aStream.mOffset;
  const std::size_t count = left < aLimit ? left : aLimit;
  std::memcpy(aTarget, aStream.mPending.data() + aStream.mOffset, count);
  aStream.mOffset += count;
  return static_cast<ssize_t>(count);
}

/** @return The next piece; Failed if the source throws. */
Piece
NextPiece(BodySource& aSource)
{
  const BlockingSection section;
  try {
    return aSource.Next();
  } catch (const std::exception&) {
    return { PieceKind::Failed, "" };
  }
}

/** Stream callback of ulfius; blocks until there is something to send. */
ssize_t
FillBlock(void* aStream, std::uint64_t, char* aTarget, std::size_t aLimit)
{
  auto& stream = *static_cast<OutgoingStream*>(aStream);
  while (stream.mOffset == stream.mPending.size()) {
    Piece piece = NextPiece(*stream.mSource);
    if (piece.mKind == PieceKind::End) {
      return U_STREAM_END;
    }
    if (piece.mKind == PieceKind::Failed) {
      return U_STREAM_ERROR;
    }
    stream.mPending = std::move(piece.mData);
    stream.mOffset = 0;
  }
  return TakePending(stream, aTarget, aLimit);
}

void
FreeStream(void* aStream)
{
  delete static_cast<OutgoingStream*>(aStream);
}

template<typename Map>
Map
CopyMap(const _u_map* aSource)
{
  Map result;
  const char** keys = u_map_enum_keys(aSource);
  for (int index = 0; keys != nullptr && keys[index] != nullptr; ++index) {
    const char* value = u_map_get(aSource, keys[index]);
    result.emplace(keys[index], value == nullptr ? "" : value);
  }
  return result;
}

std::string
TextOrEmpty(const char* aText)
{
  return aText == nullptr ? std::string() : std::string(aText);
}

HttpRequest
ConvertRequest(const _u_request& aRequest)
{
  HttpRequest result;
  result.mMethod = TextOrEmpty(aRequest.http_verb);
  result.mPath = TextOrEmpty(aRequest.url_path);
  result.mTarget = sConnection.mTarget;
  result.mHeaders = CopyMap<HttpHeaders>(aRequest.map_header);
  result.mQuery = CopyMap<HttpQuery>(aRequest.map_url);
  if (aRequest.binary_body_length > 0) {
    result.mBody.assign(static_cast<const char*>(aRequest.binary_body),
                        aRequest.binary_body_length);
  }
  const int descriptor = sConnection.mDescriptor;
  result.mCallerLeft = [descriptor] { return CallerLeft(descriptor); };
  return result;
}

std::size_t
HeaderBytes(const HttpHeaders& aHeaders)
{
  std::size_t result = 0;
  for (const auto& [name, value] : aHeaders) {
    result += name.size() + value.size();
  }
  return result;
}

HttpResponse
ProblemResponse(int aStatus,
                const char* aReason,
                const char* aTitle,
                Executed aExecuted = Executed::No)
{
  HttpResponse result;
  result.mStatus = aStatus;
  result.mHeaders["Content-Type"] = "application/problem+json";
  result.mBody = std::string(R"({"type":"about:blank","title":")") + aTitle +
                 R"(","status":)" + std::to_string(aStatus) + R"(,"reason":")" +
                 aReason + R"(","executed":")" + ExecutedText(aExecuted) +
                 "\"}";
  return result;
}

/**
 * Replaces a stream by its whole body. A caller without chunks could not tell
 * a stream that broke off from a complete one.
 */
HttpResponse
CollectStream(HttpResponse aResponse)
{
  const std::unique_ptr<BodySource> source = std::move(aResponse.mStream);
  while (aResponse.mBody.size() <= kMaximumCollectedBytes) {
    const Piece piece = source->Next();
    if (piece.mKind == PieceKind::End) {
      return aResponse;
    }
    if (piece.mKind == PieceKind::Failed) {
      break;
    }
    aResponse.mBody += piece.mData;
  }
  return ProblemResponse(
    kBadGateway, "backend-failed", "The answer broke off", Executed::Unknown);
}

/** Hands the response to ulfius, which frees the stream when it is over. */
void
ConvertResponse(HttpResponse aSource, _u_response& aTarget)
{
  for (const auto& [name, value] : aSource.mHeaders) {
    u_map_put(aTarget.map_header, name.c_str(), value.c_str());
  }
  const auto status = static_cast<unsigned>(aSource.mStatus);
  aTarget.status = aSource.mStatus;
  if (aSource.mStream == nullptr) {
    // ulfius would drop the status of an empty body.
    if (!aSource.mBody.empty()) {
      ulfius_set_binary_body_response(
        &aTarget, status, aSource.mBody.data(), aSource.mBody.size());
    }
    return;
  }
  auto stream = std::make_unique<OutgoingStream>();
  stream->mSource = std::move(aSource.mStream);
  const int outcome = ulfius_set_stream_response(&aTarget,
                                                 status,
                                                 FillBlock,
                                                 FreeStream,
                                                 U_STREAM_SIZE_UNKNOWN,
                                                 kStreamBlockBytes,
                                                 stream.get());
  if (outcome == U_OK) {
    static_cast<void>(stream.release());
  } else {
    aTarget.status = U_STATUS_ERROR;
  }
}

/** The answer to a complete request that must not run, as memory is short. */
HttpResponse
MemoryShortResponse()
{
  HttpResponse result =
    ProblemResponse(kUnavailable, "memory-short", "Too many requests at once");
  result.mHeaders["Retry-After"] = "1";
  return result;
}

/** Sets how much the kernel receives for connections to come that aren't read.
 * Without the option it holds more, and nothing else changes. */
void
LimitReceiveBuffers(MHD_Daemon* aDaemon)
{
  constexpr int kReceiveBuffer = 65'536;
  const MHD_DaemonInfo* info =
    MHD_get_daemon_info(aDaemon, MHD_DAEMON_INFO_LISTEN_FD);
  if (info != nullptr) {
    setsockopt(info->listen_fd,
               SOL_SOCKET,
               SO_RCVBUF,
               &kReceiveBuffer,
               sizeof(kReceiveBuffer));
  }
}

std::uint16_t
BoundPort(MHD_Daemon* aDaemon)
{
  const MHD_DaemonInfo* info =
    MHD_get_daemon_info(aDaemon, MHD_DAEMON_INFO_LISTEN_FD);
  sockaddr_in address{};
  socklen_t size = sizeof address;
  if (info == nullptr || getsockname(info->listen_fd,
                                     reinterpret_cast<sockaddr*>(&address),
                                     &size) != 0) {
    return 0;
  }
  return ntohs(address.sin_port);
}

} // namespace

/** What the callbacks of one server share. */
struct HttpServer::State
{
  HttpServerOptions mOptions;
  Handler mHandler;
  _u_instance mInstance{};
  sockaddr_in mAddress{};
  std::uint16_t mPort = 0;
  std::atomic<std::size_t> mRunning{ 0 };
  /** Bounds the memory of requests; null if nothing does. */
  std::unique_ptr<UploadMonitor> mUploads;
  bool mStopped = false;

  static void* OnRequestLine(void* aState,
                             const char* aUri,
                             MHD_Connection* aConnection);
  static void OnCompleted(void* aState,
                          MHD_Connection* aConnection,
                          void** aContext,
                          MHD_RequestTerminationCode aCode);
  static int OnRequest(const _u_request* aRequest,
                       _u_response* aResponse,
                       void* aState);

  void BeginUpload() const;
  /** @return Whether the request may run. */
  bool StartRequest(const _u_request& aRequest) const;
  HttpResponse Answer(const _u_request& aRequest) const;
  bool StartInstance();
};

void*
HttpServer::State::OnRequestLine(void* aState,
                                 const char* aUri,
                                 MHD_Connection* aConnection)
{
  auto* state = static_cast<State*>(aState);
  ++state->mRunning;
  const MHD_ConnectionInfo* info =
    MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_CONNECTION_FD);
  sConnection.mHandle = aConnection;
  sConnection.mDescriptor = info == nullptr ? -1 : info->connect_fd;
  sConnection.mIdleTimeout = state->mOptions.mIdleTimeout;
  sConnection.mTarget = TextOrEmpty(aUri);
  state->BeginUpload();
  return ulfius_uri_logger(nullptr, aUri);
}

void
HttpServer::State::BeginUpload() const
{
  sConnection.mUploads = mUploads.get();
  sConnection.mBodyLimit = mOptions.mBodyLimit;
  sConnection.mBody = nullptr;
  sConnection.mBodyCapacity = 0;
  sConnection.mIsReceiving = mUploads != nullptr;
  if (mUploads) {
    sConnection.mRequest = mUploads->Begin(sConnection.mDescriptor);
  }
}

void
HttpServer::State::OnCompleted(void* aState,
                               MHD_Connection* aConnection,
                               void** aContext,
                               MHD_RequestTerminationCode aCode)
{
  mhd_request_completed(nullptr, aConnection, aContext, aCode);
  auto* state = static_cast<State*>(aState);
  sConnection.mIsReceiving = false;
  if (state->mUploads) {
    state->mUploads->End(sConnection.mRequest);
  }
  --state->mRunning;
}

int
HttpServer::State::OnRequest(const _u_request* aRequest,
                             _u_response* aResponse,
                             void* aState)
{
  const auto* state = static_cast<const State*>(aState);
  ConvertResponse(state->StartRequest(*aRequest) ? state->Answer(*aRequest)
                                                 : MemoryShortResponse(),
                  *aResponse);
  return U_CALLBACK_COMPLETE;
}

bool
HttpServer::State::StartRequest(const _u_request& aRequest) const
{
  sConnection.mIsReceiving = false;
  if (!mUploads) {
    return true;
  }
  const std::size_t size = aRequest.binary_body_length;
  // The server's copy of the body, and the handler's.
  const std::size_t held = size > mOptions.mBodyLimit ? size : 2 * size;
  const BlockingSection section;
  return mUploads->Start(sConnection.mRequest, held);
}

HttpResponse
HttpServer::State::Answer(const _u_request& aRequest) const
{
  if (aRequest.binary_body_length > mOptions.mBodyLimit) {
    return ProblemResponse(
      kContentTooLarge, "body-too-large", "Request body too large");
  }
  HttpRequest request = ConvertRequest(aRequest);
  if (HeaderBytes(request.mHeaders) > mOptions.mHeaderLimit) {
    return ProblemResponse(
      kHeadersTooLarge, "headers-too-large", "Request headers too large");
  }
  const bool reads = request.mMethod == "GET" || request.mMethod == "HEAD";
  const bool lacksChunks = TextOrEmpty(aRequest.http_protocol) == "HTTP/1.0";
  if (lacksChunks && !reads) {
    return ProblemResponse(
      kVersionNotSupported, "http-1-1-required", "HTTP/1.1 required");
  }
  const BlockingSection section;
  try {
    HttpResponse response = mHandler(request);
    const bool isCollected = lacksChunks && response.mStream != nullptr;
    return isCollected ? CollectStream(std::move(response))
                       : std::move(response);
  } catch (const std::exception&) {
    return ProblemResponse(
      kInternalError, "internal-error", "Internal error", Executed::Unknown);
  }
}

bool
HttpServer::State::StartInstance()
{
  // The port given to ulfius must not be 0; the socket address overrides it.
  if (ulfius_init_instance(&mInstance, 1, nullptr, nullptr) != U_OK) {
    return false;
  }
  mInstance.max_post_body_size = mOptions.mBodyLimit + 1;
  // The fields of forms aren't used; 0 would keep all of a second copy.
  mInstance.max_post_param_size = 1;
  mInstance.check_utf8 = 0;
  ulfius_set_default_endpoint(&mInstance, &State::OnRequest, this);
  std::vector<MHD_OptionItem> options{
    { MHD_OPTION_NOTIFY_COMPLETED,
      reinterpret_cast<std::intptr_t>(&State::OnCompleted),
      this },
    { MHD_OPTION_URI_LOG_CALLBACK,
      reinterpret_cast<std::intptr_t>(&State::OnRequestLine),
      this },
    { MHD_OPTION_SOCK_ADDR, 0, &mAddress },
    { MHD_OPTION_LISTEN_BACKLOG_SIZE, kListenBacklog, nullptr },
    { MHD_OPTION_CONNECTION_LIMIT, mOptions.mConnectionLimit, nullptr },
    { MHD_OPTION_PER_IP_CONNECTION_LIMIT,
      static_cast<std::intptr_t>(
        static_cast<double>(mOptions.mConnectionLimit) * kAddressShare),
      nullptr },
    { MHD_OPTION_CONNECTION_TIMEOUT, mOptions.mIdleTimeout, nullptr },
    { MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      static_cast<std::intptr_t>(mOptions.mHeaderLimit +
                                 kConnectionPoolSpareBytes),
      nullptr },
    { MHD_OPTION_END, 0, nullptr }
  };
  const unsigned flags = MHD_USE_THREAD_PER_CONNECTION |
                         MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL |
                         MHD_USE_ITC;
  return ulfius_start_framework_with_mhd_options(
           &mInstance, flags, options.data()) == U_OK;
}

NetResult<std::unique_ptr<HttpServer>>
HttpServer::Start(const HttpServerOptions& aOptions, Handler aHandler)
{
  auto state = std::make_unique<State>();
  state->mOptions = aOptions;
  state->mHandler = std::move(aHandler);
  if (aOptions.mMemoryBound > 0) {
    CallerMemorySettings memory;
    memory.mBoundBytes = aOptions.mMemoryBound;
    memory.mConnectionBytes = kThreadBytes;
    state->mUploads = std::make_unique<UploadMonitor>(
      memory, aOptions.mBodyLimit, aOptions.mOnUploadsCut);
    CountBodies();
  }
  state->mAddress.sin_family = AF_INET;
  state->mAddress.sin_port = htons(aOptions.mPort);
  const std::string place =
    aOptions.mAddress + ":" + std::to_string(aOptions.mPort);
  if (inet_pton(
        AF_INET, aOptions.mAddress.c_str(), &state->mAddress.sin_addr) != 1) {
    return NetError{ NetErrorKind::BindFailed,
                     "not an IPv4 address: " + place };
  }
  if (!state->StartInstance()) {
    ulfius_clean_instance(&state->mInstance);
    return NetError{ NetErrorKind::BindFailed, "can't listen on " + place };
  }
  state->mPort = BoundPort(state->mInstance.mhd_daemon);
  if (aOptions.mMemoryBound > 0) {
    LimitReceiveBuffers(state->mInstance.mhd_daemon);
  }
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

HttpServer::HttpServer(std::unique_ptr<State> aState)
  : mState(std::move(aState))
{
}

HttpServer::~HttpServer()
{
  Stop();
}

std::uint16_t
HttpServer::Port() const
{
  return mState->mPort;
}

std::size_t
HttpServer::RunningRequests() const
{
  return mState->mRunning;
}

UploadState
HttpServer::Uploads() const
{
  return mState->mUploads ? mState->mUploads->State() : UploadState();
}

void
HttpServer::StopAccepting()
{
  const MHD_socket listening = MHD_quiesce_daemon(mState->mInstance.mhd_daemon);
  if (listening != MHD_INVALID_SOCKET) {
    // The server's thread may still wait for the socket, which keeps the port
    // open after close().
    shutdown(listening, SHUT_RDWR);
    close(listening);
  }
}

void
HttpServer::Stop()
{
  if (mState->mStopped) {
    return;
  }
  mState->mStopped = true;
  if (mState->mUploads) {
    mState->mUploads->Stop();
  }
  ulfius_stop_framework(&mState->mInstance);
  ulfius_clean_instance(&mState->mInstance);
}

} // namespace medlarkeel
