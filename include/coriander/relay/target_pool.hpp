#pragma once

#include "coriander/load_estimate.hpp"
#include "coriander/message_mac.hpp"
#include "coriander/relay/emptied_domains.hpp"
#include "coriander/relay/load_report.hpp"
#include "coriander/relay/rate_limit.hpp"
#include "coriander/relay/stall_detector.hpp"
#include "coriander/relay/target_statements.hpp"
#include "coriander/time_ms.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace coriander {

/// A target that can take requests for one service: a replica's leader, a host of a plain service, or another
/// gateway.
struct relay_target {
    std::string id; ///< The replica's name, or the host's id.
    std::string host;
    std::string address; ///< `IP:port` of the host.
    std::string failure_domain;
    std::string model; ///< Empty for plain services.
    std::uint64_t generation = 0;
    unsigned slots = 1;
    double time_factor = 1.0;      ///< Relative processing time of the model; smaller is faster.
    std::uint64_t incarnation = 0; ///< Of the host.
    bool is_gateway = false;       ///< Another gateway, which sends the request to a target of its own.
    bool is_held = false; ///< The only replica of its model; a host of it is silent but may be sound.
    std::vector<std::string>
        further_domains{};  ///< Other failure domains in which hosts of the replica stand.
    time_ms cold_until{};   ///< Until then the host bears only `cold_rate`.
    double cold_rate = 0.0; ///< Requests per second from all daemons; 0: any.
};

/// Why a target is temporarily out of rotation.
enum class suspension {
    none,
    probed,   ///< No stream of the target makes progress; its hosts are being probed.
    stalled,  ///< No stream of the target made progress.
    failing,  ///< Several attempts in a row failed.
    declined, ///< It declined a request.
};

/// The selected target and the load figures on which the selection was based.
struct target_choice {
    relay_target target;
    std::uint32_t own_requests = 0; ///< Requests of this daemon on the target.
    double other_requests = 0.0;    ///< Estimated requests of other daemons on the target.
    mac_key gateway_key{};          ///< If the target is a gateway: for the mark of the request.
    bool is_silent = false;         ///< The request waits there until the target goes on or is lost.

    /// All requests on the target, not counting the one to be sent.
    [[nodiscard]] double total() const noexcept { return this->own_requests + this->other_requests; }
};

/// Criteria by which a target is selected for a request.
struct target_criteria {
    std::string_view model;
    std::string_view preferred_domain;  ///< Failure domain preferred among equally loaded targets.
    std::span<const std::string> tried; ///< Targets that were already tried; never selected again.
    std::size_t daemon_count = 1;       ///< Daemons that send to the same targets, including this one.
    bool excludes_limited = false;      ///< Whether targets with a rate limit are left out.
    /// Whether a silent target may be selected if there is no other one.
    bool includes_silent = false;
};

/// The targets of one service, with their load and health as seen by this daemon. Not thread-safe.
class target_pool {
public:
    /// Sets the targets that may get new requests. Targets that were listed before keep their state; with a
    /// new host or generation they keep only the number of requests.
    void set_targets(std::span<const relay_target> serving);

    /// Observes what hosts state about themselves. `known` must outlive the pool.
    void observe(const target_statements& known);
    /// Observes which failure domains are being emptied. `known` must outlive the pool.
    void observe(const emptied_domains& known) { this->emptied = &known; }
    /// Applies the statements that have changed. Call it after each change.
    void apply_statements();
    /// Whether a request may be sent to the target that was selected earlier: it is still listed, and its
    /// host has stated nothing against it, and its failure domain has not been emptied.
    [[nodiscard]] bool may_send(const relay_target& selected, time_ms now) const;
    /// The target whose requests this host takes, listed or not; empty if there is none.
    [[nodiscard]] std::optional<relay_target> target_of(host_key host) const;
    /// If all targets of the model want no requests for a while: when the first of them may get some again.
    [[nodiscard]] std::optional<time_ms> end_of_pauses(std::string_view model, time_ms now) const;

