#pragma once

#include "coriander/relay/customer_shares.hpp"
#include "coriander/relay/load_report.hpp"
#include "coriander/relay/place_message.hpp"
#include "coriander/time_ms.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace coriander {

/// Grants places at targets to all daemons, so that no target gets more requests than it answers in time. For
/// each target, one daemon is the keeper. How many places a target has is learned from the first parts of its
/// answers: it falls while they are late and grows while they are in time. Nearly full targets grant places
/// by customers' shares. Answers the load of many daemons that each see a small part of the requests on a
/// target: without a keeper their choices make some targets late while others have places to spare. Soft
/// state: a keeper that has just taken over goes by what the targets report. Not thread-safe.
class place_keeper {
public:
    /// Decides on the request of `daemon`. `reported` is the target's last load report, if there is one;
    /// `draw`, in [0, 1), decides for customers beyond their share.
    [[nodiscard]] place_answer decide(const std::string& daemon, const place_request& request,
                                      const std::optional<load_report>& reported, double draw, time_ms now);
    /// Takes a place back, and learns from the timing of the answer.
    void release(const std::string& daemon, const place_release& given, time_ms now);

    /// The number of places that the target has, by what was learned; `slots` if nothing was.
    [[nodiscard]] double limit_of(std::uint64_t target, double slots) const;
    /// Places of the target in use.
    [[nodiscard]] std::size_t granted(std::uint64_t target) const;

private:
    /// Part of the slots that is granted before anything was learned: beyond all slots, requests queue.
    static constexpr double first_share = 0.95;
    static constexpr double min_share = 0.5;
    static constexpr double max_share = 1.25;
    /// Change of the limit by an answer. In balance, one in eleven is late.
    static constexpr double late_step = 0.5;
    static constexpr double in_time_step = 0.05;
    /// Part of the limit by which that of each lower priority is smaller, down to a floor.
    static constexpr double rank_step = 0.04;
    static constexpr std::uint8_t max_rank = 5;
    /// From this part of the limit on, customers get places by their shares.
    static constexpr double scarce_share = 0.75;
    /// The last places are for customers that ask for no more than their share.
    static constexpr double excess_share = 0.85;
    /// A place that was not given back for this time is free: its daemon has ended.
    static constexpr time_ms max_hold{8000};
    /// Grants of this time may not show in what a target reports.
    static constexpr time_ms report_delay{600};
    static constexpr time_ms max_report_age{1000};
    static constexpr time_ms retention{20000};

    using place_id = std::pair<std::string, std::uint64_t>; ///< Daemon and its number.

    struct target_places {
        std::map<place_id, time_ms> granted; ///< With when.
        double slots = 1.0;
        double limit = 0.0;
        customer_shares shares;
        time_ms used_at;
    };

    /// Places in use, by what was granted and by what the target has reported, whichever is more plausible.
    [[nodiscard]] static double in_use(const target_places& places,
                                       const std::optional<load_report>& reported, time_ms now);
    void forget_unused(time_ms now);

    std::map<std::uint64_t, target_places> targets;
    time_ms cleaned_at;
};

} // namespace coriander
