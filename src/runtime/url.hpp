#pragma once

#include <string>
#include <string_view>

namespace coriander {

/// Percent-encodes `text` for use as a value in a URL's query.
[[nodiscard]] std::string percent_encoded(std::string_view text);

} // namespace coriander
