#pragma once

#include "coriander/time_ms.hpp"

#include <cstdint>
#include <vector>

namespace coriander {

/// Hash of something that requests can have in common: a part of the prompt, or the whole request.
using fingerprint = std::uint64_t;

/// A request that was on a target when the target crashed, and may have caused the crash.
struct crash_suspect {
    std::uint64_t crash = 0;  ///< Identifies the crash: a hash of the host's id and incarnation.
    bool had_started = false; ///< The target had begun to respond.
    std::vector<fingerprint> fingerprints;
    time_ms age; ///< Time since the crash.
};

/// States that requests with a fingerprint run without crashing their targets.
struct cleared_report {
    fingerprint print = 0;
    time_ms age; ///< Time since the most recent such request started to run.
};

/// What daemons tell each other about crashes.
struct crash_update {
    std::vector<crash_suspect> suspects;
    std::vector<cleared_report> cleared;

    [[nodiscard]] bool empty() const noexcept { return this->suspects.empty() && this->cleared.empty(); }
};

} // namespace coriander