    /// Returns the least loaded target that may take the request, or nothing if there is none. `noise`, in
    /// [0, 1), randomizes the selection so that daemons with the same data do not all select the same target.
    [[nodiscard]] std::optional<target_choice> choose(const target_criteria& criteria, double noise,
                                                      time_ms now) const;

    /// Number of targets of the model that may get new requests now.
    [[nodiscard]] std::size_t count(std::string_view model, time_ms now) const;
    /// The same, with targets that have a rate limit counted as the part of a target that takes `full_rate`
    /// requests per second.
    [[nodiscard]] double capacity(std::string_view model, double full_rate, time_ms now) const;

    /// Records that an attempt was sent to the target.
    void on_sent(const std::string& id, time_ms now);
    /// Records that a response from the target started.
    void on_response_started(const std::string& id, time_ms now);
    /// Records that more of a response arrived.
    void on_progress(const std::string& id, time_ms now);
    /// Records the end of an attempt. `had_started` tells whether its response had started, `is_failure`
    /// whether the target caused the failure.
    void on_ended(const std::string& id, bool had_started, bool is_failure, time_ms now);

    /// Records the load that the target reported in a response.
    void on_load(const std::string& id, std::uint32_t running, std::uint32_t waiting, time_ms now);

    /// The hash by which daemons identify the target; nothing for an unknown one.
    [[nodiscard]] std::optional<std::uint64_t> key_of(const std::string& id) const;
    /// The last load report of the target with this key, whether received by this daemon or by another one.
    [[nodiscard]] std::optional<load_report> report_of(std::uint64_t key, time_ms now) const;

    /// Records a load report that was received by another daemon. Unknown targets are ignored.
    void on_peer_report(const load_report& report, time_ms now);
    /// The most recent load reports, whether received by this daemon or passed on by others; newest first, at
    /// most `limit`.
    [[nodiscard]] std::vector<load_report> reports(std::size_t limit, time_ms now) const;

    /// Records the rate limit that the target stated in a response, or that it stated none.
    void on_rate_limit(const std::string& id, std::optional<double> per_second, time_ms now);
    /// Records a rate limit that another daemon received. Unknown targets are ignored.
    void on_peer_rate_limit(const rate_limit& limit, time_ms now);
    /// The rate limit in force for the target, if it has one: what it stated, or what a cold host bears,
    /// whichever is lower.
    [[nodiscard]] std::optional<rate_limit> limit_of(const std::string& id, time_ms now) const;
    /// The number of targets whose host is cold.
    [[nodiscard]] std::size_t count_cold(time_ms now) const;
    /// Rate limits stated by targets, and those that ended lately.
    [[nodiscard]] std::vector<rate_limit> rate_limits(time_ms now) const;
    /// Excludes the target from selection until `until`, when a permit may be available.
    void defer(const std::string& id, time_ms until);

    /// Takes the target out of rotation until `until`; no effect if it is out of rotation for longer anyway.
    void suspend(const std::string& id, suspension reason, time_ms until);
    /// Puts the target back into rotation.
    void restore(const std::string& id);

    /// Puts all targets back into rotation and restarts the measurement of silence, after failures that were
    /// not theirs.
    void forget_failures(time_ms now);

    /// Whether the target is suspected to be stalled.
    [[nodiscard]] bool is_suspect(const std::string& id, time_ms now) const;
    /// Time without progress from the target; zero for an unknown target.
    [[nodiscard]] time_ms silence(const std::string& id, time_ms now) const;
    /// Targets in rotation that are suspected to be stalled.
    [[nodiscard]] std::vector<relay_target> suspects(time_ms now) const;

    /// Restarts the measurement of silence for all targets, after this daemon itself was unable to receive.
    void reset_silence(time_ms now);

    /// Number of this daemon's requests on the target.
    [[nodiscard]] std::uint32_t own_requests(const std::string& id) const;

