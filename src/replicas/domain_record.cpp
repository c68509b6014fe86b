#include "coriander/replicas/domain_record.hpp"

#include "core/json_text.hpp"

#include <algorithm>
#include <array>
#include <initializer_list>

namespace coriander {
namespace {

constexpr std::array phase_names{"forming", "open", "retiring", "dissolving", "warming"};

std::optional<replica_phase> parse_phase(std::string_view name)
{
    for (std::size_t i = 0; i < phase_names.size(); ++i) {
        if (name == phase_names[i]) {
            return static_cast<replica_phase>(i);
        }
    }
    return std::nullopt;
}

/// The members of the object that this build doesn't know, as JSON; empty if there are none.
std::string unknown_members_of(const json_object& object, std::initializer_list<std::string_view> known)
{
    auto unknown = json_object::object();
    if (object.is_object()) {
        for (const auto& [name, value] : object.items()) {
            if (std::find(known.begin(), known.end(), name) == known.end()) {
                unknown[name] = value;
            }
        }
    }
    return unknown.empty() ? std::string{} : to_text(unknown);
}

void add_unknown_members(json_object& object, const std::string& unknown)
{
    const auto members = unknown.empty() ? std::nullopt : parse_object(unknown);
    if (members) {
        object.update(*members);
    }
}

json_object encode_host(const replica_host& host)
{
    json_object text{{"id", host.id}, {"address", host.address}, {"incarnation", host.incarnation}};
    if (host.is_lost) {
        text["lost"] = true;
    }
    add_unknown_members(text, host.unknown_members);
    return text;
}

std::optional<replica_entry> decode_replica_entry(const json_object& text)
{
    const auto phase = parse_phase(text_member(text, "phase"));
    replica_entry entry{text_member(text, "name"),
                        text_member(text, "model"),
                        unsigned_member(text, "generation").value_or(0),
                        phase.value_or(replica_phase::dissolving),
                        {}};
    bool is_odd = has_odd_unsigned(text, "generation");
    for (const auto& host : array_member(text, "hosts")) {
        is_odd = is_odd || has_odd_unsigned(host, "incarnation");
        entry.hosts.push_back({text_member(host, "id"), text_member(host, "address"),
                               unsigned_member(host, "incarnation").value_or(0), bool_member(host, "lost"),
                               unknown_members_of(host, {"id", "address", "incarnation", "lost"})});
    }
    entry.unknown_members = unknown_members_of(text, {"name", "model", "generation", "phase", "hosts"});
    if (is_odd || !phase || entry.name.empty() || entry.hosts.empty()) {
        return std::nullopt;
    }
    return entry;
}

} // namespace

const char* name_of(replica_phase phase) noexcept
{
    return phase_names[static_cast<std::size_t>(phase)];
}

std::string encode_domain(const domain_record& record)
{
    auto replicas = json_object::array();
    for (const auto& one : record.replicas) {
        auto hosts = json_object::array();
        for (const auto& host : one.hosts) {
            hosts.push_back(encode_host(host));
        }
        replicas.push_back({{"name", one.name},
                            {"model", one.model},
                            {"generation", one.generation},
                            {"phase", name_of(one.phase)},
                            {"hosts", std::move(hosts)}});
        add_unknown_members(replicas.back(), one.unknown_members);
    }
    auto loads = json_object::array();
    for (const auto& one : record.loads) {
        loads.push_back({{"host", one.host}, {"model", one.model}});
        add_unknown_members(loads.back(), one.unknown_members);
    }
    json_object row{{"owner", record.owner},           {"last_generation", record.last_generation},
                    {"replicas", std::move(replicas)}, {"loads", std::move(loads)},
                    {"revision", record.revision},     {"written_in_era", record.written_in_era}};
    add_unknown_members(row, record.unknown_members);
    return to_text(row);
}

std::optional<domain_record> decode_domain(std::string_view text)
{
    const auto parsed = parse_object(text);
    if (!parsed || !parsed->contains("replicas") || has_odd_unsigned(*parsed, "last_generation") ||
        has_odd_unsigned(*parsed, "revision") || has_odd_unsigned(*parsed, "written_in_era")) {
        return std::nullopt;
    }
    domain_record record{text_member(*parsed, "owner"),
                         unsigned_member(*parsed, "last_generation").value_or(0),
                         {},
                         {},
                         unsigned_member(*parsed, "revision").value_or(0),
                         unsigned_member(*parsed, "written_in_era").value_or(0)};
    for (const auto& one : array_member(*parsed, "replicas")) {
        auto entry = decode_replica_entry(one);
        if (!entry) {
            return std::nullopt;
        }
        record.replicas.push_back(std::move(*entry));
    }
    for (const auto& one : array_member(*parsed, "loads")) {
        record.loads.push_back({text_member(one, "host"), text_member(one, "model"),
                                unknown_members_of(one, {"host", "model"})});
    }
    record.unknown_members = unknown_members_of(
        *parsed, {"owner", "last_generation", "replicas", "loads", "revision", "written_in_era"});
    return record;
}

} // namespace coriander
