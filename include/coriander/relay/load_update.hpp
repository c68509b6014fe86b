#pragma once

#include "coriander/relay/emptied_domains.hpp"
#include "coriander/relay/host_statement.hpp"
#include "coriander/relay/load_report.hpp"
#include "coriander/relay/rate_limit.hpp"
#include "coriander/replicas/replica_demand.hpp"

#include <cstdint>
#include <vector>

namespace coriander {

/// The load of one model as measured by one daemon and sent to the others.
struct model_demand {
    std::uint64_t model = 0; ///< Hash of the service name and the model name.
    model_traffic load;
};

/// Load information that daemons exchange. Soft state: an update may be lost or arrive late.
struct load_update {
    std::vector<load_report> targets;           ///< The most recent reports known to the sender.
    std::vector<model_demand> demands;          ///< Loads measured by the sender itself.
    std::vector<rate_limit> limits;             ///< Rate limits of targets, known to the sender.
    std::vector<host_statement> statements;     ///< Of hosts about themselves, known to the sender.
    std::vector<emptied_domain_report> emptied; ///< Failure domains that operators empty or took back.
};

} // namespace coriander
