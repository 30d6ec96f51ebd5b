#include "engine.h"

#include <gflags/gflags.h>

DEFINE_int32(port, 0, "port on the loopback address; 0 for a free one");
DEFINE_string(pool, "model", "model that is loaded at the start");
DEFINE_int32(slots, 8, "requests that run at once");
DEFINE_double(cold_seconds, 0, "length of the cold start");
DEFINE_int32(cold_slots, 1, "requests that a cold engine bears");
DEFINE_double(first_token_ms, 50, "time to the first token");
DEFINE_double(token_gap_ms, 10, "time between tokens");
DEFINE_int32(tokens, 32, "length of an answer");
DEFINE_uint64(seed, 0, "varies the lengths of answers, if not 0");
DEFINE_double(report_lag_ms, 500, "lag of load reports and cache events");
DEFINE_bool(honours_fencing, false, "refuses orders with an old number");
DEFINE_string(model_version, "", "version that is loaded at the start");
DEFINE_double(load_ms, 0, "time that a version or an adapter takes to load");
DEFINE_int32(weight_store_port, 0, "port of the weight store; 0 for none");

namespace medlarkeel {

namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

nlohmann::json
ChunkOf(const Generation& aGeneration,
        const std::string& aText,
        const nlohmann::json& aFinishReason)
{
  const nlohmann::json choice = { { "index", 0 },
                                  { "delta", { { "content", aText } } },
                                  { "finish_reason", aFinishReason } };
  return { { "id", "run-" + std::to_string(aGeneration.mNumber) },
           { "object", "chat.completion.chunk" },
           { "choices", nlohmann::json::array({ choice }) } };
}

/** Streams one generation as server-sent events. */
class EventSource : public BodySource
{
public:
  EventSource(Engine& aEngine, std::shared_ptr<Generation> aGeneration)
    : mEngine(aEngine)
    , mGeneration(std::move(aGeneration))
  {
  }
  ~EventSource() override { mEngine.Finish(*mGeneration); }

  Piece Next() override
  {
    if (mSentAll) {
      return { PieceKind::End, "" };
    }
    const std::size_t total = mGeneration->mOrder.mTokens;
    if (mGeneration->mNextToken == total && total > 0) {
      mSentAll = true;
      mEngine.Finish(*mGeneration);
      return { PieceKind::Data,
               Event(ChunkOf(*mGeneration, "", "stop").dump()) +
                 Event("[DONE]") };
    }
    std::string token;
    if (!mEngine.NextToken(*mGeneration, token)) {
      return { PieceKind::Failed, "" };
    }
    return { PieceKind::Data,
             Event(ChunkOf(*mGeneration, token, nullptr).dump()) };
  }

private:
  static std::string Event(const std::string& aData)
  {
    return "data: " + aData + "\n\n";
  }

