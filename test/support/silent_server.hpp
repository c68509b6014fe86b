#pragma once

#include <asio/ip/tcp.hpp>

#include <linux/filter.h>
#include <sys/socket.h>

#include <cstddef>
#include <deque>
#include <string>

namespace coriander {

/// A server on a free loopback port that accepts connections, never answers, and can make them go silent.
class silent_server {
public:
    explicit silent_server(asio::io_context& loop) : acceptor{loop, {asio::ip::make_address("127.0.0.1"), 0}}
    {
        this->accept();
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->endpoint().port());
    }
    [[nodiscard]] asio::ip::tcp::endpoint endpoint() const { return this->acceptor.local_endpoint(); }

    /// The number of connections accepted.
    [[nodiscard]] std::size_t accepted() const noexcept { return this->sockets.size(); }

    /// Whether something was received on each connection.
    [[nodiscard]] bool has_received_on_all()
    {
        for (auto& socket : this->sockets) {
            if (socket.available() == 0) {
                return false;
            }
        }
        return true;
    }

    /// Drops all packets that arrive on the accepted connections from now on, without acknowledging them. New
    /// connections work. Returns whether the system allows it.
    [[nodiscard]] bool silence_all()
    {
        sock_filter drop_all{BPF_RET | BPF_K, 0, 0, 0};
        const sock_fprog program{1, &drop_all};
        bool is_set = true;
        for (auto& socket : this->sockets) {
            is_set = ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program,
                                  sizeof program) == 0 &&
                     is_set;
        }
        return is_set;
    }

    /// Ends the silence.
    void restore_all()
    {
        int unused = 0;
        for (auto& socket : this->sockets) {
            (void)::setsockopt(socket.native_handle(), SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof unused);
        }
    }

    /// Bytes that have been received and not read.
    [[nodiscard]] std::size_t received()
    {
        std::size_t count = 0;
        for (auto& socket : this->sockets) {
            count += socket.available();
        }
        return count;
    }

private:
    void accept()
    {
        this->acceptor.async_accept([this](const asio::error_code& failed, asio::ip::tcp::socket socket) {
            if (!failed) {
                this->sockets.push_back(std::move(socket));
                this->accept();
            }
        });
    }

    asio::ip::tcp::acceptor acceptor;
    std::deque<asio::ip::tcp::socket> sockets;
};

} // namespace coriander
