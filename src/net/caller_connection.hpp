#pragma once

#include "coriander/time_ms.hpp"
#include "net/caller_budget.hpp"
#include "net/message_parser.hpp"
#include "net/tcp_link.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coriander {

/// A complete request from a caller.
struct incoming_request {
    message_head head;
    std::string body;
    time_ms arrived; ///< When the last byte was read.
};

/// Size limits and timeouts of a caller's requests.
struct connection_limits {
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 4194304;
    time_ms header_timeout{3000};
    time_ms idle_timeout{15000};
    /// From the end of a head to that of its body, as long as each `header_timeout` brings a part of it.
    time_ms body_timeout{30000};
};

/// How much longer a request may take whose head was complete at `head_read_at` and of which bytes came last
/// at `received_at`; zero if none. Thread-safe.
[[nodiscard]] time_ms body_time_left(const connection_limits& limits, time_ms head_read_at,
                                     time_ms received_at, time_ms now);

class caller_connection;

/// Callbacks shared by all connections of a listener. They are called on the event loop's thread.
struct connection_handlers {
    /// Called for each complete request. The response is sent through the connection, at once or later.
    std::function<void(const std::shared_ptr<caller_connection>&, incoming_request)> on_request;
    std::function<connection_limits()> limits;
    /// Whether connections are closed after the response in progress.
    std::function<bool()> is_closing;
    /// Bounds all connections together; null if nothing does.
    std::shared_ptr<caller_budget> budget{};
};

/// A caller's connection: reads requests and sends the responses, one request at a time. It keeps reading
/// while a response is pending, so that a disconnect is detected at once. Used on the event loop's thread
/// only.
class caller_connection : public message_events,
                          public budgeted_connection,
                          public std::enable_shared_from_this<caller_connection> {
public:
    caller_connection(asio::ip::tcp::socket socket, std::shared_ptr<const connection_handlers> handlers);
    ~caller_connection() override;
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    /// Starts reading, or closes the connection if there is no place for it. Precondition: held by a
    /// `shared_ptr`.
    void start();

    /// Sends a complete response. Precondition: a request is pending and its response has not been started.
    /// Otherwise closes the connection, so that the caller never takes these bytes for part of another
    /// response. Has no effect once the caller has disconnected; the same goes for the next three methods.
    void send(int status, std::vector<http_header> headers, std::string_view body);

    /// Starts a chunked response; to a caller that speaks HTTP/1.0, one that ends with the connection.
    /// Precondition: as for `send`.
    void begin_stream(int status, std::vector<http_header> headers);
    /// Sends a part of the body. Precondition: `begin_stream` was called.
    void append(std::string_view part);
    /// Sends what marks the response as complete. Precondition: as for `append`.
    void finish_stream();

    /// Closes the connection without that mark, so that the caller sees an incomplete response.
    void abort();

    /// Sets the callback for a disconnect while a request is pending. It is cleared after the response.
    void on_disconnected(std::function<void()> listener) { this->disconnected = std::move(listener); }

    /// Whether the caller had already disconnected when its request was read.
    [[nodiscard]] bool has_caller_disconnected() { return this->link->has_peer_closed(); }

    /// Bytes that are queued and not yet written to the socket.
    [[nodiscard]] std::size_t unsent() const noexcept { return this->link->unsent(); }
    /// Sets the callback for an empty send queue.
    void on_drained(std::function<void()> listener) { this->link->on_drained(std::move(listener)); }

    /// Reads what the socket has received, and handles a request that this completes.
    void read_available();

    /// Whether a request is being read or answered, or an answer has not been written to the socket
    /// completely.
    [[nodiscard]] bool is_busy() const;

    [[nodiscard]] std::size_t held_bytes() const override;
    [[nodiscard]] std::size_t unread_bytes() const override { return this->link->unsent(); }
    [[nodiscard]] bool can_end() const override { return !this->is_pending(); }
    void end_for_room(std::optional<int> status) override;
    void read_on() override;

    void on_message_head(message_head head) override;
    void on_message_body(std::string_view bytes) override;

private:
    /// How far the response to the current request has got.
    enum class response_stage { none, pending, streaming };

    void on_bytes(std::string_view bytes);
    void on_link_end(link_end how);
    void parse();
    void reject(int status);
    /// Refuses a request that is not complete in time, unless it makes progress. Returns whether it is.
    [[nodiscard]] bool has_time_left();
    /// Parses the next pipelined request once the caller has read enough of the answers before it.
    void continue_pipelined();
    /// Makes room for `more` bytes of the body in steps that follow its size.
    void grow_body(std::size_t more);
    /// How much may be read now; 0: reading pauses.
    [[nodiscard]] std::size_t bytes_to_read();
    void note_held();
    void leave_budget();
    void finish_response();
    [[nodiscard]] bool is_pending() const noexcept { return this->stage != response_stage::none; }
    /// Whether bytes that belong to `expected` may be written; if not, the connection is closed.
    [[nodiscard]] bool may_write(response_stage expected);
    [[nodiscard]] bool should_close() const;
    void add_connection_header(std::vector<http_header>& headers);
    void wait_for_request();
    void arm_timer(time_ms limit);
    void disarm_timer();
    void on_timeout();

    std::shared_ptr<tcp_link> link;
    std::shared_ptr<const connection_handlers> handlers;
    message_parser parser;
    asio::steady_timer timer;
    /// The handler of an expired timer can't be cancelled once it is queued; one of an earlier generation is
    /// ignored.
    std::uint64_t timer_generation = 0;
    time_ms idle_since;
    time_ms head_read_at; ///< When the head of the current request was complete.
    time_ms received_at;  ///< When bytes of the current request came last.
    std::string unparsed;
    std::size_t answering_bytes = 0; ///< Of the request that is being answered, with the copy that is sent.
    incoming_request request;
    connection_limits limits; ///< Of the request that is being read.
    std::function<void()> disconnected;
    response_stage stage = response_stage::none;
    bool caller_keeps_alive = true;
    bool caller_supports_chunks = true;
    bool is_body_too_large = false;
    bool closes_after_response = false;
    bool waits_for_room = false;
};

} // namespace coriander
