#include "coriander/config_record.hpp"

#include "core/json_text.hpp"

namespace coriander {

std::string encode_config(const config_record& record)
{
    return to_text({{"number", record.number},
                    {"author", record.author},
                    {"token", record.token},
                    {"proposed_at", record.proposed_at.count()},
                    {"toml", record.toml}});
}

std::optional<config_record> decode_config(const std::string& text)
{
    const auto object = parse_object(text);
    if (!object || integer_member(*object, "number") <= 0) {
        return std::nullopt;
    }
    config_record record;
    record.number = static_cast<std::uint64_t>(integer_member(*object, "number"));
    record.author = text_member(*object, "author");
    record.token = text_member(*object, "token");
    record.proposed_at = time_ms{integer_member(*object, "proposed_at")};
    record.toml = text_member(*object, "toml");
    return record;
}

} // namespace coriander
