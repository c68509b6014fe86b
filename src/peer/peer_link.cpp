#include "peer/peer_link.hpp"

#include "net/link_liveness.hpp"
#include "peer/packed_message.hpp"
#include "runtime/log.hpp"

#include <asio.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <map>
#include <thread>
#include <vector>

namespace coriander {
namespace {

using tcp = asio::ip::tcp;

constexpr std::size_t frame_header_bytes = 4;
constexpr std::uint32_t max_frame_bytes = 4U << 20U;
/// By which the memory of a message that is being received grows.
constexpr std::size_t body_step_bytes = 65536;
/// Messages queued behind the one in flight. Allows for those sent together: a heartbeat and some table
/// updates.
constexpr std::size_t max_queued_messages = 8;
constexpr auto write_timeout = std::chrono::seconds{2};
/// A message counts as sent once the socket has taken it; only the system can notice that it is not
/// acknowledged. The next message then uses a new connection. Probes are rare, since most of the links
/// between many daemons are idle.
constexpr link_liveness peer_liveness{20000_ms, 1000_ms, 1, 1000_ms};
constexpr auto idle_timeout = std::chrono::seconds{60};
constexpr std::chrono::milliseconds accept_retry_delay{20};

using frame = std::vector<std::uint8_t>;

/// Prepends the length of the body, in little-endian order.
frame with_header(const std::vector<std::uint8_t>& body)
{
    frame bytes;
    const auto length = static_cast<std::uint32_t>(body.size());
    for (unsigned i = 0; i < frame_header_bytes; ++i) {
        bytes.push_back(static_cast<std::uint8_t>(length >> (8U * i)));
    }
    bytes.insert(bytes.end(), body.begin(), body.end());
    return bytes;
}

std::uint32_t length_in(const std::array<std::uint8_t, frame_header_bytes>& header)
{
    std::uint32_t length = 0;
    for (unsigned i = 0; i < frame_header_bytes; ++i) {
        length |= static_cast<std::uint32_t>(header[i]) << (8U * i);
    }
    return length;
}

} // namespace

struct peer_link::state : std::enable_shared_from_this<peer_link::state> {
    /// An outgoing connection with at most one message in flight and a short queue behind it.
    struct outgoing {
        explicit outgoing(asio::io_context& context) : socket{context}, timer{context} {}
        tcp::socket socket;
        asio::steady_timer timer;
        std::deque<std::shared_ptr<frame>> queue;
        bool is_busy = false;
        bool is_connected = false;
        std::array<std::uint8_t, 1> unexpected{}; ///< Receives nothing until the peer closes the connection.
    };

    /// An incoming connection.
    struct incoming {
        explicit incoming(tcp::socket socket) : socket{std::move(socket)}, timer{this->socket.get_executor()}
        {
        }
        tcp::socket socket;
        asio::steady_timer timer;
        std::array<std::uint8_t, frame_header_bytes> header{};
        std::vector<std::uint8_t> body;
        std::uint64_t last_read = 0; ///< Position in the order of all reads.
    };

    /// Uses `loop`, or its own loop and thread if `loop` is null.
    state(asio::io_context* loop, on_message receive)
        : own_context{loop == nullptr ? std::make_unique<asio::io_context>() : nullptr},
          context{loop == nullptr ? *this->own_context : *loop}, acceptor{this->context}, receive{std::move(
                                                                                              receive)}
    {
    }

    void listen(const std::string& address, std::uint16_t port)
    {
        const tcp::endpoint endpoint{asio::ip::make_address(address), port};
        this->acceptor.open(endpoint.protocol());
        this->acceptor.set_option(tcp::acceptor::reuse_address(true));
        this->acceptor.bind(endpoint);
        this->acceptor.listen();
        this->bound_port = this->acceptor.local_endpoint().port();
        this->accept();
    }

    void accept()
    {
        this->acceptor.async_accept([this](const asio::error_code& problem, tcp::socket socket) {
            if (!problem) {
                const auto from = std::make_shared<incoming>(std::move(socket));
                this->make_place();
                this->open.push_back(from);
                this->read_header(from);
            }
            if (this->acceptor.is_open()) {
                this->accept_after(problem ? accept_retry_delay : std::chrono::milliseconds{0});
            }
        });
    }

    void accept_after(std::chrono::milliseconds delay)
    {
        if (delay.count() == 0) {
            this->accept();
            return;
        }
        this->accept_timer.expires_after(delay);
        this->accept_timer.async_wait([this](const asio::error_code& cancelled) {
            if (!cancelled) {
                this->accept();
            }
        });
    }

