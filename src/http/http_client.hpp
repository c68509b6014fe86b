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

/// An answer's longest body that is kept whole, in bytes: the table's longest ones hold a megabyte of rows.
inline constexpr std::size_t max_buffered_body = 8U << 20U;

/// A request to another process.
struct http_call {
    std::string method = "GET";
    std::string url;
    std::string body;
    std::vector<http_header> headers;
    time_ms connect_timeout{500};
    time_ms total_timeout{2000}; ///< Zero: no limit.
    /// A connection of its own, never reused, so that the library can't send the request a second time.
    bool fresh_connection = false;
};

/// Whether a call got an answer, and if not, whether it may have had an effect.
enum class http_outcome {
    answered,  ///< A whole response arrived.
    not_sent,  ///< No byte of the request left this host.
    lost,      ///< Sent at least in part; the response is missing or cut.
    cancelled, ///< Given up by this side.
};

/// The end of a call.
struct http_result {
    http_outcome outcome = http_outcome::not_sent;
    int status = 0;
    std::string body; ///< Empty when the body was streamed.
    std::vector<http_header> headers;
    std::string message;  ///< Why there was no answer.
    bool refused = false; ///< The other side's machine said that nothing listens there.

    [[nodiscard]] bool ok() const noexcept
    {
        return this->outcome == http_outcome::answered && this->status / 100 == 2;
    }
};

/// Runs HTTP calls on one thread of its own.
class http_client {
public:
    using call_id = std::uint64_t;
    using on_data = std::function<void(std::string_view)>;
    using on_done = std::function<void(http_result)>;

    http_client();
    /// Cancels what still runs; its callbacks are called before this returns.
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Starts a call. The callbacks run on the client's thread and must return quickly. With an empty `data`
    /// the body is gathered into the result. Thread-safe.
    call_id start(http_call call, on_data data, on_done done);

    /// Gives a call up; its `on_done` still comes. Thread-safe; an id that has ended is ignored.
    void cancel(call_id id);

    /// Runs a call and waits for its end. Must not be called from a callback. Thread-safe.
    [[nodiscard]] http_result perform(http_call call);

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace coriander
