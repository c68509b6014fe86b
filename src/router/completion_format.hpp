#pragma once

#include "http/http_message.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace coriander {

/// Which completion API the caller uses: text or chat completions.
enum class completion_kind { text, chat };

/// The parameters of a completion request.
struct completion_params {
    completion_kind kind = completion_kind::text;
    std::string model; ///< The name of the service.
    std::string prompt;
    std::uint64_t max_tokens = 0; ///< 0: the engine's default.
    std::int64_t priority = 0;
    bool stream = false;
};

/// The parsed parameters, or why the request is invalid.
struct parsed_completion {
    std::optional<completion_params> params;
    std::string error;
};

/// Parses the body of a completion request.
[[nodiscard]] parsed_completion parse_completion(std::string_view body, completion_kind kind);

/// The server-sent event for one token.
[[nodiscard]] std::string token_event(const completion_params& params, const std::string& id,
                                      const std::string& text);

/// The last events of a complete stream: the finish reason and `[DONE]`.
[[nodiscard]] std::string final_events(const completion_params& params, const std::string& id);

/// A server-sent event with `json` as its data, which must be a single line.
[[nodiscard]] std::string sse_event(const std::string& json);

/// The response body of a completion that is not streamed.
[[nodiscard]] std::string completion_json(const completion_params& params, const std::string& id,
                                          const std::string& text, std::uint64_t tokens);

} // namespace coriander
