#include "coriander/replica.hpp"

#include "core/json_text.hpp"

namespace coriander {
namespace {

replica_state parse_state(const std::string& name)
{
    if (name == "serving") {
        return replica_state::serving;
    }
    return name == "draining" ? replica_state::draining : replica_state::empty;
}

} // namespace

const char* name_of(replica_state state) noexcept
{
    switch (state) {
    case replica_state::empty:
        return "empty";
    case replica_state::serving:
        return "serving";
    case replica_state::draining:
        return "draining";
    }
    return "empty";
}

std::string replica_record::id() const
{
    return this->service + "/" + std::to_string(this->slot);
}

std::string replica_row_key(const replica_record& replica)
{
    return std::string{replica_prefix} + replica.id();
}

std::string host_claim_row_key(std::string_view host)
{
    return std::string{host_claim_prefix} + std::string{host};
}

std::string encode_replica(const replica_record& replica)
{
    json_object members = json_object::array();
    for (const auto& member : replica.members) {
        members.push_back(
            {{"host", member.host}, {"address", member.address}, {"incarnation", member.incarnation}});
    }
    return to_text({{"service", replica.service},
                    {"slot", replica.slot},
                    {"generation", replica.generation},
                    {"fabric_domain", replica.fabric_domain},
                    {"model", replica.model},
                    {"state", name_of(replica.state)},
                    {"members", members}});
}

std::optional<replica_record> decode_replica(const std::string& text)
{
    const auto object = parse_object(text);
    if (!object || text_member(*object, "service").empty()) {
        return std::nullopt;
    }
    replica_record replica;
    replica.service = text_member(*object, "service");
    replica.slot = static_cast<std::uint32_t>(integer_member(*object, "slot"));
    replica.generation = static_cast<std::uint64_t>(integer_member(*object, "generation"));
    replica.fabric_domain = text_member(*object, "fabric_domain");
    replica.model = text_member(*object, "model");
    replica.state = parse_state(text_member(*object, "state"));
    for (const auto& item : array_member(*object, "members")) {
        replica.members.push_back(
            {text_member(item, "host"), text_member(item, "address"), text_member(item, "incarnation")});
    }
    return replica;
}

std::string encode_host_claim(const host_claim& claim)
{
    return to_text({{"host", claim.host}, {"replica", claim.replica}, {"generation", claim.generation}});
}

std::optional<host_claim> decode_host_claim(const std::string& text)
{
    const auto object = parse_object(text);
    if (!object || text_member(*object, "host").empty()) {
        return std::nullopt;
    }
    return host_claim{text_member(*object, "host"), text_member(*object, "replica"),
                      static_cast<std::uint64_t>(integer_member(*object, "generation"))};
}

} // namespace coriander
