#include "gateway/kept_request_reports.hpp"

#include "support/event_loop.hpp"
#include "support/fleet_samples.hpp"

#include <catch2/catch.hpp>

#include <vector>

namespace coriander {
namespace {

/// A daemon with a request on the replica `d-1`, which `edge-7` dissolves.
struct daemon_with_request {
    daemon_with_request()
    {
        const auto hosts = samples::free_hosts_of("d", 4);
        domain_record record;
        record.owner = "edge-7";
        std::vector<listed_host> members = hosts;
        record.replicas = {samples::replica_of(members, "d-1", 1, replica_phase::dissolving)};
        this->set_record(record);
        this->context.service("assistant").sessions["d-1"] = {};
    }

    void set_record(const domain_record& record)
    {
        this->view.set_domain({"assistant", "d"}, record, {0, ++this->version});
    }

    event_loop loop;
    relay_context context{this->loop.context(), {}, "here"};
    fleet_view view;
    std::uint64_t version = 0;
    std::vector<std::string> sent; ///< `OWNER DOMAIN REPLICA`.
    kept_request_reports reports{this->context, this->view, [this](const auto& owner, const auto& report) {
                                     this->sent.push_back(owner + " " + report.row_key + " " +
                                                          report.replica);
                                 }};
};

} // namespace

TEST_CASE("kept request reports: the owner receives repeated reports of requests on a dissolving replica")
{
    daemon_with_request daemon;
    daemon.reports.check("assistant", 1000_ms);
    CHECK(daemon.sent == std::vector<std::string>{"edge-7 assistant/d d-1"});
    daemon.reports.check("assistant", 1050_ms);
    CHECK(daemon.sent.size() == 1);
    daemon.reports.check("assistant", 1100_ms);
    CHECK(daemon.sent.size() == 2);
}

TEST_CASE("kept request reports: an attempt that is held on a dissolving replica counts like a request there")
{
    daemon_with_request daemon;
    auto& state = daemon.context.service("assistant");
    state.sessions.clear();
    state.held.insert("d-1");
    daemon.reports.check("assistant", 1000_ms);
    CHECK(daemon.sent == std::vector<std::string>{"edge-7 assistant/d d-1"});
}

TEST_CASE("kept request reports: nothing is reported of replicas that are open or have no requests")
{
    daemon_with_request daemon;
    SECTION("open")
    {
        auto record = daemon.view.domain({"assistant", "d"}).record;
        record.replicas.front().phase = replica_phase::open;
        daemon.set_record(record);
    }
    SECTION("without requests")
    {
        daemon.context.service("assistant").sessions.clear();
    }
    daemon.reports.check("assistant", 1000_ms);
    CHECK(daemon.sent.empty());
}

} // namespace coriander
