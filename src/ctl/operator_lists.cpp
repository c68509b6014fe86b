#include "ctl/operator_session.hpp"

#include "core/json_text.hpp"
#include "core/text.hpp"
#include "coriander/drain_row.hpp"
#include "coriander/replica.hpp"
#include "runtime/url.hpp"

#include <algorithm>
#include <array>
#include <iostream>

namespace coriander {
namespace {

const char* name_of(host_kind kind)
{
    switch (kind) {
    case host_kind::engine:
        return "engine";
    case host_kind::plain:
        return "plain";
    case host_kind::entry:
        return "entry";
    }
    return "unknown";
}

} // namespace

exit_code report_unavailable(const error& problem)
{
    std::cerr << "corianderctl: " << problem.message << "\n";
    return exit_code::unavailable;
}

exit_code operator_session::list_replicas()
{
    const auto rows = this->platform.scan(replica_prefix);
    if (!rows) {
        return report_unavailable(rows.error());
    }
    std::cout << "REPLICA\tGENERATION\tSTATE\tFABRIC DOMAIN\tHOSTS\n";
    for (const auto& row : rows.value()) {
        const auto replica = decode_replica(row.value);
        if (!replica) {
            continue;
        }
        std::vector<std::string> hosts;
        for (const auto& member : replica->members) {
            hosts.push_back(member.host);
        }
        std::cout << replica->id() << "\t" << replica->generation << "\t" << name_of(replica->state) << "\t"
                  << replica->fabric_domain << "\t" << joined(hosts, ", ") << "\n";
    }
    return exit_code::ok;
}

exit_code operator_session::list_hosts()
{
    const auto hosts = this->platform.list_hosts();
    const auto claims = this->platform.scan(host_claim_prefix);
    const auto drains = this->platform.scan(drain_prefix);
    if (!hosts || !claims || !drains) {
        std::cerr << "corianderctl: the platform can't be read\n";
        return exit_code::unavailable;
    }
    const auto find = [](const std::vector<table_row>& rows, const std::string& key) {
        return std::find_if(rows.begin(), rows.end(), [&](const auto& row) { return row.key == key; });
    };
    std::cout << "HOST\tKIND\tSTATE\tFABRIC DOMAIN\tREPLICA\n";
    for (const auto& host : hosts.value()) {
        const auto claim_row = find(claims.value(), host_claim_row_key(host.id));
        const auto claim =
            claim_row != claims.value().end() ? decode_host_claim(claim_row->value) : std::nullopt;
        const bool is_drained = find(drains.value(), drain_row_key(host.id)) != drains.value().end();
        const char* state = host.state == host_state::leaving ? "leaving" : is_drained ? "drained" : "live";
        const auto owner = !claim ? "-" : claim->replica.empty() ? "(quarantined)" : claim->replica;
        std::cout << host.id << "\t" << name_of(host.kind) << "\t" << state << "\t" << host.fabric_domain
                  << "\t" << owner << "\n";
    }
    return exit_code::ok;
}

exit_code operator_session::list_entry_hosts()
{
    const auto rows = this->platform.scan(member_prefix);
    if (!rows) {
        return report_unavailable(rows.error());
    }
    std::cout << "ENTRY HOST\tADDRESS\tFAILURE DOMAIN\tCONFIGURATION\tSTATE\n";
    for (const auto& row : rows.value()) {
        if (const auto member = decode_member(row.value)) {
            std::cout << member->identity.name << "\t" << member->identity.http_address << "\t"
                      << member->identity.failure_domain << "\t" << member->config_number << "\t"
                      << (member->stopping ? "stopping" : "serving") << "\n";
        }
    }
    return exit_code::ok;
}

exit_code operator_session::drain(const std::string& host)
{
    const auto hosts = this->platform.list_hosts();
    if (!hosts) {
        return report_unavailable(hosts.error());
    }
    const bool is_known = std::any_of(hosts.value().begin(), hosts.value().end(),
                                      [&](const auto& one) { return one.id == host; });
    if (!is_known) {
        std::cerr << "corianderctl: the host list has no host '" << host << "'\n";
        return exit_code::bad_input;
    }
    const std::array<table_write, 1> writes{table_write{drain_row_key(host), 0, this->options.author}};
    const auto outcome = this->platform.commit(writes);
    if (outcome.state == commit_state::unknown || outcome.state == commit_state::not_applied) {
        return report_unavailable(
            {error_kind::unavailable, "the table does not answer; run the command again"});
    }
    std::cout << host << (outcome.state == commit_state::applied ? ": draining\n" : ": already draining\n");
    return exit_code::ok;
}

exit_code operator_session::undrain(const std::string& host)
{
    const auto row = this->platform.read(drain_row_key(host));
    if (!row) {
        return report_unavailable(row.error());
    }
    if (!row.value()) {
        std::cout << host << ": was not drained\n";
        return exit_code::ok;
    }
    const std::array<table_write, 1> writes{
        table_write{drain_row_key(host), row.value()->version, std::nullopt}};
    if (this->platform.commit(writes).state != commit_state::applied) {
        return report_unavailable(
            {error_kind::unavailable, "the change was not confirmed; run the command again"});
    }
    std::cout << host << ": may be used again\n";
    return exit_code::ok;
}

exit_code operator_session::explain(const std::string& text)
{
    const auto members = this->platform.scan(member_prefix);
    const auto controllers = this->platform.scan(controller_prefix);
    if (!members || !controllers) {
        std::cerr << "corianderctl: the platform can't be read\n";
        return exit_code::unavailable;
    }
    std::vector<std::string> addresses;
    for (const auto& row : members.value()) {
        if (const auto member = decode_member(row.value)) {
            addresses.push_back(member->identity.http_address);
        }
    }
    for (const auto& row : controllers.value()) {
        addresses.push_back(row.value);
    }
    std::size_t found = 0;
    for (const auto& address : addresses) {
        http_call call;
        call.url = "http://" + address + "/admin/decisions?text=" + percent_encoded(text);
        const auto response = this->client.perform(std::move(call));
        const auto object = response.ok() ? parse_object(response.body) : std::nullopt;
        if (!object) {
            std::cout << address << ": does not answer\n";
            continue;
        }
        for (const auto& line : array_member(*object, "lines")) {
            std::cout << address << " " << line.get<std::string>() << "\n";
            ++found;
        }
    }
    return found > 0 ? exit_code::ok : exit_code::failed;
}

} // namespace coriander
