#pragma once

#include "net/caller_connection.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>

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

    /// The port in use.
    [[nodiscard]] std::uint16_t port() const { return this->acceptor.local_endpoint().port(); }

private:
    void accept_next();

    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer retry_timer; ///< Delays the next accept after a failure, such as too many open files.
    std::shared_ptr<const connection_handlers> handlers;
};

} // namespace coriander