    /// Whether the target is currently listed.
    [[nodiscard]] bool is_listed(const std::string& id) const;

private:
    /// Averaging time for load reports. A longer time would only add to their lag.
    static constexpr time_ms load_averaging_time{50};
    /// Half-life of the reported requests of other daemons; a response takes about one second.
    static constexpr time_ms load_half_life{500};
    /// Older reports are ignored, since most of the requests that they counted have ended.
    static constexpr time_ms max_report_age{1000};
    /// A rate limit that no response has confirmed for this time is no longer in force.
    static constexpr time_ms max_limit_age{10000};
    /// Part of the rate that a cold host bears for which permits are issued: the rest is for permits of an
    /// issuer that has just been replaced.
    static constexpr double cold_rate_share = 0.85;
    /// Consecutive failures that take a target out of rotation, and for how long the first time.
    static constexpr std::uint32_t failure_limit = 3;
    static constexpr time_ms failure_suspension{1000};
    static constexpr std::uint32_t max_doublings = 3;
    /// Cost of sending a request to another failure domain, as a fraction of the target's slots.
    static constexpr double cross_domain_cost = 0.04;
    static constexpr double noise_cost = 0.02;
    /// Without randomization, daemons with the same data would all select the same target until the next
    /// reports. A load difference of this fraction of the slots makes one target e times as likely as the
    /// other.
    static constexpr double spread_cost = 0.3;

    struct target_state {
        relay_target info;
        std::uint64_t key = 0; ///< Hash of the id and the generation.
        bool is_serving = false;
        bool is_leaving = false; ///< As stated by the host itself.
        time_ms paused_until;    ///< The same.
        host_key host = 0;
        std::uint32_t own_requests = 0;
        load_estimate load{load_averaging_time};
        stall_detector stalls{};
        suspension reason = suspension::none;
        time_ms suspended_until;
        std::uint32_t consecutive_failures = 0;
        std::optional<time_ms> limit_stated_at; ///< Set once the target or a peer has stated a rate limit.
        double limit_per_second = 0.0;          ///< Zero if the limit has ended.
        time_ms deferred_until;
    };

    /// Expected requests of other daemons on a target without a recent report: the mean over the targets that
    /// have one. If none has, assumes that all daemons send as much as this one.
    [[nodiscard]] double expected_other_requests(const target_criteria& criteria, time_ms now) const;
    /// The best of the targets that satisfy the predicate and may get the request.
    template <typename Predicate>
    [[nodiscard]] std::optional<target_choice> choose_if(const target_criteria& criteria, double noise,
                                                         time_ms now, Predicate is_eligible) const;
    /// Estimated requests of other daemons on the target: as reported, moving to `expected` as the report
    /// ages.
    [[nodiscard]] static double other_requests_on(const target_state& target, double expected, time_ms now);
    [[nodiscard]] static bool is_usable(const target_state& target, std::string_view model, time_ms now);
    /// Whether the target is usable but for a silence of which it is not known whether it lasts.
    [[nodiscard]] static bool is_silent(const target_state& target, std::string_view model, time_ms now);
    /// The share of new requests that the target may get: less than 1 while one of its failure domains is
    /// being emptied or returns.
    [[nodiscard]] double share_of(const relay_target& target, time_ms now) const;
    [[nodiscard]] static bool has_stated_limit(const target_state& target, time_ms now);
    [[nodiscard]] static bool is_cold(const target_state& target, time_ms now);
    /// The rate limit in force; see `limit_of`.
    [[nodiscard]] static std::optional<rate_limit> limit_in_force(const target_state& target, time_ms now);
    /// Records a rate limit as of `stated_at`; zero if the target stated none.
    static void set_limit(target_state& target, double per_second, time_ms stated_at);
    /// The target's rate limit as it is passed on. Precondition: one has been stated.
    [[nodiscard]] static rate_limit limit_report(const target_state& target, time_ms now);
    void apply_statements(target_state& target) const;
    [[nodiscard]] target_state* find(const std::string& id);
    [[nodiscard]] const target_state* find_by_key(std::uint64_t key) const;
    [[nodiscard]] target_state* find_by_key(std::uint64_t key);
    /// The target's load as it is passed on. Precondition: it has reported one.
    [[nodiscard]] static load_report report_of(const target_state& target, time_ms now);

    std::map<std::string, target_state> targets;
    const target_statements* statements = nullptr;
    const emptied_domains* emptied = nullptr;
};

} // namespace coriander
