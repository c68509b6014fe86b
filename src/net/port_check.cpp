#include "net/port_check.hpp"

#include <asio/error.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <memory>
#include <utility>

namespace coriander {

void check_port(asio::io_context& loop, const asio::ip::tcp::endpoint& address, time_ms limit,
                std::function<void(port_state)> done)
{
    struct attempt {
        explicit attempt(asio::io_context& loop) : socket{loop}, timer{loop} {}
        asio::ip::tcp::socket socket;
        asio::steady_timer timer;
    };
    const auto one = std::make_shared<attempt>(loop);
    one->timer.expires_after(std::chrono::milliseconds{limit.count()});
    one->timer.async_wait([one](const asio::error_code& cancelled) {
        if (!cancelled) {
            asio::error_code ignored; // The socket is closed in any case.
            one->socket.close(ignored);
        }
    });
    one->socket.async_connect(address, [one, done = std::move(done)](const asio::error_code& failed) {
        one->timer.cancel();
        if (!failed) {
            done(port_state::open);
            return;
        }
        done(failed == asio::error::connection_refused ? port_state::refused : port_state::unknown);
    });
}

} // namespace coriander
