#include "gateway/fleet_view.hpp"

#include "support/fleet_samples.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <string>

namespace coriander {
namespace {

/// All that decisions read of a host.
std::string text_of(const listed_host& host)
{
    const auto part = host.part ? host.part->replica + "/" + std::to_string(host.part->generation) + "/" +
                                      std::to_string(static_cast<int>(host.part->phase))
                                : std::string{};
    return host.id + "|" + std::to_string(host.incarnation) + "|" + part + "|" + host.warm_model + "|" +
           (host.is_leaving ? "leaving" : "") + "|" + (host.is_self_reported ? "own" : "") + "|" +
           (host.staged.empty() ? std::string{} : host.staged.back());
}

/// The hosts of a domain as they are found without the index.
std::vector<std::string> hosts_without_index(const fleet_view& view, const domain_key& key)
{
    std::vector<std::string> found;
    for (const auto& [id, host] : view.hosts()) {
        if (host.service == key.service && host.fabric_domain == key.domain) {
            found.push_back(text_of(host));
        }
    }
    return found;
}

std::vector<std::string> hosts_with_index(const fleet_view& view, const domain_key& key)
{
    std::vector<std::string> found;
    for (const auto& host : *view.hosts_of(key)) {
        found.push_back(text_of(host));
    }
    return found;
}

listed_host random_host()
{
    const auto number = *rc::gen::inRange(0, 6);
    auto host = samples::free_hosts_of("d" + std::to_string(*rc::gen::inRange(0, 2)), 6, "large")[number];
    host.id = "h" + std::to_string(number);
    host.incarnation = static_cast<std::uint64_t>(*rc::gen::inRange(1, 3));
    host.is_leaving = *rc::gen::inRange(0, 5) == 0;
    host.is_self_reported = false;
    if (*rc::gen::arbitrary<bool>()) {
        host.part = replica_part{"d-1", 1, host_phase::ready};
    }
    return host;
}

domain_record random_record()
{
    domain_record record;
    replica_entry replica{"d-1", "large", 1, replica_phase::open, {}};
    for (int i = 0; i < 2; ++i) {
        replica.hosts.push_back({"h" + std::to_string(*rc::gen::inRange(0, 6)), "127.0.0.1:1", 1, false});
    }
    record.replicas.push_back(replica);
    return record;
}

void change_at_random(fleet_view& view, time_ms now, std::uint64_t version)
{
    const auto host = random_host();
    switch (*rc::gen::inRange(0, 7)) {
    case 0:
        view.remove_host(host.id);
        break;
    case 1:
        view.update_host(host.id, {host.incarnation, false, 1, host.staged, host.part}, now);
        break;
    case 2:
        view.mark_silent(host.id, now);
        break;
    case 3:
        view.clear_silent(host.id);
        break;
    case 4:
        view.set_domain({"assistant", host.fabric_domain}, random_record(), {1, version});
        break;
    case 5:
        view.on_host_left(host.id, "d-1", 1, now);
        break;
    default:
        view.set_host(host, now);
    }
    view.expire_reports(now);
}

} // namespace

TEST_CASE("fleet view: no list of a domain's hosts outlives a change there")
{
    rc::prop("after any changes, the lists are those that are found without the index", [] {
        fleet_view view;
        time_ms now = 1'000'000_ms;
        for (std::uint64_t version = 1; version < 40; ++version) {
            now = now + time_ms{*rc::gen::inRange(0, 900)};
            change_at_random(view, now, version);
            std::size_t listed = 0;
            for (const auto* domain : {"d0", "d1"}) {
                const domain_key key{"assistant", domain};
                RC_ASSERT(hosts_with_index(view, key) == hosts_without_index(view, key));
                listed += view.hosts_of(key)->size();
            }
            RC_ASSERT(view.host_count("assistant") == listed);
        }
    });
}

TEST_CASE("fleet view: replicas that may serve are found anew after a change of their hosts or record")
{
    fleet_view view;
    const auto service = samples::assistant();
    auto hosts = samples::free_hosts_of("d", 4, "large");
    domain_record record;
    record.replicas.push_back(samples::replica_of(hosts, "d-1", 1, replica_phase::open));
    for (const auto& host : hosts) {
        view.set_host(host, 1_s);
    }
    view.set_domain({"assistant", "d"}, record, {1, 1});
    REQUIRE(view.targets_of(service, 1_s).size() == 1);
    view.mark_silent("d-h3", 1_s);
    view.mark_ended("d-h3");
    CHECK(view.targets_of(service, 1_s).empty());
    view.clear_silent("d-h3");
    CHECK(view.targets_of(service, 1_s).size() == 1);
    record.replicas[0].phase = replica_phase::dissolving;
    view.set_domain({"assistant", "d"}, record, {1, 2});
    CHECK(view.targets_of(service, 1_s).empty());
}

TEST_CASE("fleet view: the list of one domain's hosts is kept while other domains change")
{
    fleet_view view;
    for (const auto* domain : {"d0", "d1"}) {
        for (const auto& host : samples::free_hosts_of(domain, 3)) {
            view.set_host(host, 1_s);
        }
    }
    const auto before = view.hosts_of({"assistant", "d0"});
    const auto changes = view.change_count({"assistant", "d0"});
    view.remove_host("d1-h0");
    CHECK(view.hosts_of({"assistant", "d0"}) == before);
    CHECK(view.change_count({"assistant", "d0"}) == changes);
    view.remove_host("d0-h0");
    CHECK(view.hosts_of({"assistant", "d0"}) != before);
    CHECK(before->size() == 3);
}

} // namespace coriander
