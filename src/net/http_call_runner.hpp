#pragma once

#include "coriander/time_ms.hpp"
#include "http/http_client.hpp"
#include "net/channel_pool.hpp"

#include <asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace coriander {

/// An HTTP request to another process, made on the event loop.
struct loop_call {
    std::string address; ///< `IP:port`.
    std::string method = "GET";
    std::string target = "/";
    std::string body;
    std::vector<http_header> headers;
    time_ms timeout{1000}; ///< For the whole call.
    bool is_fresh = false; ///< Opens a new connection, since an idle one may be dead.
    std::size_t max_body_bytes = max_buffered_body; ///< Of the response; a longer one fails the call.
};

/// Runs calls and buffers the whole response. Used on the event loop's thread only.
class http_call_runner {
public:
    using on_done = std::function<void(http_result)>;

    explicit http_call_runner(asio::io_context& loop, const pool_settings& connections = {})
        : loop{loop}, channels{loop, connections}
    {
    }

    /// Starts a call. `done` is called later on the loop's thread, never from within `start`.
    void start(const loop_call& call, on_done done);

    [[nodiscard]] asio::io_context& context() noexcept { return this->loop; }

    /// Closes connections that have been idle for too long.
    void close_expired() { this->channels.close_expired(); }

private:
    asio::io_context& loop;
    channel_pool channels;
};

} // namespace coriander