    /// Closes the connections on which nothing has arrived for longest, if there are as many as allowed.
    void make_place()
    {
        std::erase_if(this->open, [](const auto& one) {
            const auto connection = one.lock();
            return !connection || !connection->socket.is_open();
        });
        while (this->open.size() >= this->limits.connections && !this->open.empty()) {
            const auto oldest =
                std::min_element(this->open.begin(), this->open.end(), [](const auto& a, const auto& b) {
                    return a.lock()->last_read < b.lock()->last_read;
                });
            this->close(*oldest->lock());
            this->open.erase(oldest);
        }
    }

    static void close(incoming& from)
    {
        asio::error_code ignored;
        from.socket.close(ignored);
        from.timer.cancel();
    }

    /// Releases the memory of a message, also of one that will not be complete.
    void release_body(incoming& from)
    {
        this->body_bytes -= from.body.size();
        from.body = {};
    }

    /// Closes an idle connection, since it may have been lost without being closed.
    void start_idle_timer(const std::shared_ptr<incoming>& from)
    {
        from->timer.expires_after(idle_timeout);
        from->timer.async_wait([from](const asio::error_code& problem) {
            if (!problem) {
                asio::error_code ignored;
                from->socket.close(ignored);
            }
        });
    }

    void read_header(const std::shared_ptr<incoming>& from)
    {
        this->start_idle_timer(from);
        asio::async_read(from->socket, asio::buffer(from->header),
                         [this, from](const asio::error_code& problem, std::size_t) {
                             const auto length = length_in(from->header);
                             if (problem || length > max_frame_bytes) {
                                 from->timer.cancel();
                                 return;
                             }
                             this->read_body(from, length);
                         });
    }

    /// Reads the rest of a message of `length` bytes. Memory is taken as bytes arrive, not as a header
    /// claims.
    void read_body(const std::shared_ptr<incoming>& from, std::size_t length)
    {
        const auto begin = from->body.size();
        if (begin == length) {
            this->on_body(from);
            return;
        }
        from->last_read = ++this->reads;
        const auto step = std::min(length - begin, body_step_bytes);
        if (this->body_bytes + step > this->limits.bytes) {
            log_rejected(*from, "the messages being received exceed their limit");
            this->release_body(*from);
            close(*from);
            return;
        }
        this->body_bytes += step;
        from->body.resize(begin + step);
        asio::async_read(from->socket, asio::buffer(from->body.data() + begin, from->body.size() - begin),
                         [this, from, length](const asio::error_code& problem, std::size_t) {
                             if (problem) {
                                 from->timer.cancel();
                                 this->release_body(*from);
                                 return;
                             }
                             this->read_body(from, length);
                         });
    }

    static void log_rejected(const incoming& from, const std::string& why)
    {
        asio::error_code unknown;
        const auto peer = from.socket.remote_endpoint(unknown);
        log_event(event::peer_message_rejected,
                  {{"peer", unknown ? std::string{"gone"} : peer.address().to_string()},
                   {"bytes", from.body.size()},
                   {"why", why}});
    }

    void on_body(const std::shared_ptr<incoming>& from)
    {
        auto message = decode_peer_message(from->body);
        if (message) {
            message = unpack_message(std::move(message).value());
        }
        if (!message) {
            log_rejected(*from, message.error().message);
            from->timer.cancel();
            this->release_body(*from);
            return;
        }
        this->received += from->body.size() + frame_header_bytes;
        this->release_body(*from);
        this->receive(std::move(message).value());
        this->read_header(from);
    }

    void send(const std::string& address, const std::shared_ptr<frame>& bytes)
    {
        auto& connection = this->connections[address];
        if (connection && connection->is_busy) {
            if (connection->queue.size() < max_queued_messages) {
                connection->queue.push_back(bytes);
            }
            return;
        }
        if (!connection) {
            connection = std::make_shared<outgoing>(this->context);
        }
        connection->is_busy = true;
        this->start_write_timer(address, connection);
        if (connection->is_connected) {
            this->write(address, connection, bytes);
            return;
        }
        this->connect(address, connection, bytes);
    }

    /// Sets a timeout for the operation in progress, which closes the connection.
    void start_write_timer(const std::string& address, const std::shared_ptr<outgoing>& connection)
    {
        connection->timer.expires_after(write_timeout);
        connection->timer.async_wait([this, address, connection](const asio::error_code& problem) {
            if (!problem) {
                this->drop(address, connection, "timed out");
            }
        });
    }

