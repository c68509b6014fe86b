#include "router/completion_format.hpp"

#include "core/json_text.hpp"
#include "coriander/clock.hpp"

namespace coriander {
namespace {

constexpr std::int64_t ms_per_second = 1000;
constexpr std::int64_t max_max_tokens = 1'000'000;

json_object envelope(const completion_call& call, const std::string& id, const char* object)
{
    return {{"id", id},
            {"object", object},
            {"created", wall_clock_now().count() / ms_per_second},
            {"model", call.model}};
}

const char* stream_object(const completion_call& call)
{
    return call.kind == completion_kind::chat ? "chat.completion.chunk" : "text_completion";
}

std::string line_with_choice(const completion_call& call, const std::string& id, json_object choice)
{
    auto object = envelope(call, id, stream_object(call));
    choice["index"] = 0;
    object["choices"] = json_object::array({std::move(choice)});
    return stream_line(to_text(object));
}

/// Joins the messages of a chat to one prompt. Empty when they are not as expected.
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
        return {std::nullopt, "the body is not a JSON object"};
    }
    completion_call call;
    call.kind = kind;
    call.model = text_member(*body, "model");
    call.prompt = kind == completion_kind::chat ? prompt_of_chat(*body) : text_member(*body, "prompt");
    call.stream = bool_member(*body, "stream");
    call.priority = integer_member(*body, "priority");
    const auto max_tokens = integer_member(*body, "max_tokens");
    if (call.model.empty()) {
        return {std::nullopt, "'model' must name a service"};
    }
    if (call.prompt.empty()) {
        return {std::nullopt, kind == completion_kind::chat ? "'messages' must hold at least one message"
                                                            : "'prompt' must be a text"};
    }
    if (body->contains("max_tokens") && (max_tokens < 1 || max_tokens > max_max_tokens)) {
        return {std::nullopt, "'max_tokens' must be a whole number from 1 to 1000000"};
    }
    call.max_tokens = static_cast<std::uint64_t>(max_tokens);
    return {std::move(call), {}};
}

std::string stream_line(const std::string& json)
{
    return "data: " + json + "\n\n";
}

std::string stream_token(const completion_call& call, const std::string& id, const std::string& text)
{
    if (call.kind == completion_kind::chat) {
        return line_with_choice(call, id, {{"delta", {{"content", text}}}, {"finish_reason", nullptr}});
    }
    return line_with_choice(call, id, {{"text", text}, {"finish_reason", nullptr}});
}

std::string stream_end(const completion_call& call, const std::string& id)
{
    const bool is_chat = call.kind == completion_kind::chat;
    json_object choice{{"finish_reason", "stop"}};
    choice[is_chat ? "delta" : "text"] = is_chat ? json_object::object() : json_object("");
    return line_with_choice(call, id, std::move(choice)) + stream_line("[DONE]");
}

std::string whole_completion(const completion_call& call, const std::string& id, const std::string& text,
                             std::uint64_t tokens)
{
    const bool is_chat = call.kind == completion_kind::chat;
    auto object = envelope(call, id, is_chat ? "chat.completion" : "text_completion");
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
