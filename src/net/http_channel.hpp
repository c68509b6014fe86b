#pragma once

#include "coriander/time_ms.hpp"
#include "net/message_parser.hpp"
#include "net/tcp_link.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace coriander {

/// How an exchange of a request and a response ended.
enum class exchange_end {
    complete, ///< The whole response came.
    not_sent, ///< No byte of the request left this host.
    lost,     ///< Sent at least in part; the response is missing or cut.
    malformed,  ///< What came was no response.
};

/// Who receives a response. Calls come on the loop's thread; the receiver may close the channel in any of
/// them.
class response_receiver {
public:
    virtual ~response_receiver() = default;
    virtual void on_response_head(message_head head) = 0;
    virtual void on_response_body(std::string_view bytes) = 0;
    virtual void on_exchange_end(exchange_end end) = 0;
};

/// A connection to a server that carries one exchange at a time. Used on the loop's thread only.
class http_channel : public message_events, public std::enable_shared_from_this<http_channel> {
public:
    explicit http_channel(asio::io_context& loop);

    /// Connects within `limit`; a failure ends the exchange that was sent meanwhile.
    void connect(const asio::ip::tcp::endpoint& to, time_ms limit);

    /// Sends a whole request. Precondition: no exchange is going on. `receiver` must outlive the exchange or
    /// call `close`.
    void send(std::string_view request, response_receiver& receiver, bool is_head_request = false);

    /// Gives the exchange up and closes the connection; nobody is called.
    void close();

    /// Whether another request may be sent: the last exchange is complete, and the connection stands.
    [[nodiscard]] bool is_reusable() const noexcept { return this->reusable && this->link->is_open(); }

    /// How long the server says that it keeps the connection; zero when it doesn't say.
    [[nodiscard]] time_ms keep_alive() const noexcept { return this->kept; }

    /// Whether the connection is established: requests have reached the network.
    [[nodiscard]] bool is_connected() const noexcept { return this->link->is_connected(); }

    /// Stops and resumes reading the response.
    void pause_reading() noexcept { this->link->pause_reading(); }
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
    bool server_keeps = true;
    time_ms kept;
};

} // namespace coriander
