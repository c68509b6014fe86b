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

/// A small call to another process on the event loop.
struct loop_call {
    std::string address; ///< `IP:port`.
    std::string method = "GET";
    std::string target = "/";
    std::string body;
    std::vector<http_header> headers;
    time_ms timeout{1000};                          ///< For the whole call.
    bool is_fresh = false;                          ///< A connection of its own: a kept one may be dead.
    std::size_t max_body_bytes = max_buffered_body; ///< Of the body; a longer one is given up.
};

/// Runs calls whose answers fit into memory. Used on the loop's thread only.
class http_call_runner {
public:
    using on_done = std::function<void(http_result)>;

    explicit http_call_runner(asio::io_context& loop) : loop{loop}, channels{loop} {}

    /// Starts a call. `done` comes later, on the loop's thread.
    void start(const loop_call& call, on_done done);

    /// Closes connections that were idle for long.
    void close_expired() { this->channels.close_expired(); }

private:
    asio::io_context& loop;
    channel_pool channels;
};

} // namespace coriander
