#pragma once

#include "coriander/clock.hpp"
#include "net/http_channel.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace coriander {

/// Limits of a pool.
struct pool_settings {
    time_ms connect_timeout{300}; ///< Longer than a few round trips between regions, short beside objectives.
    time_ms longest_idle{4000}; ///< Older idle connections may have been dropped on the way unnoticed.
    time_ms keep_alive_margin{500}; ///< Before the time the server gave.
    std::size_t idle_per_server = 8;
};

/// Connections to servers that wait for their next exchange. Used on the loop's thread only.
class channel_pool {
public:
    channel_pool(asio::io_context& loop, pool_settings settings = {}) : loop{loop}, settings{settings} {}

    /// A connection to `address` (`IP:port`): the one used last, or a new one. With `is_fresh` always a new
    /// one. Null when the address is not one.
    [[nodiscard]] std::shared_ptr<http_channel> acquire(const std::string& address, bool is_fresh,
                                                        bool* was_reused = nullptr);

    /// Keeps the connection for the next exchange if it can be used again.
    void release(const std::string& address, const std::shared_ptr<http_channel>& channel);

    /// Closes what has been idle for too long.
    void close_expired();

private:
    struct idle_channel {
        std::shared_ptr<http_channel> channel;
        time_ms until;
    };

    asio::io_context& loop;
    pool_settings settings;
    monotonic_clock clock;
    std::map<std::string, std::vector<idle_channel>> idle;
};

/// Parses `IP:port`; a port of 0 tells that the text is no address.
[[nodiscard]] asio::ip::tcp::endpoint parse_endpoint(const std::string& address);

} // namespace coriander
