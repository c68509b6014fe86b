#pragma once

#include "net/tcp_link.hpp"

#include <asio/ip/tcp.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace coriander {

/// A server on a free loopback port that does with each connection's bytes what a test says.
class scripted_server {
public:
    /// Is called when the bytes received so far end a request's head.
    using on_request = std::function<void(tcp_link&, const std::string& request)>;

    scripted_server(asio::io_context& loop, on_request act)
        : acceptor{loop, {asio::ip::make_address("127.0.0.1"), 0}}, act{std::move(act)}
    {
        this->accept();
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
    }

    /// All requests that came, oldest first.
    [[nodiscard]] const std::vector<std::string>& requests() const noexcept { return this->seen; }
    /// Connections that the other side has ended.
    [[nodiscard]] std::size_t closed() const noexcept { return this->ended; }
    [[nodiscard]] std::size_t accepted() const noexcept { return this->links.size(); }

private:
    struct connection {
        std::shared_ptr<tcp_link> link;
        std::string received;
    };

    void accept()
    {
        this->acceptor.async_accept([this](const asio::error_code& failed, asio::ip::tcp::socket socket) {
            if (failed) {
                return;
            }
            auto& one = this->links.emplace_back();
            one.link = std::make_shared<tcp_link>(std::move(socket));
            one.link->listen([this, &one](std::string_view bytes) { this->receive(one, bytes); },
                             [this](link_end /*how*/) { ++this->ended; });
            one.link->start();
            this->accept();
        });
    }

    void receive(connection& from, std::string_view bytes)
    {
        from.received += bytes;
        if (from.received.find("\r\n\r\n") == std::string::npos) {
            return;
        }
        const auto request = std::exchange(from.received, {});
        this->seen.push_back(request);
        this->act(*from.link, request);
    }

    asio::ip::tcp::acceptor acceptor;
    on_request act;
    std::deque<connection> links;
    std::vector<std::string> seen;
    std::size_t ended = 0;
};

} // namespace coriander
