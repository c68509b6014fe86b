#pragma once

#include "coriander/time_ms.hpp"
#include "http/http_message.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace coriander {

/// Maximum size of a buffered response body, in bytes. The largest responses of the table hold 1 MB of rows.
inline constexpr std::size_t max_buffered_body = 8U << 20U;

/// An HTTP request to another process.
struct http_call {
    std::string method = "GET";
    std::string url;
    std::string body;
    std::vector<http_header> headers;
    time_ms connect_timeout{500};
    time_ms total_timeout{2000}; ///< Zero: no timeout.
    /// Uses a new connection that is never reused, since libcurl resends a request when a reused one closes.
    bool fresh_connection = false;
};

/// Whether a call got a response and, if not, whether the server may have processed it.
enum class http_outcome {
    answered,  ///< A complete response was received.
    not_sent,  ///< No byte of the request left this host.
    lost,      ///< Sent at least in part; the response is missing or truncated.
    cancelled, ///< Cancelled by the client.
};

/// Result of a call.
struct http_result {
    http_outcome outcome = http_outcome::not_sent;
    int status = 0;
    std::string body; ///< Empty when the body was streamed.
    std::vector<http_header> headers;
    std::string message;  ///< Why there was no response.
    bool refused = false; ///< The connection was refused: nothing listens at that address.

    [[nodiscard]] bool ok() const noexcept
    {
        return this->outcome == http_outcome::answered && this->status / 100 == 2;
    }
};

/// Asynchronous HTTP client that runs its calls on one thread of its own.
class http_client {
public:
    using call_id = std::uint64_t;
    using on_data = std::function<void(std::string_view)>;
    using on_done = std::function<void(http_result)>;

    http_client();
    /// Cancels the running calls; their callbacks are called before this returns.
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Starts a call. The callbacks run on the client's thread and must return quickly. If `data` is
    /// empty, the body is buffered in the result. Thread-safe.
    call_id start(http_call call, on_data data, on_done done);

    /// Cancels a call; its `on_done` is still called. Ignores calls that have ended. Thread-safe.
    void cancel(call_id id);

    /// Runs a call and blocks until it has ended. Must not be called from a callback. Thread-safe.
    [[nodiscard]] http_result perform(http_call call);

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace coriander
