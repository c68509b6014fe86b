#include "coriander/host.hpp"

#include "core/json_text.hpp"

namespace coriander {
namespace {

host_kind parse_kind(const std::string& name)
{
    if (name == "plain") {
        return host_kind::plain;
    }
    return name == "entry" ? host_kind::entry : host_kind::engine;
}

} // namespace

std::vector<host_record> decode_host_list(const std::string& text)
{
    std::vector<host_record> hosts;
    const auto object = parse_object(text);
    if (!object) {
        return hosts;
    }
    for (const auto& item : array_member(*object, "hosts")) {
        host_record host;
        host.id = text_member(item, "id");
        host.address = text_member(item, "address");
        host.fabric_domain = text_member(item, "fabric_domain");
        host.failure_domain = text_member(item, "failure_domain");
        host.service = text_member(item, "service");
        host.kind = parse_kind(text_member(item, "kind"));
        host.state = text_member(item, "state") == "leaving" ? host_state::leaving : host_state::live;
        if (!host.id.empty() && !host.address.empty()) {
            hosts.push_back(std::move(host));
        }
    }
    return hosts;
}

std::optional<host_report> decode_host_report(const std::string& text)
{
    const auto object = parse_object(text);
    if (!object || text_member(*object, "host").empty()) {
        return std::nullopt;
    }
    host_report report;
    report.host = text_member(*object, "host");
    report.incarnation = text_member(*object, "incarnation");
    report.replica = text_member(*object, "replica");
    report.generation = static_cast<std::uint64_t>(integer_member(*object, "generation"));
    report.fence = static_cast<std::uint64_t>(integer_member(*object, "fence"));
    report.ready = bool_member(*object, "ready");
    report.running = static_cast<std::uint32_t>(integer_member(*object, "running"));
    report.queued = static_cast<std::uint32_t>(integer_member(*object, "queued"));
    return report;
}

std::string encode_host_report(const host_report& report)
{
    return to_text({{"host", report.host},
                    {"incarnation", report.incarnation},
                    {"replica", report.replica},
                    {"generation", report.generation},
                    {"fence", report.fence},
                    {"ready", report.ready},
                    {"running", report.running},
                    {"queued", report.queued}});
}

} // namespace coriander
