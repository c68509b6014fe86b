#pragma once

#include "coriander/time_ms.hpp"

namespace coriander {

/// Times and limits of control.
struct controller_settings {
    /// Another daemon steps in when the owner of a domain leaves work undone for so long. Longer
    /// than the host list may lag: what it tells may be done already.
    time_ms takeover_delay{2500};
    /// The same for noting that a replica has lost a host, which needs no order.
    time_ms loss_delay{120};
    /// The same for an owner that is not known to live or to reach the table: word of its return may be on
    /// the way, and two that take each other's place in turn get nothing done.
    time_ms absent_owner_delay{500};
    /// Between two daemons that may step in.
    time_ms rank_delay{250};
    /// How often hosts of replicas that are being formed or dissolved are asked.
    time_ms ask_interval{100};
    /// An order whose effect doesn't show is sent again.
    time_ms order_repeat{600};
    /// After a change that was not committed.
    time_ms commit_pause{1000};
    /// An order to load is sent again: the host may have been started anew. Longer than a load takes.
    time_ms stage_repeat{20000};
    /// A load that takes longer is given up: several times the usual one.
    time_ms load_limit{60000};
    /// A replica that is not formed after its load time and this is given up.
    time_ms forming_margin{4000};
    /// A retiring replica's requests have at most this time; its leaving host waits about as long.
    time_ms retiring_limit{9000};
    /// Between two warmings in a domain: a host that doesn't get warm is not tried again at once.
    time_ms warming_pause{10000};
    /// After a host appeared, others may follow: no replica is planned before.
    time_ms arrival_pause{1500};
    /// A host that left so many orders in a row unanswered is asked whether it lives.
    unsigned silent_after = 2;
    /// It answers within this time, or is taken as gone: several round trips of the farthest failure domains.
    time_ms life_limit{200};
    /// Part of the weight store's rate that daemons use together: they don't count each other's loads.
    double load_rate_share = 0.8;
};

} // namespace coriander
