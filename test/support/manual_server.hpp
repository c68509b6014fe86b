#pragma once

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace coriander {

/// A server with one connection, which is not on the client's event loop: a test can answer and end the
/// connection while the client's loop does not run.
class manual_server {
public:
    /// With `receive_buffer`, sets the size of the connection's receive buffer.
    explicit manual_server(int receive_buffer = 0)
    {
        if (receive_buffer > 0) {
            this->acceptor.set_option(asio::socket_base::receive_buffer_size{receive_buffer});
        }
    }

    [[nodiscard]] asio::ip::tcp::endpoint endpoint() const { return this->acceptor.local_endpoint(); }
    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->endpoint().port());
    }

    /// Waits for the connection.
    void accept() { this->socket = this->acceptor.accept(); }

    /// Waits until a part of a request has arrived.
    void wait_for_bytes() { this->socket.wait(asio::socket_base::wait_read); }

    void send(std::string_view bytes) { asio::write(this->socket, asio::buffer(bytes)); }

    /// Reads until the client ends the connection. Returns whether it did so in an orderly way.
    bool read_to_end(std::string& received)
    {
        asio::error_code end;
        std::array<char, 65536> buffer{};
        while (!end) {
            received.append(buffer.data(), this->socket.read_some(asio::buffer(buffer), end));
        }
        return end == asio::error::eof;
    }

    /// Reads and discards what has arrived.
    void read_available()
    {
        asio::error_code problem;
        std::array<char, 65536> buffer{};
        this->socket.non_blocking(true);
        while (!problem) {
            (void)this->socket.read_some(asio::buffer(buffer), problem);
        }
        this->socket.non_blocking(false);
    }

    /// Ends the server's side of the connection in an orderly way.
    void finish() { this->socket.shutdown(asio::socket_base::shutdown_send); }

    /// Resets the connection.
    void reset()
    {
        this->socket.set_option(asio::socket_base::linger{true, 0});
        this->socket.close();
    }

private:
    asio::io_context own_loop{1};
    asio::ip::tcp::acceptor acceptor{this->own_loop, {asio::ip::make_address("127.0.0.1"), 0}};
    asio::ip::tcp::socket socket{this->own_loop};
};

} // namespace coriander
