#pragma once

#include "coriander/time_ms.hpp"

#include <cstddef>

namespace coriander {

/// Decides whether a daemon may take new work although it can't be sure of its configuration.
///
/// A configuration is accepted only after every registered member has acknowledged it, so that a daemon in a
/// group that lost the table can't be left behind. A daemon that sees neither the table nor any other daemon
/// may have been taken off the list by an operator, so that it stops after a bound. Not thread-safe.
class isolation_monitor {
public:
    explicit isolation_monitor(time_ms bound) : bound{bound} {}

    /// Notes that the table answered.
    void on_table_contact(time_ms now) { this->last_contact = now; }

    /// Whether new work may be taken. `peers_alive` and `peers_known` leave this daemon out.
    [[nodiscard]] bool may_serve(std::size_t peers_alive, std::size_t peers_known, time_ms now) const
    {
        const bool is_recent = now - this->last_contact <= this->bound;
        return is_recent || peers_alive > 0 || peers_known == 0;
    }

private:
    time_ms bound;
    time_ms last_contact;
};

} // namespace coriander
