#pragma once

#include "coriander/membership.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace coriander {

/// A gateway's build and features that an operator should learn of.
struct build_change {
    member_identity gateway;
    std::string build_before; ///< Empty if no build was known.
};

/// Finds out which reports of builds and features are worth a log line: the first gateway of each build, and
/// every gateway whose build or features change. With a line for each gateway, a start of hundreds would fill
/// the logs. Not thread-safe.
class peer_builds {
public:
    /// Notes what a gateway reports of itself, or has written into its row. Returns what is to be logged.
    [[nodiscard]] std::optional<build_change> note(const member_identity& reported)
    {
        if (this->known.size() >= max_known && !this->known.contains(reported.name)) {
            this->known.clear();
            this->logged.clear();
        }
        const auto [found, is_first] = this->known.try_emplace(reported.name, reported);
        auto& before = found->second;
        const bool is_outdated = reported.incarnation < before.incarnation;
        const bool is_same = before.build == reported.build && before.features == reported.features;
        if (is_outdated || (!is_first && is_same)) {
            return std::nullopt;
        }
        const bool is_new_kind = this->logged.emplace(reported.build, reported.features.bits()).second;
        auto last = std::exchange(before, reported);
        if (!is_new_kind && is_first) {
            return std::nullopt;
        }
        return build_change{reported, is_first ? std::string{} : std::move(last.build)};
    }

private:
    /// Names of gateways that are remembered: three times the largest deployment.
    static constexpr std::size_t max_known = 1024;

    std::map<std::string, member_identity> known;           ///< By name.
    std::set<std::pair<std::string, std::uint64_t>> logged; ///< Builds and features.
};

/// A build's name in log lines, metrics and lists.
[[nodiscard]] inline std::string shown_build(const std::string& build)
{
    return build.empty() ? "unknown" : build;
}

} // namespace coriander
