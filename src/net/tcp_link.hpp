#pragma once

#include "coriander/time_ms.hpp"
#include "net/link_liveness.hpp"

#include <asio/any_io_executor.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace coriander {

/// How a connection ended.
enum class link_end {
    finished,      ///< The peer ended its side in an orderly way; all that it sent has been received.
    reset,         ///< The connection was reset, or the peer or the network failed.
    not_connected, ///< The connection was never established.
};

/// A non-blocking TCP connection on an event loop. Writes go to the socket at once as far as it accepts them;
/// the rest is queued. Used on the event loop's thread only. Must be held by a `shared_ptr`.
class tcp_link : public std::enable_shared_from_this<tcp_link> {
public:
    using on_bytes = std::function<void(std::string_view)>;
    using on_end = std::function<void(link_end)>;
    using on_connected = std::function<void()>;

    /// Creates an unconnected link.
    explicit tcp_link(asio::io_context& loop, const link_liveness& liveness = {});
    /// Wraps an accepted connection.
    explicit tcp_link(asio::ip::tcp::socket accepted);
    tcp_link(const tcp_link&) = delete;
    tcp_link& operator=(const tcp_link&) = delete;
    ~tcp_link() = default;

    /// Sets the callbacks for received bytes and for the end, the latter being called at most once. They may
    /// close the link. Empty callbacks are allowed.
    void listen(on_bytes bytes, on_end end);

    /// Connects within `timeout`. Calls `connected` or, on failure, the end callback with `not_connected`.
    /// Bytes may be written before the connection is established.
    void connect(const asio::ip::tcp::endpoint& to, time_ms timeout, on_connected connected);

    /// Starts reading. Required for accepted links only; a connecting link starts by itself.
    void start();

    /// Sends bytes, queueing what the socket does not accept.
    void write(std::string_view bytes);

    /// Queued bytes that are not yet written to the socket.
    [[nodiscard]] std::size_t unsent() const noexcept { return this->queue.size() - this->queue_begin; }

    /// Reports the bytes that the socket has already received, and the end if it is known, without waiting.
    void read_available();

    /// Sets the function that says how many bytes may be read before each read. If it returns 0, reading is
    /// paused. Without it, as many as the read buffer holds.
    void set_read_gate(std::function<std::size_t()> gate) { this->read_gate = std::move(gate); }

    /// Pauses and resumes reading, which applies back-pressure to the peer.
    void pause_reading() noexcept { this->is_paused = true; }
    void resume_reading();

    /// Sets the callback for an empty send queue.
    void on_drained(std::function<void()> drained) { this->drained = std::move(drained); }

    /// Closes at once without calling any callback. Queued bytes are discarded.
    void close();

    /// Closes at once like `close`, and also discards what the system has not delivered yet: it would
    /// otherwise keep sending it, and a peer that could not be reached meanwhile would get it late.
    void reset();

    /// From now on, any end but that of `close_when_sent` resets the connection, also the end of this
    /// process. For messages that end with the connection, so that a truncated one does not look complete.
    void reset_unless_sent();

    /// Sends the queue and its end, then closes when the peer does or after a time-out. Received bytes are
    /// discarded: unread ones would reset the connection, and the peer would lose what it has not read yet.
    /// The end is reported if the peer causes it.
    void close_when_sent();

    [[nodiscard]] asio::any_io_executor executor() { return this->socket.get_executor(); }

    [[nodiscard]] bool is_open() const noexcept { return this->socket.is_open(); }
    /// Whether the peer has closed the connection. Returns false while the socket has unread bytes, since the
    /// end is only visible after them.
    [[nodiscard]] bool has_peer_closed();
    [[nodiscard]] bool is_connected() const noexcept { return this->established; }

private:
    void prepare();
    void wait_readable();
    bool read_some();
    void wait_writable();
    void write_some();
    void send_end();
    void set_reset_on_close(bool resets);
    void note_failure(const asio::error_code& problem) noexcept;
    void end(link_end how);

    asio::ip::tcp::socket socket;
    asio::steady_timer timer; ///< Bounds connecting, and waiting for the peer's end.
    link_liveness liveness;
    on_bytes bytes;
    on_end ended;
    std::function<void()> drained;
    std::function<std::size_t()> read_gate;
    std::string queue;
    std::size_t queue_begin = 0;
    bool established = false;
    bool has_failed = false; ///< A call on the socket has reported that the connection failed.
    bool is_waiting_to_read = false;
    bool is_waiting_to_write = false;
    bool is_paused = false;
    bool closes_when_sent = false;
    bool resets_on_close = false;
};

} // namespace coriander
