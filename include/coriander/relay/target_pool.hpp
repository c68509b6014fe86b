#pragma once

#include "coriander/load_estimate.hpp"
#include "coriander/relay/load_report.hpp"
#include "coriander/relay/stall_detector.hpp"
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

/// A target that requests of one service may be sent to: a replica's leader, or a plain service's host.
struct relay_target {
    std::string id; ///< The replica's name, or the host's id.
    std::string host;
    std::string address; ///< `IP:port` of the host.
    std::string failure_domain;
    std::string model; ///< Empty for plain services.
    std::uint64_t generation = 0;
    unsigned slots = 1;
    double time_factor = 1.0; ///< Of the model; a smaller one is faster.
};

/// Why a target is out of rotation for a while.
enum class suspension {
    none,
    stalled,  ///< No stream of the target made progress.
    failing,  ///< Several attempts in a row failed.
    declined, ///< It declined a request.
};

/// A target that was chosen, with the inputs of the choice.
struct target_choice {
    relay_target target;
    std::uint32_t own_requests = 0;  ///< Requests of this daemon on the target.
    double other_requests = 0.0;     ///< Estimated requests of other daemons on the target.

    /// All requests there, this one not included.
    [[nodiscard]] double total() const noexcept { return this->own_requests + this->other_requests; }
};

/// What a request asks of a target.
struct target_criteria {
    std::string_view model;
    std::string_view near;              ///< Failure domain that is preferred between equals.
    std::span<const std::string> tried; ///< Targets not to be used again.
    std::size_t daemons = 1;            ///< That send to the same targets, this one included.
};

/// The targets of one service with what this daemon knows of their load and health. Not thread-safe.
class target_pool {
public:
    /// Sets the targets that may get new work. What is known of targets that stay is kept.
    void set_targets(std::span<const relay_target> serving);

    /// The least loaded target that may take the request; nothing when there is none. `noise` in [0, 1) keeps
    /// daemons that know the same from choosing the same.
    [[nodiscard]] std::optional<target_choice> choose(const target_criteria& wish, double noise,
                                                      time_ms now) const;

    /// How many targets of the model may get new work now.
    [[nodiscard]] std::size_t count(std::string_view model, time_ms now) const;

    /// An attempt was sent to the target.
    void on_sent(const std::string& id, time_ms now);
    /// Its answer began.
    void on_response_started(const std::string& id, time_ms now);
    /// More of its answer came.
    void on_progress(const std::string& id, time_ms now);
    /// It ended. `had_started` tells whether its answer had, `is_failure` whether the target is to blame.
    void on_ended(const std::string& id, bool had_started, bool is_failure, time_ms now);

    /// The target told its load in an answer.
    void on_load(const std::string& id, std::uint32_t running, std::uint32_t waiting, time_ms now);

    /// A target told another daemon its load. Unknown targets are ignored.
    void on_peer_report(const load_report& report, time_ms now);
    /// The newest loads that are known, by own answers or from others, newest first and at most `limit`.
    [[nodiscard]] std::vector<load_report> reports(std::size_t limit, time_ms now) const;

    /// Takes the target out of rotation until `until`.
    void suspend(const std::string& id, suspension reason, time_ms until);
    /// Puts it back.
    void restore(const std::string& id);

    /// Whether the target is suspected of standing still.
    [[nodiscard]] bool is_suspect(const std::string& id, time_ms now) const;
    /// How long nothing has come from the target; zero for an unknown one.
    [[nodiscard]] time_ms silence(const std::string& id, time_ms now) const;
    /// Targets suspected of standing still that are in rotation.
    [[nodiscard]] std::vector<relay_target> suspects(time_ms now) const;

    /// Counts silence from now on: this daemon itself heard nothing for a while.
    void reset_silence(time_ms now);

    /// Requests of this daemon on the target.
    [[nodiscard]] std::uint32_t own_requests(const std::string& id) const;

    /// Whether the target is listed at present.
    [[nodiscard]] bool is_listed(const std::string& id) const;

private:
    /// Reports that come within this time are averaged; a longer time would only add to their lag.
    static constexpr time_ms load_averaging{50};
    /// Of others' requests that a report told of: an answer takes about a second.
    static constexpr time_ms load_half_life{500};
    /// Older reports say nothing of the present: most answers of then have ended.
    static constexpr time_ms load_horizon{1000};
    /// Failures in a row that take a target out of rotation, and for how long the first time.
    static constexpr std::uint32_t failure_limit = 3;
    static constexpr time_ms failure_pause{1000};
    static constexpr std::uint32_t max_doublings = 3;
    /// A request's cost of going to another failure domain, as part of a target's slots.
    static constexpr double distance_cost = 0.04;
    static constexpr double noise_cost = 0.02;
    /// Daemons that know the same would all choose the same target until the next reports. A difference of so
    /// great a part of the slots makes one target chosen e times as often as another.
    static constexpr double spread_cost = 0.3;

    struct target_state {
        relay_target info;
        std::uint64_t key = 0; ///< Hash of the id and the generation.
        bool is_serving = false;
        std::uint32_t own = 0;
        load_estimate load{load_averaging};
        stall_detector progress{};
        suspension reason = suspension::none;
        time_ms suspended_until;
        std::uint32_t failures = 0;
    };

    /// Others' requests on a target of the model of which nothing is known: the mean of the targets that told
    /// their load lately, or, without any, as if all daemons sent as much as this one.
    [[nodiscard]] double usual_others(const target_criteria& wish, time_ms now) const;
    /// Others' requests there: as reported, or, the older the report, the usual ones.
    [[nodiscard]] static double others_on(const target_state& one, double usual, time_ms now);
    [[nodiscard]] static bool is_usable(const target_state& one, std::string_view model, time_ms now);
    [[nodiscard]] target_state* find(const std::string& id);

    std::map<std::string, target_state> targets;
};

} // namespace coriander