  Engine& mEngine;
  std::shared_ptr<Generation> mGeneration;
  bool mSentAll = false;
};

HttpResponse
AnswerWhole(Engine& aEngine, Generation& aGeneration)
{
  std::string text;
  std::string token;
  while (aGeneration.mNextToken < aGeneration.mOrder.mTokens &&
         aEngine.NextToken(aGeneration, token)) {
    text += token;
  }
  aEngine.Finish(aGeneration);
  const nlohmann::json choice = {
    { "index", 0 },
    { "message", { { "role", "assistant" }, { "content", text } } },
    { "finish_reason", "stop" }
  };
  return JsonResponse(
    200,
    { { "id", "run-" + std::to_string(aGeneration.mNumber) },
      { "object", "chat.completion" },
      { "choices", nlohmann::json::array({ choice }) },
      { "usage", { { "completion_tokens", aGeneration.mNextToken } } } });
}

HttpResponse
Complete(Engine& aEngine, const HttpRequest& aRequest)
{
  GenerationOrder order = aEngine.ParseOrder(aRequest);
  if (order.mMarker.empty() || order.mTokens == 0) {
    return JsonResponse(kBadRequest, { { "error", "no message" } });
  }
  const int unserved = aEngine.StatusOfUnserved(order);
  if (unserved != 0) {
    return JsonResponse(unserved, { { "error", "not loaded" } });
  }
  const bool streams = order.mStreams;
  auto generation = aEngine.Begin(std::move(order));
  if (!streams) {
    return AnswerWhole(aEngine, *generation);
  }
  HttpResponse response;
  response.mHeaders["Content-Type"] = "text/event-stream";
  response.mStream =
    std::make_unique<EventSource>(aEngine, std::move(generation));
  return response;
}

nlohmann::json
StatisticsWithHeaders(const Engine& aEngine, const SeenTexts& aSeen)
{
  nlohmann::json result = aEngine.Statistics();
  result["headers"] = aSeen.HeaderNames();
  return result;
}

HttpResponse
Dispatch(Engine& aEngine, SeenTexts& aSeen, const HttpRequest& aRequest)
{
  const std::string route = aRequest.mMethod + " " + aRequest.mPath;
  if (route == "POST /v1/chat/completions") {
    aSeen.Add(aRequest);
    return Complete(aEngine, aRequest);
  }
  if (route == "POST /orders") {
    aSeen.Add(aRequest);
    return aEngine.ApplyOrder(ParseObject(aRequest.mBody));
  }
  if (route == "GET /orders") {
    return JsonResponse(200, aEngine.Orders());
  }
  if (route == "POST /fault") {
    aEngine.ApplyFault(ParseObject(aRequest.mBody));
    return JsonResponse(200, nlohmann::json::object());
  }
  if (route == "GET /load") {
    return JsonResponse(200, aEngine.Load());
  }
  if (route == "GET /cache/events") {
    const auto after = aRequest.mQuery.find("after");
    const bool given = after != aRequest.mQuery.end();
    const std::uint64_t number =
      given ? std::strtoull(after->second.c_str(), nullptr, 10) : 0;
    return JsonResponse(200, aEngine.CacheEvents(number));
  }
  if (route == "GET /state") {
    return JsonResponse(200, aEngine.ModelState());
  }
  if (route == "GET /stats") {
    return JsonResponse(200, StatisticsWithHeaders(aEngine, aSeen));
  }
  if (route == "GET /seen") {
    const auto text = aRequest.mQuery.find("text");
    const bool seen =
      text != aRequest.mQuery.end() && aSeen.Contains(text->second);
    return JsonResponse(200, { { "seen", seen } });
  }
  return JsonResponse(kNotFound, { { "error", "no such path" } });
}

EngineOptions
OptionsFromFlags()
{
  EngineOptions result;
  result.mPool = FLAGS_pool;
  result.mSlots = static_cast<std::size_t>(FLAGS_slots);
  result.mColdSeconds = FLAGS_cold_seconds;
  result.mColdSlots = static_cast<std::size_t>(FLAGS_cold_slots);
  result.mFirstTokenMilliseconds = FLAGS_first_token_ms;
  result.mTokenGapMilliseconds = FLAGS_token_gap_ms;
  result.mTokens = static_cast<std::size_t>(FLAGS_tokens);
  result.mSeed = FLAGS_seed;
  result.mReportLagMilliseconds = FLAGS_report_lag_ms;
  result.mHonoursFencing = FLAGS_honours_fencing;
  result.mVersion = FLAGS_model_version;
  result.mLoadMilliseconds = FLAGS_load_ms;
  result.mWeightStorePort = static_cast<std::uint16_t>(FLAGS_weight_store_port);
  return result;
}

} // namespace

} // namespace medlarkeel

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  medlarkeel::Engine engine(medlarkeel::OptionsFromFlags());
  medlarkeel::SeenTexts seen;
  return medlarkeel::ServeUntilSignal(
    FLAGS_port, [&](const medlarkeel::HttpRequest& aRequest) {
      return medlarkeel::Dispatch(engine, seen, aRequest);
    });
}
