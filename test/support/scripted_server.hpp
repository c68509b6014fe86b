#pragma once

#include "net/tcp_link.hpp"

#include <asio/ip/tcp.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace coriander {

/// A server on a free loopback port that handles each request with a test's function.
class scripted_server {
public:
    /// Is called when the end of a request's head has been received.
    using request_handler = std::function<void(tcp_link&, const std::string& request)>;

    scripted_server(asio::io_context& loop, request_handler handler)
        : acceptor{loop, {asio::ip::make_address("127.0.0.1"), 0}}, handler{std::move(handler)}
    {
        this->accept();
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
    }

    /// All requests received, oldest first.
    [[nodiscard]] const std::vector<std::string>& requests() const noexcept
    {
        return this->received_requests;
    }
    /// The number of connections that the client has closed.
    [[nodiscard]] std::size_t closed() const noexcept { return this->closed_count; }
    /// The number of connections accepted.
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
            auto& added = this->links.emplace_back();
            added.link = std::make_shared<tcp_link>(std::move(socket));
            added.link->listen([this, &added](std::string_view bytes) { this->receive(added, bytes); },
                               [this](link_end /*how*/) { ++this->closed_count; });
            added.link->start();
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
        this->received_requests.push_back(request);
        this->handler(*from.link, request);
    }

    asio::ip::tcp::acceptor acceptor;
    request_handler handler;
    std::deque<connection> links;
    std::vector<std::string> received_requests;
    std::size_t closed_count = 0;
};

} // namespace coriander
