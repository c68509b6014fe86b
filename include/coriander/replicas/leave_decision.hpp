#pragma once

#include "coriander/replicas/domain_planner.hpp"
#include "coriander/replicas/domain_record.hpp"

namespace coriander {

/// Whether the requests of a dissolving replica may still end there, because all its lost hosts may be sound.
/// Its other hosts must not leave until then, which would cut the requests. Pure.
[[nodiscard]] bool may_serve_on(const replica_entry& replica, const domain_view& view);

} // namespace coriander
