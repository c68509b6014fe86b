#pragma once

#include "coriander/time_ms.hpp"

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
    finished,      ///< The other side ended its sending in an orderly way.
    reset,         ///< It broke off, or the machine or the path is gone.
    not_connected, ///< It was never established.
};

/// A TCP connection on an event loop: reads when bytes are there, writes at once as far as the other side
/// takes them and queues the rest. Used on the loop's thread only. Keep it in a `shared_ptr`.
class tcp_link : public std::enable_shared_from_this<tcp_link> {
public:
    using on_bytes = std::function<void(std::string_view)>;
    using on_end = std::function<void(link_end)>;
    using on_connected = std::function<void()>;

    /// A link that is not connected yet.
    explicit tcp_link(asio::io_context& loop);
    /// A link on an accepted connection.
    explicit tcp_link(asio::ip::tcp::socket accepted);
    tcp_link(const tcp_link&) = delete;
    tcp_link& operator=(const tcp_link&) = delete;
    ~tcp_link() = default;

    /// Sets who learns of bytes and of the end; called at most once for the end. The callbacks may close the
    /// link. Empty callbacks detach it.
    void listen(on_bytes bytes, on_end end);

    /// Connects; `connected` is called, or the end with `not_connected`. Bytes may be written at once.
    void connect(const asio::ip::tcp::endpoint& to, time_ms limit, on_connected connected);

    /// Reads from now on. An accepted link must be told; a connecting one starts by itself.
    void start();

    /// Sends bytes, now or as soon as the other side takes them.
    void write(std::string_view bytes);

    /// Bytes that the other side has not taken yet.
    [[nodiscard]] std::size_t unsent() const noexcept { return this->queue.size() - this->queue_begin; }

    /// Stops and resumes reading, so that a slow receiver of these bytes slows the sender.
    void pause_reading() noexcept { this->is_paused = true; }
    void resume_reading();

    /// Is called when the queue has run empty.
    void on_drained(std::function<void()> drained) { this->drained = std::move(drained); }

    /// Closes at once, without calling anyone. What is queued is lost.
    void close();

    /// Closes when the queue has been sent.
    void close_when_sent();

    [[nodiscard]] asio::any_io_executor executor() { return this->socket.get_executor(); }

    [[nodiscard]] bool is_open() const noexcept { return this->socket.is_open(); }
    /// Whether the other side has ended the connection behind the bytes that were read. Bytes that are still
    /// to be read hide its end.
    [[nodiscard]] bool has_peer_closed();
    [[nodiscard]] bool is_connected() const noexcept { return this->established; }

private:
    void prepare();
    void wait_readable();
    void read_some();
    void wait_writable();
    void write_some();
    void end(link_end how);

    asio::ip::tcp::socket socket;
    asio::steady_timer connect_timer;
    on_bytes bytes;
    on_end ended;
    std::function<void()> drained;
    std::string queue;
    std::size_t queue_begin = 0;
    bool established = false;
    bool is_waiting_to_read = false;
    bool is_waiting_to_write = false;
    bool is_paused = false;
    bool is_closing = false;
};

} // namespace coriander
