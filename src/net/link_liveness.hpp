#pragma once

#include "coriander/time_ms.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/socket_base.hpp>

#include <netinet/tcp.h>

namespace coriander {

/// How a TCP connection notices that its peer no longer acknowledges anything: the peer or the network may
/// have failed without closing it.
struct link_liveness {
    /// Time without received packets before the first keep-alive probe, and between probes; whole seconds.
    time_ms probe_idle{2000};
    time_ms probe_interval{1000};
    /// Unanswered probes after which the connection ends. Linux uses `user_timeout` instead, which it checks
    /// whenever a probe is due; the two should mean the same time.
    int probe_count = 2;
    /// Longest time without an acknowledgement of sent data.
    time_ms user_timeout{4000};
};

/// Sets the socket's options. Where an option is not supported, the system's default applies.
inline void set_liveness(asio::ip::tcp::socket& socket, const link_liveness& liveness)
{
    using asio::detail::socket_option::integer;
    asio::error_code ignored;
    socket.set_option(asio::socket_base::keep_alive{true}, ignored);
    const auto seconds = [](time_ms time) { return static_cast<int>(time.count() / 1000); };
    socket.set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>{seconds(liveness.probe_idle)}, ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_KEEPINTVL>{seconds(liveness.probe_interval)}, ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>{liveness.probe_count}, ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_USER_TIMEOUT>{static_cast<int>(liveness.user_timeout.count())},
                      ignored);
}

} // namespace coriander
