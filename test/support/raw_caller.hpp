#pragma once

#include "support/event_loop.hpp"

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace coriander {

/// A caller whose socket is not on the server's event loop: a test can send while the server's loop does not
/// run.
class raw_caller {
public:
    explicit raw_caller(std::uint16_t port, int receive_buffer = 0)
    {
        this->socket.open(asio::ip::tcp::v4());
        if (receive_buffer > 0) {
            this->socket.set_option(asio::socket_base::receive_buffer_size{receive_buffer});
        }
        this->socket.connect({asio::ip::make_address("127.0.0.1"), port});
    }

    /// Sends all bytes, waiting for the socket to accept them.
    void send(std::string_view bytes) { asio::write(this->socket, asio::buffer(bytes)); }

    /// Sends what the socket accepts without waiting; returns how many bytes it accepted.
    std::size_t send_some(std::string_view bytes)
    {
        this->socket.non_blocking(true);
        asio::error_code full;
        return this->socket.write_some(asio::buffer(bytes), full);
    }

    /// Reads what has arrived.
    void receive()
    {
        this->socket.non_blocking(true);
        asio::error_code problem;
        std::array<char, 65536> buffer{};
        while (!problem) {
            this->received.append(buffer.data(), this->socket.read_some(asio::buffer(buffer), problem));
        }
        this->has_ended = this->has_ended || problem == asio::error::eof;
        this->is_reset =
            this->is_reset || (problem && problem != asio::error::eof && problem != asio::error::would_block);
    }

    /// Whether `text` has arrived.
    bool has_received(std::string_view text)
    {
        this->receive();
        return this->received.find(text) != std::string::npos;
    }

    /// Whether the server has closed or reset the connection.
    bool is_closed()
    {
        this->receive();
        return this->has_ended || this->is_reset;
    }

    std::string received;
    bool has_ended = false; ///< The server closed the connection in an orderly way.
    bool is_reset = false;

private:
    std::unique_ptr<asio::io_context> own_loop = std::make_unique<asio::io_context>();
    asio::ip::tcp::socket socket{*this->own_loop};
};

} // namespace coriander
