#include "coriander/claim.hpp"

#include "core/json_text.hpp"

#include <charconv>

namespace coriander {
namespace {

constexpr std::size_t uuid_length = 36;
constexpr std::size_t uuid_version_index = 14;

const char* name_of(claim_state state)
{
    switch (state) {
    case claim_state::dispatched:
        return "dispatched";
    case claim_state::done:
        return "done";
    case claim_state::released:
        return "released";
    case claim_state::unknown:
        break;
    }
    return "unknown";
}

claim_state state_from_name(const std::string& name)
{
    for (const auto state : {claim_state::dispatched, claim_state::done, claim_state::released}) {
        if (name == name_of(state)) {
            return state;
        }
    }
    return claim_state::unknown;
}

} // namespace

std::string claim_row_key(const claim_key& key)
{
    // The length prefix distinguishes ("a", "b/c") from ("a/b", "c").
    return "claims/" + std::to_string(key.customer.size()) + "/" + key.customer + "/" + key.idempotency_key;
}

std::string encode_claim(const claim_record& record)
{
    json_object object{{"state", name_of(record.state)},
                       {"owner", record.owner},
                       {"token", record.token},
                       {"digest", record.body_digest},
                       {"created", record.created.count()}};
    if (record.state == claim_state::done) {
        object["answer"] = {{"status", record.answer.status},
                            {"content_type", record.answer.content_type},
                            {"body", record.answer.body}};
    }
    return to_text(object);
}

claim_record decode_claim(const std::string& text)
{
    claim_record record;
    record.state = claim_state::unknown;
    const auto object = parse_object(text);
    if (!object) {
        return record;
    }
    record.state = state_from_name(text_member(*object, "state"));
    record.owner = text_member(*object, "owner");
    record.token = text_member(*object, "token");
    record.body_digest = text_member(*object, "digest");
    record.created = time_ms{integer_member(*object, "created")};
    if (const auto answer = object_member(*object, "answer")) {
        record.answer.status = static_cast<int>(integer_member(*answer, "status"));
        record.answer.content_type = text_member(*answer, "content_type");
        record.answer.body = text_member(*answer, "body");
    }
    return record;
}

time_ms uuid_v7_time(const std::string& key)
{
    if (key.size() != uuid_length || key[uuid_version_index] != '7' || key[8] != '-' || key[13] != '-') {
        return time_ms{};
    }
    const std::string digits = key.substr(0, 8) + key.substr(9, 4);
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
    const bool is_number = error == std::errc{} && end == digits.data() + digits.size();
    return time_ms{is_number ? value : 0};
}

} // namespace coriander
