#pragma once

#include "coriander/relay/load_report.hpp"
#include "coriander/replicas/replica_demand.hpp"

#include <cstdint>
#include <vector>

namespace coriander {

/// One daemon's measured load of one model, as daemons tell each other.
struct model_demand {
    std::uint64_t model = 0; ///< Hash of the service's and the model's names.
    model_traffic load;
};

/// What daemons tell each other of load. Soft state: it may be lost or late.
struct load_update {
    std::vector<load_report> targets;  ///< The newest that the sender knows.
    std::vector<model_demand> demands; ///< What the sender itself has measured.
};

} // namespace coriander
