#include "coriander/shard_lease.hpp"

#include "core/json_text.hpp"

namespace coriander {

std::string encode_lease(const lease_record& lease)
{
    return to_text({{"holder", lease.holder}, {"fence", lease.fence}, {"renewals", lease.renewals}});
}

lease_record decode_lease(const std::string& text)
{
    const auto object = parse_object(text);
    if (!object) {
        return {};
    }
    return {text_member(*object, "holder"), static_cast<std::uint64_t>(integer_member(*object, "fence")),
            static_cast<std::uint64_t>(integer_member(*object, "renewals"))};
}

} // namespace coriander
