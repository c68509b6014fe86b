#pragma once

#include "http/http_message.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace coriander {

/// Which of the two usual interfaces a caller speaks.
enum class completion_kind { text, chat };

/// What a caller asks for.
struct completion_call {
    completion_kind kind = completion_kind::text;
    std::string model; ///< The service.
    std::string prompt;
    std::uint64_t max_tokens = 0; ///< 0: the engine's default.
    std::int64_t priority = 0;
    bool stream = false;
};

/// A parsed call, or what is wrong with it.
struct parsed_completion {
    std::optional<completion_call> call;
    std::string fault;
};

/// Reads the body of a completion request.
[[nodiscard]] parsed_completion parse_completion(std::string_view body, completion_kind kind);

/// One `data:` line of a stream with a token.
[[nodiscard]] std::string stream_token(const completion_call& call, const std::string& id,
                                       const std::string& text);

/// The last lines of a whole stream: the finish reason and `[DONE]`.
[[nodiscard]] std::string stream_end(const completion_call& call, const std::string& id);

/// One `data:` line that holds any JSON text.
[[nodiscard]] std::string stream_line(const std::string& json);

/// A whole answer that is not streamed.
[[nodiscard]] std::string whole_completion(const completion_call& call, const std::string& id,
                                           const std::string& text, std::uint64_t tokens);

} // namespace coriander
