#pragma once

#include "peer/peer_message.hpp"

#include <asio/io_context.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace coriander {

/// Bounds of what other processes may open and send.
struct peer_link_limits {
    std::size_t connections = 512;              ///< Incoming ones.
    std::size_t bytes = std::size_t{16} << 20U; ///< Of all messages that are being received.
};

/// Exchanges messages with other daemons over TCP, each with a length prefix. Connections stay open. A slow
/// connection queues a few messages and drops the rest, since later messages repeat their content.
class peer_link {
public:
    using on_message = std::function<void(peer_message)>;

    /// Listens on `address`:`port` (0 picks a free port). `receive` is called on the link's thread.
    /// Throws `std::system_error` if the address can't be bound.
    peer_link(const std::string& address, std::uint16_t port, on_message receive);
    /// The same on the given loop, without a thread of its own: `receive` is called on the loop's thread, and
    /// the loop must have ended before the link is destroyed.
    peer_link(asio::io_context& loop, const std::string& address, std::uint16_t port, on_message receive);
    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /// Sends to `address` (`IP:port`), connecting if necessary. Returns at once; lost messages are not
    /// reported. Thread-safe.
    void send(const std::string& address, const peer_message& message);

    /// Sends a message to several addresses and encodes it only once. Otherwise like `send`. Thread-safe.
    void send_all(std::vector<std::string> addresses, const peer_message& message);

    /// Sets the bounds of incoming connections. Beyond their number, the one on which nothing has arrived for
    /// longest is closed; beyond the bytes, the one that exceeds them. Call it before the loop runs.
    void set_limits(const peer_link_limits& limits);

    /// The port in use. Thread-safe.
    [[nodiscard]] std::uint16_t port() const noexcept;

    /// Bytes sent and received so far, including length prefixes. Thread-safe.
    [[nodiscard]] std::uint64_t bytes_sent() const noexcept;
    [[nodiscard]] std::uint64_t bytes_received() const noexcept;

private:
    struct state;
    std::shared_ptr<state> self;
};

} // namespace coriander
