#pragma once

#include "coriander/row_version.hpp"
#include "coriander/time_ms.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace coriander {

/// What is known of an operator's request that a failure domain gets no more requests.
struct emptied_domain_report {
    std::string domain;
    row_version version;     ///< Of the request, or of its removal.
    bool is_emptied = false; ///< False: the domain has been taken back.
    time_ms age;             ///< Time since the request, or since its removal.
};

/// The failure domains that operators have emptied or taken back, and the share of new requests that each may
/// get. Not thread-safe.
class emptied_domains {
public:
    /// How long it takes until an emptied domain gets nothing more. Replicas form elsewhere meanwhile.
    static constexpr time_ms emptying_time{2500};
    /// How long it takes until a domain that was taken back gets its full share again, so that its hosts get
    /// no wave of requests.
    static constexpr time_ms return_time{4000};
    /// How many domains are passed on to other daemons at a time.
    static constexpr std::size_t max_reports = 8;
    /// Reports about further domains are ignored.
    static constexpr std::size_t max_domains = 256;

    /// Applies a report, unless a newer one is known. Returns whether the state of the domain has changed.
    bool on_report(const emptied_domain_report& report, time_ms now);

    /// The share of new requests that the domain may get, from 0 to 1.
    [[nodiscard]] double share(std::string_view domain, time_ms now) const;
    /// Whether the domain is to be empty, so that nothing is planned there.
    [[nodiscard]] bool is_emptied(std::string_view domain) const;
    /// Whether any domain is to be empty.
    [[nodiscard]] bool has_emptied() const noexcept { return this->emptied_count > 0; }
    /// Whether no domain has ever been emptied.
    [[nodiscard]] bool empty() const noexcept { return this->domains.empty(); }

    /// What other daemons may not know yet: domains that are to be empty, and those taken back lately.
    [[nodiscard]] std::vector<emptied_domain_report> reports(time_ms now) const;
    /// The shares of all domains that have ever been emptied.
    [[nodiscard]] std::map<std::string, double> shares(time_ms now) const;

private:
    /// How long the return of a domain is passed on.
    static constexpr time_ms report_time{60000};

    struct domain_state {
        row_version version;
        bool is_emptied = false;
        time_ms since;
        double share_before = 1.0; ///< At `since`.
    };

    [[nodiscard]] static double share_of(const domain_state& state, time_ms now);

    std::map<std::string, domain_state, std::less<>> domains;
    std::size_t emptied_count = 0;
};

} // namespace coriander
