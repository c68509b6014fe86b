#include "net/tcp_link.hpp"

#include <asio/buffer.hpp>
#include <asio/socket_base.hpp>

#include <algorithm>
#include <array>
#include <chrono>

namespace coriander {
namespace {

/// Size of the read buffer, which is shared by all links of a thread.
constexpr std::size_t read_size = 65536;

/// How long a closing connection waits for the peer to close too.
constexpr std::chrono::seconds linger_timeout{2};

std::array<char, read_size>& read_buffer()
{
    thread_local std::array<char, read_size> buffer;
    return buffer;
}

void set_options(asio::ip::tcp::socket& socket, const link_liveness& liveness)
{
    asio::error_code ignored; // The system's default applies where an option is not supported.
    socket.non_blocking(true, ignored);
    socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
    set_liveness(socket, liveness);
}

} // namespace

tcp_link::tcp_link(asio::io_context& loop, const link_liveness& liveness)
    : socket{loop}, timer{loop}, liveness{liveness}
{
}

tcp_link::tcp_link(asio::ip::tcp::socket accepted)
    : socket{std::move(accepted)}, timer{this->socket.get_executor()}, established{true}
{
    set_options(this->socket, this->liveness);
}

void tcp_link::listen(on_bytes bytes, on_end end)
{
    this->bytes = std::move(bytes);
    this->ended = std::move(end);
}

void tcp_link::connect(const asio::ip::tcp::endpoint& to, time_ms timeout, on_connected connected)
{
    asio::error_code problem;
    this->socket.open(to.protocol(), problem);
    if (!problem) {
        set_options(this->socket, this->liveness);
    }
    auto self = this->shared_from_this();
    this->timer.expires_after(std::chrono::milliseconds{timeout.count()});
    this->timer.async_wait([self](const asio::error_code& cancelled) {
        if (!cancelled && !self->established) {
            self->end(link_end::not_connected);
        }
    });
    this->socket.async_connect(to, [self, connected = std::move(connected)](const asio::error_code& failed) {
        if (!self->socket.is_open()) {
            return;
        }
        if (failed) {
            self->end(link_end::not_connected);
            return;
        }
        self->established = true;
        self->timer.cancel();
        if (connected) {
            connected();
        }
        self->start();
        self->write_some();
    });
}

void tcp_link::start()
{
    if (this->is_open()) {
        this->wait_readable();
    }
}

void tcp_link::wait_readable()
{
    if (this->is_waiting_to_read || this->is_paused || !this->is_open()) {
        return;
    }
    this->is_waiting_to_read = true;
    this->socket.async_wait(asio::socket_base::wait_read,
                            [self = this->shared_from_this()](const asio::error_code& failed) {
                                self->is_waiting_to_read = false;
                                if (!failed && self->is_open()) {
                                    self->read_some();
                                    self->wait_readable();
                                }
                            });
}

/// Returns whether bytes were received.
bool tcp_link::read_some()
{
    asio::error_code problem;
    auto& buffer = read_buffer();
    const auto gate = this->read_gate; // It may close the link, which clears the callbacks.
    const auto allowed = gate ? std::min(gate(), buffer.size()) : buffer.size();
    if (allowed == 0 || !this->is_open()) {
        this->is_paused = !this->closes_when_sent;
        return false;
    }
    const auto count = this->socket.read_some(asio::buffer(buffer.data(), allowed), problem);
    if (problem == asio::error::would_block || problem == asio::error::try_again) {
        return false;
    }
    if (problem) {
        const bool is_orderly = problem == asio::error::eof && !this->has_failed;
        this->end(is_orderly ? link_end::finished : link_end::reset);
        return false;
    }
    if (this->bytes) {
        const auto receiver = this->bytes; // The callback may replace or clear the callbacks.
        receiver({buffer.data(), count});
    }
    return true;
}

void tcp_link::read_available()
{
    const auto self = this->shared_from_this(); // The callbacks may release the link.
    while (this->bytes && this->is_open() && !this->is_paused && this->read_some()) {
    }
}

bool tcp_link::has_peer_closed()
{
    char next = 0;
    asio::error_code problem;
    (void)this->socket.receive(asio::buffer(&next, 1), asio::socket_base::message_peek, problem);
    if (!problem || problem == asio::error::would_block || problem == asio::error::try_again) {
        return false;
    }
    this->note_failure(problem);
    return true;
}

void tcp_link::resume_reading()
{
    this->is_paused = false;
    if (this->established) {
        this->wait_readable();
    }
}

void tcp_link::write(std::string_view bytes)
{
    if (!this->is_open()) {
        return;
    }
    this->queue.append(bytes);
    if (this->established && !this->is_waiting_to_write) {
        this->write_some();
    }
}

void tcp_link::write_some()
{
    while (this->unsent() > 0 && this->is_open()) {
        asio::error_code problem;
        const auto count = this->socket.write_some(
            asio::buffer(this->queue.data() + this->queue_begin, this->unsent()), problem);
        if (problem == asio::error::would_block || problem == asio::error::try_again) {
            this->wait_writable();
            return;
        }
        if (problem) {
            // The end is reported by the next read, after the bytes that were already received.
            this->note_failure(problem);
            this->queue.clear();
            this->queue_begin = 0;
            if (this->closes_when_sent) {
                this->close();
            }
            return;
        }
        this->queue_begin += count;
    }
    this->queue.clear();
    this->queue_begin = 0;
    if (this->closes_when_sent) {
        this->send_end();
        return;
    }
    if (this->drained) {
        const auto listener = this->drained;
        listener();
    }
}

void tcp_link::wait_writable()
{
    if (this->is_waiting_to_write) {
        return;
    }
    this->is_waiting_to_write = true;
    this->socket.async_wait(asio::socket_base::wait_write,
                            [self = this->shared_from_this()](const asio::error_code& failed) {
                                self->is_waiting_to_write = false;
                                if (!failed) {
                                    self->write_some();
                                }
                            });
}

/// The system reports a failure to one call only. After that, a read returns what it returns at an orderly
/// end.
void tcp_link::note_failure(const asio::error_code& problem) noexcept
{
    // As the first error, a broken pipe means that the peer had ended its side before the connection failed.
    const bool is_orderly = problem == asio::error::eof || problem == asio::error::broken_pipe;
    this->has_failed = this->has_failed || !is_orderly;
}

void tcp_link::end(link_end how)
{
    const auto listener = std::move(this->ended);
    this->close();
    if (listener) {
        listener(how);
    }
}

void tcp_link::close()
{
    this->bytes = nullptr;
    this->ended = nullptr;
    this->drained = nullptr;
    this->read_gate = nullptr;
    this->timer.cancel();
    asio::error_code ignored; // Closing a closed socket is harmless.
    this->socket.close(ignored);
}

void tcp_link::reset()
{
    this->set_reset_on_close(true);
    this->close();
}

void tcp_link::reset_unless_sent()
{
    this->set_reset_on_close(true);
}

void tcp_link::set_reset_on_close(bool resets)
{
    asio::error_code ignored; // Without the option, the connection is closed all the same.
    this->socket.set_option(asio::socket_base::linger{resets, 0}, ignored);
    this->resets_on_close = resets;
}

void tcp_link::close_when_sent()
{
    if (!this->established) {
        this->close();
        return;
    }
    this->closes_when_sent = true;
    this->bytes = nullptr;
    this->drained = nullptr;
    this->read_gate = nullptr;
    if (this->unsent() == 0) {
        this->send_end();
    }
}

void tcp_link::send_end()
{
    if (this->resets_on_close) {
        this->set_reset_on_close(false);
    }
    asio::error_code failed;
    this->socket.shutdown(asio::socket_base::shutdown_send, failed);
    if (failed) {
        this->close();
        return;
    }
    this->timer.expires_after(linger_timeout);
    this->timer.async_wait([self = this->weak_from_this()](const asio::error_code& cancelled) {
        if (const auto link = self.lock(); link && !cancelled) {
            link->close();
        }
    });
    this->resume_reading();
}

} // namespace coriander
