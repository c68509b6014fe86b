#pragma once

#include "net/caller_connection.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace coriander {

/// Accepts connections from callers. Used on the event loop's thread only.
class http_listener : public std::enable_shared_from_this<http_listener> {
public:
    /// Binds to `endpoint`; port 0 picks a free one. Throws `std::system_error` if it can't be bound.
    http_listener(asio::io_context& loop, const asio::ip::tcp::endpoint& endpoint,
                  connection_handlers handlers);

    /// Accepts connections until `stop`. Precondition: held by a `shared_ptr`.
    void start();

    /// Stops accepting; open connections are not affected.
    void stop();

    /// Number of open connections that are reading or answering a request, after reading what their sockets
    /// have received.
    [[nodiscard]] std::size_t count_busy_connections();

    /// The port in use.
    [[nodiscard]] std::uint16_t port() const { return this->acceptor.local_endpoint().port(); }

private:
    void accept_next();
    void add(const std::shared_ptr<caller_connection>& connection);

    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer retry_timer; ///< Delays the next accept after a failure, such as too many open files.
    std::shared_ptr<const connection_handlers> handlers;
    std::vector<std::weak_ptr<caller_connection>> connections; ///< Some of them may have ended.
    std::size_t cleanup_size = min_cleanup_size; ///< Number of `connections` at which ended ones are removed.
    static constexpr std::size_t min_cleanup_size = 64;
};

} // namespace coriander
