#include "coriander/peer_feature.hpp"

#include <array>

namespace coriander {
namespace {

/// By number.
constexpr std::array feature_names{"relayed_requests", "kept_request_reports", "packed_messages", "places"};

} // namespace

std::string names_of(feature_set features)
{
    std::string names;
    for (unsigned number = 0; number < feature_set::capacity; ++number) {
        if (features.contains_number(number)) {
            names += names.empty() ? "" : "+";
            names += number < feature_names.size() ? feature_names[number] : std::to_string(number);
        }
    }
    return names.empty() ? "none" : names;
}

} // namespace coriander
