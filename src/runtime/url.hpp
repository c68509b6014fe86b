#pragma once

#include <string>
#include <string_view>

namespace coriander {

/// Encodes a text for use as one value in a URL's query.
[[nodiscard]] std::string percent_encoded(std::string_view text);

} // namespace coriander
