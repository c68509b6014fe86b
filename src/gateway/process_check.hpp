#pragma once

#include "coriander/replicas/listed_host.hpp"
#include "coriander/time_ms.hpp"
#include "gateway/controller_io.hpp"
#include "gateway/path_check.hpp"
#include "net/port_check.hpp"

#include <functional>
#include <utility>

namespace coriander {

/// Finds out whether a host's process has ended: a port that refuses connections has no process, while a host
/// that is only silent listens or answers nothing. Not thread-safe: used on the event loop's thread only.
template <controller_io Io>
class process_check {
public:
    using on_checked = std::function<void(bool has_ended)>;

    /// A single refused connection may be one that was reset while it was opened.
    static constexpr unsigned min_refusals = 2;

    explicit process_check(Io& io) : io{io} {}

    /// Sets the check that precedes the conclusion that a process has ended: connections may be refused on
    /// the way. Without it, the path is taken for granted.
    void set_path_check(const path_check& check) { this->check_path = check; }

    /// Calls `done` once with the result.
    void check(const listed_host& host, on_checked done) { this->check_port(host, 0, std::move(done)); }

private:
    static constexpr time_ms check_timeout{40};

    void check_port(const listed_host& host, unsigned refusals, on_checked done)
    {
        this->io.check_port(host, check_timeout, [this, host, refusals, done](port_state state) {
            if (state != port_state::refused) {
                done(false);
            }
            else if (refusals + 1 < min_refusals) {
                this->check_port(host, refusals + 1, done);
            }
            else {
                this->check_path(host, done);
            }
        });
    }

    Io& io;
    path_check check_path = without_path_check();
};

} // namespace coriander
