#include "coriander/member_row.hpp"

#include "core/json_text.hpp"

namespace coriander {

std::string member_row_key(std::string_view name)
{
    return std::string{member_prefix} + std::string{name};
}

std::string encode_member(const member_row& row)
{
    return to_text({{"name", row.identity.name},
                    {"incarnation", row.identity.incarnation},
                    {"http_address", row.identity.http_address},
                    {"peer_address", row.identity.peer_address},
                    {"failure_domain", row.identity.failure_domain},
                    {"region", row.identity.region},
                    {"config_number", row.config_number},
                    {"stopping", row.stopping},
                    {"renewals", row.renewals}});
}

std::optional<member_row> decode_member(const std::string& text)
{
    const auto object = parse_object(text);
    if (!object || text_member(*object, "name").empty()) {
        return std::nullopt;
    }
    member_row row;
    row.identity.name = text_member(*object, "name");
    row.identity.incarnation = static_cast<std::uint64_t>(integer_member(*object, "incarnation"));
    row.identity.http_address = text_member(*object, "http_address");
    row.identity.peer_address = text_member(*object, "peer_address");
    row.identity.failure_domain = text_member(*object, "failure_domain");
    row.identity.region = text_member(*object, "region");
    row.config_number = static_cast<std::uint64_t>(integer_member(*object, "config_number"));
    row.stopping = bool_member(*object, "stopping");
    row.renewals = static_cast<std::uint64_t>(integer_member(*object, "renewals"));
    return row;
}

} // namespace coriander
