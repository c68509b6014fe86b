#pragma once

#include "coriander/time_ms.hpp"

#include <cstddef>

namespace coriander {

/// Decides whether a daemon may accept new work although its configuration may be stale.
///
/// A configuration is accepted only after every registered member has acknowledged it, so a group of daemons
/// that lost the connection to the table cannot miss one. A daemon that reaches neither the table nor any
/// other daemon may have been removed from the list by an operator. It must therefore stop after `bound`. Not
/// thread-safe.
class isolation_monitor {
public:
    explicit isolation_monitor(time_ms bound) : bound{bound} {}

    /// Records a response from the table.
    void on_table_contact(time_ms now) { this->last_contact = now; }

    /// Whether new work may be accepted. `peers_alive` and `peers_known` do not include this daemon.
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
