#include "fakes/fake_model.hpp"

#include <array>
#include <boost/json.hpp>

namespace gooseberrysail::fakes {

namespace {

namespace json = boost::json;

constexpr std::uint32_t kMaxTokens = 100000;

std::string Text(const json::value& value)
{
  return value.is_string() ? std::string(value.get_string()) : json::serialize(value);
}

std::uint64_t Mix(std::uint64_t state)
{
  state += 0x9e3779b97f4a7c15U;
  state = (state ^ (state >> 30U)) * 0xbf58476d1ce4e5b9U;
  state = (state ^ (state >> 27U)) * 0x94d049bb133111ebU;
  return state ^ (state >> 31U);
}

std::uint64_t HashOf(std::string_view text)
{
  std::uint64_t hash = 0xcbf29ce484222325U;
  for (const char character : text) {
    hash = (hash ^ static_cast<unsigned char>(character)) * 0x100000001b3U;
  }
  return hash;
}

Error InvalidCall(const std::string& description)
{
  return Error{ ErrorCode::kInvalid, "read completion call", "", description };
}

json::object Usage(const CompletionCall& call, std::size_t tokens)
{
  const std::uint64_t prompt = PromptTokens(call);
  return { { "prompt_tokens", prompt },
           { "completion_tokens", tokens },
           { "total_tokens", prompt + tokens } };
}

json::object Frame(const CompletionCall& call, const char* chatKind, const char* plainKind)
{
  return { { "id", "fake-" + std::to_string(HashOf(call.prompt)) },
           { "object", call.chat ? chatKind : plainKind },
           { "created", 0 },
           { "model", call.model } };
}

std::string Event(const json::object& data)
{
  return "data: " + json::serialize(data) + "\n\n";
}

} // namespace

Result<CompletionCall> ParseCompletion(std::string_view path, std::string_view body)
{
  boost::system::error_code failed;
  const json::value parsed = json::parse(json::string_view(body.data(), body.size()), failed);
  if (failed || !parsed.is_object()) {
    return InvalidCall("the body is not a JSON object");
  }
  const json::object& object = parsed.get_object();
  CompletionCall call;
  call.chat = path == "/v1/chat/completions";
  if (const auto* model = object.if_contains("model")) {
    call.model = Text(*model);
  }
  if (const auto* most = object.if_contains("max_tokens"); most != nullptr && most->is_number()) {
    call.maxTokens = static_cast<std::uint32_t>(
      std::min<double>(std::max(1.0, most->to_number<double>()), kMaxTokens));
  }
  if (const auto* stream = object.if_contains("stream")) {
    call.stream = stream->is_bool() && stream->get_bool();
  }
  if (!call.chat) {
    const auto* prompt = object.if_contains("prompt");
    call.prompt = prompt != nullptr ? Text(*prompt) : "";
    return call;
  }
  const auto* messages = object.if_contains("messages");
  if (messages == nullptr || !messages->is_array()) {
    return InvalidCall("`messages` is not an array");
  }
  for (const json::value& message : messages->get_array()) {
    const auto* content =
      message.is_object() ? message.get_object().if_contains("content") : nullptr;
    call.prompt += content != nullptr ? Text(*content) : "";
    call.prompt += "\n";
  }
  return call;
}

std::vector<std::string> AnswerTokens(const CompletionCall& call)
{
  static constexpr std::array<std::string_view, 16> kWords{
    "roller",  "depot",   "crane",  "friday", "inspection", "certified", "stock",    "hire",
    "dossier", "summary", "bakery", "valid",  "agreement",  "excavator", "delivery", "check"
  };
  std::vector<std::string> tokens;
  tokens.reserve(call.maxTokens);
  std::uint64_t state = HashOf(call.model + "\n" + call.prompt);
  for (std::uint32_t index = 0; index < call.maxTokens; ++index) {
    state = Mix(state);
    tokens.push_back(std::string(index == 0 ? "" : " ") +
                     std::string(kWords[state % kWords.size()]));
  }
  return tokens;
}

std::uint64_t PromptTokens(const CompletionCall& call)
{
  constexpr std::uint64_t kBytesPerToken = 4;
  return (call.prompt.size() + kBytesPerToken - 1) / kBytesPerToken;
}

std::string WholeAnswer(const CompletionCall& call, const std::vector<std::string>& tokens)
{
  std::string text;
  for (const std::string& token : tokens) {
    text += token;
  }
  json::object answer = Frame(call, "chat.completion", "text_completion");
  json::object choice{ { "index", 0 }, { "finish_reason", "stop" } };
  if (call.chat) {
    choice["message"] = { { "role", "assistant" }, { "content", text } };
  } else {
    choice["text"] = text;
  }
  answer["choices"] = json::array{ choice };
  answer["usage"] = Usage(call, tokens.size());
  return json::serialize(answer);
}

std::string TokenEvent(const CompletionCall& call, const std::string& token)
{
  json::object data = Frame(call, "chat.completion.chunk", "text_completion");
  json::object choice{ { "index", 0 }, { "finish_reason", nullptr } };
  if (call.chat) {
    choice["delta"] = { { "content", token } };
  } else {
    choice["text"] = token;
  }
  data["choices"] = json::array{ choice };
  return Event(data);
}

std::string FinalEvents(const CompletionCall& call, std::size_t tokens)
{
  json::object last = Frame(call, "chat.completion.chunk", "text_completion");
  json::object choice{ { "index", 0 }, { "finish_reason", "stop" } };
  if (call.chat) {
    choice["delta"] = json::object{};
  } else {
    choice["text"] = "";
  }
  last["choices"] = json::array{ choice };
  last["usage"] = Usage(call, tokens);
  return Event(last) + "data: [DONE]\n\n";
}

} // namespace gooseberrysail::fakes
