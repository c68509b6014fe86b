#pragma once

#include "coriander/time_ms.hpp"

#include <cstddef>
#include <cstdint>
#include <map>

namespace coriander {

/// Divides what there is among the customers that ask for it, by max-min fairness: a customer that asks for
/// no more than its share gets all of it, and what it leaves the others share. Works with rates of the last
/// seconds. Not thread-safe.
class customer_shares {
public:
    /// Records that a customer asks for a place.
    void on_request(std::uint64_t customer, time_ms now);
    /// Records that a customer got one.
    void on_granted(time_ms now);

    /// The part of the customer's requests that fit into its share, from 0 to 1, if `room` times as much as
    /// lately can be granted.
    [[nodiscard]] double fitting_part(std::uint64_t customer, double room, time_ms now) const;

private:
    /// A count that halves in this time without further events.
    static constexpr time_ms half_life{2000};
    static constexpr std::size_t max_customers = 1024;
    /// With less asked for than this, shares say nothing.
    static constexpr double min_asked = 8.0;
    /// Shares count once less than this part of what was asked for has been granted.
    static constexpr double shortage = 0.9;

    struct decayed_count {
        double value = 0.0;
        time_ms at;

        [[nodiscard]] double at_time(time_ms now) const;
        void add(time_ms now);
    };

    /// The count up to which each customer gets all that it asks for.
    [[nodiscard]] double level(double available, time_ms now) const;
    void forget_quiet(time_ms now);

    std::map<std::uint64_t, decayed_count> asked; ///< By customer.
    decayed_count granted;
};

} // namespace coriander
