#pragma once

#include "coriander/time_ms.hpp"
#include "net/message_parser.hpp"
#include "net/tcp_link.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace coriander {

/// Outcome of an exchange of one request and its response.
enum class exchange_end {
    complete,  ///< The whole response was received.
    not_sent,  ///< No byte of the request left this host.
    lost,      ///< Sent at least in part; the response is missing or truncated.
    malformed, ///< The bytes received are not a valid HTTP response.
};

/// Receives a response. The methods are called on the event loop's thread and may close the channel.
class response_receiver {
public:
    virtual ~response_receiver() = default;
    virtual void on_response_head(message_head head) = 0;
    virtual void on_response_body(std::string_view bytes) = 0;
    virtual void on_exchange_end(exchange_end end) = 0;
};

/// A connection to a server that carries one exchange at a time. Used on the event loop's thread only.
class http_channel : public message_events, public std::enable_shared_from_this<http_channel> {
public:
    explicit http_channel(asio::io_context& loop, const link_liveness& liveness = {});

    /// Starts to connect; `send` may be called at once. A failure or a timeout after `timeout` ends the
    /// exchange with `not_sent`.
    void connect(const asio::ip::tcp::endpoint& to, time_ms timeout);

    /// Sends a complete request. Precondition: no exchange is in progress. `receiver` must outlive the
    /// exchange or call `close`.
    void send(std::string_view request, response_receiver& receiver, bool is_head_request = false);

    /// Passes the rest of the response to another receiver, to which the same conditions apply.
    void redirect(response_receiver& to) noexcept;

    /// Aborts the exchange and closes the connection without calling the receiver. A request that has not
    /// reached the server yet never does.
    void close();

    /// Whether another request may be sent: the last exchange is complete and the connection is open.
    [[nodiscard]] bool is_reusable() const noexcept { return this->reusable && this->link->is_open(); }

    /// Keep-alive timeout announced by the server; zero if there is none.
    [[nodiscard]] time_ms keep_alive() const noexcept { return this->keep_alive_time; }

    /// Whether the connection was established, so that requests may have been sent.
    [[nodiscard]] bool is_connected() const noexcept { return this->link->is_connected(); }

    /// Stops reading the response until `resume_reading`, or its end. Has no effect without an exchange.
    void pause_reading() noexcept
    {
        if (this->receiver != nullptr) {
            this->link->pause_reading();
        }
    }
    void resume_reading() { this->link->resume_reading(); }

    void on_message_head(message_head head) override;
    void on_message_body(std::string_view bytes) override;

private:
    void on_bytes(std::string_view bytes);
    void on_link_end(link_end how);
    void finish(exchange_end end);

    std::shared_ptr<tcp_link> link;
    message_parser parser;
    response_receiver* receiver = nullptr;
    bool reusable = false;
    bool server_keeps_alive = true;
    time_ms keep_alive_time;
};

} // namespace coriander
