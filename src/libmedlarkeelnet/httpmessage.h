#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <strings.h>

namespace medlarkeel {

struct LessIgnoringCase
{
  bool operator()(const std::string& aLeft, const std::string& aRight) const
  {
    return strcasecmp(aLeft.c_str(), aRight.c_str()) < 0;
  }
};

using HttpHeaders = std::map<std::string, std::string, LessIgnoringCase>;
using HttpQuery = std::map<std::string, std::string>;

/** A request as a handler sees it. */
struct HttpRequest
{
  std::string mMethod;
  /** Path without the query; escapes are as the caller sent them. */
  std::string mPath;
  /** Path and query as the caller sent them. */
  std::string mTarget;
  HttpHeaders mHeaders;
  HttpQuery mQuery;
  std::string mBody;
  /** Tells without blocking whether the caller has closed the connection.
   * Valid until the handler returns or, with a streamed response, until its
   * BodySource is destroyed. */
  std::function<bool()> mCallerLeft;
};

enum class PieceKind
{
  Data,
  End,
  Failed
};

/** One step of a streamed body. */
struct Piece
{
  PieceKind mKind = PieceKind::End;
  std::string mData;
};

/**
 * Source of a streamed response body. Destroyed when the body has ended or the
 * caller has left, whichever comes first.
 */
class BodySource
{
public:
  virtual ~BodySource() = default;

  /** Blocks until the next piece is known. After Failed the server resets the
   * connection, so that the caller never sees a clean end. */
  virtual Piece Next() = 0;
};

/** A response; mStream, when set, replaces mBody. */
struct HttpResponse
{
  int mStatus = 200;
  HttpHeaders mHeaders;
  std::string mBody;
  std::unique_ptr<BodySource> mStream;
};

} // namespace medlarkeel
