#include "textdelta.h"

#include <zstd.h>

#include <memory>

namespace medlarkeel {

namespace {

constexpr int kLevel = 3;
constexpr int kSmallestWindowLog = 10;
constexpr int kLargestWindowLog = 27;

struct FreeCompressor
{
  void operator()(ZSTD_CCtx* aContext) const { ZSTD_freeCCtx(aContext); }
};

struct FreeDecompressor
{
  void operator()(ZSTD_DCtx* aContext) const { ZSTD_freeDCtx(aContext); }
};

/** @return Logarithm of a window that reaches back over all bytes. */
int
WindowLogFor(std::size_t aBytes)
{
  int log = kSmallestWindowLog;
  while (log < kLargestWindowLog && (std::size_t{ 1 } << log) < aBytes) {
    ++log;
  }
  return log;
}

} // namespace

std::string
EncodeTextDelta(std::string_view aBase, std::string_view aText)
{
  const std::unique_ptr<ZSTD_CCtx, FreeCompressor> context(ZSTD_createCCtx());
  if (!context) {
    return {};
  }
  const int window = WindowLogFor(aBase.size() + aText.size());
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, kLevel);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, window);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
  ZSTD_CCtx_refPrefix(context.get(), aBase.data(), aBase.size());
  std::string delta(ZSTD_compressBound(aText.size()), '\0');
  const std::size_t size = ZSTD_compress2(
    context.get(), delta.data(), delta.size(), aText.data(), aText.size());
  if (ZSTD_isError(size) != 0) {
    return {};
  }
  delta.resize(size);
  return delta;
}

TextDeltaResult
ApplyTextDelta(std::string_view aBase,
               std::string_view aDelta,
               std::size_t aLongest)
{
  const unsigned long long size =
    ZSTD_getFrameContentSize(aDelta.data(), aDelta.size());
  if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR) {
    return TextDeltaError::Unreadable;
  }
  if (size > aLongest) {
    return TextDeltaError::TooLong;
  }
  const std::unique_ptr<ZSTD_DCtx, FreeDecompressor> context(ZSTD_createDCtx());
  if (!context) {
    return TextDeltaError::Unreadable;
  }
  ZSTD_DCtx_refPrefix(context.get(), aBase.data(), aBase.size());
  std::string text(static_cast<std::size_t>(size), '\0');
  const std::size_t written = ZSTD_decompressDCtx(
    context.get(), text.data(), text.size(), aDelta.data(), aDelta.size());
  if (ZSTD_isError(written) != 0 || written != text.size()) {
    return TextDeltaError::Unreadable;
  }
  return text;
}

} // namespace medlarkeel
