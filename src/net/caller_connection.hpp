#pragma once

#include "coriander/time_ms.hpp"
#include "net/message_parser.hpp"
#include "net/tcp_link.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace coriander {

/// A whole request of a caller.
struct incoming_request {
    message_head head;
    std::string body;
    time_ms arrived; ///< When its last byte was read.
};

/// What a caller may send, and how long it may take.
struct connection_limits {
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 4194304;
    time_ms header_timeout{3000};
    time_ms idle_timeout{15000};
};

class caller_connection;

/// What a listener's connections have in common. All are called on the loop's thread.
struct connection_handlers {
    /// A request arrived. It is answered by the connection's answer methods, now or later.
    std::function<void(const std::shared_ptr<caller_connection>&, incoming_request)> on_request;
    std::function<connection_limits()> limits;
    /// Whether connections are to be closed after the answer in progress.
    std::function<bool()> is_closing;
};

/// A connection of a caller: reads one request after the other and sends the answers. It goes on reading
/// while an answer is pending, so that a caller's leaving is noticed at once. Used on the loop's thread only.
class caller_connection : public message_events, public std::enable_shared_from_this<caller_connection> {
public:
    caller_connection(asio::ip::tcp::socket socket, std::shared_ptr<const connection_handlers> handlers);

    /// Starts to read. Precondition: held by a `shared_ptr`.
    void start();

    /// Sends a whole answer. Precondition: a request is pending and its answer has not begun.
    void send(int status, std::vector<http_header> headers, std::string_view body);

    /// Begins an answer in chunks. Precondition: as for `send`.
    void begin_stream(int status, std::vector<http_header> headers);
    /// Adds to it. Precondition: `begin_stream` was called.
    void append(std::string_view chunk);
    /// Ends it as whole.
    void finish_stream();

    /// Closes the connection without ending the answer: the caller sees that it is not whole.
    void abort();

    /// Who learns that the caller has left while its request is pending. Forgotten after the answer.
    void on_disconnected(std::function<void()> listener) { this->disconnected = std::move(listener); }

    /// Whether the caller had left by the time its request was read.
    [[nodiscard]] bool has_caller_disconnected() { return this->link->has_peer_closed(); }

    /// Bytes that the caller has not taken yet.
    [[nodiscard]] std::size_t unsent() const noexcept { return this->link->unsent(); }
    /// Is called when the caller has taken all.
    void on_drained(std::function<void()> listener) { this->link->on_drained(std::move(listener)); }

    void on_message_head(message_head head) override;
    void on_message_body(std::string_view bytes) override;

private:
    void on_bytes(std::string_view bytes);
    void on_link_end(link_end how);
    void parse();
    void reject(int status);
    void finish_answer();
    [[nodiscard]] bool should_close() const;
    void add_connection_header(std::vector<http_header>& headers);
    void arm_timer(time_ms limit);

    std::shared_ptr<tcp_link> link;
    std::shared_ptr<const connection_handlers> handlers;
    message_parser parser;
    asio::steady_timer timer;
    std::string unparsed;
    incoming_request request;
    connection_limits limits;
    std::function<void()> disconnected;
    bool is_pending = false; ///< A request waits for its answer or the rest of it.
    bool caller_keeps = true;
    bool is_too_large = false;
    bool closes_after = false;
};

} // namespace coriander
