#pragma once

#include "peer/peer_message.hpp"

#include <asio/io_context.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace coriander {

/// Sends and receives messages between daemons over TCP, each framed by its length. Connections are kept; one
/// that is held up keeps a few messages and loses the rest, since later ones say the same anew.
class peer_link {
public:
    using on_message = std::function<void(peer_message)>;

    /// Listens on `address`:`port` (0 picks a free port). `receive` is called on the link's thread.
    /// Throws `std::system_error` when the address can't be bound.
    peer_link(const std::string& address, std::uint16_t port, on_message receive);
    /// The same on the caller's loop, without a thread: `receive` is called on the loop's thread, and the
    /// loop must end before the link is destroyed.
    peer_link(asio::io_context& loop, const std::string& address, std::uint16_t port, on_message receive);
    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /// Sends to `address` (`IP:port`), connecting if need be. Returns at once; nothing tells of a loss.
    /// Thread-safe.
    void send(const std::string& address, const peer_message& message);

    /// Sends the same to several addresses; it is encoded once. Otherwise as `send`. Thread-safe.
    void send_all(std::vector<std::string> addresses, const peer_message& message);

    /// The port in use. Thread-safe.
    [[nodiscard]] std::uint16_t port() const noexcept;

    /// Bytes sent and received so far, frames included. Thread-safe.
    [[nodiscard]] std::uint64_t bytes_sent() const noexcept;
    [[nodiscard]] std::uint64_t bytes_received() const noexcept;

private:
    struct state;
    std::shared_ptr<state> self;
};

} // namespace coriander
