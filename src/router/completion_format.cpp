#include "router/completion_format.hpp"

#include "core/json_text.hpp"
#include "coriander/clock.hpp"

namespace coriander {
namespace {

constexpr std::int64_t ms_per_second = 1000;
constexpr std::int64_t max_tokens_limit = 1'000'000;

json_object envelope(const completion_params& params, const std::string& id, const char* object)
{
    return {{"id", id},
            {"object", object},
            {"created", wall_clock_now().count() / ms_per_second},
            {"model", params.model}};
}

const char* stream_object(const completion_params& params)
{
    return params.kind == completion_kind::chat ? "chat.completion.chunk" : "text_completion";
}

std::string choice_event(const completion_params& params, const std::string& id, json_object choice)
{
    auto object = envelope(params, id, stream_object(params));
    choice["index"] = 0;
    object["choices"] = json_object::array({std::move(choice)});
    return sse_event(to_text(object));
}

/// Joins the messages of a chat into one prompt. Empty if there are none or one is not a JSON object.
std::string prompt_of_chat(const json_object& body)
{
    std::string prompt;
    for (const auto& message : array_member(body, "messages")) {
        if (!message.is_object()) {
            return {};
        }
        prompt += text_member(message, "role") + ": " + text_member(message, "content") + "\n";
    }
    return prompt;
}

} // namespace

parsed_completion parse_completion(std::string_view text, completion_kind kind)
{
    const auto body = parse_object(text);
    if (!body) {
        return {std::nullopt, "the request body is not a JSON object"};
    }
    completion_params params;
    params.kind = kind;
    params.model = text_member(*body, "model");
    params.prompt = kind == completion_kind::chat ? prompt_of_chat(*body) : text_member(*body, "prompt");
    params.stream = bool_member(*body, "stream");
    params.priority = integer_member(*body, "priority");
    const auto max_tokens = integer_member(*body, "max_tokens");
    if (params.model.empty()) {
        return {std::nullopt, "'model' must name a service"};
    }
    if (params.prompt.empty()) {
        return {std::nullopt, kind == completion_kind::chat
                                  ? "'messages' must contain at least one message, and only objects"
                                  : "'prompt' must be a non-empty string"};
    }
    if (body->contains("max_tokens") && (max_tokens < 1 || max_tokens > max_tokens_limit)) {
        return {std::nullopt, "'max_tokens' must be an integer from 1 to 1000000"};
    }
    params.max_tokens = static_cast<std::uint64_t>(max_tokens);
    return {std::move(params), {}};
}

std::string sse_event(const std::string& json)
{
    return "data: " + json + "\n\n";
}

std::string token_event(const completion_params& params, const std::string& id, const std::string& text)
{
    if (params.kind == completion_kind::chat) {
        return choice_event(params, id, {{"delta", {{"content", text}}}, {"finish_reason", nullptr}});
    }
    return choice_event(params, id, {{"text", text}, {"finish_reason", nullptr}});
}

std::string final_events(const completion_params& params, const std::string& id)
{
    const bool is_chat = params.kind == completion_kind::chat;
    json_object choice{{"finish_reason", "stop"}};
    choice[is_chat ? "delta" : "text"] = is_chat ? json_object::object() : json_object("");
    return choice_event(params, id, std::move(choice)) + sse_event("[DONE]");
}

std::string completion_json(const completion_params& params, const std::string& id, const std::string& text,
                            std::uint64_t tokens)
{
    const bool is_chat = params.kind == completion_kind::chat;
    auto object = envelope(params, id, is_chat ? "chat.completion" : "text_completion");
    json_object choice{{"index", 0}, {"finish_reason", "stop"}};
    if (is_chat) {
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    }
    else {
        choice["text"] = text;
    }
    object["choices"] = json_object::array({std::move(choice)});
    object["usage"] = {{"completion_tokens", tokens}};
    return to_text(object);
}

} // namespace coriander
