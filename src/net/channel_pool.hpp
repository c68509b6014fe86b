#pragma once

#include "coriander/clock.hpp"
#include "net/http_channel.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace coriander {

/// Timeouts and size of a pool, and how its connections notice that a server has disappeared.
struct pool_settings {
    time_ms connect_timeout{300};   ///< A few round trips between regions; small against latency objectives.
    time_ms max_idle_time{4000};    ///< The network may drop connections idle for longer without notice.
    time_ms keep_alive_margin{500}; ///< Subtracted from the timeout of the server's Keep-Alive header.
    std::size_t max_idle_per_server = 8;
    link_liveness liveness{};
};

/// A pool of idle keep-alive connections, by server address. Used on the event loop's thread only.
class channel_pool {
public:
    channel_pool(asio::io_context& loop, pool_settings settings = {}) : loop{loop}, settings{settings} {}

    /// Returns a connection to `address` (`IP:port`): the most recently used idle one, or a new one. With
    /// `is_fresh` always a new one. Returns null if the address is invalid. Sets `*was_reused` to true for an
    /// idle one and leaves it unchanged otherwise.
    [[nodiscard]] std::shared_ptr<http_channel> acquire(const std::string& address, bool is_fresh,
                                                        bool* was_reused = nullptr);

    /// Returns a connection to the pool, or closes it if it can't be reused or enough are idle.
    void release(const std::string& address, const std::shared_ptr<http_channel>& channel);

    /// Closes all idle connections.
    void close_idle();

    /// Closes connections that have been idle for too long or are no longer usable.
    void close_expired();

private:
    struct idle_channel {
        std::shared_ptr<http_channel> channel;
        time_ms expires_at;
    };

    asio::io_context& loop;
    pool_settings settings;
    monotonic_clock clock;
    std::map<std::string, std::vector<idle_channel>> idle;
};

/// Parses `IP:port`. Returns port 0 if the text is invalid.
[[nodiscard]] asio::ip::tcp::endpoint parse_endpoint(const std::string& address);

} // namespace coriander