    void drop(const std::string& address, const std::shared_ptr<outgoing>& connection, const std::string& why)
    {
        asio::error_code ignored;
        connection->socket.close(ignored);
        connection->timer.cancel();
        const auto found = this->connections.find(address);
        if (found != this->connections.end() && found->second == connection) {
            if (connection->is_connected) {
                log_event(event::peer_connection_lost,
                          {{"peer", address}, {"why", why}, {"queued", connection->queue.size()}});
            }
            this->connections.erase(found);
        }
    }

    /// Drops the connection as soon as the peer closes it. A message written later would be lost unnoticed.
    /// The peer sends nothing on it.
    void watch_for_close(const std::string& address, const std::shared_ptr<outgoing>& connection)
    {
        connection->socket.async_read_some(
            asio::buffer(connection->unexpected),
            [self = this->weak_from_this(), address, connection](const asio::error_code& end, std::size_t) {
                if (const auto link = self.lock()) {
                    link->drop(address, connection, end.message());
                }
            });
    }

    void connect(const std::string& address, const std::shared_ptr<outgoing>& connection,
                 const std::shared_ptr<frame>& bytes)
    {
        const auto colon = address.rfind(':');
        asio::error_code problem;
        const auto ip = asio::ip::make_address(address.substr(0, colon), problem);
        if (problem || colon == std::string::npos) {
            this->drop(address, connection, "invalid address");
            return;
        }
        const auto port = static_cast<std::uint16_t>(std::strtoul(address.c_str() + colon + 1, nullptr, 10));
        connection->socket.async_connect({ip, port}, [=, this](const asio::error_code& failed) {
            if (failed) {
                this->drop(address, connection, failed.message());
                return;
            }
            connection->is_connected = true;
            set_liveness(connection->socket, peer_liveness);
            this->watch_for_close(address, connection);
            this->write(address, connection, bytes);
        });
    }

    void write(const std::string& address, const std::shared_ptr<outgoing>& connection,
               const std::shared_ptr<frame>& bytes)
    {
        asio::async_write(
            connection->socket, asio::buffer(*bytes),
            [this, address, connection, bytes](const asio::error_code& failed, std::size_t count) {
                this->sent += count;
                connection->timer.cancel();
                connection->is_busy = false;
                if (failed) {
                    this->drop(address, connection, failed.message());
                }
                else if (!connection->queue.empty()) {
                    const auto next = connection->queue.front();
                    connection->queue.pop_front();
                    this->send(address, next);
                }
            });
    }

    std::unique_ptr<asio::io_context> own_context;
    asio::io_context& context;
    tcp::acceptor acceptor;
    on_message receive;
    peer_link_limits limits;
    asio::steady_timer accept_timer{this->context};
    std::vector<std::weak_ptr<incoming>> open; ///< Incoming connections; some may have ended.
    std::size_t body_bytes = 0;                ///< Of all messages that are being received.
    std::uint64_t reads = 0;
    std::map<std::string, std::shared_ptr<outgoing>> connections; ///< Used by the loop's thread only.
    std::atomic<std::uint16_t> bound_port{0};
    std::atomic<std::uint64_t> sent{0};
    std::atomic<std::uint64_t> received{0};
    std::thread thread;
};

peer_link::peer_link(const std::string& address, std::uint16_t port, on_message receive)
    : self{std::make_shared<state>(nullptr, std::move(receive))}
{
    this->self->listen(address, port); // The pending accept keeps the loop running.
    this->self->thread = std::thread{[state = this->self.get()] { state->context.run(); }};
}

peer_link::peer_link(asio::io_context& loop, const std::string& address, std::uint16_t port,
                     on_message receive)
    : self{std::make_shared<state>(&loop, std::move(receive))}
{
    this->self->listen(address, port);
}

peer_link::~peer_link()
{
    if (this->self->thread.joinable()) {
        this->self->context.stop();
        this->self->thread.join();
    }
}

void peer_link::set_limits(const peer_link_limits& limits)
{
    this->self->limits = limits;
}

void peer_link::send(const std::string& address, const peer_message& message)
{
    this->send_all({address}, message);
}

void peer_link::send_all(std::vector<std::string> addresses, const peer_message& message)
{
    auto bytes = std::make_shared<frame>(with_header(encode_peer_message(message)));
    asio::post(this->self->context, [state = this->self.get(), addresses = std::move(addresses), bytes] {
        for (const auto& address : addresses) {
            state->send(address, bytes);
        }
    });
}

std::uint16_t peer_link::port() const noexcept
{
    return this->self->bound_port;
}

std::uint64_t peer_link::bytes_sent() const noexcept
{
    return this->self->sent;
}

std::uint64_t peer_link::bytes_received() const noexcept
{
    return this->self->received;
}

} // namespace coriander
