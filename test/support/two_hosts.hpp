#pragma once

#include "gateway/fleet_view.hpp"
#include "support/fake_controller_io.hpp"
#include "support/fleet_samples.hpp"

namespace coriander {

/// A daemon's view of a domain of two free hosts, `d-h0` and `d-h1`.
struct two_hosts {
    two_hosts()
    {
        for (const auto& host : samples::free_hosts_of("d", 2)) {
            this->world.hosts[host.id] = host;
            this->view.set_host(host, this->start);
        }
    }

    time_ms start = 1'000'000_ms;
    fake_controller_io::world world;
    fake_controller_io io{this->world};
    fleet_view view;
};

} // namespace coriander
