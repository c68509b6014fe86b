#pragma once

#include "coriander/time_ms.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <functional>

namespace coriander {

/// Whether a process listens at an address.
enum class port_state {
    open,    ///< A connection was established.
    refused, ///< No process listens: it has ended.
    unknown, ///< No answer in time, which may also be caused by the network.
};

/// Opens a connection and closes it again. `done` is called later on the loop's thread, never from within
/// this function, and at most `limit` later.
void check_port(asio::io_context& loop, const asio::ip::tcp::endpoint& address, time_ms limit,
                std::function<void(port_state)> done);

} // namespace coriander
