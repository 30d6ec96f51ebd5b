#include "chatrequest.h"

#include <limits>
#include <optional>

namespace medlarkeel {

namespace {

using nlohmann::json;

constexpr std::uint64_t kMostTokens = 1U << 24U;

ChatRequestError
Error(std::string aDetail)
{
  return ChatRequestError{ std::move(aDetail) };
}

/** Appends a message's text; content is a text or a list of parts. */
bool
AppendContent(const json& aMessage, std::string& aPrompt)
{
  if (!aMessage.is_object() || !aMessage.contains("content")) {
    return false;
  }
  const json& content = aMessage["content"];
  if (content.is_string()) {
    aPrompt += content.get_ref<const std::string&>();
    return true;
  }
  if (!content.is_array()) {
    return false;
  }
  for (const json& part : content) {
    if (part.is_object() && part.contains("text") && part["text"].is_string()) {
      aPrompt += part["text"].get_ref<const std::string&>();
    }
  }
  return true;
}

std::optional<std::string>
ReadPrompt(const json& aBody)
{
  const auto messages = aBody.find("messages");
  if (messages == aBody.end() || !messages->is_array() || messages->empty()) {
    return std::nullopt;
  }
  std::string prompt;
  for (const json& message : *messages) {
    if (!AppendContent(message, prompt)) {
      return std::nullopt;
    }
  }
  return prompt;
}

} // namespace

ChatRequestResult
ParseChatRequest(std::string_view aBody, const JsonLimits& aLimits)
{
  ProblemList problems;
  const auto body = ParseJson(aBody, aLimits, problems);
  if (!body) {
    const auto found = problems.Take();
    return Error(found.empty() ? "not JSON" : ProblemText(found.front()));
  }
  if (!body->is_object()) {
    return Error("expected a JSON object");
  }
  ChatRequest request;
  const auto model = body->find("model");
  if (model == body->end() || !model->is_string()) {
    return Error("$.model: expected the name of a model");
  }
  request.mModel = model->get<std::string>();
  const auto stream = body->find("stream");
  if (stream != body->end()) {
    if (!stream->is_boolean()) {
      return Error("$.stream: expected true or false");
    }
    request.mStream = stream->get<bool>();
  }
  const auto most = body->find("max_tokens");
  if (most != body->end()) {
    if (!most->is_number_unsigned() ||
        most->get<std::uint64_t>() > kMostTokens) {
      return Error("$.max_tokens: expected a number of tokens");
    }
    request.mMaxTokens = most->get<std::uint32_t>();
  }
  auto prompt = ReadPrompt(*body);
  if (!prompt) {
    return Error("$.messages: expected a list of messages with content");
  }
  request.mPrompt = std::move(*prompt);
  return request;
}

} // namespace medlarkeel
