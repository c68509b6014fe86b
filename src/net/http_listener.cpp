#include "net/http_listener.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace coriander {
namespace {

constexpr std::chrono::milliseconds accept_retry_delay{20};
/// Bounds what waits unread in the system's buffers; accepted connections take it over.
constexpr int receive_buffer_bytes = 32768;

} // namespace

http_listener::http_listener(asio::io_context& loop, const asio::ip::tcp::endpoint& endpoint,
                             connection_handlers handlers)
    : acceptor{loop, endpoint, true}, retry_timer{loop}, handlers{std::make_shared<connection_handlers>(
                                                             std::move(handlers))}
{
    if (this->handlers->budget != nullptr) {
        asio::error_code ignored; // The system's default applies where the option is not supported.
        this->acceptor.set_option(asio::socket_base::receive_buffer_size{receive_buffer_bytes}, ignored);
    }
}

void http_listener::start()
{
    this->accept_next();
}

void http_listener::accept_next()
{
    this->acceptor.async_accept(
        [self = this->shared_from_this()](const asio::error_code& failed, asio::ip::tcp::socket socket) {
            if (!self->acceptor.is_open()) {
                return;
            }
            if (!failed) {
                self->add(std::make_shared<caller_connection>(std::move(socket), self->handlers));
                self->accept_next();
                return;
            }
            self->retry_timer.expires_after(accept_retry_delay);
            self->retry_timer.async_wait([self](const asio::error_code& cancelled) {
                if (!cancelled) {
                    self->accept_next();
                }
            });
        });
}

void http_listener::add(const std::shared_ptr<caller_connection>& connection)
{
    if (this->connections.size() >= this->cleanup_size) {
        const auto ended = std::remove_if(this->connections.begin(), this->connections.end(),
                                          [](const auto& one) { return one.expired(); });
        this->connections.erase(ended, this->connections.end());
        this->cleanup_size = std::max(min_cleanup_size, 2 * this->connections.size());
    }
    this->connections.push_back(connection);
    connection->start();
}

std::size_t http_listener::count_busy_connections()
{
    std::size_t count = 0;
    for (const auto& one : this->connections) {
        if (const auto connection = one.lock()) {
            connection->read_available();
            count += connection->is_busy() ? 1 : 0;
        }
    }
    return count;
}

void http_listener::stop()
{
    asio::error_code ignored; // The acceptor is closed in any case.
    this->acceptor.close(ignored);
    this->retry_timer.cancel();
}

} // namespace coriander
