#pragma once

#include "coriander/time_ms.hpp"

namespace coriander {

/// Timeouts, intervals and limits of a controller.
struct controller_settings {
    /// Another daemon takes over a domain if work has been due for this long. Longer than the maximum lag of
    /// the host list, since the owner may already have done the work that a stale list shows as due.
    time_ms takeover_delay{2500};
    /// The takeover delay for recording that a replica has lost a host, which needs no order.
    time_ms loss_delay{120};
    /// The takeover delay if the owner is not known to be alive and able to reach the table. A notification
    /// of its return may be in flight, and two daemons that keep taking over from each other make no
    /// progress.
    time_ms absent_owner_delay{500};
    /// For this long after a restore of the table, a domain with a host that belongs to a replica newer than
    /// the domain's record is left alone: another daemon may know the newer record and write it again.
    time_ms newer_record_wait{3000};
    /// Added to the takeover delay for each rank, so that daemons do not take over at the same time.
    time_ms rank_delay{250};
    /// Interval between status requests to hosts of replicas that are forming or dissolving.
    time_ms status_interval{100};
    /// An order without a visible effect is resent after this time.
    time_ms order_retry_interval{600};
    /// Delay after a change that could not be committed.
    time_ms commit_retry_delay{1000};
    /// A load order is resent after this time, since the host may have restarted. Longer than a load takes.
    time_ms stage_retry_interval{20000};
    /// A load that takes longer is abandoned. Several times the usual load time.
    time_ms load_timeout{60000};
    /// A replica that is not formed within its load and forming times plus this margin is abandoned.
    time_ms forming_margin{4000};
    /// Maximum time for the requests of a retiring replica to end. Its leaving host waits about as long.
    time_ms retiring_timeout{9000};
    /// Time until the daemons have reported that they keep requests on a dissolving replica: the change of
    /// its record has to reach them first.
    time_ms kept_report_wait{250};
    /// How long such a report counts.
    time_ms kept_report_validity{300};
    /// Minimum time between two warmings in a domain, so that a host that fails to warm is not retried at
    /// once.
    time_ms warming_interval{10000};
    /// No replica is planned until this long after the last host appeared, since more hosts may follow.
    time_ms arrival_quiet_period{1500};
    /// A host is probed after this many consecutive orders without an answer.
    unsigned orders_before_probe = 2;
    /// Timeout of that probe, after which the host is treated as lost. Several round trips between the most
    /// distant failure domains.
    time_ms liveness_timeout{200};
    /// Fraction of the weight store's rate that all daemons together use. Below 1 because daemons do not
    /// count each other's loads.
    double load_rate_share = 0.8;
};

} // namespace coriander
