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
struct completion_params {
    completion_kind kind = completion_kind::text;
    std::string model; ///< The service.
    std::string prompt;
    std::uint64_t max_tokens = 0; ///< 0: the engine's default.
    std::int64_t priority = 0;
    bool stream = false;
};

/// A parsed call, or what is wrong with it.
struct parsed_completion {
    std::optional<completion_params> params;
    std::string error;
};

/// Reads the body of a completion request.
[[nodiscard]] parsed_completion parse_completion(std::string_view body, completion_kind kind);

/// One `data:` line of a stream with a token.
[[nodiscard]] std::string token_event(const completion_params& params, const std::string& id,
                                      const std::string& text);

/// The last lines of a whole stream: the finish reason and `[DONE]`.
[[nodiscard]] std::string final_events(const completion_params& params, const std::string& id);

/// One `data:` line that holds any JSON text.
[[nodiscard]] std::string sse_event(const std::string& json);

/// A whole answer that is not streamed.
[[nodiscard]] std::string completion_json(const completion_params& params, const std::string& id,
                                          const std::string& text, std::uint64_t tokens);

} // namespace coriander
