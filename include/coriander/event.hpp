#pragma once

#include <array>
#include <string_view>

namespace coriander {

/// The severity of a log line.
enum class log_level { debug, info, warn, error };

/// The numbered log events of all programs. 1xxx: process lifecycle; 2xxx: routing; 3xxx: placement and
/// replicas; 4xxx: configuration; 5xxx: membership; 6xxx: the platform.
enum class event : int {
    process_started = 1001,
    process_stopping = 1002,
    process_stopped = 1003,
    stop_limit_reached = 1005,
    route_chosen = 2001,
    route_queued = 2002,
    request_refused = 2003,
    attempt_failed = 2004,
    attempt_resumed = 2005,
    request_ended = 2006,
    claim_decided = 2007,
    target_ejected = 2008,
    request_suspected = 2009,
    connection_silent = 2010,
    caller_gone = 2011,
    request_quarantined = 2012,
    quarantine_changed = 2013,
    host_crashed = 2014,
    permit_decided = 2015,
    request_kept = 2016,
    response_conflict = 2017,
    statement_received = 2018,
    statement_ignored = 2019,
    request_redirected = 2020,
    relay_mark_rejected = 2021,
    domain_emptied = 2022,
    targets_cold = 2023,
    connections_ended = 2024,
    places_kept = 2025,
    placement_decided = 3001,
    placement_lost_race = 3002,
    replica_up = 3003,
    replica_down = 3004,
    order_sent = 3005,
    order_failed = 3006,
    lease_taken = 3007,
    lease_lost = 3008,
    shard_dark = 3009,
    host_freed = 3010,
    placement_unknown = 3011,
    replica_suspected = 3012,
    hosts_idle = 3013,
    host_silent = 3014,
    host_answers = 3015,
    placement_row_lost = 3016,
    placement_outdated = 3017,
    path_lost = 3018,
    path_restored = 3019,
    host_ended = 3020,
    leave_delayed = 3021,
    replica_held = 3022,
    config_in_force = 4001,
    config_rejected = 4002,
    settings_read = 4003,
    config_told = 4004,
    manifest_doubted = 4005,
    member_isolated = 5003,
    member_rejoined = 5004,
    peer_connection_lost = 5005,
    peer_build = 5006,
    peer_message_rejected = 5007,
    table_unreachable = 6001,
    table_back = 6002,
    host_list_unreachable = 6003,
    log_lines_dropped = 6004,
    table_restored = 6005,
    table_reread = 6006,
    entry_rejected = 6007,
    store_calls = 6008,
    deletions_deferred = 6009,
    deletions_applied = 6010,
    outage_assessed = 6011,
    stale_rows_ignored = 6012,
    stale_rows_applied = 6013,
    outdated_row_ignored = 6014,
};

/// An entry of the event catalogue.
struct event_entry {
    event id;
    std::string_view name;
    log_level level;
};

/// All events with their names and levels, ordered by number. They are described in docs/LOG-EVENTS.md.
inline constexpr std::array event_catalogue{
    event_entry{event::process_started, "process_started", log_level::info},
    event_entry{event::process_stopping, "process_stopping", log_level::info},
    event_entry{event::process_stopped, "process_stopped", log_level::info},
    event_entry{event::stop_limit_reached, "stop_limit_reached", log_level::warn},
    event_entry{event::route_chosen, "route_chosen", log_level::info},
    event_entry{event::route_queued, "route_queued", log_level::info},
    event_entry{event::request_refused, "request_refused", log_level::info},
    event_entry{event::attempt_failed, "attempt_failed", log_level::warn},
    event_entry{event::attempt_resumed, "attempt_resumed", log_level::info},
    event_entry{event::request_ended, "request_ended", log_level::info},
    event_entry{event::claim_decided, "claim_decided", log_level::info},
    event_entry{event::target_ejected, "target_ejected", log_level::warn},
    event_entry{event::request_suspected, "request_suspected", log_level::warn},
    event_entry{event::connection_silent, "connection_silent", log_level::warn},
    event_entry{event::caller_gone, "caller_gone", log_level::info},
    event_entry{event::request_quarantined, "request_quarantined", log_level::info},
    event_entry{event::quarantine_changed, "quarantine_changed", log_level::warn},
    event_entry{event::host_crashed, "host_crashed", log_level::warn},
    event_entry{event::permit_decided, "permit_decided", log_level::info},
    event_entry{event::request_kept, "request_kept", log_level::info},
    event_entry{event::response_conflict, "response_conflict", log_level::error},
    event_entry{event::statement_received, "statement_received", log_level::info},
    event_entry{event::statement_ignored, "statement_ignored", log_level::warn},
    event_entry{event::request_redirected, "request_redirected", log_level::info},
    event_entry{event::relay_mark_rejected, "relay_mark_rejected", log_level::warn},
    event_entry{event::domain_emptied, "domain_emptied", log_level::info},
    event_entry{event::targets_cold, "targets_cold", log_level::info},
    event_entry{event::connections_ended, "connections_ended", log_level::warn},
    event_entry{event::places_kept, "places_kept", log_level::info},
    event_entry{event::placement_decided, "placement_decided", log_level::info},
    event_entry{event::placement_lost_race, "placement_lost_race", log_level::info},
    event_entry{event::replica_up, "replica_up", log_level::info},
    event_entry{event::replica_down, "replica_down", log_level::warn},
    event_entry{event::order_sent, "order_sent", log_level::info},
    event_entry{event::order_failed, "order_failed", log_level::warn},
    event_entry{event::lease_taken, "lease_taken", log_level::info},
    event_entry{event::lease_lost, "lease_lost", log_level::warn},
    event_entry{event::shard_dark, "shard_dark", log_level::warn},
    event_entry{event::host_freed, "host_freed", log_level::info},
    event_entry{event::placement_unknown, "placement_unknown", log_level::warn},
    event_entry{event::replica_suspected, "replica_suspected", log_level::warn},
    event_entry{event::hosts_idle, "hosts_idle", log_level::info},
    event_entry{event::host_silent, "host_silent", log_level::warn},
    event_entry{event::host_answers, "host_answers", log_level::info},
    event_entry{event::placement_row_lost, "placement_row_lost", log_level::warn},
    event_entry{event::placement_outdated, "placement_outdated", log_level::info},
    event_entry{event::path_lost, "path_lost", log_level::warn},
    event_entry{event::path_restored, "path_restored", log_level::info},
    event_entry{event::host_ended, "host_ended", log_level::warn},
    event_entry{event::leave_delayed, "leave_delayed", log_level::info},
    event_entry{event::replica_held, "replica_held", log_level::info},
    event_entry{event::config_in_force, "config_in_force", log_level::info},
    event_entry{event::config_rejected, "config_rejected", log_level::error},
    event_entry{event::settings_read, "settings_read", log_level::info},
    event_entry{event::config_told, "config_told", log_level::info},
    event_entry{event::manifest_doubted, "manifest_doubted", log_level::info},
    event_entry{event::member_isolated, "member_isolated", log_level::warn},
    event_entry{event::member_rejoined, "member_rejoined", log_level::info},
    event_entry{event::peer_connection_lost, "peer_connection_lost", log_level::warn},
    event_entry{event::peer_build, "peer_build", log_level::info},
    event_entry{event::peer_message_rejected, "peer_message_rejected", log_level::warn},
    event_entry{event::table_unreachable, "table_unreachable", log_level::warn},
    event_entry{event::table_back, "table_back", log_level::info},
    event_entry{event::host_list_unreachable, "host_list_unreachable", log_level::warn},
    event_entry{event::log_lines_dropped, "log_lines_dropped", log_level::warn},
    event_entry{event::table_restored, "table_restored", log_level::warn},
    event_entry{event::table_reread, "table_reread", log_level::info},
    event_entry{event::entry_rejected, "entry_rejected", log_level::warn},
    event_entry{event::store_calls, "store_calls", log_level::info},
    event_entry{event::deletions_deferred, "deletions_deferred", log_level::info},
    event_entry{event::deletions_applied, "deletions_applied", log_level::info},
    event_entry{event::outage_assessed, "outage_assessed", log_level::info},
    event_entry{event::stale_rows_ignored, "stale_rows_ignored", log_level::warn},
    event_entry{event::stale_rows_applied, "stale_rows_applied", log_level::warn},
    event_entry{event::outdated_row_ignored, "outdated_row_ignored", log_level::info},
};

/// The catalogue entry of an event. Every event has one.
[[nodiscard]] constexpr const event_entry& entry_of(event id)
{
    for (const auto& entry : event_catalogue) {
        if (entry.id == id) {
            return entry;
        }
    }
    return event_catalogue.front();
}

} // namespace coriander
